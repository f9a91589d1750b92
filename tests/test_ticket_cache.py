"""Tickets of the advice service: which workers are asked about, and when again."""

import asyncio
from collections.abc import Sequence

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId, WorkerInfo
from bergamotgap.ports.fleet import Lease, OrderOutcome, Refused, StartOrder, Tickets
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import FakeOrders, build_job, build_worker
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene
from tests.test_worker_lives import publish_reports

# Far above the time in which the tests expect a start.
VALIDITY_MS = 60_000
# Time in which a task that waits for a ticket starts.
SOON_S = 2.0


class Advice:
    """Give tickets for the lives of `good` workers, and record what was asked."""

    def __init__(self, scene: Scene, good: Sequence[str]) -> None:
        self.scene = scene
        self.good = good
        self.failures = 0
        self.asked: list[list[str]] = []

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        await asyncio.sleep(0.05)
        self.asked.append(list(workers))
        if self.failures:
            self.failures -= 1
            raise RuntimeError("request failed")
        tickets = {
            name: f"{name} {self.scene.workers[name].info.incarnation_ms}"
            for name in workers
            if name in self.good
        }
        return Tickets(tickets, VALIDITY_MS)


class TicketOrders(FakeOrders):
    """Refuse starts without a ticket for the present life of the worker."""

    refused = 0

    async def start(
        self, info: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        life = self.workers[info.worker_id].info.incarnation_ms
        if order.ticket != f"{info.worker_id} {life}":
            self.refused += 1
            return Refused("ticket", self.workers[info.worker_id].now_ms())
        return await super().start(info, order, lease)


def build_scene(workers: int, good: Sequence[str]) -> tuple[Scene, Advice]:
    """Return a scene whose workers check tickets, and its advice service."""
    scene = Scene(workers=workers, run_s=1000)
    scene.orders_class = TicketOrders
    scene.advice = advice = Advice(scene, good)
    return scene, advice


WHOLE = build_job("whole", steps=(StepSpec(count=1, cpu=8000, is_long_running=True),))
TWO = build_job("two", steps=(StepSpec(count=2, cpu=8000, is_long_running=True),))


def test_tickets_are_requested_again_after_a_request_that_raised() -> None:
    """Guards against a step that is never asked about again after an error."""

    async def main() -> None:
        scene, advice = build_scene(1, ["w1"])
        advice.failures = 1
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(WHOLE)
            await asyncio.sleep(SOON_S)
            assert scene.workers["w1"].running

    run_virtual(main())


@pytest.mark.parametrize("others", [0, 1, 150])
def test_a_step_that_waits_asks_about_a_worker_that_joins(others: int) -> None:
    """Guards against a wait for as long as the tickets of other workers are valid."""

    async def main() -> None:
        scene, advice = build_scene(1 + others, ["w1", "new"])
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(TWO)
            await asyncio.sleep(SOON_S)
            assert scene.workers["w1"].running
            new = build_worker(200)
            info = WorkerInfo(**{**vars(new), "worker_id": "new"})
            scene.infos["new"], scene.workers["new"] = info, FakeWorker(info, 1000)
            publish_reports(scene, pool)
            await asyncio.sleep(SOON_S)
            assert scene.workers["new"].running
            names = [name for request in advice.asked for name in request]
            assert len(names) == len(set(names))

    run_virtual(main())


def test_a_step_that_waits_asks_about_workers_beyond_the_first_request() -> None:
    """Guards against a step that never runs since a request names so many workers."""

    async def main() -> None:
        scene, advice = build_scene(250, ["w230"])
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(WHOLE)
            await asyncio.sleep(SOON_S)
            assert scene.workers["w230"].running
            assert [len(names) for names in advice.asked] == [100, 100, 50]

    run_virtual(main())


def test_a_step_whose_tickets_suffice_asks_once() -> None:
    """Guards against a flood of requests that keeps other steps waiting."""

    async def main() -> None:
        scene, advice = build_scene(150, ["w1", "w2"])
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            await pool.submit(TWO)
            await asyncio.sleep(10)
            assert scene.workers["w1"].running and scene.workers["w2"].running
            assert len(advice.asked) == 1

    run_virtual(main())


def test_a_worker_that_restarted_gets_a_ticket_for_its_new_life() -> None:
    """Guards against starts with the ticket of a former life until it expires."""

    async def main() -> None:
        scene, _ = build_scene(1, ["w1"])
        async with scene.run_owner(1) as (pool, orders):
            assert isinstance(orders, TicketOrders)
            await asyncio.sleep(1)
            await pool.submit(WHOLE)
            await asyncio.sleep(SOON_S)
            scene.workers["w1"].restart()
            publish_reports(scene, pool)
            await asyncio.sleep(SOON_S)
            assert scene.workers["w1"].running
            assert not orders.refused
            assert pool.job_table.get_durable_phase("whole") is JobPhase.RUNNING

    run_virtual(main())
