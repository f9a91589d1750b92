"""State of one job of a pool, its steps and tasks, and what of it is persisted.

The jobs in `work_items` are others: those that callers submit to the entry hosts.
"""

from collections.abc import Iterator

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec, StepSpec, TaskId
from bergamotgap.domain.job_paths import ExpectedPath
from bergamotgap.domain.job_records import JobProgress, TaskRecord
from bergamotgap.domain.task_state import Task, TaskPhase


class StepOccurrence:
    """One occurrence of a step; `unfinished_tasks` counts those not done."""

    __slots__ = ("number", "occurrence", "spec", "tasks", "unfinished_tasks")

    def __init__(
        self, job_id: str, occurrence: int, number: int, spec: StepSpec
    ) -> None:
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.tasks = [
            Task(TaskId(job_id, occurrence, number, index), spec)
            for index in range(spec.count)
        ]
        self.unfinished_tasks = spec.count

    @property
    def has_suspects(self) -> bool:
        """Whether a task must be tried apart from other jobs, and the step with it.

        Tasks of one step often behave alike.
        """
        return any(task.runs_alone for task in self.tasks)

    @property
    def has_started(self) -> bool:
        """Whether a task was ever started."""
        return any(task.run for task in self.tasks)

    @property
    def waiting_tasks(self) -> int:
        """The number of tasks that wait to be started."""
        return sum(task.phase is TaskPhase.WAITING for task in self.tasks)

    def require_trial(self) -> None:
        """Let the waiting tasks start on a worker apart from other jobs only."""
        for task in self.tasks:
            if task.phase is TaskPhase.WAITING:
                task.runs_alone = True


