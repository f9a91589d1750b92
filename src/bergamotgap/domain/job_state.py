"""State of one job: its steps, their tasks, and what of it must last."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec, StepSpec, TaskId


class TaskPhase(IntEnum):
    """Where a task stands; ACTIVE phases hold room on a worker."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    # A stop was ordered, or an order got no answer: the run may still be at work.
    UNCERTAIN = 3
    DONE = 4


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """What lasts of a task whose step is not done."""

    occurrence: int
    step: int
    index: int
    run: int
    failures: int
    is_done: bool
    checkpoint: str


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """What lasts of a job beside its specification; `ended_ms` in Unix ms.

    `workers` are those that may have runs of the job.
    """

    phase: JobPhase
    ended_ms: int = 0
    done_steps: tuple[tuple[int, int], ...] = ()
    tasks: tuple[TaskRecord, ...] = ()
    workers: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Task:
    """One task; `run` is its highest run so far, on `worker_id` if it is active."""

    task_id: TaskId
    step: StepSpec
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    # The highest run whose end `failed` is counted in `failures`.
    counted_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    worker_id: str = ""
    started_ms: int = 0
    percent: int = 0
    progress_ms: int = 0
    metric: int = 0
    pace: int = 100
    failed_on: set[str] = field(default_factory=set)

    @property
    def is_active(self) -> bool:
        """Tell whether the task holds room on a worker."""
        return TaskPhase.STARTING <= self.phase <= TaskPhase.UNCERTAIN

    @property
    def is_ready(self) -> bool:
        """Tell whether a lasting task has finished its start."""
        return self.phase is TaskPhase.RUNNING and self.percent >= 100

    def requeue(self, checkpoint: str = "") -> None:
        """Return to waiting after a run that did not end well."""
        if checkpoint:
            self.checkpoint = checkpoint
        self.phase = TaskPhase.WAITING
        self.worker_id = ""
        self.percent = 0
        self.pace = 100

    def mark_done(self) -> None:
        """Note that a run ended well; it stands for good."""
        self.phase = TaskPhase.DONE
        self.worker_id = ""


class StepRun:
    """One occurrence of a step: its tasks and how many are not done."""

    __slots__ = ("missing", "number", "occurrence", "spec", "tasks")

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
        self.missing = spec.count


