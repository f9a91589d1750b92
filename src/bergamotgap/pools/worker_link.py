"""The pool owner's link to one worker: orders, lease and polls."""

import asyncio
import contextlib

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.crash_suspicion import START_MS
from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.link_interface import (
    LinkEventHandler,
    LiveRun,
    OwnershipChecks,
    PaceOrder,
    PendingStart,
    StopOrder,
)
from bergamotgap.pools.order_queue import Order, OrderQueue, await_outcome
from bergamotgap.pools.possible_runs import PossibleRuns
from bergamotgap.pools.run_lease import RunLease
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.worker_life import WorkerLife
from bergamotgap.pools.worker_runs import WorkerRuns
from bergamotgap.ports.fleet import (
    Accepted,
    Lease,
    OrderOutcome,
    OtherInstance,
    PollReply,
    Refused,
    StartOrder,
    Unanswered,
    WorkerOrders,
)

# Longest wait of a poll for a run to end. Polls renew the lease; three fit into one.
POLL_WAIT_MS = 1000
# Interval of polls of idle workers while the log does not confirm the owner. Two polls
# fit into the time for which an answer counts.
IDLE_POLL_MS = 400
# A worker that did not answer is polled again after this time.
RETRY_MS = 250
# Longest wait of a start for a poll that shows the life of its worker.
LIFE_WAIT_MS = 600
# A worker that refused a start as busy is quarantined for this time.
BUSY_QUARANTINE_MS = 1000

log = get_logger(__name__)


