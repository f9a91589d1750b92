"""A worker as the owner of its pool tracks it: its runs, and whether it gets work."""

from collections.abc import Collection

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.crash_suspicion import START_MS
from bergamotgap.domain.fleet import TaskId, WorkerInfo, WorkerState
from bergamotgap.domain.task_placement import WorkerCapacity
from bergamotgap.pools.lease_lines import LeaseLog
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.possible_runs import PossibleRuns
from bergamotgap.pools.worker_life import WorkerLife
from bergamotgap.ports.fleet import Accepted, OrderOutcome, Refused, Unanswered

log = get_logger(__name__)


class TrackedWorker:
    """Hold the runs and the life of one worker, and whether it gets new work.

    `unknown_runs` are runs of unknown size that were found there.
    """

    def __init__(
        self,
        info: WorkerInfo,
        life: WorkerLife,
        possible_runs: PossibleRuns,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._possible_runs = possible_runs
        self._life = life
        self.info = info
        self.lease_log = LeaseLog(info.worker_id, life, clock)
        self.was_polled = False
        self.is_listed = True
        self.is_silent = False
        self.consecutive_failures = 0
        # Runs that are not listed may have ended: the worker lists only so many ends.
        self.has_unread_ends = False
        self.unknown_runs: set[tuple[TaskId, int]] = set()
        self.capacity = WorkerCapacity(info)
        self.runs: dict[TaskId, LiveRun] = {}
        # Number of changes of `runs` so far.
        self.run_changes = 0
        self.idle_since_ms = clock.monotonic_ms()
        self.draining_until_ms = 0
        self.quarantined_until_ms = 0
        self.answered_ms = clock.monotonic_ms()
        # When the worker last answered after a silence.
        self.silence_ended_ms = 0
        # When the worker last closed the connection of a poll that it had held.
        self.cut_off_ms = 0
        # The job whose suspected tasks are tried on this worker, and since when.
        self.trial_job = ""
        self.trial_since_ms = 0

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self.info.worker_id

    @property
    def incarnation_ms(self) -> int:
        """The life of the worker that answered last, or the listed one."""
        return self._life.incarnation_ms or self.info.incarnation_ms

    @property
    def is_life_listed(self) -> bool:
        """Whether the report is that of the life that answers, as far as is known.

        A new life may have another capacity and other labels.
        """
        return self._life.incarnation_ms in (0, self.info.incarnation_ms)

    @property
    def are_runs_known(self) -> bool:
        """Whether every run that may be on the worker is known."""
        return self.was_polled or self._life.are_leases_expired

    @property
    def is_empty(self) -> bool:
        """Whether no run is tracked on the worker, nor was an unknown one found."""
        return not self.runs and not self.unknown_runs

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to poll the worker for."""
        has_ends = self._life.has_unacked_ends or self.has_unread_ends
        return self.was_polled and self.is_empty and not has_ends and not self.is_silent

    @property
    def is_removable(self) -> bool:
        """Whether the worker has left and nothing can run there any more."""
        return not self.is_listed and self.is_empty and self.are_runs_known

    def is_usable(self, now_ms: int) -> bool:
        """Return whether the worker may get new work."""
        return not self.get_obstacle(now_ms)

    def get_obstacle(self, now_ms: int) -> str:
        """Return why the worker may get no new work; empty if it may."""
        if not self.is_listed:
            return "not_listed"
        if not self.was_polled or self.is_silent:
            return "silent" if self.was_polled else "not_polled"
        if not self.is_life_listed:
            return "life_not_listed"
        if self.unknown_runs:
            return "unknown_run"
        if self.has_unread_ends:
            return "ends_not_read"
        if self.is_leaving:
            return "draining"
        return "quarantined" if now_ms < self.quarantined_until_ms else ""

    def begin_life(self, incarnation_ms: int) -> None:
        """Forget what held for a former life; `incarnation_ms` is 0 if not polled yet.

        The runs of the former life are left to the caller.
        """
        self._life.begin(incarnation_ms)
        self.keep_unknown_runs(set())
        self.has_unread_ends = False
        self.draining_until_ms = self.quarantined_until_ms = 0

    @property
    def is_leaving(self) -> bool:
        """Whether the worker is being drained, by its own report or by this owner."""
        is_withheld = self._clock.monotonic_ms() < self.draining_until_ms
        return is_withheld or self.info.state is WorkerState.DRAINING

    @property
    def is_long_task_starting(self) -> bool:
        """Whether a long-running task is not ready yet.

        Others of its step may stop only once a poll shows that it is.
        """
        tasks = [live.task for live in self.runs.values()]
        return any(task.step.is_long_running and not task.is_ready for task in tasks)

    def add_run(self, live: LiveRun) -> None:
        """Track a run and hold capacity for it, in place of a former run of the task.

        A former run that is still on the worker is listed by the next poll.
        """
        former = self.runs.get(live.task.task_id)
        if former is not None:
            log.error(
                "run replaced",
                task=live.task.task_id,
                run=live.run,
                former=former.run,
                worker=self.worker_id,
            )
            self.remove_run(former)
        self.runs[live.task.task_id] = live
        self._possible_runs.add(live.task.task_id, self.worker_id, live.run)
        self.run_changes += 1
        self.capacity.reserve(live.task)

    def remove_run(self, live: LiveRun) -> None:
        """Stop tracking a run and release its capacity."""
        if self.runs.get(live.task.task_id) is live:
            del self.runs[live.task.task_id]
            self._possible_runs.remove(live.task.task_id, self.worker_id, live.run)
            self.run_changes += 1
            self.capacity.release(live.task)
            self.idle_since_ms = self._clock.monotonic_ms()

    def add_unknown_run(self, task_id: TaskId, run: int) -> None:
        """Track a run of unknown size."""
        self.unknown_runs.add((task_id, run))
        self._possible_runs.add(task_id, self.worker_id, run)

    def keep_unknown_runs(self, running: Collection[tuple[TaskId, int]]) -> None:
        """Stop tracking the runs of unknown size that are not running any more."""
        for task_id, run in self.unknown_runs.difference(running):
            self.unknown_runs.discard((task_id, run))
            self._possible_runs.remove(task_id, self.worker_id, run)

    def record_silence(self) -> None:
        """Record that the worker did not answer."""
        if not self.is_silent:
            self.lease_log.record_silence(
                len(self.runs), self.incarnation_ms, self.answered_ms
            )
        self.is_silent = True
        self._life.doubt()

    def record_unanswered_poll(
        self, outcome: Unanswered, sent_ms: int, now_ms: int
    ) -> None:
        """Record that a poll got no answer, and when its connection was closed.

        A poll of a worker that is gone already is cut off as well, but at once.
        """
        if outcome.is_cut_off and now_ms - sent_ms >= START_MS:
            self.cut_off_ms = now_ms
        self.record_silence()

    def record_answer(self, now_ms: int) -> None:
        """Record that the worker answered."""
        if self.is_silent:
            log.info("worker answers again", worker=self.worker_id)
            self.silence_ended_ms = now_ms
        self.is_silent = False
        self.answered_ms = now_ms

    def record_outcome(self, outcome: OrderOutcome, now_ms: int) -> None:
        """Record whether the worker answered an order."""
        if isinstance(outcome, Accepted | Refused) and outcome.clock_ms:
            self.record_answer(now_ms)
        elif isinstance(outcome, Unanswered):
            self.record_silence()

    def withhold_work(self, duration_ms: int) -> None:
        """Give the worker no new work for a time because it is being drained."""
        self.draining_until_ms = self._clock.monotonic_ms() + duration_ms

    def quarantine(self, duration_ms: int) -> None:
        """Give the worker no new work for at least `duration_ms`."""
        until_ms = self._clock.monotonic_ms() + duration_ms
        self.quarantined_until_ms = max(self.quarantined_until_ms, until_ms)
