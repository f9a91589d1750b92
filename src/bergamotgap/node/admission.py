"""Admission control: queues of requests that wait for a slot in a pool."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bergamotgap.domain.admission import AdmissionPolicy
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import Cancelled, Expired, NotRun
from bergamotgap.domain.scheduler import Ticket
from bergamotgap.node.membership import PeerView

# Interval at which expired requests are dropped. A caller whose request expires gets
# its answer at most this much after the deadline.
SWEEP_INTERVAL_MS = 50
ALLOWANCE_REFRESH_INTERVAL_MS = 200


class NotAdmittedError(Exception):
    """The request ended before it got a slot, so it was not run."""

    def __init__(self, outcome: NotRun | Expired | Cancelled) -> None:
        super().__init__(outcome.tag)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class Slot:
    """Permission to run one task on a worker of `pool`.

    `pool` is the spare pool if the slot was borrowed from it. `granted_ms` is
    monotonic. Tasks in lent slots are the first to be preempted by urgent work.
    """

    pool: str
    granted_ms: int
    ticket: Ticket

    @property
    def is_lent(self) -> bool:
        """Return whether the slot is beyond the entry's guaranteed share."""
        return self.ticket.is_lent


class Admission:
    """Decides which request runs next and how many run at once.

    `pool_capacity(pool)` returns the number of slots on the pool's routable workers.
    `live_peers()` returns the other live entry hosts with their demand;
    `expected_nodes()` names all that may serve, also those without a recent digest.
    `preempt(pool, count)` preempts up to `count` running tasks that are below the most
    urgent class, starting with those in lent slots (`Slot.is_lent`).
    """

    def __init__(
        self,
        clock: Clock,
        pool_capacity: Callable[[str], int],
        live_peers: Callable[[], list[PeerView]],
        *,
        node_id: str = "",
        catalogue: Callable[[], Catalogue | None] = lambda: None,
        expected_nodes: Callable[[], Sequence[str]] = tuple,
        preempt: Callable[[str, int], None] | None = None,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._clock = clock
        self._pool_capacity = pool_capacity
        self._live_peers = live_peers
        self._catalogue = catalogue
        self._expected_nodes = expected_nodes
        self._preempt = preempt
        self._policy = AdmissionPolicy(
            node_id, limits or AdmissionLimits(), _wake_waiter
        )

    @asynccontextmanager
    async def admit(self, entry: Entry, deadline_at_ms: int) -> AsyncIterator[Slot]:
        """Wait for a slot and hold it inside the context.

        `deadline_at_ms` is monotonic. Raises NotAdmittedError. Cancelling the waiting
        task removes the request from its queue.
        """
        now_ms = self._clock.monotonic_ms()
        self._refresh_allowances_if_due(now_ms, entry.pool)
        result = self._policy.admit(entry, deadline_at_ms, now_ms)
        if not isinstance(result, Ticket):
            raise NotAdmittedError(result)
        if result.started_ms is None:
            await self._wait_for_slot(result)
        try:
            yield Slot(result.pool, result.started_ms or 0, result)
        finally:
            self._policy.release(result, self._clock.monotonic_ms())

    async def _wait_for_slot(self, ticket: Ticket) -> None:
        waiter = asyncio.get_running_loop().create_future()
        ticket.waiter = waiter
        try:
            await waiter
        except asyncio.CancelledError:
            # The slot may have been granted after the cancellation was requested.
            if ticket.started_ms is not None:
                self._policy.release(ticket, self._clock.monotonic_ms())
            elif not ticket.is_ended:
                self._policy.cancel(ticket)
            raise
        if ticket.outcome is not None:
            raise NotAdmittedError(ticket.outcome)

    def pause(self, slot: Slot) -> None:
        """Make a held slot available to other requests while its task is paused."""
        self._policy.pause(slot.ticket, self._clock.monotonic_ms())

    def resume(self, slot: Slot) -> None:
        """Count a paused slot as held again."""
        self._policy.resume(slot.ticket, self._clock.monotonic_ms())

    def count_preemptable(self, pool: str, entry: str) -> int:
        """Return how many slots an entry holds beyond its guaranteed share."""
        return self._policy.count_preemptable(pool, entry)

    def record_run_time(self, entry: Entry, run_ms: float) -> None:
        """Record the run time of a finished task, without its time in queues."""
        self._policy.record_run(entry, run_ms, self._clock.monotonic_ms())

    def pool_demand(self) -> Mapping[str, float]:
        """Return the demand by pool in slots: running, waiting and refused work."""
        return self._policy.pool_demand

    def owner_demand(self) -> Mapping[str, float]:
        """Return the number of running and waiting requests by owner.

        Entries that are near their share of `max_running` are included under the key
        `entry/<name>`.
        """
        return self._policy.owner_demand

    async def run(self) -> None:
        """Drop expired requests, reassign slots and request preemption, forever."""
        while True:
            self.step()
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)

    def step(self) -> None:
        """Do one iteration of `run`."""
        now_ms = self._clock.monotonic_ms()
        self._refresh_allowances_if_due(now_ms)
        self._policy.drop_late_tickets(now_ms)
        if self._preempt is not None:
            for pool, count in self._policy.list_preemptions(now_ms):
                self._preempt(pool, count)

    def _refresh_allowances_if_due(self, now_ms: int, pool: str | None = None) -> None:
        catalogue = self._catalogue()
        if catalogue is not None:
            self._policy.use_catalogue(catalogue)
        last_ms = self._policy.refreshed_ms
        is_new_pool = pool is not None and pool not in self._policy.queues
        if (
            last_ms is not None
            and now_ms - last_ms < ALLOWANCE_REFRESH_INTERVAL_MS
            and not is_new_pool
        ):
            return
        if pool is not None:
            self._policy.get_queue(pool)
        self._policy.refresh_allowances(
            now_ms,
            self._clock.wall_ms(),
            self._live_peers(),
            self._expected_nodes(),
            self._pool_capacity,
        )


def _wake_waiter(ticket: Ticket) -> None:
    waiter = ticket.waiter
    if isinstance(waiter, asyncio.Future) and not waiter.done():
        waiter.set_result(None)
