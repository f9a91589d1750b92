"""Waiting for slots, early rejection, borrowing and learned run times."""

import asyncio

import pytest

from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry
from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.outcomes import Expired, NotRun
from bergamotgap.domain.run_times import MIN_SAMPLES, WINDOW_COUNT, WINDOW_MS, RunTimes
from bergamotgap.node.admission import Admission, NotAdmittedError, Slot
from tests.admission_cases import (
    BATCH,
    NORMAL,
    SPARE,
    URGENT,
    EntryHost,
    build_catalogue,
    build_entry,
)


class Case:
    """An `Admission` with tasks that hold their slots until `end` is set."""

    def __init__(
        self, catalogue: Catalogue | None = None, main: int = 2, buffer: int = 0
    ) -> None:
        self.clock = ManualClock()
        self.slots = {"main": main, "buffer": buffer}
        self.preempted: list[tuple[str, int]] = []
        catalogue = catalogue or build_catalogue()
        self.admission = Admission(
            self.clock,
            lambda pool: self.slots[pool],
            list,
            catalogue=lambda: catalogue,
            preempt=lambda pool, count: self.preempted.append((pool, count)),
            limits=AdmissionLimits(headroom_part=0.0),
        )
        self.held: list[Slot] = []
        self.end = asyncio.Event()

    async def hold(self, entry: Entry, within_ms: int = 10_000) -> None:
        deadline_ms = self.clock.monotonic_ms() + within_ms
        async with self.admission.admit(entry, deadline_ms) as slot:
            self.held.append(slot)
            await self.end.wait()

    async def start(self, entry: Entry, within_ms: int = 10_000) -> asyncio.Task[None]:
        task = asyncio.create_task(self.hold(entry, within_ms))
        await asyncio.sleep(0)
        return task

    async def advance(self, duration_ms: int) -> None:
        self.clock.advance_ms(duration_ms)
        self.admission.step()
        await asyncio.sleep(0)


async def read_rejection(task: asyncio.Task[None]) -> object:
    with pytest.raises(NotAdmittedError) as caught:
        await task
    return caught.value.outcome


async def test_request_waits_for_a_released_slot() -> None:
    """Guards against a waiting request that is never notified of a free slot."""
    case = Case()
    first = await case.start(NORMAL)
    await case.start(NORMAL)
    await case.start(NORMAL)
    assert len(case.held) == 2
    first.cancel()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(case.held) == 3


async def test_caller_that_disconnects_frees_its_slot() -> None:
    """Guards against losing a slot when its grant races with a cancellation."""
    case = Case(main=1)
    first = await case.start(NORMAL)
    second = await case.start(NORMAL)
    gone = await case.start(NORMAL)
    gone.cancel()
    first.cancel()
    # The first task frees its slot for the second, which is cancelled before it runs.
    second.cancel()
    await asyncio.gather(first, second, gone, return_exceptions=True)
    await case.start(NORMAL)
    assert len(case.held) == 2


async def test_late_request_is_dropped_without_a_start() -> None:
    """Guards against work that starts too late and a caller that waits forever."""
    case = Case(main=1)
    await case.start(NORMAL)
    late = await case.start(NORMAL, within_ms=1000)
    await case.advance(960)
    outcome = await read_rejection(late)
    assert isinstance(outcome, NotRun) and outcome.retry_after_ms is not None
    assert len(case.held) == 1


@pytest.mark.fault("freeze", "accept")
async def test_request_read_after_its_deadline_is_expired() -> None:
    """Guards against starting a request read late because the process was paused."""
    case = Case()
    deadline_ms = 1000
    case.clock.advance_ms(5000)
    task = await case.start(NORMAL, within_ms=deadline_ms - 5000)
    assert isinstance(await read_rejection(task), Expired)
    assert case.held == []


async def test_urgent_request_is_not_queued_beyond_its_start_bound() -> None:
    """Guards against urgent work that keeps waiting instead of being rejected."""
    case = Case(main=1)
    await case.start(URGENT)
    urgent = await case.start(URGENT)
    normal = await case.start(NORMAL)
    await case.advance(1001)
    assert urgent.done() and not normal.done()
    assert isinstance(await read_rejection(urgent), NotRun)


async def test_preemption_is_requested_for_a_waiting_urgent_request() -> None:
    """Guards against urgent work that waits for long tasks to leave lent slots."""
    case = Case()
    await case.start(BATCH)
    await case.start(BATCH)
    await case.start(URGENT)
    await case.advance(200)
    assert case.preempted == []
    await case.advance(200)
    assert case.preempted == [("main", 1)]
    assert [slot.is_lent for slot in case.held].count(True) == 1


