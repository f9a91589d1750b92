"""Starts that wait in the queue of orders to their worker."""

import asyncio

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.domain.stalls import STALL_MS
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene


def test_the_wait_of_a_start_is_no_lack_of_progress() -> None:
    """Guards against sound runs that are stopped as stalled soon after their start.

    A busy queue of orders sent them long after their tasks had been placed.
    """

    async def main() -> None:
        scene = Scene(workers=1, run_s=1)
        async with scene.run_owner(1) as (pool, orders):
            orders.max_answer_s = 2 * 4 * STALL_MS / 1000 / 60
            await asyncio.sleep(1)
            step = StepSpec(count=60, cpu=100, estimated_ms=1000)
            await pool.submit(build_job("job", steps=(step,)))
            await asyncio.sleep(20)
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


@pytest.mark.parametrize("max_answer_s", [0.004, 0.08])
def test_a_small_job_does_not_wait_behind_thousands_of_starts(
    max_answer_s: float,
) -> None:
    """Guards against an idle job whose starts stand behind those of a large one."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=60)
        async with scene.run_owner(1) as (pool, orders):
            orders.max_answer_s = max_answer_s
            await asyncio.sleep(1)
            large = StepSpec(count=2000, cpu=10, estimated_ms=60_000)
            await pool.submit(build_job("large", steps=(large,)))
            await asyncio.sleep(0.3)
            small = StepSpec(count=4, cpu=500, estimated_ms=500)
            await pool.submit(build_job("small", steps=(small,)))
            await asyncio.sleep(2)
            counts = scene.count_starts()
            assert sum(task.job == "small" for task in counts) == 4  # type: ignore[attr-defined]
            await asyncio.sleep(0 if max_answer_s > 0.01 else 12)
            started = len(scene.count_starts())
            assert started == 2004 or max_answer_s > 0.01

    run_virtual(main())
