"""The runs on one worker, by what its polls list and over the lives of the worker."""

from abc import abstractmethod

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.link_interface import LinkEventHandler, LiveRun
from bergamotgap.pools.possible_runs import PossibleRuns
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.tracked_worker import TrackedWorker
from bergamotgap.pools.unanswered_starts import UnansweredStart
from bergamotgap.pools.worker_life import WorkerLife
from bergamotgap.ports.fleet import EndReport, PollReply, RunReport, Unanswered

log = get_logger(__name__)


class WorkerRuns(TrackedWorker):
    """Remove runs of one worker once they are proven to be gone.

    A life that has ended takes the runs with it that it is known to have begun. Whether
    it or its successor got the others is shown by the successor, which lists them or
    refuses their starts.
    """

    def __init__(
        self,
        info: WorkerInfo,
        life: WorkerLife,
        possible_runs: PossibleRuns,
        events: LinkEventHandler,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        super().__init__(info, life, possible_runs, clock)
        self._unanswered_starts = possible_runs.unanswered_starts
        self._events = events
        self._settings = settings

    @property
    def restart_bound_ms(self) -> int:
        """When leases in the clock of a former life have ended there, 0 for none."""
        return self._settings.find_restart_bound_ms(self.info.restarted_ms)

    @abstractmethod
    def queue_stop(self, task_id: TaskId, run: int) -> None:
        """Queue a stop of a run, unless one is queued or sent already."""

    @abstractmethod
    def request_poll(self) -> None:
        """Poll the worker now if it was idle."""

    def stop_unknown_run(self, run: RunReport) -> None:
        """Stop a run of unknown size."""
        log.warning("unknown run", task=run.task, run=run.run, worker=self.worker_id)
        self.add_unknown_run(run.task, run.run)
        self.queue_stop(run.task, run.run)

    def handle_restart(self, info: WorkerInfo) -> None:
        """Apply the report of another life of the worker."""
        polled_ms, listed_ms = self._life.incarnation_ms, self.info.incarnation_ms
        is_polled_life_listed = (
            polled_ms == listed_ms and info.incarnation_ms > listed_ms
        )
        if not polled_ms or is_polled_life_listed:
            log.info("listed as restarted", worker=self.worker_id, runs=len(self.runs))
            self._handle_new_life(0)
            self.info = self.capacity.info = info
            self.was_polled = self.is_silent = False
            self.lease_log.record_misread(self.incarnation_ms, "new_life_listed")
        else:
            # The report may be that of a life before the one that was polled.
            self.info = self.capacity.info = info
            self.draining_until_ms = 0
        self.request_poll()

    def _handle_polled_restart(self, incarnation_ms: int) -> None:
        log.warning("worker restarted", worker=self.worker_id, runs=len(self.runs))
        self._handle_new_life(incarnation_ms)
        self.lease_log.record_misread(incarnation_ms, "new_life_polled")

    def _handle_new_life(self, incarnation_ms: int) -> None:
        runs = list(self.runs.values())
        gone = [live for live in runs if live.is_in_life]
        # A start without an answer may have ended the former life.
        unanswered = [
            live
            for live in runs
            if live.is_start_sent
            and not live.is_in_life
            and live.start_accepted_ms is None
        ]
        for live in runs:
            if live.life == self._life.number:
                live.worker = self.info
        self.begin_life(incarnation_ms)
        self._record_loss([*gone, *unanswered])
        for live in gone:
            self._remove_lost_run(live, "restart")
        for live in runs:
            if not live.is_start_sent:
                # Its worker was chosen by the labels and the room of the former life.
                self.remove_run(live)
                outcome = Unanswered(was_sent=False)
                self._events.handle_not_started(self, live, outcome)
        self._stop_again()
        self.stop_unanswered_starts()

    def _stop_again(self) -> None:
        """Send requested stops to a life that may not have got them."""
        for live in list(self.runs.values()):
            live.forget_stop()
            if live.is_stop_requested:
                self.queue_stop(live.task.task_id, live.run)

    def stop_unanswered_starts(self) -> None:
        """Let a new life refuse the starts that were meant for a former one.

        Until it does, it may have these runs, and their tasks start nowhere.
        """
        for start in self._unanswered_starts.list_of(self.worker_id):
            live = self.runs.get(start.task_id)
            if live is None:
                self._track_unanswered_start(start)
            if live is None or live.run != start.run:
                self.queue_stop(start.task_id, start.run)

    def _track_unanswered_start(self, start: UnansweredStart) -> None:
        log.info(
            "start of a former life stopped",
            task=start.task_id,
            run=start.run,
            worker=self.worker_id,
            sent_ms_ago=self._clock.monotonic_ms() - start.sent_ms,
        )
        task = Task(start.task_id, start.step)
        live = LiveRun(task, start.run, is_start_sent=True)
        live.life, live.is_loss_recorded = self._life.number, True
        self.add_run(live)

    def _apply_poll(self, reply: PollReply, sent_ms: int, now_ms: int) -> None:
        """Apply the life, the ends and the runs that a poll shows."""
        if self._life.incarnation_ms not in (0, reply.incarnation_ms):
            self._handle_polled_restart(reply.incarnation_ms)
        elif self._life.incarnation_ms != reply.incarnation_ms:
            # Which life accepted stops before its first poll is not known.
            self._stop_again()
        self._life.confirm(reply.incarnation_ms, reply.clock_ms, now_ms)
        self.record_answer(now_ms)
        for end in reply.ended:
            if end.sequence > self._life.last_end_sequence:
                self._life.last_end_sequence = end.sequence
                self._unanswered_starts.remove(self.worker_id, end.task, end.run)
                self._handle_end(end)
        self.has_unread_ends = reply.may_have_more_ends
        self._apply_running(reply, sent_ms)

    def _handle_end(self, end: EndReport) -> None:
        """Apply an end once; if that fails, the run counts as lost."""
        live = self.runs.get(end.task)
        try:
            self._events.handle_ended(self, end)
        except Exception:
            log.exception("end not processed", task=end.task, run=end.run)
            if live is not None and live.run == end.run:
                self._remove_lost_run(live, "end_not_processed")

    def _apply_running(self, reply: PollReply, sent_ms: int) -> None:
        running = {(row.task, row.run) for row in reply.running}
        self.keep_unknown_runs(running)
        for row in reply.running:
            self._unanswered_starts.remove(self.worker_id, row.task, row.run)
            self._events.handle_running(self, row)
            live = self.runs.get(row.task)
            if live is not None and live.run == row.run:
                live.begin_in_life(self._life.number)
        if reply.may_have_more_ends:
            # A run that is not listed may have ended, and its end be listed later.
            return
        timeout_ms, life = self._settings.stop_timeout_ms, self._life.number
        for live in list(self.runs.values()):
            if (live.task.task_id, live.run) in running:
                continue
            if reason := live.get_loss_reason(sent_ms, timeout_ms, life):
                if reason == "restart":
                    self._record_loss([live])
                self._remove_lost_run(live, reason)

    def _record_loss(self, runs: list[LiveRun], reason: str = "restart") -> None:
        """Report the end of the life that runs were sent to, once for each run."""
        lost = [live for live in runs if not live.is_loss_recorded]
        for live in lost:
            live.is_loss_recorded = True
        if lost:
            is_present_life = lost[0].life == self._life.number
            worker = self.info if is_present_life else lost[0].worker
            self._events.handle_worker_lost(
                worker or self.info, lost, reason, self.cut_off_ms
            )

    def _remove_lost_run(self, live: LiveRun, reason: str) -> None:
        self.remove_run(live)
        self._events.handle_lost(self, live, reason)

    def _remove_expired_runs(self, may_abandon_runs: bool) -> None:
        """Remove the runs whose leases have ended, whatever the worker got of them."""
        if not self._life.are_leases_expired or not may_abandon_runs:
            return
        # A start whose call is open may still be accepted.
        runs = [live for live in self.runs.values() if not live.is_start_open]
        self._record_loss(runs, "lease_ended")
        for live in runs:
            self._remove_lost_run(live, "lease_ended")
        self.keep_unknown_runs(set())
