"""Tasks that this entry host has sent to workers and that have not ended."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.catalogue import Entry


class TaskReservation(Protocol):
    """What a running task holds: a slot and room on its worker."""

    def release_while_paused(self) -> None:
        """Give back the slot and the room while the task is paused."""

    def reacquire(self) -> None:
        """Count the slot and the room as taken again, unless the task has ended."""


@dataclass(eq=False, slots=True)
class RunningTask:
    """One task; `started_ms` is the monotonic time at which it got its slot.

    `is_lent` tells that the entry's guaranteed share did not pay for the slot;
    `is_asked` that the task is being asked to give way, or has been for good.
    `is_measured` tells that its use was learned; `limits` are the steps that were taken
    because of it, and `next_limit_ms` is the earliest time of the next one.
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
    """Registry of running tasks; the placer adds and removes them.

    A task is listed from the choice of its worker on, so that its order may not have
    arrived yet. Tasks of other entry hosts are known to the worker only.
    """

    def __init__(self) -> None:
        self._by_pool: dict[str, dict[str, RunningTask]] = {}

    def add(self, item: RunningTask) -> None:
        """List a task."""
        self._by_pool.setdefault(item.pool, {})[item.task] = item

    def remove(self, item: RunningTask) -> None:
        """Forget a task that has ended."""
        self._by_pool[item.pool].pop(item.task, None)

    def list_pool(self, pool: str) -> Sequence[RunningTask]:
        """Return the tasks in a pool, the oldest first."""
        return list(self._by_pool.get(pool, {}).values())

    def list_all(self) -> Sequence[RunningTask]:
        """Return the tasks in all pools."""
        return [item for items in self._by_pool.values() for item in items.values()]
