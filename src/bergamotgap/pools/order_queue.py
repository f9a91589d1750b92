"""Queue of orders to one worker, sent in turn."""

import asyncio
from collections.abc import Awaitable, Callable

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.pools.link_interface import PaceOrder, PendingStart, StopOrder
from bergamotgap.ports.fleet import OrderOutcome, Unanswered

# An order that was not answered within this time, ten times that of a call to another
# data centre, no longer holds up the next one.
ANSWER_TIMEOUT_MS = 50
# Orders to one worker that may be unanswered at the same time.
MAX_UNANSWERED_ORDERS = 4

log = get_logger(__name__)
Order = PendingStart | StopOrder | PaceOrder


async def await_outcome(call: Awaitable[OrderOutcome]) -> OrderOutcome:
    """Return an order's outcome, also where the call raises an unexpected error.

    The order may have been sent by then, so such a call counts as unanswered.
    """
    try:
        return await call
    except Exception:
        log.exception("order failed")
        return Unanswered(was_sent=True)


class OrderQueue:
    """Send orders in turn; an unanswered order delays the others only briefly."""

    def __init__(self, send: Callable[[Order], Awaitable[None]]) -> None:
        self._send = send
        self._queue: asyncio.Queue[Order] = asyncio.Queue()

    def put(self, order: Order) -> None:
        """Add an order."""
        self._queue.put_nowait(order)

    async def run(self) -> None:
        """Send queued orders until cancelled."""
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
                    if future.exception() is not None:
                        log.error("order not processed", error=repr(future.exception()))
        finally:
            await cancel_tasks(sending)
