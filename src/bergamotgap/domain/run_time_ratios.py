"""Ratio of actual to declared run times, learned per queue."""

from dataclasses import dataclass

# The weight of a run is halved after this many later runs.
HALF_LIFE_RUNS = 64
# Declared times have the weight of this many runs, as a prior.
DECLARED_WEIGHT_RUNS = 8


@dataclass
class _Sums:
    declared_ms: float = 0.0
    actual_ms: float = 0.0
    runs: float = 0.0


class RunTimeRatios:
    """Tracks the ratio of actual to declared run times of each queue."""

    def __init__(self) -> None:
        self._sums: dict[str, _Sums] = {}

    def record_run(self, queue: str, declared_ms: int, actual_ms: int) -> None:
        """Record a successful run; ignores runs without a declared or actual time."""
        if declared_ms <= 0 or actual_ms <= 0:
            return
        sums = self._sums.setdefault(queue, _Sums())
        decay = 0.5 ** (1 / HALF_LIFE_RUNS)
        sums.declared_ms = sums.declared_ms * decay + declared_ms
        sums.actual_ms = sums.actual_ms * decay + actual_ms
        sums.runs = sums.runs * decay + 1

    def get_ratio(self, queue: str) -> float:
        """Return the factor to apply to declared times; 1 before the first run."""
        sums = self._sums.get(queue)
        if sums is None:
            return 1.0
        prior_ms = DECLARED_WEIGHT_RUNS * sums.declared_ms / sums.runs
        return (sums.actual_ms + prior_ms) / (sums.declared_ms + prior_ms)
