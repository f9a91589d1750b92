"""Workers whose capacity shrinks and grows while they run (rule LIMIT)."""

import asyncio
import dataclasses

from bergamotgap.domain.fleet import JobPhase, Size, StepSpec
from bergamotgap.pools.pool import Pool
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

TASK = StepSpec(count=6, cpu=1000, memory_mb=100, estimated_ms=500)


def publish_capacity(scene: Scene, pool: Pool, name: str, cpu: int) -> None:
    """Let a worker report another number of 1/1000 cores, in the same life."""
    info = scene.infos[name]
    capacity = Size(cpu, info.capacity.memory_mb, info.capacity.gpus)
    scene.infos[name] = dataclasses.replace(info, capacity=capacity)
    pool.update_workers(dict(scene.infos))


def test_no_start_brings_a_worker_over_a_capacity_that_shrank() -> None:
    """Guards against starts by the capacity that a worker had when it was listed."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.5)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            publish_capacity(scene, pool, "w1", 2000)
            await pool.submit(build_job("job", steps=(TASK,)))
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED
            assert scene.workers["w1"].most_running == 2

    run_virtual(main())


def test_runs_above_a_capacity_that_shrank_go_on_and_nothing_joins_them() -> None:
    """Guards against work stopped, or added, while a worker is over its capacity."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("first", steps=(TASK,)))
            await asyncio.sleep(0.5)
            publish_capacity(scene, pool, "w1", 3000)
            await pool.submit(build_job("second", steps=(TASK,)))
            await asyncio.sleep(1)
            worker = scene.workers["w1"]
            assert {task.job for task in worker.running} == {"first"}
            worker.most_running = 0
            await asyncio.sleep(6)
            assert set(scene.count_starts().values()) == {1}
            assert worker.most_running == 3

    run_virtual(main())


def test_capacity_that_grew_again_is_used_at_once() -> None:
    """Guards against tasks that wait although their worker has room again."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.5)
        async with scene.run_owner(1) as (pool, _):
            publish_capacity(scene, pool, "w1", 0)
            await pool.submit(build_job("job", steps=(TASK,)))
            await asyncio.sleep(1)
            assert not scene.count_starts()
            publish_capacity(scene, pool, "w1", 8000)
            await asyncio.sleep(0.2)
            assert len(scene.workers["w1"].running) == TASK.count

    run_virtual(main())


def test_a_suspected_task_is_not_tried_beyond_a_capacity_that_shrank() -> None:
    """Guards against a trial on a reserved worker that has become too small."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.5)
        async with scene.run_owner(1) as (pool, _):
            publish_capacity(scene, pool, "w1", 500)
            await pool.submit(build_job("job", steps=(TASK,)))
            job = pool.job_table.jobs["job"]
            job.begin_due_occurrences(scene.clock.wall_ms())
            assert len(job.list_tasks()) == TASK.count
            for task in job.list_tasks():
                task.runs_alone = True
            await asyncio.sleep(4)
            assert not scene.count_starts()
            publish_capacity(scene, pool, "w1", 2000)
            await asyncio.sleep(8)
            assert scene.workers["w1"].most_running == 2
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED

    run_virtual(main())
