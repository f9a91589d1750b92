"""Admission control of one entry host: starts, queues or rejects requests."""

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

# Fraction of the spare pool's allowance that borrowers leave free for its own entries.
SPARE_RESERVE_FRACTION = 0.25
# A waiting request tries to borrow a slot this long before it would be dropped.
BORROW_BEFORE_MS = 100
# Allowances and limits of which less than half is in use are recomputed only in every
# FULL_ROUND_INTERVAL-th round. Recomputing all of them in each round would exceed the
# node's CPU budget.
FULL_ROUND_INTERVAL = 5
NO_CAPACITY_RETRY_MS = 1000
MIN_RETRY_MS = 50
MAX_RETRY_MS = 30_000
# Service rate, in slots, assumed for an entry with neither a share nor running tasks.
MIN_RATE = 0.1


class AdmissionPolicy:
    """Manages the queues, slots and quotas of one entry host.

    All times are monotonic milliseconds. `notify` is called once for each ticket that
    gets a slot from a queue or is dropped.
    """

    def __init__(
        self,
        node: str,
        limits: AdmissionLimits,
        notify: Callable[[Ticket], None],
    ) -> None:
        self._divider = SlotDivider(node)
        self._limits = limits
        self._notify = notify
        self._catalogue: Catalogue | None = None
        self._shares: dict[tuple[str, str], float] = {}
        self._urgent_pools: set[str] = set()
        self._spare: str | None = None
        self._allowances: defaultdict[str, Allowance] = defaultdict(Allowance)
        self._capacities: dict[str, int] = {}
        self._run_times: defaultdict[str, RunTimes] = defaultdict(RunTimes)
        # Run time of requests refused since the last refresh; it counts as demand.
        self._refused_work_ms: defaultdict[str, float] = defaultdict(float)
        self._refreshed_ms: int | None = None
        self._last_preempted_ms: dict[str, int] = {}
        self._rounds = 0
        self.queues: dict[str, PoolQueue] = {}
        self.quotas = QuotaTracker()

    # Requests.

    def admit(
        self, entry: Entry, deadline_ms: int, now_ms: int
    ) -> Ticket | NotRun | Expired:
        """Start, queue or reject a request; `started_ms` is set on a started ticket."""
        if now_ms >= deadline_ms:
            return Expired()
        queue = self.get_queue(entry.pool)
        flow = queue.get_flow(entry)
        self.quotas.ensure_limits(entry, self._divider.divide_limit, now_ms)
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
        rejection = None
        can_start = self._can_start(queue, flow)
        if can_start and not queue.queued:
            queue.start_at_once(flow, ticket, now_ms)
            self.quotas.occupy(entry)
            self._notify(ticket)
            return ticket
        if not can_start:
            rejection = self._find_rejection(queue, flow, ticket, now_ms)
        if rejection is None:
            queue.add(ticket, now_ms)
            self.quotas.count_queued(entry, 1)
            # Needed even if a limit is full: this registers the flow as blocked by it.
            self.start_waiting(queue, now_ms)
            return ticket
        self._refused_work_ms[entry.pool] += estimate.mean_ms
        return ticket if self._borrow(ticket, now_ms) else rejection

    def _can_start(self, queue: PoolQueue, flow: Flow) -> bool:
        return (
            queue.free_slots_for(flow.entry.urgency.rank) > 0
            and not flow.queue
            and self.quotas.find_full_limit(flow.entry) is None
        )

    def _find_rejection(
        self, queue: PoolQueue, flow: Flow, ticket: Ticket, now_ms: int
    ) -> NotRun | None:
        if self._capacities.get(queue.pool, 0) <= 0:
            return NotRun("no_capacity", queue.pool, NO_CAPACITY_RETRY_MS)
        wait_ms = self._estimate_wait_ms(queue, flow, ticket)
        if len(flow.queue) >= flow.entry.max_queued:
            return NotRun("queue_full", "", _clamp_retry_ms(wait_ms / 2))
        late_ms = now_ms + wait_ms - ticket.start_by_ms
        if late_ms > 0:
            return NotRun("overloaded", "", _clamp_retry_ms(late_ms))
        return None

    def _estimate_wait_ms(self, queue: PoolQueue, flow: Flow, ticket: Ticket) -> float:
        """Estimate the wait from the tickets ahead in the flow and the flow's rate.

        The rate is at least the number of slots the flow holds now, lent ones included,
        so that a request isn't rejected while its entry runs above its share.
        """
        first = flow.queue.first()
        ahead = len(flow.queue)
        if first is not None and ticket.deadline_ms < first[0]:
            ahead = 0
        is_blocked = flow.is_blocked
        guaranteed = (
            self.quotas.guaranteed_rate(flow.entry)
            if is_blocked
            else queue.guaranteed_rate(flow)
        )
        rate = max(guaranteed, float(flow.running))
        return (ahead + 1) * ticket.mean_ms / max(rate, MIN_RATE)

    def _borrow(self, ticket: Ticket, now_ms: int) -> bool:
        """Start a ticket on the spare pool if a slot outside its reserve is free."""
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
        """Remove a waiting ticket from its queue, so that it never starts."""
        self._end_wait(ticket, Cancelled(started=False))

    def _end_wait(self, ticket: Ticket, outcome: NotRun | Expired | Cancelled) -> None:
        ticket.is_ended = True
        ticket.outcome = outcome
        self.queues[ticket.pool].remove(ticket)
        self.quotas.count_queued(ticket.entry, -1)

    def release(self, ticket: Ticket, now_ms: int) -> None:
        """Free the slot of a started ticket and start tickets that waited for it."""
        ticket.is_ended = True
        entry = ticket.entry
        queue = self.get_queue(ticket.pool)
        if not ticket.is_paused:
            queue.release(ticket, now_ms)
        self.quotas.release(entry)
        self.quotas.update_blocked(queue.get_flow(entry))
        for key in (entry_key(entry.name), entry.owner):
            self._unblock_flows(key, now_ms)
        self.start_waiting(queue, now_ms)

    def pause(self, ticket: Ticket, now_ms: int) -> None:
        """Free the slot of a started ticket until `resume`; its quotas stay in use."""
        if ticket.is_ended or ticket.is_paused:
            return
        queue = self.queues[ticket.pool]
        queue.release(ticket, now_ms)
        # `PoolQueue.release` has charged the share for the time used so far.
        ticket.charged_ms = 0.0
        ticket.is_paused = True
        self.start_waiting(queue, now_ms)

    def resume(self, ticket: Ticket, now_ms: int) -> None:
        """Occupy a slot again for a paused ticket, even above the allowance."""
        if ticket.is_ended or not ticket.is_paused:
            return
        ticket.is_paused = False
        queue = self.get_queue(ticket.pool)
        queue.occupy(ticket, queue.get_flow(ticket.entry), now_ms)

    def _unblock_flows(self, key: str, now_ms: int) -> None:
        limit = self.quotas.get_limit(key)
        while limit is None or self.quotas.running[key] < limit:
            blocked = self.quotas.pop_blocked(key)
            if blocked is None:
                return
            queue, flow = blocked
            queue.unblock(flow, now_ms)
            self.start_waiting(queue, now_ms)

    def record_run(self, entry: Entry, run_ms: float, now_ms: int) -> None:
        """Record a measured run time."""
        self._run_times[entry.name].record(run_ms, now_ms)

    # Queues.

    def get_queue(self, pool: str) -> PoolQueue:
        """Return the queue of a pool; creates it if there is none."""
        queue = self.queues.get(pool)
        if queue is None:
            queue = PoolQueue(pool, lambda name: self._shares.get((pool, name), 0.0))
            self.queues[pool] = queue
        return queue

    def start_waiting(self, queue: PoolQueue, now_ms: int) -> None:
        """Start waiting tickets while the pool has free slots."""
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
            retry_ms = _clamp_retry_ms(ticket.mean_ms)
            outcome = NotRun("waited_too_long", "", retry_ms)
        self._refused_work_ms[ticket.pool] += ticket.mean_ms
        self._end_wait(ticket, outcome)
        self._notify(ticket)

    def drop_late_tickets(self, now_ms: int) -> None:
        """Drop tickets that can't finish on time; they try to borrow a slot before."""
        for queue in list(self.queues.values()):
            while (first := queue.queued_tickets.first()) is not None:
                start_by_ms, ticket = first
                if start_by_ms < now_ms:
                    self._drop(ticket, now_ms)
                    continue
                is_close = start_by_ms < now_ms + BORROW_BEFORE_MS
                if not is_close or not self._borrow(ticket, now_ms):
                    break
                self._remove_borrower(queue, ticket)

    def _remove_borrower(self, queue: PoolQueue, ticket: Ticket) -> None:
        queue.remove(ticket)
        self.quotas.count_queued(ticket.entry, -1)
        self._notify(ticket)

    def list_preemptions(self, now_ms: int) -> list[tuple[str, int]]:
        """Return pools and how many of their less urgent tasks to preempt.

        Only tasks in slots beyond an entry's guaranteed share, lent ones included, are
        preempted.
        """
        wanted = []
        for pool, queue in self.queues.items():
            last_ms = self._last_preempted_ms.get(pool)
            if last_ms is not None and now_ms - last_ms < self._limits.preempt_every_ms:
                continue
            count = self._count_preemptions(queue, now_ms)
            if count > 0:
                self._last_preempted_ms[pool] = now_ms
                wanted.append((pool, count))
        return wanted

    def _count_preemptions(self, queue: PoolQueue, now_ms: int) -> int:
        first = queue.queued_urgent.first()
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
        """Return how many slots an entry holds beyond its guaranteed share."""
        queue = self.queues.get(pool)
        flow = queue.flows.get(entry) if queue is not None else None
        return queue.count_preemptable(flow) if queue and flow else 0

    # Division of slots among entry hosts.

    @property
    def refreshed_ms(self) -> int | None:
        """Return when `refresh_allowances` last ran."""
        return self._refreshed_ms

    @property
    def pool_demand(self) -> Mapping[str, float]:
        """Return the demand by pool that the last division used, in slots."""
        return self._divider.pool_demand

    @property
    def owner_demand(self) -> Mapping[str, float]:
        """Return the demand by owner, and by entry if it is above the floor."""
        return self._divider.owner_demand

    def refresh_allowances(
        self,
        now_ms: int,
        wall_ms: int,
        peers: Sequence[PeerDemand],
        known_nodes: Sequence[str],
        pool_capacity: Callable[[str], int],
    ) -> None:
        """Recompute this node's slots and limits, then start tickets that now fit.

        `known_nodes` also names nodes not live; `pool_capacity` counts a pool's slots.
        """
        self._update_demand(now_ms)
        self._divider.update_peers(wall_ms, peers, known_nodes)
        is_full_round = self._rounds % FULL_ROUND_INTERVAL == 0
        self._rounds += 1
        for pool, queue in self.queues.items():
            if not is_full_round and not is_half_used(queue):
                continue
            total = self._capacities[pool] = pool_capacity(pool)
            target = self._divider.divide_pool(pool, total)
            queue.allowance = self._allowances[pool].update(target, now_ms)
            queue.headroom = self._count_headroom(queue)
        self.quotas.divide_limits(self._divider.divide_limit, now_ms, is_full_round)
        for key in self.quotas.list_blocked_keys():
            self._unblock_flows(key, now_ms)
        for queue in list(self.queues.values()):
            self.start_waiting(queue, now_ms)

    def _update_demand(self, now_ms: int) -> None:
        elapsed_ms = now_ms - (self._refreshed_ms or 0)
        self._refreshed_ms = now_ms
        pools: dict[str, float] = {}
        for pool, queue in self.queues.items():
            refused = self._refused_work_ms.pop(pool, 0.0) / max(1, elapsed_ms)
            pools[pool] = queue.running + queue.queued + refused
        quotas = self.quotas
        owners: dict[str, float] = {
            key: quotas.running[key] + quotas.queued[key]
            for key in quotas.list_active_keys()
        }
        self._divider.update_demand(now_ms, pools, owners)

    def _count_headroom(self, queue: PoolQueue) -> int:
        if queue.pool not in self._urgent_pools or queue.allowance < 2:
            return 0
        wanted = round(self._limits.headroom_part * queue.allowance)
        if self._limits.headroom_part > 0:
            wanted = max(1, wanted)
        return min(wanted, queue.allowance - 1)

    def use_catalogue(self, catalogue: Catalogue) -> None:
        """Apply the entries, shares and quotas of a catalogue."""
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
    """Return whether at least half of a pool's allowance is in use or waited for."""
    return 2 * (queue.running + queue.queued) >= queue.allowance


def _clamp_retry_ms(wait_ms: float) -> int:
    return int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, wait_ms)))
