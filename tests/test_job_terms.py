"""Terms that a job was accepted with, when its queue is not configured any more."""

import asyncio
import dataclasses

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.pools.pool import Pool
from stand_ins.pools import CONFIG, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import ADVISED_CONFIG, FakeAdvice, Scene

ATTEMPTS = CONFIG.queues[0].attempts
ONE_TASK = (StepSpec(count=1, cpu=1000),)
WITHOUT_QUEUE = dataclasses.replace(CONFIG, version=2, queues=())


def count_attempts(scene: Scene) -> int:
    """Return the number of starts of all tasks."""
    return sum(scene.count_starts().values())


@pytest.mark.parametrize("after_s", [0.0, 0.2, 0.7, 1.2])
def test_a_job_of_a_removed_queue_fails_when_its_attempts_are_used_up(
    after_s: float,
) -> None:
    """Guards against a task that is started without end after its route is removed."""

    async def main() -> None:
        scene = Scene(run_s=0.4)
        for worker in scene.workers.values():
            worker.fails_all_tasks = True
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=ONE_TASK))
            await asyncio.sleep(after_s)
            pool.update_config(WITHOUT_QUEUE)
            await asyncio.sleep(20)
            assert count_attempts(scene) == ATTEMPTS
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.FAILED

    run_virtual(main())


def test_a_successor_keeps_the_attempts_of_a_removed_queue() -> None:
    """Guards against a limit of attempts that a takeover forgets."""

    async def main() -> None:
        scene = Scene(run_s=0.4)
        for worker in scene.workers.values():
            worker.fails_all_tasks = True
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=ONE_TASK))
            await asyncio.sleep(0.6)
        before = count_attempts(scene)
        assert before < ATTEMPTS
        async with scene.run_owner(2, term_number=2) as (pool, _):
            pool.update_config(WITHOUT_QUEUE)
            await asyncio.sleep(20)
            # A run that was lost with the takeover is no attempt.
            assert count_attempts(scene) <= ATTEMPTS + 1
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.FAILED

    run_virtual(main())


@pytest.mark.parametrize("attempts", [1, 10])
def test_a_job_keeps_the_attempts_that_it_was_accepted_with(attempts: int) -> None:
    """Guards against attempts that a newer configuration takes away or adds."""

    async def main() -> None:
        scene = Scene(run_s=0.4)
        for worker in scene.workers.values():
            worker.fails_all_tasks = True
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=ONE_TASK))
            await asyncio.sleep(0.2)
            queue = dataclasses.replace(CONFIG.queues[0], attempts=attempts)
            pool.update_config(dataclasses.replace(CONFIG, version=2, queues=(queue,)))
            await asyncio.sleep(20)
            assert count_attempts(scene) == ATTEMPTS

    run_virtual(main())


def test_tasks_of_a_removed_queue_still_need_tickets() -> None:
    """Guards against starts without a ticket, which the workers reject."""

    async def main() -> None:
        scene = Scene()
        scene.advice = FakeAdvice()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            pool.update_config(
                dataclasses.replace(ADVISED_CONFIG, version=2, queues=())
            )
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            tickets = {ticket for w in scene.workers.values() for ticket in w.tickets}
            assert tickets == {"ticket-0", "ticket-1"}

    run_virtual(main())


async def order_starts(scene: Scene, pool: Pool) -> list[str]:
    """Return the jobs in the order of their first starts."""
    await asyncio.sleep(30)
    return [task.job for worker in scene.workers.values() for task, _ in worker.starts]


def test_a_job_of_a_removed_queue_keeps_its_place() -> None:
    """Guards against jobs that go last, or first, because their route is removed."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1)
        full = (StepSpec(count=1, cpu=8000, estimated_ms=1000),)
        urgent = dataclasses.replace(
            CONFIG.queues[0], name="urgent", path_prefix="/urgent/", urgency=0
        )
        late = dataclasses.replace(CONFIG.queues[0], urgency=5)
        async with scene.run_owner(1) as (pool, _):
            pool.update_config(
                dataclasses.replace(CONFIG, version=2, queues=(late, urgent))
            )
            await pool.submit(build_job("first", steps=full))
            await asyncio.sleep(0.1)
            await pool.submit(build_job("low", steps=full))
            await pool.submit(build_job("high", steps=full, queue="urgent"))
            pool.update_config(dataclasses.replace(CONFIG, version=3, queues=(late,)))
            assert await order_starts(scene, pool) == ["first", "high", "low"]

    run_virtual(main())
