"""Ask other entry hosts to give way when workers refuse urgent work as busy."""

import asyncio
from collections.abc import Callable

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.node.membership import PeerView
from bergamotgap.ports.peer import PeerClient, PeerError

# A checkpoint frees a slot within a few milliseconds, so asking more often would
# preempt more than is needed.
REPORT_INTERVAL_MS = 100
TASKS_PER_REPORT = 1

log = get_logger(__name__)


class ShortageReporter:
    """Own the calls to peers that hold slots of a pool in which urgent work waits.

    Digests would tell a shortage only after their interval of up to a second, which is
    most of the time in which urgent work must start.
    """

    def __init__(
        self,
        list_live: Callable[[], list[PeerView]],
        client: PeerClient,
        clock: Clock,
    ) -> None:
        self._list_live = list_live
        self._client = client
        self._clock = clock
        self._reported_ms: dict[str, int] = {}
        self._calls: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """End the calls in progress."""
        await cancel_tasks(self._calls)

    def report(self, pool: str) -> None:
        """Ask the live peers with work in a pool to preempt some of it."""
        now_ms = self._clock.monotonic_ms()
        last_ms = self._reported_ms.get(pool)
        if last_ms is not None and now_ms - last_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms[pool] = now_ms
        for peer in self._list_live():
            if peer.pool_demand.get(pool, 0) > 0:
                call = asyncio.create_task(self._ask(peer, pool))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _ask(self, peer: PeerView, pool: str) -> None:
        try:
            await self._client.preempt(peer.contact_address, pool, TASKS_PER_REPORT)
        except PeerError as error:
            log.info("give way not heard", peer=peer.node_id, error=str(error))
