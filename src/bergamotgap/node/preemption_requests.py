"""Requests to other entry hosts to preempt tasks when busy workers refuse urgent work.

Each entry host preempts only its own tasks, so a request is sent to the others.
"""

import asyncio
from collections.abc import Callable

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.node.membership import PeerView
from bergamotgap.ports.peer import PeerClient, PeerError

# Shortest interval between requests for a pool. A checkpoint frees a slot within a few
# milliseconds, so more frequent requests would preempt more tasks than needed.
REQUEST_INTERVAL_MS = 100
TASKS_PER_REQUEST = 1

log = get_logger(__name__)


class PreemptionRequester:
    """Requests preemption from peers with work in a pool where urgent work waits.

    Uses direct calls, because digests would report the shortage only after their
    interval of up to a second, which is most of the time in which urgent work must
    start.
    """

    def __init__(
        self,
        list_live_peers: Callable[[], list[PeerView]],
        client: PeerClient,
        clock: Clock,
    ) -> None:
        self._list_live_peers = list_live_peers
        self._client = client
        self._clock = clock
        self._requested_ms: dict[str, int] = {}
        self._calls: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await cancel_tasks(self._calls)

    def request_preemption(self, pool: str) -> None:
        """Request each live peer with work in the pool to preempt a task of it."""
        now_ms = self._clock.monotonic_ms()
        last_ms = self._requested_ms.get(pool)
        if last_ms is not None and now_ms - last_ms < REQUEST_INTERVAL_MS:
            return
        self._requested_ms[pool] = now_ms
        for peer in self._list_live_peers():
            if peer.pool_demand.get(pool, 0) > 0:
                call = asyncio.create_task(self._call_peer(peer, pool))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)

    async def _call_peer(self, peer: PeerView, pool: str) -> None:
        try:
            await self._client.preempt(peer.contact_address, pool, TASKS_PER_REQUEST)
        except PeerError as error:
            log.info(
                "preemption request to a peer failed",
                peer=peer.node_id,
                error=str(error),
            )
