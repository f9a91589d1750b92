"""A worker as the owner of its pool tracks it: its runs, and whether it gets work."""

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId, WorkerInfo, WorkerState
from bergamotgap.domain.task_placement import WorkerCapacity
from bergamotgap.pools.link_interface import LiveRun


class TrackedWorker:
    """Hold the runs of one worker, and until when it gets no new work."""

    def __init__(self, info: WorkerInfo, clock: Clock) -> None:
        self._clock = clock
        self.info = info
        self.capacity = WorkerCapacity(info)
        self.runs: dict[TaskId, LiveRun] = {}
        # Number of changes of `runs` so far.
        self.run_changes = 0
        self.idle_since_ms = clock.monotonic_ms()
        self.draining_until_ms = 0
        self.quarantined_until_ms = 0
        # When the worker last answered after a silence.
        self.silence_ended_ms = 0
        # The job whose suspected tasks are tried on this worker, and since when.
        self.trial_job = ""
        self.trial_since_ms = 0

    @property
    def worker_id(self) -> str:
        """The worker's id."""
        return self.info.worker_id

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
        """Track a run and hold capacity for it."""
        self.runs[live.task.task_id] = live
        self.run_changes += 1
        self.capacity.reserve(live.task)

    def remove_run(self, live: LiveRun) -> None:
        """Stop tracking a run and release its capacity."""
        if self.runs.get(live.task.task_id) is live:
            del self.runs[live.task.task_id]
            self.run_changes += 1
            self.capacity.release(live.task)
            self.idle_since_ms = self._clock.monotonic_ms()

    def withhold_work(self, duration_ms: int) -> None:
        """Give the worker no new work for a time because it is being drained."""
        self.draining_until_ms = self._clock.monotonic_ms() + duration_ms

    def quarantine(self, duration_ms: int) -> None:
        """Give the worker no new work for at least `duration_ms`."""
        until_ms = self._clock.monotonic_ms() + duration_ms
        self.quarantined_until_ms = max(self.quarantined_until_ms, until_ms)
