"""Tasks that use far more than their declared size."""

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from typing import Any

import pytest

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.sizes import MIN_SAMPLES, SizeEstimates, TaskSize
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.node.usage import MIN_LIMIT_INTERVAL_MS, MIN_TASK_AGE_MS, UsageMonitor
from bergamotgap.ports.worker import ListedTask, WorkerUnreachableError
from tests.admission_cases import build_entry
from tests.stand_in_api import LONG_TASK, open_worker
from tests.test_preemption import FakeClient, FakeHolder
from tests.test_routing import World
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


class Scene:
    def __init__(self, client: Any) -> None:
        self.clock = ManualClock()
        self.running, self.sizes = RunningTasks(), SizeEstimates()
        self.watch = UsageMonitor(self.running, client, self.clock, self.sizes)

    def add(self, entry: Entry, task: str = "t", address: str = "h:1") -> None:
        now_ms = self.clock.monotonic_ms()
        holder = FakeHolder()
        self.running.add(
            RunningTask(task, address, address, "main", entry, True, now_ms, holder)
        )

    async def step(self) -> None:
        self.clock.advance_ms(max(MIN_TASK_AGE_MS, MIN_LIMIT_INTERVAL_MS))
        await self.watch.step()


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
    """Guards against a task that crowds out others, and a stop of unique work."""
    client = ListingClient()
    scene = Scene(client)
    scene.add(entry)
    client.listed = [ListedTask("t", entry.name, "normal")]
    await scene.step()
    client.listed = [ListedTask("t", entry.name, "normal", 2.0, 1)]
    await scene.step()
    assert client.calls == []
    client.listed = [ListedTask("t", entry.name, "normal", 1.0, 4)]
    client.is_silent = True
    await scene.step()
    client.is_silent = False
    for _ in range(4):
        await scene.step()
        await scene.watch.step()
    assert client.calls == [(verb, "t") for verb in verbs]


async def test_one_task_with_a_large_use_ends_on_a_worker() -> None:
    """Guards against use by task that the worker doesn't report or acts on too soon."""
    async with open_worker(usage_lag_ms=0) as api, AsyncExitStack() as stack:
        scene = Scene(await open_client(stack))
        running = asyncio.create_task(
            api.run_task("t", LONG_TASK | {"cpus": 9, "memory_mb": 1})
        )
        await api.wait_for("/v1/status", busy=1)
        await api.call("PUT", "/fakes/settings", {"usage_lag_ms": 3_600_000})
        scene.add(PLAIN, address=api.address)
        await scene.step()
        usage = (await api.call("GET", "/v1/tasks"))[1]["tasks"][0]["cpus"]
        assert usage is None
        await api.call("PUT", "/fakes/settings", {"usage_lag_ms": 0})
        await scene.step()
        usage = (await api.call("GET", "/v1/tasks"))[1]["tasks"][0]["cpus"]
        assert usage == 4.5
        await scene.step()
        assert (await running)[1]["code"] == "task_stopped"


async def test_measured_size_replaces_the_declared_one() -> None:
    """Guards against limits and choices that go by a wrong declared size for good."""
    client = ListingClient()
    scene = Scene(client)
    for number in range(MIN_SAMPLES):
        assert scene.sizes.estimate(PLAIN) == TaskSize(PLAIN.cpus, PLAIN.memory_mb)
        scene.add(PLAIN, str(number))
        client.listed = [ListedTask(str(number), "plain", "normal", 8.0, 64)]
        await scene.step()
        await scene.step()
    learned = scene.sizes.estimate(PLAIN)
    assert learned.cpus == pytest.approx(8, rel=0.02)
    assert learned.memory_mb == pytest.approx(64, rel=0.02)
    limited = len(client.calls)
    scene.add(PLAIN, "new")
    client.listed = [ListedTask("new", "plain", "normal", 8.0, 64)]
    await scene.step()
    assert len(client.calls) == limited


async def test_choice_of_a_worker_uses_the_measured_size() -> None:
    """Guards against two tasks on a host that has room for one of their true size."""
    world = World()
    await world.refresh()
    for _ in range(MIN_SAMPLES):
        world.sizes.record(world.entry, TaskSize(5.0, 16))
    hosts: Counter[str] = Counter()
    async with AsyncExitStack() as stack:
        for _ in range(6):
            place = world.placer.place(world.entry, 1 << 40)
            hosts[(await stack.enter_async_context(place)).host] += 1
    assert set(hosts.values()) == {1}
