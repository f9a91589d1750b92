"""Every run of a pool's tasks that may be on a worker, by task."""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId
from bergamotgap.pools.unanswered_starts import UnansweredStarts

log = get_logger(__name__)


class PossibleRun(NamedTuple):
    """A run that is or may be on a worker."""

    worker_id: str
    run: int


class PossibleRuns:
    """Hold each run from before its start is sent until it is proven to be gone.

    A task starts only while it has none. Proofs are an end that the worker lists, a
    start that was not sent or was refused, a poll of the life that has the run, or must
    refuse its start, and the end of the last lease that it can hold.

    `unanswered_starts` may still be carried out by a later life of their worker.
    `doubled` counts how often a run came beside another of its task in this term.
    """

    def __init__(self, clock: Clock) -> None:
        self.unanswered_starts = UnansweredStarts(clock)
        self._clock = clock
        # When each run was added, by task.
        self._by_task: dict[TaskId, dict[PossibleRun, int]] = {}
        self.doubled = 0

    def __len__(self) -> int:
        """Return the number of runs."""
        return sum(map(len, self._by_task.values()))

    def add(self, task_id: TaskId, worker_id: str, run: int) -> None:
        """Add a run that may be on a worker from now on."""
        runs = self._by_task.setdefault(task_id, {})
        new = PossibleRun(worker_id, run)
        if new in runs:
            return
        if runs:
            self.doubled += 1
            log.warning(
                "task may run twice",
                task=task_id,
                run=run,
                worker=worker_id,
                others=describe_runs(runs),
            )
        runs[new] = self._clock.monotonic_ms()

    def remove(self, task_id: TaskId, worker_id: str, run: int) -> None:
        """Remove a run that is proven to be gone."""
        runs = self._by_task.get(task_id)
        if runs is None:
            return
        runs.pop(PossibleRun(worker_id, run), None)
        if not runs:
            del self._by_task[task_id]

    def may_exist(self, task_id: TaskId) -> bool:
        """Return whether a run of a task may be on any worker."""
        return task_id in self._by_task

    def may_exist_beside(self, task_id: TaskId, run: int) -> bool:
        """Return whether another run of a task than `run` may be on any worker."""
        return any(other.run != run for other in self.list_runs(task_id))

    def may_be_on(self, task_id: TaskId, worker_id: str) -> bool:
        """Return whether a run of a task may be on a worker."""
        return any(run.worker_id == worker_id for run in self.list_runs(task_id))

    def list_runs(self, task_id: TaskId) -> Collection[PossibleRun]:
        """Return the runs of a task that may be on workers."""
        return self._by_task.get(task_id, {}).keys()

    @property
    def by_task(self) -> Mapping[TaskId, Collection[PossibleRun]]:
        """All runs by task."""
        return self._by_task

    def get_age_ms(self, task_id: TaskId) -> int:
        """Return how long the oldest run of a task may have been on a worker; 0: none.

        A run that a later life of its worker may carry out counts from there on.
        """
        runs = self._by_task.get(task_id)
        return self._clock.monotonic_ms() - min(runs.values()) if runs else 0


def describe_runs(runs: Collection[PossibleRun]) -> str:
    """Return the numbers and workers of runs."""
    return ", ".join(f"run {run} on {worker_id}" for worker_id, run in runs)
