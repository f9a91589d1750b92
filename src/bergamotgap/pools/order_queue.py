"""Queue of orders to one worker, sent in turn."""

import asyncio
from collections import Counter, deque
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
# Starts that wait for their turn, of all jobs and of one: at 30 ms each they are sent
# within a second, and a large job leaves room to others.
MAX_QUEUED_STARTS = 32
MAX_QUEUED_STARTS_OF_JOB = 24
# A new placement pass is due once no more starts wait than this.
REFILL_STARTS = 8

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
    """Send orders in turn; an unanswered order delays the others only briefly.

    `on_failure` is called with an order whose sending or handling raised, and
    `on_refill` when a queue that was full has room again.
    """

    def __init__(
        self,
        send: Callable[[Order], Awaitable[None]],
        on_failure: Callable[[Order], None],
        on_refill: Callable[[], None],
    ) -> None:
        self._send = send
        self._on_failure = on_failure
        self._on_refill = on_refill
        self._orders: deque[Order] = deque()
        self._has_orders = asyncio.Event()
        self._starts_by_job: Counter[str] = Counter()
        self._was_full = False

    @property
    def queued_starts(self) -> int:
        """The number of starts that wait for their turn."""
        return self._starts_by_job.total()

    def has_room_for_start(self, job_id: str) -> bool:
        """Return whether a start of a job would be sent within about a second."""
        return (
            self.queued_starts < MAX_QUEUED_STARTS
            and self._starts_by_job[job_id] < MAX_QUEUED_STARTS_OF_JOB
        )

    def put(self, order: Order) -> None:
        """Add an order."""
        if isinstance(order, PendingStart):
            job_id = order.live_run.task.task_id.job
            self._starts_by_job[job_id] += 1
            self._was_full = self._was_full or not self.has_room_for_start(job_id)
        self._orders.append(order)
        self._has_orders.set()

    async def _take(self) -> Order:
        await self._has_orders.wait()
        order = self._orders.popleft()
        if not self._orders:
            self._has_orders.clear()
        if isinstance(order, PendingStart):
            job_id = order.live_run.task.task_id.job
            self._starts_by_job[job_id] -= 1
            if not self._starts_by_job[job_id]:
                del self._starts_by_job[job_id]
            if self._was_full and self.queued_starts <= REFILL_STARTS:
                self._was_full = False
                self._on_refill()
        return order

    async def run(self) -> None:
        """Send queued orders until cancelled."""
        sending: set[asyncio.Task[None]] = set()
        try:
            while True:
                order = await self._take()
                sending.add(asyncio.create_task(self._process(order)))
                limit_s = (
                    ANSWER_TIMEOUT_MS / 1000
                    if len(sending) < MAX_UNANSWERED_ORDERS
                    else None
                )
                _, sending = await asyncio.wait(
                    sending, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            await cancel_tasks(sending)

    async def _process(self, order: Order) -> None:
        try:
            await self._send(order)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            # A call ended as cancelled although nobody cancelled this order.
            self._handle_failure(order)
        except Exception:
            self._handle_failure(order)

    def _handle_failure(self, order: Order) -> None:
        log.exception("order not processed")
        try:
            self._on_failure(order)
        except Exception:
            log.exception("failed order not handled")
