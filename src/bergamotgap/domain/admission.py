"""Decide which requests wait, start or are refused on one entry host."""

import math
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry
from bergamotgap.domain.division import PeerDemand, SlotDivider, entry_key
from bergamotgap.domain.outcomes import Cancelled, Expired, NotRun
from bergamotgap.domain.quotas import QuotaTracker, divide_shares
from bergamotgap.domain.run_times import RunTimes
from bergamotgap.domain.scheduler import URGENT_RANK, Flow, PoolQueue, Ticket
from bergamotgap.domain.slots import Allowance

# Part of the spare pool's allowance that borrowers leave free for its own entries.
SPARE_RESERVE_FRACTION = 0.25
# A waiting request tries to borrow when so little time is left before it is dropped.
BORROW_BEFORE_MS = 100
# Parts of which less than half is used are divided anew only in each so many rounds:
# dividing all of them each time would take more of a core than the node's budget.
FULL_ROUND_INTERVAL = 5
NO_CAPACITY_RETRY_MS = 1000
MIN_RETRY_MS = 50
MAX_RETRY_MS = 30_000
# Rate assumed for an entry that has neither a share nor a running task, in slots.
MIN_RATE = 0.1


class AdmissionPolicy:
    """Queues, slots and quotas of one entry host; all times are monotonic ms.

    `notify` is called once for each queued ticket that gets a slot or is dropped.
    """

    def __init__(
        self,
        node: str,
        limits: AdmissionLimits,
        notify: Callable[[Ticket], None],
    ) -> None:
        self._division = SlotDivider(node)
        self._limits = limits
        self._notify = notify
        self._catalogue: Catalogue | None = None
        self._shares: dict[tuple[str, str], float] = {}
        self._urgent_pools: set[str] = set()
        self._spare: str | None = None
        self._allowances: defaultdict[str, Allowance] = defaultdict(Allowance)
        self._capacities: dict[str, int] = {}
        self._run_times: defaultdict[str, RunTimes] = defaultdict(RunTimes)
        self._refused_ms: defaultdict[str, float] = defaultdict(float)
        self._refreshed_ms: int | None = None
        self._preempted_ms: dict[str, int] = {}
        self._rounds = 0
        self.queues: dict[str, PoolQueue] = {}
        self.quotas = QuotaTracker()

    # Requests.

    def admit(
        self, entry: Entry, deadline_ms: int, now_ms: int
    ) -> Ticket | NotRun | Expired:
        """Start, queue or refuse a request; a started ticket has `started_ms`."""
        if now_ms >= deadline_ms:
            return Expired()
        queue = self.get_queue(entry.pool)
        flow = queue.get_flow(entry)
        self.quotas.ensure_limits(entry, self._division.divide_limit, now_ms)
        estimate = self._run_times[entry.name].estimate(entry, now_ms)
        needed_ms = estimate.needed_ms(deadline_ms - now_ms)
        is_urgent = entry.urgency.rank == URGENT_RANK
        limits = self._limits
        queue_ms = limits.max_queue_ms
        if is_urgent:
            queue_ms = min(queue_ms, limits.urgent_queue_ms)
        start_by_ms = min(deadline_ms - needed_ms, now_ms + queue_ms)
        if start_by_ms < now_ms:
            return NotRun("deadline_too_short", f"the run takes about {needed_ms:g} ms")
        ticket = Ticket(
            entry, deadline_ms, start_by_ms, now_ms, entry.pool, estimate.mean_ms
        )
        refusal = None
        can_start = self._can_start(queue, flow)
        if can_start and not queue.queued:
            queue.start_at_once(flow, ticket, now_ms)
            self.quotas.occupy(entry)
            self._notify(ticket)
            return ticket
        if not can_start:
            refusal = self._judge(queue, flow, ticket, now_ms)
        if refusal is None:
            queue.add(ticket, now_ms)
            self.quotas.count_queued(entry, 1)
            # Also where a limit is full: the limit then knows that the flow waits.
            self.start_waiting(queue, now_ms)
            return ticket
        self._refused_ms[entry.pool] += estimate.mean_ms
        return ticket if self._borrow(ticket, now_ms) else refusal

    def _can_start(self, queue: PoolQueue, flow: Flow) -> bool:
        return (
            queue.free_slots_for(flow.entry.urgency.rank) > 0
            and not flow.queue
            and self.quotas.find_full_limit(flow.entry) is None
        )

    def _judge(
        self, queue: PoolQueue, flow: Flow, ticket: Ticket, now_ms: int
    ) -> NotRun | None:
        if self._capacities.get(queue.pool, 0) <= 0:
            return NotRun("no_capacity", queue.pool, NO_CAPACITY_RETRY_MS)
        wait_ms = self._expect_wait_ms(queue, flow, ticket)
        if len(flow.queue) >= flow.entry.max_queued:
            return NotRun("queue_full", "", _bound_retry_ms(wait_ms / 2))
        late_ms = now_ms + wait_ms - ticket.start_by_ms
        if late_ms > 0:
            return NotRun("overloaded", "", _bound_retry_ms(late_ms))
        return None

    def _expect_wait_ms(self, queue: PoolQueue, flow: Flow, ticket: Ticket) -> float:
        """Return the wait by what is ahead of the ticket in its own share.

        Lent slots that the entry holds at the moment count, so that a request isn't
        refused while its entry runs above its share.
        """
        first = flow.queue.first()
        ahead = len(flow.queue)
        if first is not None and ticket.deadline_ms < first[0]:
            ahead = 0
        is_blocked = flow.is_blocked
        assured = (
            self.quotas.guaranteed_rate(flow.entry)
            if is_blocked
            else queue.guaranteed_rate(flow)
        )
        rate = max(assured, float(flow.running))
        return (ahead + 1) * ticket.mean_ms / max(rate, MIN_RATE)

    def _borrow(self, ticket: Ticket, now_ms: int) -> bool:
        """Start a ticket on the spare pool if that takes nothing from its entries."""
        if self._spare is None or self._spare == ticket.entry.pool:
            return False
        spare = self.get_queue(self._spare)
        reserve = math.ceil(SPARE_RESERVE_FRACTION * spare.allowance)
        free = spare.free_slots_for(ticket.entry.urgency.rank) - reserve
        if free <= 0 or self.quotas.find_full_limit(ticket.entry):
            return False
        spare.occupy(ticket, spare.get_flow(ticket.entry), now_ms)
        self.quotas.occupy(ticket.entry)
        return True

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting ticket out of its queue; it is never started then."""
        self._end_wait(ticket, Cancelled(started=False))

    def _end_wait(self, ticket: Ticket, outcome: NotRun | Expired | Cancelled) -> None:
        ticket.ended = True
        ticket.outcome = outcome
        self.queues[ticket.pool].remove(ticket)
        self.quotas.count_queued(ticket.entry, -1)

    def release(self, ticket: Ticket, now_ms: int) -> None:
        """Free the slot of a started ticket and start what waits for it."""
        ticket.ended = True
        entry = ticket.entry
        queue = self.get_queue(ticket.pool)
        if not ticket.is_paused:
            queue.release(ticket, now_ms)
        self.quotas.release(entry)
        self.quotas.update_blocked(queue.get_flow(entry))
        for key in (entry_key(entry.name), entry.owner):
            self._unblock(key, now_ms)
        self.start_waiting(queue, now_ms)

    def pause(self, ticket: Ticket, now_ms: int) -> None:
        """Free the slot of a started ticket for a time; its quotas stay in use."""
        if ticket.ended or ticket.is_paused:
            return
        queue = self.queues[ticket.pool]
        queue.release(ticket, now_ms)
        # The share has been charged for the time so far.
        ticket.charged_ms = 0.0
        ticket.is_paused = True
        self.start_waiting(queue, now_ms)

    def resume(self, ticket: Ticket, now_ms: int) -> None:
        """Count a paused ticket's slot again, above the allowance if need be."""
        if ticket.ended or not ticket.is_paused:
            return
        ticket.is_paused = False
        queue = self.get_queue(ticket.pool)
        queue.occupy(ticket, queue.get_flow(ticket.entry), now_ms)

    def _unblock(self, key: str, now_ms: int) -> None:
        limit = self.quotas.get_limit(key)
        while limit is None or self.quotas.running[key] < limit:
            blocked = self.quotas.pop_blocked(key)
            if blocked is None:
                return
            queue, flow = blocked
            queue.unblock(flow, now_ms)
            self.start_waiting(queue, now_ms)

    def record_run(self, entry: Entry, run_ms: float, now_ms: int) -> None:
        """Learn a measured run time."""
        self._run_times[entry.name].record(run_ms, now_ms)

    # Decisions.

    def get_queue(self, pool: str) -> PoolQueue:
        """Return the queue of a pool."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = PoolQueue(pool, lambda name: self._shares.get((pool, name), 0.0))
            self.queues[pool] = queue
        return queue

    def start_waiting(self, queue: PoolQueue, now_ms: int) -> None:
        """Give free slots of a pool to waiting tickets."""
        while (choice := queue.choose_flow(now_ms)) is not None:
            flow, is_charged = choice
            full = self.quotas.find_full_limit(flow.entry)
            if full is not None:
                self.quotas.block(full, queue, flow)
                continue
            first = flow.queue.first()
            assert first is not None
            if first[1].start_by_ms < now_ms:
                self._drop(first[1], now_ms)
                continue
            ticket = queue.start_first(flow, is_charged, now_ms)
            self.quotas.count_queued(ticket.entry, -1)
            self.quotas.occupy(ticket.entry)
            self._notify(ticket)

    def _drop(self, ticket: Ticket, now_ms: int) -> None:
        outcome: NotRun | Expired = Expired()
        if now_ms < ticket.deadline_ms:
            retry_ms = _bound_retry_ms(ticket.mean_ms)
            outcome = NotRun("waited_too_long", "", retry_ms)
        self._refused_ms[ticket.pool] += ticket.mean_ms
        self._end_wait(ticket, outcome)
        self._notify(ticket)

    def drop_late_tickets(self, now_ms: int) -> None:
        """Drop tickets that can't end in time any more; let them borrow before."""
        for queue in list(self.queues.values()):
            while (first := queue.start_by.first()) is not None:
                start_by_ms, ticket = first
                if start_by_ms < now_ms:
                    self._drop(ticket, now_ms)
                    continue
                is_close = start_by_ms < now_ms + BORROW_BEFORE_MS
                if not is_close or not self._borrow(ticket, now_ms):
                    break
                self._leave_for_spare(queue, ticket)

    def _leave_for_spare(self, queue: PoolQueue, ticket: Ticket) -> None:
        queue.remove(ticket)
        self.quotas.count_queued(ticket.entry, -1)
        self._notify(ticket)

    def list_preemptions(self, now_ms: int) -> list[tuple[str, int]]:
        """Return pools and how many less urgent tasks of each should give way.

        Only slots beyond an entry's guaranteed share count, lent ones among them.
        """
        wanted = []
        for pool, queue in self.queues.items():
            last_ms = self._preempted_ms.get(pool)
            if last_ms is not None and now_ms - last_ms < self._limits.preempt_every_ms:
                continue
            count = self._count_preemptions(queue, now_ms)
            if count > 0:
                self._preempted_ms[pool] = now_ms
                wanted.append((pool, count))
        return wanted

    def _count_preemptions(self, queue: PoolQueue, now_ms: int) -> int:
        first = queue.urgent.first()
        if first is None or now_ms - first[0] < self._limits.preempt_after_ms:
            return 0
        waiting = sum(
            len(flow.queue)
            for flow in queue.flows.values()
            if flow.entry.urgency.rank == URGENT_RANK and not flow.is_blocked
        )
        preemptable = sum(map(queue.count_preemptable, queue.flows.values()))
        return min(waiting - max(0, queue.free_slots), preemptable)

    def count_preemptable(self, pool: str, entry: str) -> int:
        """Return the slots that an entry holds beyond its guaranteed share."""
        queue = self.queues.get(pool)
        flow = queue.flows.get(entry) if queue is not None else None
        return queue.count_preemptable(flow) if queue and flow else 0

    # Division among entry hosts.

    @property
    def refreshed_ms(self) -> int | None:
        """Return when `refresh` last ran."""
        return self._refreshed_ms

    @property
    def pool_demand(self) -> Mapping[str, float]:
        """Return the demand by pool that the last division used, in slots."""
        return self._division.pool_demand

    @property
    def owner_demand(self) -> Mapping[str, float]:
        """Return the demand by owner, and by entry where it is above the floor."""
        return self._division.owner_demand

    def refresh_allowances(
        self,
        now_ms: int,
        wall_ms: int,
        peers: Sequence[PeerDemand],
        known: Sequence[str],
        pool_capacity: Callable[[str], int],
    ) -> None:
        """Divide slots and quotas anew and start what may start now."""
        self._update_demand(now_ms)
        self._division.update_peers(wall_ms, peers, known)
        is_full_round = self._rounds % FULL_ROUND_INTERVAL == 0
        self._rounds += 1
        for pool, queue in self.queues.items():
            if not is_full_round and not is_half_used(queue):
                continue
            total = self._capacities[pool] = pool_capacity(pool)
            target = self._division.divide_pool(pool, total)
            queue.allowance = self._allowances[pool].update(target, now_ms)
            queue.headroom = self._count_headroom(queue)
        self.quotas.divide_limits(self._division.divide_limit, now_ms, is_full_round)
        for key in self.quotas.list_blocked_keys():
            self._unblock(key, now_ms)
        for queue in list(self.queues.values()):
            self.start_waiting(queue, now_ms)

    def _update_demand(self, now_ms: int) -> None:
        elapsed_ms = now_ms - (self._refreshed_ms or 0)
        self._refreshed_ms = now_ms
        pools: dict[str, float] = {}
        for pool, queue in self.queues.items():
            refused = self._refused_ms.pop(pool, 0.0) / max(1, elapsed_ms)
            pools[pool] = queue.running + queue.queued + refused
        quotas = self.quotas
        owners: dict[str, float] = {
            key: quotas.running[key] + quotas.queued[key]
            for key in quotas.list_active_keys()
        }
        self._division.update_demand(now_ms, pools, owners)

    def _count_headroom(self, queue: PoolQueue) -> int:
        if queue.pool not in self._urgent_pools or queue.allowance < 2:
            return 0
        wanted = round(self._limits.headroom_part * queue.allowance)
        if self._limits.headroom_part > 0:
            wanted = max(1, wanted)
        return min(wanted, queue.allowance - 1)

    def use_catalogue(self, catalogue: Catalogue) -> None:
        """Take over entries, shares and quotas of a catalogue."""
        if catalogue is self._catalogue:
            return
        self._catalogue = catalogue
        self._spare = catalogue.spare_pool.name if catalogue.spare_pool else None
        self._shares = divide_shares(catalogue)
        self._urgent_pools = {
            entry.pool
            for entry in catalogue.entries
            if entry.urgency.rank == URGENT_RANK
        }
        if self._urgent_pools and self._spare is not None:
            self._urgent_pools.add(self._spare)
        self.quotas.set_fleet_limits(catalogue)
        names = {pool.name for pool in catalogue.pools}
        for pool in names:
            self.get_queue(pool).refresh_shares()
        for pool, queue in list(self.queues.items()):
            if pool not in names and not queue.running and not queue.queued:
                del self.queues[pool]


def is_half_used(queue: PoolQueue) -> bool:
    """Return whether a pool's allowance is half used or more."""
    return 2 * (queue.running + queue.queued) >= queue.allowance


def _bound_retry_ms(wait_ms: float) -> int:
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)))
