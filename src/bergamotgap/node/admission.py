"""Own the queues of requests that wait for a slot in a pool."""

from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import Cancelled, Expired, NotRun
from bergamotgap.node.membership import PeerView


class NotAdmittedError(Exception):
    """The request ended before it got a slot; it was not run."""

    def __init__(self, outcome: NotRun | Expired | Cancelled) -> None:
        super().__init__(outcome.tag)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class Slot:
    """The right to run one task on some worker of `pool`."""

    pool: str


class Admission:
    """Decide which request runs next and how many run at once.

    `pool_capacity` tells the slots of a pool's routable workers; `live_peers` tells
    the other entry hosts and their demand.
    """

    def __init__(
        self,
        clock: Clock,
        pool_capacity: Callable[[str], int],
        live_peers: Callable[[], list[PeerView]],
    ) -> None:
        self._clock = clock
        self._pool_capacity = pool_capacity
        self._live_peers = live_peers
        self._pools: Counter[str] = Counter()
        self._owners: Counter[str] = Counter()

    @asynccontextmanager
    async def admit(self, entry: Entry, deadline_at_ms: int) -> AsyncIterator[Slot]:
        """Wait for a slot and hold it; `deadline_at_ms` is monotonic time.

        Raises NotAdmittedError. Cancelling the waiting task takes the request out of
        its queue.
        """
        if self._clock.monotonic_ms() >= deadline_at_ms:
            raise NotAdmittedError(Expired())
        self._pools[entry.pool] += 1
        self._owners[entry.owner] += 1
        try:
            yield Slot(entry.pool)
        finally:
            self._pools[entry.pool] -= 1
            self._owners[entry.owner] -= 1

    def note_run(self, entry: Entry, run_ms: float) -> None:
        """Learn the measured run time of a finished task."""

    def pool_demand(self) -> Mapping[str, float]:
        """Return running plus queued requests by pool."""
        return dict(self._pools)

    def owner_demand(self) -> Mapping[str, float]:
        """Return running plus queued requests by owner."""
        return dict(self._owners)
