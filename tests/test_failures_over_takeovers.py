"""Failed runs that a successor reads in another order than they ended."""

import asyncio

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from bergamotgap.ports.fleet import EndReport
from stand_ins.pools import CONFIG, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

TASK = TaskId("job", 0, 0, 0)


def test_failures_count_in_whatever_order_a_successor_reads_them() -> None:
    """Guards against a start after the last attempt, where ends are on two workers.

    The worker with the first failed run is cut off while the successor reads the later
    ones from another worker.
    """

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        step = StepSpec(count=1, cpu=1000, estimated_ms=1000)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("job", steps=(step,)))
            await asyncio.sleep(1)
            first = next(n for n, w in scene.workers.items() if w.running)
            other = next(n for n in scene.workers if n != first)
        scene.workers[first].end_run(TASK, "failed")
        attempts = CONFIG.queues[0].attempts
        scene.workers[other].ended = [
            EndReport(number, TASK, number + 1, "failed", "")
            for number in range(1, attempts)
        ]
        scene.workers[other].last_sequence = attempts - 1
        starts = sum(len(worker.starts) for worker in scene.workers.values())
        async with scene.run_owner(2) as (pool, orders):
            orders.unreachable_workers.add(first)
            await asyncio.sleep(1)
            orders.unreachable_workers.clear()
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job") is JobPhase.FAILED
        assert sum(len(w.starts) for w in scene.workers.values()) == starts

    run_virtual(main())
