"""Which life of a worker gave an answer, by the clock in it."""

import pytest

from bergamotgap.domain.task_state import TaskPhase
from bergamotgap.pools.run_lease import ClockReading
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene


@pytest.mark.parametrize(
    ("clock_ms", "now_ms", "is_same"),
    [
        (60_000, 1_000, True),
        # The reading was on its way while the worker carried out the order.
        (60_020, 1_005, True),
        (61_990, 3_000, True),
        # A clock that began anew, or an answer that was given before the reading.
        (300, 1_500, False),
        (59_999, 1_005, False),
        # Further than the time that has passed.
        (70_000, 3_000, False),
    ],
)
def test_an_answer_is_of_the_life_that_was_read_if_its_clock_goes_on(
    clock_ms: int, now_ms: int, is_same: bool
) -> None:
    """Guards against a run of another life that is taken for one of the polled life."""
    assert ClockReading(60_000, 1_000).is_followed_by(clock_ms, now_ms) is is_same


def test_no_life_is_known_while_it_is_as_young_as_a_new_one_may_be() -> None:
    """Guards against a new life whose clock has caught up with that of the former."""
    assert not ClockReading(2_000, 1_000).is_followed_by(2_100, 3_000)


def test_each_answer_of_an_undisturbed_worker_tells_its_life() -> None:
    """Guards against tasks that wait for the longest lease after an ordinary crash."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=2)
        async with scene.run_owner(1) as (pool, _):
            for number in range(20):
                await pool.submit(build_job(f"job-{number}"))
                for link in pool.run_tracker.links.values():
                    for live in link.runs.values():
                        is_started = live.task.phase is TaskPhase.RUNNING
                        assert live.is_in_life or not is_started

    run_virtual(main())