class WorkerLink(WorkerRuns):
    """Send orders to one worker and poll it, each in its own asyncio task."""

    def __init__(
        self,
        info: WorkerInfo,
        token: int,
        orders: WorkerOrders,
        events: LinkEventHandler,
        ownership: OwnershipChecks,
        possible_runs: PossibleRuns,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        # A former owner may have renewed the lease until its token was refused.
        now_ms = clock.monotonic_ms()
        restart_bound_ms = settings.find_restart_bound_ms(info.restarted_ms)
        lease = RunLease(
            token,
            settings.run_lease_ms,
            settings.max_lease_ms,
            max(settings.former_lease_ms, restart_bound_ms - now_ms),
            clock,
        )
        super().__init__(
            info, WorkerLife(lease), possible_runs, events, settings, clock
        )
        self._token = token
        self._orders = orders
        self._ownership = ownership
        self._queue = OrderQueue(
            self._send, self._handle_failed_order, events.handle_orders_sent
        )
        self._poll_requested = asyncio.Event()
        self._poll_requested.set()
        self._poll_ended = asyncio.Event()
        if self._unanswered_starts.list_of(info.worker_id):
            # They may be carried out with a lease in the clock of a former life.
            self._life.record_misread()
            self.lease_log.record_misread(self.incarnation_ms, "unanswered_starts")
            self.stop_unanswered_starts()

    def request_poll(self) -> None:
        """Poll the worker now if it was idle."""
        self._poll_requested.set()

    def queue_start(
        self, task: Task, run: int, payload: str, change: int, ticket: str = ""
    ) -> None:
        """Hold capacity and queue the start; it is sent once `change` is committed."""
        live = LiveRun(task, run, is_whole=not task.checkpoint)
        self.add_run(live)
        if not self._life.is_known:
            self.request_poll()
        self._queue.put(PendingStart(live, payload, change, ticket, task.runs_alone))

    @property
    def queued_starts(self) -> int:
        """The number of starts that wait for their turn to be sent."""
        return self._queue.queued_starts

    def has_room_for_start(self, job_id: str) -> bool:
        """Return whether the worker can be told of a start of a job soon."""
        return self._queue.has_room_for_start(job_id)

    def queue_stop(self, task_id: TaskId, run: int) -> None:
        """Queue a stop of a run, unless one is queued or sent already."""
        live = self.runs.get(task_id)
        if live is not None and live.run == run:
            if live.is_stop_sent:
                return
            live.is_stop_requested = live.is_stop_sent = True
        else:
            live = None
        self._queue.put(StopOrder(task_id, run, live))
        self.request_poll()

    def queue_pace(self, live: LiveRun, percent: int) -> None:
        """Queue a limit of a run's speed."""
        live.task.pace = percent
        live.is_pace_set = True
        self._queue.put(PaceOrder(live, percent))

    async def run_orders(self) -> None:
        """Send queued orders until cancelled."""
        await self._queue.run()

    async def _send(self, order: Order) -> None:
        if isinstance(order, PendingStart):
            await self._send_start(order)
        elif isinstance(order, StopOrder):
            await self._send_stop(order)
        else:
            task_id, run = order.live_run.task.task_id, order.live_run.run
            outcome = await await_outcome(
                self._orders.pace(self.info, task_id, run, order.percent, self._token)
            )
            if not isinstance(outcome, Accepted):
                order.live_run.is_pace_set = False

    def _handle_failed_order(self, order: Order) -> None:
        """Take a start as unanswered, and send a stop again, after an internal error.

        The stop comes first, since the error may have been in the handling.
        """
        if isinstance(order, PaceOrder) or order.live_run is None:
            return
        live = order.live_run
        if self.runs.get(live.task.task_id) is not live:
            return
        if isinstance(order, StopOrder):
            live.is_stop_sent = False
            return
        self.queue_stop(live.task.task_id, live.run)
        self._events.handle_start_unanswered(self, live)

    async def _send_start(self, call: PendingStart) -> None:
        live, task = call.live_run, call.live_run.task
        if self.runs.get(task.task_id) is not live:
            return
        is_allowed = await self._events.wait_until_start_allowed(
            call.journal_change, call.needs_record
        )
        if is_allowed and not self._life.may_get_start:
            is_allowed = await self._wait_until_start_possible()
        # The run may have been abandoned meanwhile and its task started elsewhere.
        if self.runs.get(task.task_id) is not live:
            return
        is_allowed = (
            is_allowed
            and self.is_life_listed
            and self._ownership.may_act()
            and not self._possible_runs.may_exist_beside(live.task.task_id, live.run)
        )
        if live.is_stop_requested or not is_allowed:
            self.remove_run(live)
            self._events.handle_not_started(self, live, Unanswered(was_sent=False))
            return
        lease = self._life.build_start_lease()
        self.lease_log.record_start(task.task_id, live.run, self.incarnation_ms, lease)
        order = StartOrder(
            task.task_id, live.run, call.payload, task.checkpoint, call.ticket
        )
        outcome = await self._call_start(live, order, lease)
        now_ms = self._clock.monotonic_ms()
        self.record_outcome(outcome, now_ms)
        self._handle_start_outcome(live, outcome, now_ms)

    async def _call_start(
        self, live: LiveRun, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Send a start, and track what may come of it if it is not answered."""
        life, clock = self._life.number, self._life.clock_reading
        live.is_start_sent = live.is_start_open = True
        # The wait in the queue is no lack of progress.
        live.task.progress_changed_ms = self._clock.monotonic_ms()
        live.life, live.worker = life, self.info
        self._unanswered_starts.add(self.worker_id, live.task, live.run)
        try:
            outcome = await await_outcome(self._orders.start(self.info, order, lease))
        finally:
            live.is_start_open = False
        if not isinstance(outcome, Unanswered) or not outcome.was_sent:
            self._unanswered_starts.remove(self.worker_id, live.task.task_id, live.run)
        is_life_uncertain = self._life.number != life
        if isinstance(outcome, Accepted):
            now_ms = self._clock.monotonic_ms()
            is_same_life = clock is not None and clock.is_followed_by(
                outcome.clock_ms, now_ms
            )
            live.is_in_life = live.is_in_life or is_same_life
            is_life_uncertain = is_life_uncertain or not is_same_life
        if is_life_uncertain:
            self._life.record_misread()
            self.lease_log.record_misread(self.incarnation_ms, "start_in_other_life")
        return outcome

    def _handle_start_outcome(
        self, live: LiveRun, outcome: OrderOutcome, now_ms: int
    ) -> None:
        match outcome:
            case Accepted(clock_ms):
                live.start_accepted_ms = now_ms
                self._log_accepted(live, clock_ms)
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
                    self.request_poll()
                self.remove_run(live)
                self._events.handle_not_started(self, live, outcome)

    def _log_accepted(self, live: LiveRun, clock_ms: int) -> None:
        log.info(
            "start accepted",
            task=live.task.task_id,
            run=live.run,
            worker=self.worker_id,
            life=self.incarnation_ms,
            clock_ms=clock_ms,
            is_life_certain=live.is_in_life,
            is_held=self.runs.get(live.task.task_id) is live,
        )

    async def _wait_until_start_possible(self) -> bool:
        """Wait for a poll of an idle worker; return whether a start can be sent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIFE_WAIT_MS / 1000):
                while not self._life.may_get_start and not self.is_silent:
                    self.request_poll()
                    self._poll_ended.clear()
                    await self._poll_ended.wait()
        return self._life.may_get_start

    async def _send_stop(self, order: StopOrder) -> None:
        live = order.live_run
        if live is not None and self.runs.get(order.task_id) is not live:
            return
        life = self._life.number
        outcome = await await_outcome(
            self._orders.stop(self.info, order.task_id, order.run, self._token)
        )
        self.record_outcome(outcome, self._clock.monotonic_ms())
        match outcome:
            case Accepted():
                if live is not None and self._life.number == life:
                    live.stop_accepted_ms = self._clock.monotonic_ms()
            case Refused(reason="fence"):
                self._events.handle_superseded(f"worker {self.worker_id}")
            case _ if live is not None:
                # The stop is sent again after the next answered poll.
                live.is_stop_sent = False
        self.request_poll()

    async def run_polls(self) -> None:
        """Renew the lease and read ended runs while there is anything to poll for."""
        while True:
            if self.is_idle and not await self._wait_until_poll_needed():
                continue
            if not self._ownership.may_renew_leases():
                await self._clock.sleep_ms(RETRY_MS)
                self._remove_expired_runs(self._ownership.may_abandon_runs())
                continue
            is_renewed = self._life.is_known or not self.was_polled
            is_answered = await self._poll()
            self._poll_ended.set()
            if not is_answered:
                await self._clock.sleep_ms(RETRY_MS)
                self._remove_expired_runs(self._ownership.may_abandon_runs())
                continue
            if not is_renewed:
                # Only a further poll renews the lease, which may be about to expire.
                continue
            is_saved = await self._events.wait_for_journal()
            if is_saved:
                self._life.ack_ends()
            gap_ms = self._events.choose_poll_gap_ms() if is_saved else POLL_WAIT_MS / 2
            await self._clock.sleep_ms(gap_ms)

    async def _wait_until_poll_needed(self) -> bool:
        """Wait while the worker is idle; return whether a poll is needed."""
        self._poll_requested.clear()
        try:
            async with asyncio.timeout(IDLE_POLL_MS / 1000):
                await self._poll_requested.wait()
        except TimeoutError:
            # Without the log, only workers' answers show whether there is a successor.
            return not self._ownership.is_confirmed()
        return True

    async def _poll(self) -> bool:
        sent_ms = self._clock.monotonic_ms()
        wait_ms = POLL_WAIT_MS
        if not self.runs or not self._life.is_known:
            wait_ms = 0
        elif any(live.is_stop_sent for live in self.runs.values()):
            wait_ms = self._settings.stop_timeout_ms
        elif not self._ownership.is_confirmed():
            wait_ms = IDLE_POLL_MS
        elif self.trial_job or self.is_long_task_starting:
            wait_ms = START_MS
        life_number = self._life.number
        lease = self._life.build_poll_lease(not self.is_empty)
        self.lease_log.record_poll(self.incarnation_ms, lease)
        outcome = await self._orders.poll(
            self.info,
            lease,
            self._life.acked_end_sequence,
            wait_ms,
        )
        if self._life.number != life_number:
            # A restart was listed meanwhile; the outcome may be that of a former life,
            # or the new one may have got the lease of the former.
            self._life.record_misread()
            self.lease_log.record_misread(self.incarnation_ms, "poll_over_restart")
            return False
        now_ms = self._clock.monotonic_ms()
        match outcome:
            case PollReply():
                self._handle_poll_reply(outcome, sent_ms, now_ms)
                return True
            case Refused(reason="fence"):
                self._events.handle_superseded(f"worker {self.worker_id}")
                return False
            case OtherInstance():
                self._life.end(now_ms)
                self.is_listed = False
                self._remove_expired_runs(self._ownership.may_abandon_runs())
                return False
            case Refused():
                self.record_outcome(outcome, now_ms)
            case _:
                self.record_unanswered_poll(outcome, sent_ms, now_ms)
        self.quarantine(2 * RETRY_MS)
        return False

    def _handle_poll_reply(self, reply: PollReply, sent_ms: int, now_ms: int) -> None:
        self._apply_poll(reply, sent_ms, now_ms)
        for live in self.runs.values():
            if live.is_stop_requested:
                self.queue_stop(live.task.task_id, live.run)
        self._events.handle_polled(self)
        if not self.was_polled and not self.has_unread_ends:
            self.was_polled = True
            self._events.handle_first_poll(self)
