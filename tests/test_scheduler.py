"""Order, shares and cancellation in pool queues."""

from collections import Counter

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.keyed_heap import MIN_GARBAGE, KeyedHeap
from bergamotgap.domain.scheduler import GUARANTEED_FRACTION, Ticket
from tests.admission_cases import (
    BATCH,
    FAR_MS,
    NORMAL,
    SLOTS,
    SPARE,
    URGENT,
    EntryHost,
    build_catalogue,
)

ENTRIES = (URGENT, NORMAL, BATCH, SPARE)
OPERATIONS = st.lists(
    st.one_of(
        st.tuples(st.just("offer"), st.integers(0, 3), st.integers(0, 3000)),
        st.tuples(st.just("cancel"), st.integers(0, 200), st.just(0)),
        st.tuples(st.just("release"), st.integers(0, 200), st.just(0)),
        st.tuples(st.just("advance"), st.integers(0, 700), st.just(0)),
        st.tuples(st.just("resize"), st.integers(0, 10), st.integers(0, 6)),
    ),
    max_size=120,
)


class Checker(EntryHost):
    """Applies random operations and checks every start and every end."""

    def __init__(self) -> None:
        super().__init__(
            build_catalogue(quota=5),
            slots={"main": 6, "buffer": 4},
            limits=AdmissionLimits(max_queue_ms=2000),
        )
        self.tickets: list[Ticket] = []
        self.ends: Counter[Ticket] = Counter()
        self.starts: Counter[Ticket] = Counter()

    def apply(self, name: str, first: int, second: int) -> None:
        running = [
            t for t in self.tickets if t.started_ms is not None and not t.is_ended
        ]
        waiting = [t for t in self.tickets if t.started_ms is None and not t.is_ended]
        if name == "offer":
            deadline_ms = self.now_ms + second
            offered = self.policy.admit(ENTRIES[first], deadline_ms, self.now_ms)
            if isinstance(offered, Ticket):
                self.tickets.append(offered)
        elif name == "cancel" and waiting:
            ticket = waiting[first % len(waiting)]
            self.policy.cancel(ticket)
            self.ends[ticket] += 1
        elif name == "release" and running:
            ticket = running[first % len(running)]
            self.ends[ticket] += 1
            self.policy.release(ticket, self.now_ms)
        elif name == "advance":
            self.now_ms += first
            self.policy.drop_late_tickets(self.now_ms)
        elif name == "resize":
            self.slots = {"main": first, "buffer": second}
            self.now_ms += 200
            self.refresh()
        self.check()

    def check(self) -> None:
        """Check the tickets that have started or ended since the last operation."""
        for ticket in self.tickets:
            if ticket.started_ms is not None and ticket not in self.starts:
                self.starts[ticket] += 1
                self.check_start(ticket)
        for ticket in self.notified:
            if ticket.outcome is not None:
                self.ends[ticket] += 1
                assert ticket.started_ms is None
        self.notified.clear()
        assert max(self.ends.values(), default=0) <= 1

    def check_start(self, ticket: Ticket) -> None:
        queue = self.policy.queues[ticket.pool]
        assert queue.running <= queue.allowance
        assert self.now_ms <= ticket.start_by_ms
        assert ticket not in self.ends
        if not ticket.is_urgent:
            others = queue.running - queue.running_urgent
            assert others <= queue.allowance - queue.headroom
        limit = self.policy.quotas.get_limit(ticket.entry.owner)
        assert limit is not None
        assert self.policy.quotas.running[ticket.entry.owner] <= limit


@settings(derandomize=True, max_examples=300, deadline=None)
@given(operations=OPERATIONS)
def test_every_request_ends_once_within_all_limits(
    operations: list[tuple[str, int, int]],
) -> None:
    """Guards against starts above a limit and requests that end never or twice."""
    checker = Checker()
    for operation in operations:
        checker.apply(*operation)
    for _ in range(len(checker.tickets)):
        checker.apply("release", 0, 0)
    checker.apply("advance", FAR_MS, 0)
    assert all(checker.ends[ticket] == 1 for ticket in checker.tickets)
    for queue in checker.policy.queues.values():
        assert (queue.running, queue.running_urgent, queue.running_lent) == (0, 0, 0)
        assert queue.queued == len(queue.queued_urgent) == 0
    assert not checker.policy.quotas.running and not checker.policy.quotas.queued


def run_flooded(
    victim: Entry, flood: Entry, run_ms: dict[str, int], end_ms: int
) -> Counter[str]:
    """Keep both entries' queues filled and return the slot time that each gets."""
    host = EntryHost(build_catalogue())
    ends: list[tuple[int, Ticket]] = []
    used: Counter[str] = Counter()
    while host.now_ms < end_ms:
        for entry in (flood, victim):
            flow = host.policy.get_queue("main").get_flow(entry)
            for _ in range(3 * SLOTS - len(flow.queue)):
                host.admit(entry)
        for ticket in host.notified:
            name = ticket.entry.name
            used[name] += run_ms[name]
            ends.append((host.now_ms + run_ms[name], ticket))
        host.notified.clear()
        host.now_ms += 10
        over = [end for end in ends if end[0] <= host.now_ms]
        ends = [end for end in ends if end[0] > host.now_ms]
        for _, ticket in over:
            took_ms = run_ms[ticket.entry.name]
            host.policy.record_run(ticket.entry, took_ms, host.now_ms)
            host.policy.release(ticket, host.now_ms)
    return used


