"""Progress of jobs with many tasks, persisted in blocks of consecutive tasks.

A job's tasks are numbered by occurrence, step and number. Small jobs have one block,
which is part of the job's own record.
"""

from itertools import accumulate

import msgspec

from bergamotgap.domain.fleet import JobSpec, TaskId
from bergamotgap.domain.job_records import TaskRecord

# Tasks of a job whose progress is one record.
MAX_TASKS_IN_RECORD = 64
# Each change of a task writes its block, so that a small one costs less.
BLOCK_TASKS = 32


class TaskBlock(msgspec.Struct, frozen=True, array_like=True):
    """Persisted state of consecutive tasks, from that with the number `first` on.

    `done` has a bit for each task, the lowest bit of a byte first; `tasks` are those of
    the others that have any state. `workers` may have runs of the block's tasks.
    """

    first: int
    done: bytes = b""
    tasks: tuple[TaskRecord, ...] = ()
    workers: tuple[str, ...] = ()

    @property
    def has_state(self) -> bool:
        """Whether there is anything to persist."""
        return any(self.done) or bool(self.tasks or self.workers)

    def list_done(self) -> list[int]:
        """Return the numbers of the tasks that are done."""
        return [
            self.first + 8 * position + bit
            for position, byte in enumerate(self.done)
            for bit in range(8)
            if byte >> bit & 1
        ]


class TaskNumbering:
    """Number the tasks of a job, and divide them into blocks."""

    def __init__(self, spec: JobSpec) -> None:
        self._job_id = spec.job_id
        self._step_starts = list(
            accumulate((step.count for step in spec.steps), initial=0)
        )
        self.task_count = self._step_starts[-1] * spec.occurrences

    @property
    def is_in_blocks(self) -> bool:
        """Whether the progress is persisted apart from the job's own record."""
        return self.task_count > MAX_TASKS_IN_RECORD

    def find_block(self, task_id: TaskId) -> int:
        """Return the number of a task's block; 0 for all tasks of a small job."""
        if not self.is_in_blocks:
            return 0
        start = task_id.occurrence * self._step_starts[-1]
        number = start + self._step_starts[task_id.step] + task_id.number
        return number // BLOCK_TASKS

    def list_blocks(self) -> range:
        """Return the numbers of all blocks."""
        return range(-(-self.task_count // BLOCK_TASKS))

    def list_task_ids(self, block: int) -> list[TaskId]:
        """Return the ids of the tasks of a block."""
        first = block * BLOCK_TASKS
        return self.get_task_ids(
            range(first, min(first + BLOCK_TASKS, self.task_count))
        )

    def get_task_ids(self, numbers: range | list[int]) -> list[TaskId]:
        """Return the ids of tasks by their ascending numbers."""
        ids = []
        step = 0
        for number in numbers:
            occurrence, rest = divmod(number, self._step_starts[-1])
            while rest < self._step_starts[step]:
                step = 0
            while rest >= self._step_starts[step + 1]:
                step += 1
            task = rest - self._step_starts[step]
            ids.append(TaskId(self._job_id, occurrence, step, task))
        return ids
