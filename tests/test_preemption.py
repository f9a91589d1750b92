"""Preemption of less urgent tasks by urgent requests."""

from typing import Any

import pytest

from bench.urgent_start import open_full_pool, send_urgent_request, wait_until_full
from bergamotgap.domain.catalogue import Entry, Urgency
from bergamotgap.node.preemption import Preemptor, choose_tasks_to_preempt
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.ports.worker import TaskStatus, WorkerUnreachableError
from tests.admission_cases import (
    BATCH,
    NORMAL,
    SPARE,
    URGENT,
    EntryHost,
    build_catalogue,
    build_entry,
)
from tests.fakes_work import StepClock

PAUSABLE = build_entry("pausable", Urgency.BATCH, checkpointable=True)
NON_IDEMPOTENT = build_entry(
    "once", Urgency.BATCH, checkpointable=True, idempotent=False
)


class FakeReservation:
    """Reservation that records its calls."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def release_while_paused(self) -> None:
        self.calls.append("release_while_paused")

    def reacquire(self) -> None:
        self.calls.append("reacquire")


class FakeClient:
    """Worker client that records control calls; `unreachable` tasks give an error."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.unreachable: set[str] = set()
        self.state = "running"

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        self.calls.append((verb, task))
        if task in self.unreachable:
            raise WorkerUnreachableError(address)
        return TaskStatus(self.state, 0, "boot", True)


def build_task(task: str, entry: Entry, is_lent: bool = True, at: int = 0) -> Any:
    return RunningTask(
        task, "h", "h:1", "main", entry, is_lent, at, reservation=FakeReservation()
    )


@pytest.mark.processes
async def test_urgent_request_starts_in_a_pool_full_of_long_tasks() -> None:
    """Guards against urgent work that waits for tasks much longer than its deadline."""
    async with open_full_pool() as fleet:
        for _ in range(2):
            await wait_until_full(fleet)
            answer = await send_urgent_request(fleet)
            assert (answer.status, answer.outcome) == (200, "done")
        # The preempted tasks resume afterwards.
        await wait_until_full(fleet)


@pytest.mark.processes
async def test_urgent_request_gets_a_slot_that_another_host_holds() -> None:
    """Guards against urgent work refused as busy while other hosts hold more slots."""
    async with open_full_pool(node_count=2) as fleet:
        answer = await send_urgent_request(fleet, node=1)
        assert (answer.status, answer.outcome) == (200, "done")


def test_urgent_tasks_and_guaranteed_shares_are_never_preempted() -> None:
    """Guards against preemption of urgent work or of an entry's guaranteed share."""
    items = [
        build_task("urgent", URGENT),
        build_task("paid", PAUSABLE, is_lent=False),
        build_task("plain", BATCH),
        build_task("old", PAUSABLE, at=1),
        build_task("young", PAUSABLE, at=2),
    ]
    chosen = choose_tasks_to_preempt(items, 9, lambda name: 9)
    assert [item.task for item in chosen] == ["young", "old", "plain", "paid"]
    chosen = choose_tasks_to_preempt(
        items, 9, lambda name: {"pausable": 1}.get(name, 0)
    )
    assert [item.task for item in chosen] == ["young"]
    assert len(choose_tasks_to_preempt(items, 2, lambda name: 9)) == 2


@pytest.mark.fault("silent_connection", "running")
async def test_slot_is_released_only_by_a_paused_task() -> None:
    """Guards against slots that count as free while their tasks still run."""
    running, client, clock = RunningTasks(), FakeClient(), StepClock()
    preemptor = Preemptor(running, client, clock, lambda pool, name: 9)  # type: ignore[arg-type]
    items = [
        build_task("paused", PAUSABLE),
        build_task("lost", PAUSABLE),
        build_task("once", NON_IDEMPOTENT),
    ]
    for item in items:
        running.add(item)
    client.unreachable.add("lost")
    preemptor.preempt("main", 9)
    preemptor.preempt("main", 9)
    await clock.advance_ms(100)
    assert sorted(client.calls) == [
        ("checkpoint", "lost"),
        ("checkpoint", "paused"),
        ("throttle", "once"),
    ]
    assert [item.reservation.calls for item in items] == [
        ["release_while_paused"],
        [],
        [],
    ]
    await clock.advance_ms(60_000)
    assert items[0].reservation.calls == ["release_while_paused", "reacquire"]
    await preemptor.close()


def test_paused_ticket_frees_its_slot_once_and_keeps_its_quota() -> None:
    """Guards against a pause that is counted twice in slots or quotas."""
    host = EntryHost(build_catalogue(URGENT, NORMAL, BATCH, SPARE))
    batch = [host.admit(BATCH) for _ in range(8)]
    urgent = [host.admit(URGENT) for _ in range(2)]
    queue = host.policy.get_queue("main")
    victim = next(t for t in batch if t.started_ms is not None and t.is_lent)
    running = queue.running
    assert urgent[1].started_ms is None
    host.policy.pause(victim, 10)
    host.policy.pause(victim, 10)
    assert urgent[1].started_ms == 10 and queue.running == running
    assert host.policy.quotas.running["others"] == 7
    host.policy.resume(victim, 20)
    assert queue.running == running + 1
    host.policy.pause(victim, 30)
    for ticket in (victim, *urgent):
        host.policy.release(ticket, 40)
    host.policy.resume(victim, 50)
    assert queue.running == sum(t.started_ms is not None for t in batch) - 1
