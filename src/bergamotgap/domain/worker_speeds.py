"""Speed of a pool's workers, from the run times of their tasks."""

import math
import statistics
from collections.abc import Mapping
from dataclasses import dataclass

# A worker counts as sound until its runs show the contrary: this many runs that took as
# long as expected are assumed.
SOUND_RUNS = 4
# The weight of a run is halved within this time, so that a worker that gets no work
# because it was slow is tried again after some seconds.
HALF_LIFE_MS = 3000
MAX_RUNS = 16
# One run counts as half or twice as fast as expected at most: a long run is rarely the
# worker's fault, but several at the same time are.
MAX_OCTAVES = 1.0
# Weight of a further run of the same job: tasks of one step often behave alike.
SAME_JOB_WEIGHT = 0.25
# A worker below this speed, relative to the median of its pool, is slow.
SLOW_SPEED = 0.7


@dataclass(slots=True)
class _Evidence:
    octaves: float = 0.0
    weight: float = 0.0
    changed_ms: int = 0
    job: str = ""

    def decay(self, now_ms: int) -> None:
        factor = 0.5 ** ((now_ms - self.changed_ms) / HALF_LIFE_MS)
        self.octaves *= factor
        self.weight *= factor
        self.changed_ms = now_ms


def measure_octaves(actual_ms: float, typical_ms: float) -> float:
    """Return by how many octaves a run took longer than usual, within bounds."""
    if actual_ms <= 0 or typical_ms <= 0:
        return 0.0
    octaves = math.log2(actual_ms / typical_ms)
    return min(MAX_OCTAVES, max(-MAX_OCTAVES, octaves))


class WorkerSpeeds:
    """Keep the recent evidence of each worker's speed."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def record(self, worker_id: str, job: str, octaves: float, now_ms: int) -> None:
        """Record by how many octaves a finished run took longer than usual."""
        evidence = self._evidence.setdefault(worker_id, _Evidence(changed_ms=now_ms))
        evidence.decay(now_ms)
        weight = SAME_JOB_WEIGHT if evidence.job == job else 1.0
        evidence.job = job
        evidence.octaves += weight * octaves
        evidence.weight += weight
        if evidence.weight > MAX_RUNS:
            evidence.octaves *= MAX_RUNS / evidence.weight
            evidence.weight = MAX_RUNS

    def measure(
        self, overdue: Mapping[str, tuple[float, float]], now_ms: int
    ) -> dict[str, float]:
        """Return the speed of each worker, relative to the median.

        `overdue` has an entry for each worker: the sum of the octaves by which its
        running tasks are overdue, and their weight. If all are slow, the tasks have
        become longer, and no worker is slow. Evidence of other workers is dropped.
        """
        self._evidence = {
            worker: evidence
            for worker, evidence in self._evidence.items()
            if worker in overdue
        }
        speeds: dict[str, float] = {}
        for worker, (octaves, weight) in overdue.items():
            evidence = self._evidence.get(worker)
            if evidence is not None:
                evidence.decay(now_ms)
                octaves += evidence.octaves
                weight += evidence.weight
            speeds[worker] = 2 ** (-octaves / (SOUND_RUNS + weight))
        if not speeds:
            return {}
        # The higher of two middle values: one of two workers can be found slow.
        median = statistics.median_high(speeds.values())
        return {worker: speed / median for worker, speed in speeds.items()}
