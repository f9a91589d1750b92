"""Orders to one worker, sent one after the other."""

import asyncio
from collections.abc import Awaitable, Callable

from aiomisc import cancel_tasks

from bergamotgap.pools.link_interface import PaceOrder, PendingStart, StopOrder

# The next order is sent when one was not answered within this time, ten times that of
# a call to another data centre; so many may be under way.
ANSWER_TIMEOUT_MS = 50
MAX_UNANSWERED_ORDERS = 4

Order = PendingStart | StopOrder | PaceOrder


class OrderQueue:
    """Send orders in turn; one that gets no answer holds up none."""

    def __init__(self, send: Callable[[Order], Awaitable[None]]) -> None:
        self._send = send
        self._queue: asyncio.Queue[Order] = asyncio.Queue()

    def put(self, order: Order) -> None:
        """Add an order."""
        self._queue.put_nowait(order)

    async def run(self) -> None:
        """Send until cancelled."""
        sending: set[asyncio.Future[None]] = set()
        try:
            while True:
                order = await self._queue.get()
                sending.add(asyncio.ensure_future(self._send(order)))
                limit_s = (
                    ANSWER_TIMEOUT_MS / 1000
                    if len(sending) < MAX_UNANSWERED_ORDERS
                    else None
                )
                done, sending = await asyncio.wait(
                    sending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
                )
                for future in done:
                    future.result()
        finally:
            await cancel_tasks(sending)
