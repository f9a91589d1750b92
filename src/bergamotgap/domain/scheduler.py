"""Scheduler of one pool: guaranteed shares first, then urgency and deadline.

Each entry has a guaranteed rate, which is its share of the allowance in slots. As in a
hierarchical fair service curve (Stoica, Zhang and Ng, 1997), flows whose guaranteed
service is due are served first, in order of due time. The remaining slots are lent in
order of urgency class and deadline; lent slots are not charged to a flow's share.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.keyed_heap import KeyedHeap
from bergamotgap.domain.outcomes import Cancelled, Expired, NotRun

# Fraction of the allowance that is guaranteed; the rest is assigned by urgency and
# deadline. docs/decisions/scheduling.md has measurements for other fractions.
GUARANTEED_FRACTION = 0.9
# Upper bound on the service owed to a waiting flow, so that a flow that could not run
# for a long time doesn't take all slots afterwards.
MAX_LAG_MS = 1000.0
URGENT_RANK = 0


@dataclass(eq=False, slots=True)
class Ticket:
    """A request that waits for a slot or holds one; times are monotonic milliseconds.

    `start_by_ms` is the latest useful start, `mean_ms` the estimated run time, and
    `charged_ms` the run time charged to the entry's guaranteed share. `outcome` is set
    if the request ends without a slot. `waiter` is for use by the caller of the
    admission policy.
    """

    entry: Entry
    deadline_ms: int
    start_by_ms: float
    queued_ms: int
    pool: str
    mean_ms: float
    started_ms: int | None = None
    is_ended: bool = False
    charged_ms: float = 0.0
    outcome: NotRun | Expired | Cancelled | None = None
    waiter: object = None
    is_paused: bool = False

    @property
    def is_urgent(self) -> bool:
        """Return whether the ticket belongs to the most urgent class."""
        return self.entry.urgency.rank == URGENT_RANK

    @property
    def is_lent(self) -> bool:
        """Return whether the slot is not charged to the entry's guaranteed share."""
        return self.charged_ms == 0


@dataclass(eq=False, slots=True)
class Flow:
    """The requests of one entry in one pool; `share` is a fraction of the allowance.

    `due_ms` is when the flow's guaranteed service is next due. `lent_running` counts
    running tasks in lent slots, and `credited_ms` is the time up to which their use of
    slots has been credited as service. `queue` orders waiting tickets by deadline.
    """

    entry: Entry
    share: float = 0.0
    due_ms: float = 0.0
    running: int = 0
    lent_running: int = 0
    credited_ms: int = 0
    is_blocked: bool = False
    queue: KeyedHeap[Ticket] = field(default_factory=KeyedHeap)


