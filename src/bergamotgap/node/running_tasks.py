"""Registry of tasks that this entry host has placed and that have not ended."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.catalogue import Entry


class TaskReservation(Protocol):
    """The slot of a running task and the capacity that it reserves on its worker."""

    def release_while_paused(self) -> None:
        """Release the slot and the reserved capacity while the task is paused."""

    def reacquire(self) -> None:
        """Count the slot and the capacity as taken again, unless the task has ended."""


@dataclass(eq=False, slots=True)
class RunningTask:
    """A task that was placed on a worker and has not ended.

    `started_ms` is the monotonic time at which it got its slot; `is_lent` means that
    the slot is beyond the entry's guaranteed share. `is_preemption_requested` is set
    while the task is being preempted, and stays set for a throttled task.
    `is_usage_recorded` is set once its resource usage was added to the size estimates.
    `applied_limits` are the control verbs sent because of excessive usage, and
    `next_limit_ms` is the earliest time of the next one.
    """

    task: str
    host: str
    address: str
    pool: str
    entry: Entry
    is_lent: bool
    started_ms: int
    reservation: TaskReservation
    is_preemption_requested: bool = False
    is_usage_recorded: bool = False
    applied_limits: tuple[str, ...] = ()
    next_limit_ms: int = 0


class RunningTasks:
    """Registry of running tasks, to which the placer adds and removes them.

    A task is added when its worker is chosen, so its order may not have arrived yet.
    Tasks of other entry hosts on the same worker are not included.
    """

    def __init__(self) -> None:
        self._by_pool: dict[str, dict[str, RunningTask]] = {}

    def add(self, item: RunningTask) -> None:
        """Add a task."""
        self._by_pool.setdefault(item.pool, {})[item.task] = item

    def remove(self, item: RunningTask) -> None:
        """Remove a task that has ended."""
        self._by_pool[item.pool].pop(item.task, None)

    def list_pool(self, pool: str) -> Sequence[RunningTask]:
        """Return the tasks in a pool, oldest first."""
        return list(self._by_pool.get(pool, {}).values())

    def list_all(self) -> Sequence[RunningTask]:
        """Return the tasks in all pools."""
        return [item for items in self._by_pool.values() for item in items.values()]
