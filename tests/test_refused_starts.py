"""Starts that workers refuse, and tickets of the advice service that they ask for."""

import asyncio
from collections.abc import Sequence

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId, WorkerInfo
from bergamotgap.pools.ticket_cache import MAX_WORKERS_PER_REQUEST
from bergamotgap.ports.fleet import (
    Lease,
    OrderOutcome,
    Refused,
    StartOrder,
    Tickets,
)
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders, build_job
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene
from tests.pool_scene import Scene
from tests.waiting_scene import MAX_WAIT_S
from tests.waiting_workers import LASTING_RUN_S


class FullWorkerOrders(FakeOrders):
    """Orders of which a worker refuses the starts, for room that the owner misses."""

    refusals = 0

    def execute_start(
        self, worker: FakeWorker, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        if worker.info.worker_id == "w1":
            self.refusals += 1
            return Refused("room", worker.now_ms())
        return super().execute_start(worker, order, lease)


def test_a_start_refused_for_room_is_sent_to_another_worker() -> None:
    """Guards against a start that is repeated on a worker that has no room for it."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=LASTING_RUN_S)
        scene.orders_class = FullWorkerOrders
        lasting = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("lasting", steps=(lasting,)))
            await asyncio.sleep(MAX_WAIT_S)
            assert isinstance(orders, FullWorkerOrders)
            assert 1 <= orders.refusals <= MAX_WAIT_S
            assert any(worker.running for worker in scene.workers.values())

    run_virtual(main())


class HostAdvice:
    """Allow one host only, with tickets that hold for this life of its worker."""

    def __init__(self, scene: Scene, host: str) -> None:
        self._scene = scene
        self._host = host

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        await asyncio.sleep(0.1)
        assert len(workers) <= MAX_WORKERS_PER_REQUEST
        infos = [self._scene.workers[name].info for name in workers]
        allowed = [info for info in infos if info.host == self._host]
        return Tickets({info.worker_id: issue_ticket(info) for info in allowed}, 60_000)


def issue_ticket(worker: WorkerInfo) -> str:
    """Return the ticket for the present life of a worker."""
    return f"{worker.worker_id} {worker.incarnation_ms}"


class TicketOrders(FakeOrders):
    """Orders to workers that refuse starts without a ticket for their life."""

    def execute_start(
        self, worker: FakeWorker, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        if order.ticket != issue_ticket(worker.info):
            return Refused("ticket", worker.now_ms())
        return super().execute_start(worker, order, lease)


def test_a_new_worker_is_used_while_older_tickets_hold() -> None:
    """Guards against a task that waits until the tickets for lost workers expire."""

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3, run_s=LASTING_RUN_S)
        scene.advice = HostAdvice(scene, "m1")
        lasting = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("lasting", steps=(lasting,)))
            await asyncio.sleep(3)
            assert scene.workers["w1"].running
            scene.crash("w1")
            await asyncio.sleep(scene.down_s + MAX_WAIT_S)
            assert scene.workers["w4"].running

    run_virtual(main())


def test_a_restarted_worker_gets_new_tickets() -> None:
    """Guards against starts that a new life refuses until its old tickets expire."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=LASTING_RUN_S)
        scene.advice, scene.orders_class = HostAdvice(scene, "m1"), TicketOrders
        lasting = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("lasting", steps=(lasting,)))
            await asyncio.sleep(3)
            worker = scene.workers["w1"]
            assert worker.running
            scene.infos["w1"] = worker.restart()
            pool.update_workers(scene.infos)
            await asyncio.sleep(MAX_WAIT_S)
            assert worker.running

    run_virtual(main())


def test_advice_is_asked_for_all_workers_of_a_large_pool() -> None:
    """Guards against a task whose only allowed worker is never asked for."""

    async def main() -> None:
        scene = Scene(workers=MAX_WORKERS_PER_REQUEST + 5)
        scene.advice = HostAdvice(scene, f"m{MAX_WORKERS_PER_REQUEST + 3}")
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(StepSpec(count=1, cpu=1000),)))
            await asyncio.sleep(MAX_WAIT_S)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())
