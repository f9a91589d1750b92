"""Placement of tasks on workers, and ejection of workers that fail too often."""

import asyncio
import random
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import replace

import pytest

from bergamotgap.domain.catalogue import Entry, parse_catalogue
from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.health import FIRST_EJECTION_MS, HealthTracker
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.routing import choose_worker, estimate_load
from bergamotgap.domain.task_sizes import SizeEstimates
from bergamotgap.node.admission import Admission, NotAdmittedError
from bergamotgap.node.placement import Placer
from bergamotgap.node.running_tasks import RunningTasks
from bergamotgap.node.streams import Stream
from bergamotgap.node.workers import LISTED_LEAVING_TTL_MS, Workers
from bergamotgap.ports.platform import HostListing
from bergamotgap.ports.worker import (
    TaskRefusedError,
    WorkerStatus,
    WorkerUnreachableError,
)
from tests.request_harness import DOCUMENT, POOL, build_host, fold

POOL_NAMES = [f"w{number}" for number in range(6)]


class ScriptedClient:
    """Worker client that returns the statuses set by a test."""

    def __init__(self) -> None:
        self.statuses: dict[str, WorkerStatus] = {}
        self.assigned: list[tuple[str, str | None, int]] = []
        self.is_refusing_assignment = False

    async def fetch_status(self, address: str) -> WorkerStatus:
        if address not in self.statuses:
            raise WorkerUnreachableError(address)
        return self.statuses[address]

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        if self.is_refusing_assignment:
            raise TaskRefusedError("stale_epoch")
        self.assigned.append((address, pool, epoch))


