"""Tasks that crash each worker that starts them: who is given up, and at what cost."""

import asyncio

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene

# The users allow two more starts after three workers have crashed under a task.
MAX_CRASHES = 5
SMALL = StepSpec(count=3, cpu=1000, memory_mb=100, estimated_ms=500)


def is_first_task_of_bad(task: TaskId) -> bool:
    return task.job == "bad" and task.number == 0


def test_a_task_that_crashes_its_workers_is_given_up() -> None:
    """Guards against one task that crashes worker after worker without limit."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(SMALL,)))
            await asyncio.sleep(40)
            assert len(scene.crashes[TaskId("bad", 0, 0, 0)]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


def test_the_count_of_crashes_outlives_the_owners_of_a_pool() -> None:
    """Guards against a successor that starts a task as often as its predecessor.

    Each owner is killed in the moment in which a worker crashes, before it knows.
    """

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        task = TaskId("bad", 0, 0, 0)
        token = 1
        for token in range(1, 12):
            async with scene.run_owner(token, term_number=token) as (pool, _):
                if token == 1:
                    await pool.submit(build_job("bad", steps=(SMALL,)))
                crashes = len(scene.crashes[task])
                for _ in range(1500):
                    await asyncio.sleep(0.01)
                    if len(scene.crashes[task]) > crashes:
                        break
                if pool.job_table.jobs["bad"].phase.is_final:
                    break
        assert len(scene.crashes[task]) <= MAX_CRASHES
        async with scene.run_owner(token + 1, term_number=token + 1) as (pool, _):
            await asyncio.sleep(20)
            assert len(scene.crashes[task]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())