class Job:
    """State of one job, derived from its specification and the ends of its runs.

    `arrived_ms` is a time of this process's clock, `ended_ms` a Unix time.
    """

    def __init__(self, spec: JobSpec, arrived_ms: int) -> None:
        self.spec = spec
        self.arrived_ms = arrived_ms
        self.phase = JobPhase.QUEUED
        self.ended_ms = 0
        self.end_reason = ""
        # Workers that may have runs started by a former owner and unknown to this one.
        self.former_workers: set[str] = set()
        # Workers that were assigned tasks of the job, with the number of the change
        # that persists each.
        self.assigned_workers: dict[str, int] = {}
        self._steps: dict[tuple[int, int], StepOccurrence] = {}
        self._begun_occurrences = 0
        self._unfinished_steps = 0
        # Tasks of a long-running job run until it is cancelled.
        self.is_long_running = any(step.is_long_running for step in spec.steps)
        # The steps that are done; repeated jobs count none.
        self.done_steps: frozenset[int] = frozenset()
        # The expected path by the version of the estimates given, if it is known.
        self.expected_path: tuple[int, ExpectedPath] | None = None

    @property
    def job_id(self) -> str:
        """Return the id chosen by the caller."""
        return self.spec.job_id

    @property
    def next_due_ms(self) -> int | None:
        """Return the due time of the next occurrence in Unix ms; None if all began."""
        if self._begun_occurrences >= self.spec.occurrences:
            return None
        return self.spec.due_ms(self._begun_occurrences)

    @property
    def steps(self) -> Iterator[StepOccurrence]:
        """Return an iterator over the steps of all occurrences that have begun."""
        return iter(self._steps.values())

    def begin_due_occurrences(self, wall_ms: int) -> bool:
        """Begin the occurrences that are due and return whether there were any."""
        before = self._begun_occurrences
        while (due_ms := self.next_due_ms) is not None and due_ms <= wall_ms:
            self._begin_next_occurrence()
        return self._begun_occurrences > before

    def _begin_next_occurrence(self) -> None:
        for number, spec in enumerate(self.spec.steps):
            step = StepOccurrence(self.job_id, self._begun_occurrences, number, spec)
            self._steps[(self._begun_occurrences, number)] = step
            self._unfinished_steps += 1
        self._begun_occurrences += 1

    def get_task(self, task_id: TaskId) -> Task | None:
        """Return a task, or None if the job has no such task.

        Begins the task's occurrence if needed: a worker may already have run the task.
        """
        if not 0 <= task_id.occurrence < self.spec.occurrences:
            return None
        while self._begun_occurrences <= task_id.occurrence:
            self._begin_next_occurrence()
        step = self._steps.get((task_id.occurrence, task_id.step))
        if step is None or not 0 <= task_id.number < len(step.tasks):
            return None
        return step.tasks[task_id.number]

    def list_ready_steps(self) -> list[StepOccurrence]:
        """Return the unfinished steps whose dependencies are done."""
        return [
            step
            for step in self._steps.values()
            if step.unfinished_tasks
            and all(
                not self._steps[(step.occurrence, other)].unfinished_tasks
                for other in step.spec.after
            )
        ]

    def is_waiting_for_trial(self) -> bool:
        """Return whether tasks wait for a trial on a worker apart from other jobs."""
        return self.find_trial_task() is not None

    def find_trial_task(self) -> Task | None:
        """Return the first task that waits for a trial, if any."""
        return next(self.iterate_trial_tasks(), None)

    def iterate_trial_tasks(self) -> Iterator[Task]:
        """Return an iterator over the tasks that wait for a trial."""
        return (
            task
            for step in self.list_ready_steps()
            if step.has_suspects
            for task in step.tasks
            if task.phase is TaskPhase.WAITING
        )

    def list_tasks(self) -> list[Task]:
        """Return the tasks of all occurrences that have begun."""
        return [task for step in self._steps.values() for task in step.tasks]

    def record_done(self, task: Task) -> None:
        """Record a successful run; completes the job after its last task.

        The tasks of a gang end together, so one success counts for all of them.
        """
        step = self.get_step(task)
        members = step.tasks if step.spec.is_gang else [task]
        ended = [member for member in members if member.phase is not TaskPhase.DONE]
        if not ended:
            return
        for member in ended:
            member.mark_done()
        step.unfinished_tasks -= len(ended)
        if step.unfinished_tasks == 0:
            self._unfinished_steps -= 1
            self._update_done_steps()
        if (
            self._unfinished_steps == 0
            and self._begun_occurrences >= self.spec.occurrences
        ):
            # Leaves `ended_ms` at 0; the job table sets it when it records the end.
            self.end(JobPhase.COMPLETED, 0)

    def record_failure(self, task: Task, run: int) -> None:
        """Record a failed run; in a gang it counts for every task."""
        step = self.get_step(task)
        for member in step.tasks if step.spec.is_gang else [task]:
            member.count_failure(run)

    def mark_started(self) -> None:
        """Record that a task has started."""
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def end(self, phase: JobPhase, wall_ms: int, reason: str = "") -> None:
        """Set the final phase; has no effect if the job has already ended."""
        if self.phase.is_final:
            return
        self.phase = phase
        self.ended_ms = wall_ms
        self.end_reason = reason

    def get_step(self, task: Task) -> StepOccurrence:
        """Return the step of a task."""
        return self._steps[(task.task_id.occurrence, task.task_id.step)]

    def _update_done_steps(self) -> None:
        """Update the steps that the remaining path leaves out."""
        if self.spec.occurrences == 1:
            self.done_steps = frozenset(
                step.number
                for step in self._steps.values()
                if not step.unfinished_tasks
            )
            self.expected_path = None

    def save(self) -> JobProgress:
        """Return the state to persist."""
        has_runs = any(task.is_active for task in self.list_tasks())
        if self.phase.is_final and not has_runs:
            return JobProgress(self.phase, self.ended_ms)
        done = tuple(
            key for key, step in self._steps.items() if not step.unfinished_tasks
        )
        records = tuple(
            TaskRecord(
                task.task_id.occurrence,
                task.task_id.step,
                task.task_id.number,
                task.counted_run,
                task.failures,
                task.phase is TaskPhase.DONE,
                task.checkpoint,
                task.exposures,
                task.crashed_workers,
                task.blamed_crashes,
                task.runs_alone,
                task.confirmed_crashes,
                task.counted_runs,
            )
            for step in self._steps.values()
            if step.unfinished_tasks
            for task in step.tasks
            if task.phase is TaskPhase.DONE
            or task.failures
            or task.checkpoint
            or task.exposures
            or task.crashed_workers
        )
        workers = self.former_workers.union(self.assigned_workers)
        spec = None
        if self.phase.is_final:
            spec = msgspec.structs.replace(self.spec, payload="")
        return JobProgress(
            self.phase, self.ended_ms, done, records, tuple(sorted(workers)), spec
        )

    def restore(self, progress: JobProgress) -> None:
        """Restore the state that a former owner saved."""
        self.former_workers = set(progress.workers)
        for occurrence, number in progress.done_steps:
            for index in range(self.spec.steps[number].count):
                task = self.get_task(TaskId(self.job_id, occurrence, number, index))
                if task is not None:
                    self.record_done(task)
        for record in progress.tasks:
            task = self.get_task(
                TaskId(self.job_id, record.occurrence, record.step, record.number)
            )
            if task is None:
                continue
            task.counted_run, task.failures = record.counted_run, record.failures
            task.counted_runs = record.counted_runs or (record.counted_run,)
            task.checkpoint = record.checkpoint
            task.exposures = record.exposures
            task.crashed_workers = record.crashed_workers
            task.blamed_crashes = record.blamed_crashes
            task.confirmed_crashes = record.confirmed_crashes
            task.runs_alone = record.runs_alone
            if record.is_done:
                self.record_done(task)
        if not self.phase.is_final:
            self.phase = progress.phase
            self.ended_ms = progress.ended_ms