class Job:
    """Fold of one job: created from its specification, advanced by ends of runs."""

    def __init__(self, spec: JobSpec, arrived_ms: int) -> None:
        self.spec = spec
        self.arrived_ms = arrived_ms
        self.phase = JobPhase.QUEUED
        self.ended_ms = 0
        self.failure = ""
        # Workers that may have runs of a former owner which this one does not know.
        self.former_workers: set[str] = set()
        # Workers that were given work of the job, with the change that writes each.
        self.assigned_workers: dict[str, int] = {}
        self._steps: dict[tuple[int, int], StepRun] = {}
        self._opened = 0
        self._open_steps = 0
        # Tasks of a lasting job run until it is cancelled.
        self.is_long_running = any(step.is_long_running for step in spec.steps)
        # Estimated work of the longest chain of steps, and what is left of it.
        self.critical_path_ms = self.remaining_path_ms = _measure_chain(
            spec.steps, set()
        )

    @property
    def job_id(self) -> str:
        """Return the id that the caller chose."""
        return self.spec.job_id

    @property
    def next_due_ms(self) -> int | None:
        """Return the Unix ms when the next occurrence is due; None if all began."""
        if self._opened >= self.spec.occurrences:
            return None
        return self.spec.due_ms(self._opened)

    @property
    def steps(self) -> Iterator[StepRun]:
        """Yield the steps of all occurrences that began."""
        return iter(self._steps.values())

    def open_due_occurrences(self, wall_ms: int) -> bool:
        """Begin the occurrences that are due; tell whether any began."""
        before = self._opened
        while (due_ms := self.next_due_ms) is not None and due_ms <= wall_ms:
            self._open_next()
        return self._opened > before

    def _open_next(self) -> None:
        for number, spec in enumerate(self.spec.steps):
            run = StepRun(self.job_id, self._opened, number, spec)
            self._steps[(self._opened, number)] = run
            self._open_steps += 1
        self._opened += 1

    def get_task(self, task_id: TaskId) -> Task | None:
        """Return a task; begins its occurrence if a worker already ran it."""
        if not 0 <= task_id.occurrence < self.spec.occurrences:
            return None
        while self._opened <= task_id.occurrence:
            self._open_next()
        step = self._steps.get((task_id.occurrence, task_id.step))
        if step is None or not 0 <= task_id.number < len(step.tasks):
            return None
        return step.tasks[task_id.number]

    def list_ready_steps(self) -> list[StepRun]:
        """Return the steps that wait for no other step and are not done."""
        return [
            step
            for step in self._steps.values()
            if step.missing
            and all(
                not self._steps[(step.occurrence, other)].missing
                for other in step.spec.after
            )
        ]

    def list_tasks(self) -> list[Task]:
        """Return the tasks of all occurrences that began."""
        return [task for step in self._steps.values() for task in step.tasks]

    def record_done(self, task: Task) -> None:
        """Note an end that stands for good; completes the job with its last task.

        The members of a gang end together, so one such end stands for all of them.
        """
        step = self.get_step(task)
        members = step.tasks if step.spec.is_gang else [task]
        ended = [member for member in members if member.phase is not TaskPhase.DONE]
        if not ended:
            return
        for member in ended:
            member.mark_done()
        step.missing -= len(ended)
        if step.missing == 0:
            self._open_steps -= 1
            self._measure_left()
        if self._open_steps == 0 and self._opened >= self.spec.occurrences:
            self.end(JobPhase.COMPLETED, 0)

    def record_failure(self, task: Task, run: int) -> None:
        """Count a failed run; a gang counts it for all its members."""
        step = self.get_step(task)
        for member in step.tasks if step.spec.is_gang else [task]:
            member.counted_run = run
            member.failures += 1

    def mark_started(self) -> None:
        """Note that a task has started."""
        if self.phase is JobPhase.QUEUED:
            self.phase = JobPhase.RUNNING

    def end(self, phase: JobPhase, wall_ms: int, reason: str = "") -> None:
        """Set the final phase; the first one stands."""
        if self.phase.is_final:
            return
        self.phase = phase
        self.ended_ms = wall_ms
        self.failure = reason

    def get_step(self, task: Task) -> StepRun:
        """Return the step of a task."""
        return self._steps[(task.task_id.occurrence, task.task_id.step)]

    def _measure_left(self) -> None:
        """Note what is left of the longest chain; of repeated jobs all is."""
        if self.spec.occurrences == 1:
            done = {step.number for step in self._steps.values() if not step.missing}
            self.remaining_path_ms = _measure_chain(self.spec.steps, done)

    def save(self) -> JobProgress:
        """Return what must last."""
        if self.phase.is_final:
            return JobProgress(self.phase, self.ended_ms)
        done = tuple(key for key, step in self._steps.items() if not step.missing)
        records = tuple(
            TaskRecord(
                task.task_id.occurrence,
                task.task_id.step,
                task.task_id.number,
                task.counted_run,
                task.failures,
                task.phase is TaskPhase.DONE,
                task.checkpoint,
            )
            for step in self._steps.values()
            if step.missing
            for task in step.tasks
            if task.phase is TaskPhase.DONE or task.failures or task.checkpoint
        )
        workers = self.former_workers.union(self.assigned_workers)
        return JobProgress(
            self.phase, self.ended_ms, done, records, tuple(sorted(workers))
        )

    def restore(self, progress: JobProgress) -> None:
        """Take over what a former owner saved."""
        self.former_workers = set(progress.workers)
        for occurrence, number in progress.done_steps:
            for index in range(self.spec.steps[number].count):
                task = self.get_task(TaskId(self.job_id, occurrence, number, index))
                if task is not None:
                    self.record_done(task)
        for record in progress.tasks:
            task = self.get_task(
                TaskId(self.job_id, record.occurrence, record.step, record.index)
            )
            if task is None:
                continue
            task.counted_run, task.failures = record.run, record.failures
            task.checkpoint = record.checkpoint
            if record.is_done:
                self.record_done(task)
        if not self.phase.is_final:
            self.phase = progress.phase
            self.ended_ms = progress.ended_ms


def _measure_chain(steps: tuple[StepSpec, ...], done: set[int]) -> int:
    lengths: list[int] = []
    for number, step in enumerate(steps):
        before = max((lengths[n] for n in step.after if n < number), default=0)
        own = 0 if number in done else step.estimated_ms
        lengths.append(before + own)
    return max(lengths, default=0)