# Shrinking is disabled because it takes minutes here.
@settings(
    derandomize=True,
    max_examples=25,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
@given(
    pair=st.sampled_from([(NORMAL, URGENT), (BATCH, URGENT), (BATCH, NORMAL)]),
    victim_ms=st.integers(1, 60).map(lambda value: value * 10),
    flood_ms=st.integers(1, 60).map(lambda value: value * 10),
)
def test_flood_of_a_more_urgent_class_leaves_the_share(
    pair: tuple[Entry, Entry], victim_ms: int, flood_ms: int
) -> None:
    """Guards against a strict order by urgency, which starves less urgent entries."""
    victim, flood = pair
    end_ms = 20_000
    run_ms = {victim.name: victim_ms, flood.name: flood_ms}
    used = run_flooded(victim, flood, run_ms, end_ms)
    queue = EntryHost(build_catalogue()).policy.get_queue("main")
    share = queue.get_flow(victim).share
    guaranteed = GUARANTEED_FRACTION * (SLOTS - 1) * share * end_ms
    # Allows for one late task per slot, and for first runs charged at declared times.
    assert used[victim.name] >= guaranteed - SLOTS * max(victim_ms, flood_ms, 100)


def test_entry_gets_its_share_back_with_the_next_free_slot() -> None:
    """Guards against an entry that gets its share only after a flood has ended."""
    host = EntryHost(build_catalogue())
    flood = [host.admit(URGENT) for _ in range(30)]
    host.now_ms = 5000
    late = host.admit(BATCH)
    assert late.started_ms is None
    host.policy.release(flood[0], 5001)
    assert late.started_ms == 5001


def test_order_is_urgency_and_then_deadline() -> None:
    """Guards against lent slots that go to less urgent or later work."""
    # Entries that are not in the catalogue have no share, so only the order counts.
    host = EntryHost(build_catalogue(BATCH), slots={"main": 2, "buffer": 0})
    running = [host.admit(URGENT), host.admit(URGENT)]
    late = host.admit(URGENT, 30_000)
    normal = host.admit(NORMAL, 10_000)
    soon = host.admit(URGENT, 20_000)
    order = []
    for now_ms, ticket in enumerate([running[0], soon, late], start=1):
        host.policy.release(ticket, now_ms)
        order += [t for t in (late, normal, soon) if t.started_ms == now_ms]
    assert order == [soon, late, normal]


def test_cancelled_request_is_never_started() -> None:
    """Guards against giving a slot to a caller that is gone."""
    host = EntryHost(build_catalogue())
    tickets = [host.admit(NORMAL) for _ in range(40)]
    waiting = [ticket for ticket in tickets if ticket.started_ms is None]
    for ticket in waiting[:-1]:
        host.policy.cancel(ticket)
    host.notified.clear()
    for ticket in tickets:
        if ticket.started_ms == 0:
            host.policy.release(ticket, 1)
    assert host.notified == [waiting[-1]]


@pytest.mark.fault("freeze", "queue")
def test_request_past_its_time_is_not_started_after_a_pause() -> None:
    """Guards against a start if the deadline passed while the process was paused."""
    host = EntryHost(build_catalogue())
    running = [host.admit(NORMAL) for _ in range(SLOTS - 1)]
    late = host.admit(NORMAL, within_ms=1000)
    host.now_ms = 60_000
    host.policy.release(running[0], host.now_ms)
    assert late.started_ms is None
    assert late.outcome is not None and late.outcome.tag == "expired"


def test_burst_of_cancellations_leaves_bounded_garbage() -> None:
    """Guards against a heap that keeps the entries of all cancelled requests."""
    heap: KeyedHeap[str] = KeyedHeap()
    names = [str(number) for number in range(5000)]
    for number, name in enumerate(names):
        heap.set(name, number)
    for name in names[:-1]:
        heap.remove(name)
        assert heap.heap_size <= 2 * len(heap) + MIN_GARBAGE
    first = heap.first()
    assert first is not None and first[1] == names[-1]


def test_batch_leaves_headroom_to_urgent_work() -> None:
    """Guards against an urgent request that finds all slots taken by batch work."""
    host = EntryHost(build_catalogue())
    batch = [host.admit(BATCH) for _ in range(30)]
    assert sum(ticket.started_ms is not None for ticket in batch) == SLOTS - 1
    assert host.admit(URGENT).started_ms is not None


def test_preemption_is_requested_for_lent_slots_only() -> None:
    """Guards against urgent work that waits for long tasks in lent slots.

    Also guards against preempting tasks within their guaranteed share.
    """
    host = EntryHost(build_catalogue())
    for _ in range(30):
        host.admit(BATCH)
    for _ in range(30):
        host.admit(URGENT)
    assert host.policy.list_preemptions(100) == []
    lent = host.policy.get_queue("main").running_lent
    assert 0 < lent < SLOTS - 1
    assert host.policy.list_preemptions(400) == [("main", lent)]
    assert host.policy.list_preemptions(401) == []
