"""Gangs: steps whose tasks start, end and fail together."""

import asyncio
from collections.abc import Sequence

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from bergamotgap.ports.fleet import Lease, OrderOutcome, Refused, StartOrder, Tickets
from stand_ins.pools import FakeOrders, WorkerInfo, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

# A worker has capacity for one member only, so a gang of two takes two workers.
GANG = StepSpec(count=2, cpu=5000, memory_mb=100, estimated_ms=500, is_gang=True)


def test_the_end_of_one_gang_member_completes_the_gang() -> None:
    """Guards against a member that waits forever because its worker was lost."""

    async def main() -> None:
        scene = Scene(workers=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(GANG,)))
            await asyncio.sleep(0.3)
            scene.workers["w2"].is_silent = True
            await asyncio.sleep(1.5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            await asyncio.sleep(9)
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_failures_of_different_members_count_for_the_gang() -> None:
    """Guards against more runs of a gang than its queue's attempts allow."""

    async def main() -> None:
        scene = Scene(workers=2)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(GANG,)))
            for attempt in range(3):
                await _wait_until_running(scene)
                workers = list(scene.workers.values())
                failing, broken = workers if attempt % 2 else workers[::-1]
                failing.end_run(next(iter(failing.running)), "failed")
                broken.end_run(next(iter(broken.running)), "broken")
            await asyncio.sleep(1)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.FAILED
            assert set(scene.count_starts().values()) == {3}

    run_virtual(main())


async def _wait_until_running(scene: Scene) -> None:
    while not all(worker.running for worker in scene.workers.values()):
        await asyncio.sleep(0.02)


class RefusingOrders(FakeOrders):
    """Refuse the first start on one worker."""

    refusals = 1

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        if info.worker_id == "w2" and self.refusals:
            self.refusals -= 1
            return Refused("busy", self.workers["w2"].now_ms())
        return await super().start(info, order, lease)


def test_a_gang_with_a_refused_member_restarts_as_a_whole() -> None:
    """Guards against members that keep running without one that was refused."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=2.0)
        scene.orders_class = RefusingOrders
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(GANG,)))
            await asyncio.sleep(0.5)
            assert not scene.workers["w1"].running
            await asyncio.sleep(4)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            runs = {worker.starts[-1][1] for worker in scene.workers.values()}
            assert len(runs) == 1

    run_virtual(main())


class AdviceWithoutW1:
    """Return tickets for all workers but w1."""

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        return Tickets({name: f"t-{name}" for name in workers if name != "w1"}, 9000)


def test_a_gang_starts_only_on_workers_with_tickets() -> None:
    """Guards against a start of a gang without tickets, which any worker refuses."""

    async def main() -> None:
        scene = Scene(workers=3)
        scene.advice = AdviceWithoutW1()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(GANG,)))
            await asyncio.sleep(2)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert not scene.workers["w1"].starts
            assert scene.workers["w2"].tickets == {"t-w2"}

    run_virtual(main())
