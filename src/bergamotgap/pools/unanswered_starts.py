"""Starts that got no answer and may still be carried out by a worker's next life."""

from dataclasses import dataclass

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.domain.task_state import Task

# An order without an answer may be carried out until this long after it was sent.
LATEST_ORDER_MS = 15_000


@dataclass(frozen=True)
class UnansweredStart:
    """A start of a run that a worker may still receive; sent at `sent_ms`."""

    worker_id: str
    task_id: TaskId
    run: int
    step: StepSpec
    sent_ms: int


class UnansweredStarts:
    """Remember the starts sent to workers until they are answered or too old.

    A life refuses a run that was stopped there; the next one knows nothing of that.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Oldest first.
        self._starts: dict[tuple[str, TaskId, int], UnansweredStart] = {}

    def add(self, worker_id: str, task: Task, run: int) -> None:
        """Add a start that is being sent."""
        self._remove_old()
        start = UnansweredStart(
            worker_id, task.task_id, run, task.step, self._clock.monotonic_ms()
        )
        self._starts[(worker_id, task.task_id, run)] = start

    def remove(self, worker_id: str, task_id: TaskId, run: int) -> None:
        """Remove a start that was carried out, or was refused, or was not sent."""
        self._starts.pop((worker_id, task_id, run), None)

    def list_of(self, worker_id: str) -> list[UnansweredStart]:
        """Return the starts that a worker may still carry out."""
        self._remove_old()
        return [
            start for start in self._starts.values() if start.worker_id == worker_id
        ]

    def _remove_old(self) -> None:
        limit_ms = self._clock.monotonic_ms() - LATEST_ORDER_MS
        while self._starts:
            key, start = next(iter(self._starts.items()))
            if start.sent_ms >= limit_ms:
                return
            del self._starts[key]
