"""State of one job of a pool, its steps and tasks, and what of it is persisted.

The jobs in `work_items` are others: those that callers submit to the entry hosts.
"""

from collections.abc import Collection, Iterable, Iterator

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec, StepSpec, TaskId
from bergamotgap.domain.job_blocks import BLOCK_TASKS, TaskBlock, TaskNumbering
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
        # Those that the record of the whole job named, and those of single blocks.
        self._former_of_all: frozenset[str] = frozenset()
        self._former_by_block: dict[int, frozenset[str]] = {}
        # By block of tasks: workers that were assigned any of them, with the number of
        # the change that persists each.
        self._assigned_by_block: dict[int, dict[str, int]] = {}
        self.numbering = TaskNumbering(spec)
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

    @property
    def assigned_workers(self) -> Collection[str]:
        """The workers that were assigned tasks of the job."""
        return {name for names in self._assigned_by_block.values() for name in names}

    def get_assignment(self, task: Task, worker_id: str) -> int | None:
        """Return the change that persists a worker of a task's block, if any."""
        block = self.numbering.find_block(task.task_id)
        return self._assigned_by_block.get(block, {}).get(worker_id)

    def assign_worker(self, task: Task, worker_id: str, change: int) -> None:
        """Record that a worker may have runs of a task's block."""
        block = self.numbering.find_block(task.task_id)
        self._assigned_by_block.setdefault(block, {})[worker_id] = change

    def forget_worker(self, worker_id: str) -> None:
        """Record that a worker can have no run of the job any more."""
        for assigned in self._assigned_by_block.values():
            assigned.pop(worker_id, None)

    def record_done(self, task: Task) -> list[Task]:
        """Record a successful run; completes the job after its last task.

        The tasks of a gang end together, so one success counts for all of them. Returns
        the tasks that were not done yet.
        """
        step = self.get_step(task)
        members = step.tasks if step.spec.is_gang else [task]
        ended = [member for member in members if member.phase is not TaskPhase.DONE]
        if not ended:
            return []
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
        return ended

    def record_failure(self, task: Task, run: int) -> list[Task]:
        """Record a failed run; in a gang it counts for every task. Returns them."""
        step = self.get_step(task)
        members = step.tasks if step.spec.is_gang else [task]
        for member in members:
            member.count_failure(run)
        return members

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
        """Return the state to persist, without the tasks that are in blocks."""
        if self.phase.is_final:
            if not any(task.is_active for task in self.list_tasks()):
                return JobProgress(self.phase, self.ended_ms)
            spec = msgspec.structs.replace(self.spec, payload="")
            workers = tuple(sorted(self.former_workers.union(self.assigned_workers)))
            return JobProgress(self.phase, self.ended_ms, workers=workers, spec=spec)
        if self.numbering.is_in_blocks:
            return JobProgress(self.phase, self.ended_ms)
        done = tuple(
            key for key, step in self._steps.items() if not step.unfinished_tasks
        )
        records = tuple(
            task.save()
            for step in self._steps.values()
            if step.unfinished_tasks
            for task in step.tasks
            if task.phase is TaskPhase.DONE or task.has_saved_state
        )
        return JobProgress(
            self.phase, self.ended_ms, done, records, self._list_block_workers(0)
        )

    def save_block(self, block: int) -> TaskBlock:
        """Return the state of a block's tasks to persist."""
        done, records = bytearray(BLOCK_TASKS // 8), []
        for position, task_id in enumerate(self.numbering.list_task_ids(block)):
            step = self._steps.get((task_id.occurrence, task_id.step))
            if step is None:
                break
            task = step.tasks[task_id.number]
            if task.phase is TaskPhase.DONE:
                done[position // 8] |= 1 << position % 8
            elif task.has_saved_state:
                records.append(task.save())
        return TaskBlock(
            block * BLOCK_TASKS,
            bytes(done),
            tuple(records),
            self._list_block_workers(block),
        )

    def _list_block_workers(self, block: int) -> tuple[str, ...]:
        """Return the workers that may have runs of a block's tasks."""
        former = self._former_by_block.get(block, self._former_of_all)
        assigned = self._assigned_by_block.get(block, {})
        return tuple(sorted((former & self.former_workers).union(assigned)))

    def restore(self, progress: JobProgress) -> None:
        """Restore the state that a former owner saved."""
        self._former_of_all = frozenset(progress.workers)
        self.former_workers = set(progress.workers)
        for occurrence, number in progress.done_steps:
            for index in range(self.spec.steps[number].count):
                self._restore_done(TaskId(self.job_id, occurrence, number, index))
        self._restore_tasks(progress.tasks)
        if not self.phase.is_final:
            self.phase = progress.phase
            self.ended_ms = progress.ended_ms

    def restore_block(self, block: TaskBlock) -> None:
        """Restore a block of tasks that a former owner saved."""
        number = block.first // BLOCK_TASKS
        self._former_by_block[number] = frozenset(block.workers)
        self.former_workers.update(block.workers)
        for task_id in self.numbering.get_task_ids(block.list_done()):
            self._restore_done(task_id)
        self._restore_tasks(block.tasks)
        self.mark_started()

    def _restore_done(self, task_id: TaskId) -> None:
        task = self.get_task(task_id)
        if task is not None:
            self.record_done(task)

    def _restore_tasks(self, records: Iterable[TaskRecord]) -> None:
        for record in records:
            task = self.get_task(
                TaskId(self.job_id, record.occurrence, record.step, record.number)
            )
            if task is None:
                continue
            task.restore(record)
            if record.is_done:
                self.record_done(task)
