"""A task is never on two workers at once, whatever happens to its workers."""

import os

import pytest

from bergamotgap.domain.fleet import TaskId
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import run_virtual
from tests.runs_scene import RunsScene, SentStart
from tests.waiting_scene import play

# The seeds of the random scenes, as FIRST:END.
FIRST_SEED, END_SEED = map(int, os.environ.get("RUNS_SEEDS", "0:8").split(":"))
SEEDS = range(FIRST_SEED, END_SEED)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_is_on_two_workers_at_once_under_random_disruptions(seed: int) -> None:
    """Guards against a start elsewhere before the former run has certainly ended."""

    async def main() -> None:
        scene = RunsScene(seed)
        await play(scene)
        assert not scene.problems, "\n".join([*scene.events, *scene.problems])

    run_virtual(main())


LEASE_S = SETTINGS.run_lease_ms / 1000


@pytest.mark.parametrize(
    ("stopped_in_life", "seen_token", "sent_s", "life_start_s", "excuse"),
    [
        (1, 1, 1.0, 2.0, "stop accepted"),
        (None, 2, 1.0, 2.0, "fenced"),
        (None, 1, LEASE_S + 0.1, LEASE_S + 1, "lease ended"),
        # Nothing proved that the former start would not be carried out.
        (None, 1, 1.0, 2.0, ""),
        (None, 1, LEASE_S - 0.1, LEASE_S + 1, ""),
        # The life that accepted the stop was not the one that the owner knew.
        (0, 1, 1.0, 2.0, ""),
        # The life that carried the start out had begun before the later start.
        (1, 1, 1.0, 0.9, ""),
        (None, 2, 1.0, 0.9, ""),
        (None, 1, LEASE_S + 0.1, LEASE_S, ""),
    ],
)
def test_only_late_starts_after_a_proof_are_told_apart(
    stopped_in_life: int | None,
    seen_token: int,
    sent_s: float,
    life_start_s: float,
    excuse: str,
) -> None:
    """Guards against an overlap that an owner could prevent and that isn't reported."""
    scene = RunsScene(0)
    task, worker, other = TaskId("job", 0, 0, 0), *list(scene.workers.values())[:2]
    name = worker.info.worker_id
    former = SentStart(task, 1, worker, 1, 0.0, {}, {}, 9.0, 2, life_start_s)
    tokens = {name: (1, seen_token)}
    later = SentStart(task, 2, other, 2, sent_s, {name: 1}, tokens, sent_s, 1)
    if stopped_in_life is not None:
        scene.stops.append((0.5, task, 1, name, stopped_in_life))
    assert scene.find_excuse(former, later) == excuse
