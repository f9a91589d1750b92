"""Limiting tasks that exceed their declared size, and learning of sizes."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from typing import Any

import pytest

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.task_sizes import MIN_SAMPLES, SizeEstimates, TaskSize
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.node.usage import MIN_LIMIT_INTERVAL_MS, MIN_TASK_AGE_MS, UsageMonitor
from bergamotgap.ports.worker import ListedTask, WorkerUnreachableError
from tests.admission_cases import build_entry
from tests.stand_in_api import LONG_TASK, open_worker
from tests.test_preemption import FakeClient, FakeReservation
from tests.test_routing import Cluster
from tests.test_worker_client import open_client

PAUSABLE = build_entry("pausable", checkpointable=True)
PLAIN = build_entry("plain")
ONCE = build_entry("once", idempotent=False, checkpointable=True)


class ListingClient(FakeClient):
    def __init__(self) -> None:
        super().__init__()
        self.listed: list[ListedTask] = []
        self.is_silent = False

    async def list_tasks(self, address: str) -> list[ListedTask]:
        if self.is_silent:
            raise WorkerUnreachableError(address)
        return self.listed


class UsageCase:
    def __init__(self, client: Any) -> None:
        self.clock = ManualClock()
        self.running, self.sizes = RunningTasks(), SizeEstimates()
        self.monitor = UsageMonitor(self.running, client, self.clock, self.sizes)

    def add(self, entry: Entry, task: str = "t", address: str = "h:1") -> None:
        now_ms = self.clock.monotonic_ms()
        holder = FakeReservation()
        self.running.add(
            RunningTask(task, address, address, "main", entry, True, now_ms, holder)
        )

    async def step(self) -> None:
        self.clock.advance_ms(max(MIN_TASK_AGE_MS, MIN_LIMIT_INTERVAL_MS))
        await self.monitor.step()


@pytest.mark.parametrize(
    ("entry", "verbs"),
    [
        (PAUSABLE, ["throttle", "checkpoint"]),
        (PLAIN, ["throttle", "stop"]),
        (ONCE, ["throttle"]),
    ],
)
async def test_excessive_use_is_limited_step_by_step(
    entry: Entry, verbs: list[str]
) -> None:
    """Guards against a task that starves others, and stopping non-idempotent work."""
    client = ListingClient()
    case = UsageCase(client)
    case.add(entry)
    client.listed = [ListedTask("t", entry.name, "normal")]
    await case.step()
    client.listed = [ListedTask("t", entry.name, "normal", 2.0, 1)]
    await case.step()
    assert client.calls == []
    client.listed = [ListedTask("t", entry.name, "normal", 1.0, 4)]
    client.is_silent = True
    await case.step()
    client.is_silent = False
    for _ in range(4):
        await case.step()
        await case.monitor.step()
    assert client.calls == [(verb, "t") for verb in verbs]


async def test_one_task_with_a_large_use_ends_on_a_worker() -> None:
    """Guards against a worker that doesn't report usage, and acting on it too soon."""
    async with open_worker(usage_lag_ms=0) as api, AsyncExitStack() as stack:
        case = UsageCase(await open_client(stack))
        running = asyncio.create_task(
            api.run_task("t", LONG_TASK | {"cpus": 9, "memory_mb": 1})
        )
        await api.wait_for("/v1/status", busy=1)
        await api.call("PUT", "/fakes/settings", {"usage_lag_ms": 3_600_000})
        case.add(PLAIN, address=api.address)
        await case.step()
        usage = (await api.call("GET", "/v1/tasks"))[1]["tasks"][0]["cpus"]
        assert usage is None
        await api.call("PUT", "/fakes/settings", {"usage_lag_ms": 0})
        await case.step()
        usage = (await api.call("GET", "/v1/tasks"))[1]["tasks"][0]["cpus"]
        assert usage == 4.5
        await case.step()
        assert (await running)[1]["code"] == "task_stopped"


async def test_measured_size_replaces_the_declared_one() -> None:
    """Guards against limits that are based on a wrong declared size forever."""
    client = ListingClient()
    case = UsageCase(client)
    for number in range(MIN_SAMPLES):
        assert case.sizes.estimate(PLAIN) == TaskSize(PLAIN.cpus, PLAIN.memory_mb)
        case.add(PLAIN, str(number))
        client.listed = [ListedTask(str(number), "plain", "normal", 8.0, 64)]
        await case.step()
        await case.step()
    learned = case.sizes.estimate(PLAIN)
    assert learned.cpus == pytest.approx(8, rel=0.02)
    assert learned.memory_mb == pytest.approx(64, rel=0.02)
    limited = len(client.calls)
    case.add(PLAIN, "new")
    client.listed = [ListedTask("new", "plain", "normal", 8.0, 64)]
    await case.step()
    assert len(client.calls) == limited


async def test_choice_of_a_worker_uses_the_measured_size() -> None:
    """Guards against two tasks on a host that only fits one at their measured size."""
    cluster = Cluster()
    await cluster.refresh()
    for _ in range(MIN_SAMPLES):
        cluster.sizes.record(cluster.entry, TaskSize(5.0, 16))
    hosts: Counter[str] = Counter()
    async with AsyncExitStack() as stack:
        for _ in range(6):
            place = cluster.placer.place(cluster.entry, 1 << 40)
            hosts[(await stack.enter_async_context(place)).host] += 1
    assert set(hosts.values()) == {1}