async def test_pool_without_workers_rejects_with_a_retry_time() -> None:
    """Guards against requests that wait for workers that don't exist."""
    case = Case(main=0)
    outcome = await read_rejection(await case.start(NORMAL))
    assert isinstance(outcome, NotRun) and outcome.code == "no_capacity"
    assert outcome.retry_after_ms is not None


def fill_until_rejected(host: EntryHost, entry: Entry, within_ms: int) -> NotRun:
    for _ in range(10_000):
        offered = host.policy.admit(entry, host.now_ms + within_ms, host.now_ms)
        if isinstance(offered, NotRun):
            return offered
    raise AssertionError("no request was rejected")


def test_request_that_cannot_meet_its_deadline_is_rejected_at_once() -> None:
    """Guards against a queue that is longer than the deadlines allow."""
    host = EntryHost(build_catalogue())
    rejection = fill_until_rejected(host, NORMAL, within_ms=2000)
    assert rejection.code == "overloaded" and rejection.retry_after_ms is not None
    queue = host.policy.get_queue("main")
    assert 0 < queue.queued * 100 / queue.running <= 2000
    # Queued requests of one entry don't delay another entry within its own share.
    assert not isinstance(host.policy.admit(BATCH, 2000, 0), NotRun)


def test_queue_length_is_bounded() -> None:
    """Guards against unbounded memory use by requests with distant deadlines."""
    entry = build_entry("few", max_queued=5)
    host = EntryHost(build_catalogue(entry))
    assert fill_until_rejected(host, entry, within_ms=1_000_000).code == "queue_full"
    assert host.policy.get_queue("main").queued == 5


def test_measured_run_times_replace_the_declared_one() -> None:
    """Guards against rejections based on declared run times, which are unreliable."""
    entry = build_entry("slow", run_ms=60_000)
    host = EntryHost(build_catalogue(entry))
    host.admit(entry, within_ms=1000)
    for _ in range(MIN_SAMPLES):
        host.policy.record_run(entry, 5000, 0)
    rejection = host.policy.admit(entry, 1000, 0)
    assert isinstance(rejection, NotRun) and rejection.code == "deadline_too_short"
    host.admit(entry, within_ms=10_000)


def test_old_run_times_expire() -> None:
    """Guards against an entry that is rejected forever after a slow period."""
    times = RunTimes()
    entry = build_entry("entry", run_ms=100)
    for number in range(100):
        times.record(5000 if number >= 80 else 1000, 0)
    estimate = times.estimate(entry, 0)
    assert estimate.median_ms == pytest.approx(1000, rel=0.02)
    assert estimate.high_ms == pytest.approx(5000, rel=0.02)
    assert estimate.needed_ms(10_000) == estimate.high_ms
    assert estimate.needed_ms(3000) == estimate.median_ms
    assert not times.estimate(entry, WINDOW_COUNT * WINDOW_MS).is_measured


def test_request_borrows_from_the_spare_pool_and_leaves_its_share() -> None:
    """Guards against idle spare slots during a peak and against borrowing them all."""
    host = EntryHost(build_catalogue(), slots={"main": 8, "buffer": 8})
    fill_until_rejected(host, NORMAL, within_ms=500)
    # A quarter stays free for the pool's own entries, and the headroom for urgent work.
    assert host.policy.get_queue("buffer").get_flow(NORMAL).running == 8 - 2 - 1
    assert host.admit(SPARE).pool == "buffer"
    assert host.policy.get_queue("buffer").queued == 0


def test_nothing_is_borrowed_while_the_spare_pool_has_own_work_waiting() -> None:
    """Guards against borrowers served before the spare pool's own entries."""
    host = EntryHost(build_catalogue(), slots={"main": 1, "buffer": 4})
    for _ in range(8):
        host.admit(SPARE)
    fill_until_rejected(host, NORMAL, within_ms=500)
    assert host.policy.get_queue("buffer").get_flow(NORMAL).running == 0


def test_waiting_request_borrows_before_it_is_dropped() -> None:
    """Guards against dropping a request while the spare pool has a free slot."""
    host = EntryHost(build_catalogue(), slots={"main": 1, "buffer": 0})
    host.admit(NORMAL)
    waiting = host.admit(NORMAL, within_ms=5000)
    host.slots["buffer"] = 8
    for host.now_ms in (1000, 2000):
        host.refresh()
    host.now_ms = 4850
    host.policy.drop_late_tickets(host.now_ms)
    assert waiting.started_ms == 4850 and waiting.pool == "buffer"
    host.policy.release(waiting, 4900)
    assert host.policy.get_queue("buffer").running == 0