class PoolQueue:
    """Waiting and running requests of one pool on this entry host."""

    def __init__(self, pool: str, shares: Callable[[str], float]) -> None:
        self.pool = pool
        self.allowance = 0
        self.headroom = 0
        self.running = 0
        self.running_urgent = 0
        # Lent slots held by tickets of the less urgent classes.
        self.running_lent = 0
        self.flows: dict[str, Flow] = {}
        self._shares = shares
        # Flows that are not blocked and have waiting tickets: by urgency and first
        # deadline, and if they have a share, also by `due_ms`.
        self._flows_by_urgency: KeyedHeap[Flow] = KeyedHeap()
        self._urgent_flows_by_due: KeyedHeap[Flow] = KeyedHeap()
        self._other_flows_by_due: KeyedHeap[Flow] = KeyedHeap()
        # Waiting tickets by `start_by_ms`; urgent ones also by the time of queueing.
        self.queued_tickets: KeyedHeap[Ticket] = KeyedHeap()
        self.queued_urgent: KeyedHeap[Ticket] = KeyedHeap()

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queued_tickets)

    @property
    def free_slots(self) -> int:
        """Return the number of free slots; negative after the allowance has shrunk."""
        return self.allowance - self.running

    def free_slots_for(self, rank: int) -> int:
        """Return the slots free for a class; only urgent work may use the headroom.

        The headroom limits the slots that other classes hold; it isn't deducted from
        the free slots, because then urgent work that fills the other slots would lock
        these classes out.
        """
        if rank == URGENT_RANK:
            return self.free_slots
        others = self.running - self.running_urgent
        return min(self.free_slots, self.allowance - self.headroom - others)

    def get_flow(self, entry: Entry) -> Flow:
        """Return the flow of an entry; creates or updates it to match the entry."""
        flow = self.flows.get(entry.name)
        if flow is None:
            flow = self.flows[entry.name] = Flow(entry, self._shares(entry.name))
        elif flow.entry is not entry:
            self._replace_entry(flow, entry)
        return flow

    def _replace_entry(self, flow: Flow, entry: Entry) -> None:
        is_blocked = flow.is_blocked
        self.block(flow)
        flow.entry = entry
        flow.share = self._shares(entry.name)
        flow.is_blocked = is_blocked
        if not is_blocked:
            self._update_order(flow)

    def refresh_shares(self) -> None:
        """Apply the shares of a new catalogue and drop unused flows."""
        for name, flow in list(self.flows.items()):
            if not flow.queue and not flow.running:
                del self.flows[name]
                continue
            self._replace_entry(flow, flow.entry)

    def guaranteed_rate(self, flow: Flow) -> float:
        """Return the guaranteed rate of a flow, in slots."""
        guaranteed = GUARANTEED_FRACTION * (self.allowance - self.headroom)
        return max(0.0, guaranteed) * flow.share

    def count_preemptable(self, flow: Flow) -> int:
        """Return how many slots a flow holds beyond its guaranteed share.

        This is the number of lent slots, or of slots above the guaranteed rate if that
        is larger: if declared run times are far too short, a flow's share is charged
        for more slots than its rate.
        """
        if flow.entry.urgency.rank == URGENT_RANK:
            return 0
        return max(
            flow.lent_running, flow.running - math.ceil(self.guaranteed_rate(flow))
        )

    def add(self, ticket: Ticket, now_ms: int) -> None:
        """Queue a ticket."""
        flow = self.get_flow(ticket.entry)
        if not flow.queue:
            flow.due_ms = max(flow.due_ms, float(now_ms))
        flow.queue.set(ticket, ticket.deadline_ms)
        self.queued_tickets.set(ticket, ticket.start_by_ms)
        if ticket.is_urgent:
            self.queued_urgent.set(ticket, ticket.queued_ms)
        if not flow.is_blocked and flow.queue.is_first(ticket):
            self._update_order(flow)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue."""
        flow = self.flows[ticket.entry.name]
        was_first = flow.queue.is_first(ticket)
        flow.queue.remove(ticket)
        self.queued_tickets.remove(ticket)
        self.queued_urgent.remove(ticket)
        if was_first and not flow.is_blocked:
            self._update_order(flow)

    def _update_order(self, flow: Flow) -> None:
        """Update an unblocked flow in the orders by first ticket and by due time."""
        first = flow.queue.first()
        rank = flow.entry.urgency.rank
        due = (
            self._urgent_flows_by_due
            if rank == URGENT_RANK
            else self._other_flows_by_due
        )
        if first is None:
            self._flows_by_urgency.remove(flow)
            due.remove(flow)
            return
        self._flows_by_urgency.set(flow, (rank, first[0]))
        if flow.share > 0:
            due.set(flow, flow.due_ms)

    def block(self, flow: Flow) -> None:
        """Exclude a flow from scheduling while a limit outside the pool blocks it."""
        flow.is_blocked = True
        self._flows_by_urgency.remove(flow)
        self._urgent_flows_by_due.remove(flow)
        self._other_flows_by_due.remove(flow)

    def unblock(self, flow: Flow, now_ms: int) -> None:
        """Include a flow again; it is owed no service for the time it was blocked."""
        flow.is_blocked = False
        flow.due_ms = max(flow.due_ms, float(now_ms))
        self._update_order(flow)

    def choose_flow(self, now_ms: int) -> tuple[Flow, bool] | None:
        """Return the flow to serve next and whether to charge the slot to its share."""
        if self.free_slots <= 0:
            return None
        order = self._flows_by_urgency.first()
        if order is None:
            return None
        is_open_to_all = self.free_slots_for(URGENT_RANK + 1) > 0
        due = self._urgent_flows_by_due.first()
        if is_open_to_all:
            other = self._other_flows_by_due.first()
            if due is None or (other is not None and other[0] < due[0]):
                due = other
        if due is not None and due[0] <= now_ms:
            return due[1], True
        if is_open_to_all or order[0][0] == URGENT_RANK:
            return order[1], False
        return None

    def start_first(self, flow: Flow, is_charged: bool, now_ms: int) -> Ticket:
        """Start the flow's first ticket."""
        first = flow.queue.first()
        assert first is not None
        ticket = first[1]
        self._start_ticket(flow, ticket, is_charged, now_ms)
        self.remove(ticket)
        return ticket

    def start_at_once(self, flow: Flow, ticket: Ticket, now_ms: int) -> None:
        """Start a ticket in a free slot while no other ticket waits in this queue.

        Equivalent to `add` and `start_first`, but skips the heap operations.
        """
        flow.due_ms = max(flow.due_ms, float(now_ms))
        self._start_ticket(flow, ticket, flow.due_ms <= now_ms, now_ms)

    def _start_ticket(
        self, flow: Flow, ticket: Ticket, is_charged: bool, now_ms: int
    ) -> None:
        rate = self.guaranteed_rate(flow)
        self._credit_lent(flow, now_ms)
        if is_charged and flow.share > 0 and rate > 0:
            flow.due_ms = max(flow.due_ms, now_ms - MAX_LAG_MS)
            flow.due_ms += ticket.mean_ms / rate
            ticket.charged_ms = ticket.mean_ms
        self.occupy(ticket, flow, now_ms)

    def _credit_lent(self, flow: Flow, now_ms: int) -> None:
        """Credit service in lent slots against the service that the flow is owed.

        Without this, an entry that holds many lent slots for a long time would be owed
        its share in addition, and would be served before entries that have no slots.
        """
        elapsed_ms = now_ms - flow.credited_ms
        flow.credited_ms = now_ms
        rate = self.guaranteed_rate(flow)
        if flow.lent_running and rate > 0 and flow.due_ms < now_ms:
            credited_ms = flow.due_ms + elapsed_ms * flow.lent_running / rate
            flow.due_ms = min(float(now_ms), credited_ms)

    def occupy(self, ticket: Ticket, flow: Flow, now_ms: int) -> None:
        """Count a ticket as running."""
        self._credit_lent(flow, now_ms)
        flow.lent_running += ticket.is_lent
        ticket.started_ms = now_ms
        ticket.pool = self.pool
        flow.running += 1
        self.running += 1
        self.running_urgent += ticket.is_urgent
        self.running_lent += ticket.is_lent and not ticket.is_urgent

    def release(self, ticket: Ticket, now_ms: int) -> None:
        """Free the slot and adjust the charge to the time that was actually used."""
        flow = self.flows[ticket.entry.name]
        self._credit_lent(flow, now_ms)
        flow.lent_running -= ticket.is_lent
        flow.running -= 1
        self.running -= 1
        self.running_urgent -= ticket.is_urgent
        self.running_lent -= ticket.is_lent and not ticket.is_urgent
        rate = self.guaranteed_rate(flow)
        if ticket.charged_ms and ticket.started_ms is not None and rate > 0:
            used_ms = now_ms - ticket.started_ms
            flow.due_ms += (used_ms - ticket.charged_ms) / rate
        if not flow.is_blocked:
            self._update_order(flow)
