"""One life of a worker, as the pool's owner sees it: orders, lease, looks."""

import asyncio

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId, WorkerInfo, WorkerState
from bergamotgap.domain.job_state import Task
from bergamotgap.domain.task_placement import WorkerCapacity
from bergamotgap.pools.link_interface import (
    LinkEventHandler,
    LiveRun,
    OwnershipChecks,
    PaceOrder,
    PendingStart,
    StopOrder,
)
from bergamotgap.pools.order_queue import Order, OrderQueue
from bergamotgap.pools.run_lease import RunLease
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import (
    Accepted,
    Lease,
    OrderOutcome,
    OtherInstance,
    PollReply,
    Refused,
    RunReport,
    StartOrder,
    Unanswered,
    WorkerOrders,
)

# A look waits this long for an end; three renewals fit into a lease.
POLL_WAIT_MS = 1000
# Idle workers are looked at this often while the log does not confirm the owner; two
# looks fit into the time for which an answer counts.
IDLE_POLL_MS = 400
# A worker that did not answer is asked again after this time.
RETRY_MS = 250
# A worker that refused as unhealthy gets no work for this time.
BUSY_QUARANTINE_MS = 1000

log = get_logger(__name__)


class WorkerLink:
    """Own the orders to one worker and the looks at it; one task for each."""

    def __init__(
        self,
        info: WorkerInfo,
        token: int,
        orders: WorkerOrders,
        events: LinkEventHandler,
        standing: OwnershipChecks,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self.info = info
        self.capacity = WorkerCapacity(info)
        self.live_runs: dict[TaskId, LiveRun] = {}
        self.is_polled = False
        self.is_listed = True
        self.draining_until_ms = 0
        self.quarantined_until_ms = 0
        self.consecutive_failures = 0
        self._token = token
        self._orders = orders
        self._events = events
        self._standing = standing
        self._settings = settings
        self._clock = clock
        self._queue = OrderQueue(self._send)
        self._wake = asyncio.Event()
        self._wake.set()
        self._born_ms = 0
        self._unknown_runs: set[tuple[TaskId, int]] = set()
        self._is_silent = False
        self._seen = 0
        self._acked = 0
        self.answered_ms = self.idle_since_ms = clock.monotonic_ms()
        # A former owner may have renewed until this one was seen.
        self._lease = RunLease(
            token, settings.run_lease_ms, settings.former_lease_ms, clock
        )

    @property
    def worker_id(self) -> str:
        """Return the worker's id."""
        return self.info.worker_id

    @property
    def are_runs_known(self) -> bool:
        """Tell whether all that may run on the worker is known."""
        return self.is_polled or self._lease.is_expired

    @property
    def is_empty(self) -> bool:
        """Tell whether no run is known or may be on the worker."""
        return not self.live_runs and not self._unknown_runs

    def is_usable(self, now_ms: int) -> bool:
        """Tell whether the worker may get new work."""
        return (
            self.is_polled
            and self.is_listed
            and not self._unknown_runs
            and not self._is_silent
            and now_ms >= self.draining_until_ms
            and self.info.state is WorkerState.READY
            and now_ms >= self.quarantined_until_ms
        )

    def request_poll(self) -> None:
        """Look now if the worker was idle."""
        self._wake.set()

    def queue_start(
        self, task: Task, run: int, payload: str, change: int, ticket: str = ""
    ) -> None:
        """Hold room and queue the order; it is sent when the change lasts."""
        live = LiveRun(task, run)
        self.add_run(live)
        self._queue.put(PendingStart(live, payload, change, ticket))

    def add_run(self, live: LiveRun) -> None:
        """Hold room for a run."""
        self.live_runs[live.task.task_id] = live
        self.capacity.reserve(live.task)

    def remove_run(self, live: LiveRun) -> None:
        """Give the room of a run back."""
        if self.live_runs.get(live.task.task_id) is live:
            del self.live_runs[live.task.task_id]
            self.capacity.release(live.task)
            self.idle_since_ms = self._clock.monotonic_ms()

    def queue_stop(self, task_id: TaskId, run: int) -> None:
        """Queue a stop."""
        live = self.live_runs.get(task_id)
        if live is not None and live.run == run:
            if live.is_stop_sent:
                return
            live.is_stop_requested = live.is_stop_sent = True
        else:
            live = None
        self._queue.put(StopOrder(task_id, run, live))
        self.request_poll()

    def stop_unknown_run(self, row: RunReport) -> None:
        """Stop a run of unknown size."""
        log.warning("unknown run", task=row.task, run=row.run, worker=self.worker_id)
        self._unknown_runs.add((row.task, row.run))
        self.queue_stop(row.task, row.run)

    def queue_pace(self, task: Task, percent: int) -> None:
        """Queue a change of a task's speed."""
        task.pace = percent
        self._queue.put(PaceOrder(task.task_id, task.run, percent))

    def withhold_work(self, duration_ms: int) -> None:
        """Give the worker no new work for a time, since it is to be emptied."""
        self.draining_until_ms = self._clock.monotonic_ms() + duration_ms

    def handle_restart(self, info: WorkerInfo) -> None:
        """Use a new life of the worker; what ran in the former one is gone."""
        log.info("worker reborn", worker=self.worker_id, runs=len(self.live_runs))
        self.info = self.capacity.info = info
        for live in list(self.live_runs.values()):
            self._lose(live, "restart")
        self.is_polled = False
        self.draining_until_ms = self.quarantined_until_ms = 0
        self._seen = self._acked = self._born_ms = 0
        self._lease.forget_clock()
        self._is_silent = False
        self.request_poll()

    def quarantine(self, duration_ms: int) -> None:
        """Give the worker no new work for a time."""
        until_ms = self._clock.monotonic_ms() + duration_ms
        self.quarantined_until_ms = max(self.quarantined_until_ms, until_ms)

    async def run_orders(self) -> None:
        """Send orders until cancelled."""
        await self._queue.run()

    async def _send(self, order: Order) -> None:
        if isinstance(order, PendingStart):
            await self._send_start(order)
        elif isinstance(order, StopOrder):
            await self._send_stop(order)
        else:
            await self._orders.pace(
                self.info, order.task_id, order.run, order.percent, self._token
            )

    async def _send_start(self, call: PendingStart) -> None:
        live, task = call.live_run, call.live_run.task
        if self.live_runs.get(task.task_id) is not live:
            return
        is_written = await self._events.wait_until_start_allowed(call.journal_change)
        # The run may have been given up meanwhile, and started elsewhere.
        if self.live_runs.get(task.task_id) is not live:
            return
        if live.is_stop_requested or not is_written or not self._standing.may_act():
            self.remove_run(live)
            self._events.handle_not_started(self, live, Unanswered(was_sent=False))
            return
        lease = self._build_lease()
        order = StartOrder(
            task.task_id, live.run, call.payload, task.checkpoint, call.ticket
        )
        outcome = await self._orders.start(self.info, order, lease)
        now_ms = self._clock.monotonic_ms()
        self._note_clock(outcome, now_ms)
        match outcome:
            case Accepted():
                live.start_accepted_ms = now_ms
                self._events.handle_started(self, live)
                self.request_poll()
            case Unanswered(was_sent=True):
                self._events.handle_start_unanswered(self, live)
            case Refused(reason="fence"):
                self._events.handle_superseded(f"worker {self.worker_id}")
            case _:
                if isinstance(outcome, Refused) and outcome.reason == "busy":
                    self.quarantine(BUSY_QUARANTINE_MS)
                elif not isinstance(outcome, Refused):
                    self.quarantine(RETRY_MS)
                self.remove_run(live)
                self._events.handle_not_started(self, live, outcome)

    async def _send_stop(self, order: StopOrder) -> None:
        live = order.live_run
        if live is not None and self.live_runs.get(order.task_id) is not live:
            return
        outcome = await self._orders.stop(
            self.info, order.task_id, order.run, self._token
        )
        self._note_clock(outcome, self._clock.monotonic_ms())
        match outcome:
            case Accepted():
                if live is not None:
                    live.stop_accepted_ms = self._clock.monotonic_ms()
            case Refused(reason="fence"):
                self._events.handle_superseded(f"worker {self.worker_id}")
            case _ if live is not None:
                # Sent again after the next look that is answered.
                live.is_stop_sent = False
        self.request_poll()

    async def run_polls(self) -> None:
        """Renew the lease and read ends, while anything runs or waits for a look."""
        while True:
            if self._is_idle and not await self._wait_until_needed():
                continue
            if not self._standing.may_renew_leases():
                await self._clock.sleep_ms(RETRY_MS)
                self._expire_runs()
                continue
            has_answered = await self._look()
            if not has_answered:
                await self._clock.sleep_ms(RETRY_MS)
                self._expire_runs()
                continue
            lasts = await self._events.wait_for_journal()
            if lasts:
                self._acked = self._seen
            gap_ms = self._events.choose_poll_gap_ms() if lasts else POLL_WAIT_MS / 2
            await self._clock.sleep_ms(gap_ms)

    @property
    def _is_idle(self) -> bool:
        has_news = self._seen != self._acked or self._is_silent
        return self.is_polled and self.is_empty and not has_news

    async def _wait_until_needed(self) -> bool:
        """Wait for an order; tell whether a look is needed."""
        self._wake.clear()
        try:
            async with asyncio.timeout(IDLE_POLL_MS / 1000):
                await self._wake.wait()
        except TimeoutError:
            # Without the log, answers of workers tell whether there is a successor.
            return not self._standing.is_confirmed()
        return True

    async def _look(self) -> bool:
        sent_ms = self._clock.monotonic_ms()
        has_barred = any(live.is_stop_sent for live in self.live_runs.values())
        # A stop's end is listed within its own time; the first look is at once.
        wait_ms = POLL_WAIT_MS
        if not self.is_polled or not self.live_runs:
            wait_ms = 0
        elif has_barred:
            wait_ms = self._settings.stop_timeout_ms
        elif not self._standing.is_confirmed():
            wait_ms = IDLE_POLL_MS
        outcome = await self._orders.poll(
            self.info, self._build_lease(), self._acked, wait_ms
        )
        now_ms = self._clock.monotonic_ms()
        match outcome:
            case PollReply():
                self._note_look(outcome, sent_ms, now_ms)
                return True
            case Refused(reason="fence"):
                self._events.handle_superseded(f"worker {self.worker_id}")
                return False
            case OtherInstance():
                self._lease.limit_end(now_ms)
                self.is_listed = False
                self._expire_runs()
                return False
            case Refused():
                self._note_clock(outcome, now_ms)
            case _:
                self._note_silent()
        self.quarantine(2 * RETRY_MS)
        return False

    def _note_silent(self) -> None:
        if not self._is_silent:
            log.warning(
                "worker silent", worker=self.worker_id, runs=len(self.live_runs)
            )
        self._is_silent = True

    def _note_answer(self, clock_ms: int, now_ms: int) -> None:
        if self._is_silent:
            log.info("worker answers", worker=self.worker_id)
        self._is_silent = False
        self._lease.record_clock(clock_ms, now_ms)
        self.answered_ms = now_ms

    def _note_look(self, look: PollReply, sent_ms: int, now_ms: int) -> None:
        if self._born_ms and look.incarnation_ms != self._born_ms:
            self._note_restart()
        self._born_ms = look.incarnation_ms
        self._note_answer(look.clock_ms, now_ms)
        for end in look.ended:
            if end.sequence > self._seen:
                self._seen = end.sequence
                self._events.handle_ended(self, end)
        running = {(row.task, row.run) for row in look.running}
        self._unknown_runs &= running
        for row in look.running:
            self._events.handle_running(self, row)
        for live in list(self.live_runs.values()):
            if (live.task.task_id, live.run) not in running:
                self._check_missing(live, sent_ms)
        for live in self.live_runs.values():
            if live.is_stop_requested:
                self.queue_stop(live.task.task_id, live.run)
        self._events.handle_polled(self)
        if not self.is_polled:
            self.is_polled = True
            self._events.handle_first_poll(self)

    def _note_restart(self) -> None:
        log.warning("worker restarted", worker=self.worker_id, runs=len(self.live_runs))
        self._seen = self._acked = 0
        for live in list(self.live_runs.values()):
            if live.start_accepted_ms is not None or live.is_stop_requested:
                self._lose(live, "restart")

    def _check_missing(self, live: LiveRun, sent_ms: int) -> None:
        barred_ms = live.stop_accepted_ms
        if (
            barred_ms is not None
            and sent_ms > barred_ms + self._settings.stop_timeout_ms
        ):
            self._lose(live, "stopped")
        elif (
            barred_ms is None
            and live.start_accepted_ms is not None
            and live.start_accepted_ms < sent_ms
        ):
            self._lose(live, "vanished")

    def _lose(self, live: LiveRun, reason: str) -> None:
        self.remove_run(live)
        self._events.handle_lost(self, live, reason)

    def _expire_runs(self) -> None:
        if not self._lease.is_expired or not self._standing.may_abandon_runs():
            return
        for live in list(self.live_runs.values()):
            self._lose(live, "lease_ended")

    @property
    def is_removable(self) -> bool:
        """Tell whether nothing can run there and the worker has left."""
        return not self.is_listed and not self.live_runs and self.are_runs_known

    def _build_lease(self) -> Lease:
        return self._lease.build_lease(self._is_silent, bool(self.live_runs))

    def _note_clock(self, outcome: OrderOutcome, now_ms: int) -> None:
        if isinstance(outcome, Accepted | Refused) and outcome.clock_ms:
            self._note_answer(outcome.clock_ms, now_ms)
        elif isinstance(outcome, Unanswered):
            self._note_silent()
