"""Skips searches for a worker that can find none, within one placement pass."""

from collections.abc import Iterable

from bergamotgap.domain.fleet import Size, StepSpec
from bergamotgap.domain.task_placement import WorkerCapacity


class FreeRoom:
    """Hold the most that any worker had free, and the sizes that fitted on none.

    During a pass room only shrinks, so a size that fits on no worker does so until the
    pass ends, and larger sizes do too.
    """

    def __init__(self) -> None:
        self._most_free = Size()
        self._misfits: list[Size] = []
        # Longest task that may start on every worker, if some are due for maintenance.
        self._least_time_ms: int | None = None

    def begin_pass(self, workers: Iterable[WorkerCapacity]) -> None:
        """Measure the free room, and forget the former pass."""
        self._misfits.clear()
        self._least_time_ms = None
        cpu = memory_mb = gpus = 0
        for worker in workers:
            if worker.maintenance_in_ms is not None:
                times_ms = (self._least_time_ms, worker.longest_task_ms)
                self._least_time_ms = min(ms for ms in times_ms if ms is not None)
            capacity = worker.info.capacity
            # Calls of max() take most of the time of a pass with little to start.
            if (free := capacity.cpu - worker.used_cpu) > cpu:
                cpu = free
            if (free := capacity.memory_mb - worker.used_memory_mb) > memory_mb:
                memory_mb = free
            if (free := capacity.gpus - worker.used_gpus) > gpus:
                gpus = free
        self._most_free = Size(cpu, memory_mb, gpus)

    def may_hold(self, size: Size) -> bool:
        """Return whether a worker may have room for a task of this size."""
        return _covers(self._most_free, size) and not any(
            _covers(size, misfit) for misfit in self._misfits
        )

    def record_misfit(self, step: StepSpec) -> None:
        """Record that no worker has room, unless a rule of the step can be why."""
        if step.requirement or step.max_per_host:
            return
        time_ms = self._least_time_ms
        if time_ms is None or step.is_long_running or step.estimated_ms <= time_ms:
            self._misfits.append(step.size)


def _covers(size: Size, other: Size) -> bool:
    return (
        size.cpu >= other.cpu
        and size.memory_mb >= other.memory_mb
        and size.gpus >= other.gpus
    )
