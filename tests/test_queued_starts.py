"""Starts that wait in the queue of orders to their worker."""

import asyncio

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
