"""How long tasks take, against what their jobs declare; learned by queue."""

from dataclasses import dataclass

# An earlier run counts half after this many later ones.
HALF_LIFE_RUNS = 64
# Declared times are believed as much as this many runs.
DECLARED_WEIGHT_RUNS = 8


@dataclass
class _Sums:
    declared_ms: float = 0.0
    actual_ms: float = 0.0
    runs: float = 0.0


class RunEstimates:
    """Keep the ratio of actual to declared run times of each queue."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def record_run(self, queue: str, declared_ms: int, actual_ms: int) -> None:
        """Count a run that ended well; times in ms."""
        if declared_ms <= 0 or actual_ms <= 0:
            return
        sums = self._sums.setdefault(queue, _Sums())
        decay = 0.5 ** (1 / HALF_LIFE_RUNS)
        sums.declared_ms = sums.declared_ms * decay + declared_ms
        sums.actual_ms = sums.actual_ms * decay + actual_ms
        sums.runs = sums.runs * decay + 1

    def get_ratio(self, queue: str) -> float:
        """Return the factor for declared times; 1 while nothing is known."""
        sums = self._sums.get(queue)
        if sums is None:
            return 1.0
        believed_ms = DECLARED_WEIGHT_RUNS * sums.declared_ms / sums.runs
        return (sums.actual_ms + believed_ms) / (sums.declared_ms + believed_ms)