class Cluster:
    """Six workers in two data centres and the state that this node keeps of them."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.client = ScriptedClient()
        self.control = Stream("control", ControlState(), self.clock)
        for number, name in enumerate(POOL_NAMES):
            fold(self.control, build_host(name, name, f"dc-{1 + number // 3}"))
            self.client.statuses[name] = WorkerStatus(
                name, 0, 0, "boot-1", POOL, 1, "serving", 8, 0, 0.0, 0, 0
            )
        rng = random.Random(7)
        self.workers = Workers(self.control, self.client, self.clock, rng=rng)
        admission = Admission(self.clock, self.workers.pool_capacity, list)
        self.running, self.sizes = RunningTasks(), SizeEstimates()
        self.placer = Placer(
            lambda: self.control.state,
            self.workers,
            admission,
            "dc-1",
            rng,
            self.running,
            self.sizes,
        )
        entry = parse_catalogue(DOCUMENT).find_entry("report")
        assert entry is not None
        self.entry: Entry = entry

    async def refresh(self) -> None:
        for name, host in self.control.state.hosts.items():
            await self.workers.refresh_status(name, host)

    def set_status(self, name: str, **changes: object) -> None:
        status = self.client.statuses[name]
        self.client.statuses[name] = replace(status, **changes)  # type: ignore[arg-type]

    async def place(self, avoid: frozenset[str] = frozenset()) -> str:
        async with self.placer.place(self.entry, 1 << 40, avoid) as placement:
            return placement.host

    async def count(self, times: int = 200) -> Counter[str]:
        """Return how often each worker is chosen if every task ends at once."""
        hosts = Counter()
        for _ in range(times):
            host = await self.place()
            self.placer.record_answer(host, 0, "boot-1")
            hosts[host] += 1
        return hosts

    async def fail(self, host: str, times: int = 8, entry: str = "report") -> None:
        for _ in range(times):
            self.workers.record_failure(entry, host, POOL)


@pytest.fixture
async def cluster() -> Cluster:
    """Return a cluster in which all worker statuses have been fetched."""
    made = Cluster()
    await made.refresh()
    return made


def test_least_loaded_of_sample_is_chosen_near_before_far() -> None:
    """Guards against choosing far or loaded workers while near ones are free."""
    rng = random.Random(1)
    loads = {"a": 3, "b": 1, "c": 2, "far": 0}
    groups = [["a", "b", "c"], ["far"]]

    def choose(limit: int) -> str | None:
        def score(item: str) -> float | None:
            return loads[item] if loads[item] < limit else None

        return choose_worker(groups, [score], rng)

    assert choose(4) == "b"
    assert choose(1) == "far"
    assert choose(0) is None


def test_single_free_worker_of_large_pool_is_found() -> None:
    """Guards against a rejection because a random sample has only full workers."""
    rng = random.Random(1)
    scorers = [lambda item: 0.0 if item == 333 else None]
    assert choose_worker([range(500)], scorers, rng) == 333


def test_load_counts_what_reports_do_not_show_yet() -> None:
    """Guards against sending all work to the worker with the oldest report."""
    assert estimate_load(running=1, reported_busy=2, sent_since_report=3) == 5
    assert estimate_load(running=6, reported_busy=0, sent_since_report=0) == 6


async def test_local_workers_are_used_until_full(cluster: Cluster) -> None:
    """Guards against traffic between data centres while local slots are free."""
    assert set(await cluster.count()) == {"w0", "w1", "w2"}
    for name in ("w0", "w1", "w2"):
        cluster.workers.view(name).record_busy(8)
    assert set(await cluster.count()) <= {"w3", "w4", "w5"}


async def test_resources_and_avoided_hosts_are_respected(cluster: Cluster) -> None:
    """Guards against tasks on hosts that are full or have just failed."""
    cluster.workers.view("w0").reserved_memory_mb = 4096
    assert "w0" not in await cluster.count()
    avoid = frozenset(POOL_NAMES[1:])
    assert await cluster.place(avoid) == "w0"
    assert await cluster.place(frozenset(POOL_NAMES)) in POOL_NAMES


@pytest.mark.fault("worker_fails_everything", "dispatch")
async def test_worker_that_fails_fast_attracts_no_work(cluster: Cluster) -> None:
    """Guards against a worker that looks idle because all its tasks fail fast."""
    attempts: Counter[str] = Counter()
    for _ in range(300):
        host = await cluster.place()
        attempts[host] += 1
        cluster.placer.record_answer(host, 0 if host == "w0" else 7, "boot-1")
        if host == "w0":
            cluster.placer.record_failure(cluster.entry, host, "failed")
        else:
            cluster.placer.record_success(cluster.entry, host, 1.0)
    assert attempts["w0"] <= 10
    assert cluster.workers.pool_capacity(POOL) == 40


@pytest.mark.fault("worker_fails_everything", "dispatch")
async def test_at_most_a_third_of_pool_is_ejected(cluster: Cluster) -> None:
    """Guards against ejections that empty a pool."""
    for name in POOL_NAMES:
        await cluster.fail(name, entry=f"entry-{name}")
    assert cluster.workers.health.count_ejected(POOL_NAMES) == 2


@pytest.mark.fault("worker_fails_everything", "dispatch")
async def test_entry_that_fails_everywhere_ejects_no_worker(cluster: Cluster) -> None:
    """Guards against a broken entry whose failures eject healthy workers."""
    for name in POOL_NAMES[1:]:
        await cluster.fail(name, times=2, entry="broken")
        for _ in range(20):
            cluster.workers.health.record_success("report", name)
    # Most runs of the entry happen to be on one worker.
    await cluster.fail("w0", times=10, entry="broken")
    assert cluster.workers.health.count_ejected(POOL_NAMES) == 0


def test_ejected_worker_returns_by_probes_with_growing_waits() -> None:
    """Guards against readmitting a bad worker too soon or a healthy one never."""
    clock = ManualClock()
    health = HealthTracker(clock)
    for _ in range(8):
        health.record_failure("report", "w0", POOL_NAMES)
    assert health.is_ejected("w0") and not health.is_probe_due("w0")
    clock.advance_ms(FIRST_EJECTION_MS)
    assert health.is_probe_due("w0")
    health.begin_probe("w0")
    assert not health.is_probe_due("w0")
    health.record_failure("report", "w0", POOL_NAMES)
    clock.advance_ms(FIRST_EJECTION_MS)
    assert not health.is_probe_due("w0")
    clock.advance_ms(FIRST_EJECTION_MS)
    for _ in range(3):
        assert health.is_probe_due("w0")
        health.begin_probe("w0")
        health.record_success("report", "w0")
        health.end_probe("w0")
    assert not health.is_ejected("w0")


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "leaving"},
        {"state": "draining"},
        {"epoch": 2},
        {"pool": "other"},
    ],
)
async def test_worker_that_says_so_itself_gets_no_work(
    cluster: Cluster, changes: dict[str, object]
) -> None:
    """Guards against work for a worker that is leaving or in another pool (P7)."""
    cluster.set_status("w0", **changes)
    await cluster.refresh()
    assert "w0" not in await cluster.count()
    assert cluster.workers.pool_capacity(POOL) == 40


@pytest.mark.fault("host_list_wrong", "dispatch")
async def test_host_list_refusals_and_refused_connections_count(
    cluster: Cluster,
) -> None:
    """Guards against work for a leaving worker whose own status is stale (P7)."""
    facts = HostFacts("w0", "w0", "dc-1", "r", 8, 4096, 0, 8, 64, POOL, is_leaving=True)
    cluster.workers.record_listing(HostListing(0, (facts,)))
    cluster.placer.record_failure(cluster.entry, "w1", "leaving")
    cluster.placer.record_failure(cluster.entry, "w2", "unreachable")
    assert not {"w0", "w1", "w2"} & set(await cluster.count())
    # If the list keeps reporting a serving worker as leaving, it is ignored after a
    # while.
    cluster.clock.advance_ms(LISTED_LEAVING_TTL_MS)
    await cluster.refresh()
    assert set(await cluster.count()) == {"w0", "w1", "w2"}


async def test_worker_with_older_epoch_is_assigned_its_pool(cluster: Cluster) -> None:
    """Guards against a restarted worker that never gets its pool back."""
    cluster.set_status("w0", pool=None, epoch=0, boot_id="boot-2")
    await cluster.refresh()
    assert cluster.client.assigned == [("w0", POOL, 1)]
    assert "w0" in await cluster.count()
    cluster.client.is_refusing_assignment = True
    await cluster.refresh()
    assert "w0" not in await cluster.count()


async def test_new_boot_id_in_an_answer_is_learned(cluster: Cluster) -> None:
    """Guards against tasks that are sent with an outdated boot id."""
    cluster.placer.record_answer("w0", 0, "boot-2")
    assert "w0" not in await cluster.count()
    cluster.set_status("w0", boot_id="boot-2")
    await cluster.refresh()
    assert cluster.workers.pool_capacity(POOL) == 48


async def test_no_routable_worker_is_not_run(cluster: Cluster) -> None:
    """Guards against a request that hangs when its pool is down."""
    cluster.client.statuses.clear()
    await cluster.refresh()
    with pytest.raises(NotAdmittedError) as caught:
        await cluster.place()
    assert caught.value.outcome.tag == "not_run"


async def test_run_times_leave_out_the_queue_and_pauses() -> None:
    """Guards against learned run times that include queueing and so lengthen queues."""
    cluster = Cluster()
    await cluster.refresh()
    async with AsyncExitStack() as stack:
        places = [cluster.placer.place(cluster.entry, 1 << 40) for _ in range(49)]
        for place in places[:48]:
            placement = await stack.enter_async_context(place)
        waiting = asyncio.create_task(places[48].__aenter__())
        await asyncio.sleep(0)
        cluster.clock.advance_ms(5000)
        assert placement.measure_run_ms(cluster.clock.monotonic_ms()) == 5000
        item = cluster.running.list_pool(POOL)[-1]
        view = cluster.workers.view(item.host)
        running = view.running
        item.reservation.release_while_paused()
        late = await waiting
        cluster.clock.advance_ms(30)
        assert late.measure_run_ms(cluster.clock.monotonic_ms()) == 30
        assert placement.measure_run_ms(cluster.clock.monotonic_ms()) is None
        item.reservation.reacquire()
        assert view.running - running == (late.host == item.host)
        await places[48].__aexit__(None, None, None)
    assert cluster.running.list_all() == []
    assert all(cluster.workers.view(name).running == 0 for name in POOL_NAMES)
