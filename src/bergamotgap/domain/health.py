"""Outlier ejection: takes out workers that fail far more often than their pool."""

from collections.abc import Collection
from dataclasses import dataclass, field

from bergamotgap.domain.clock import Clock

HALF_LIFE_MS = 10_000
# Decay is applied in steps of this size; finer steps would change the counts by less
# than 1 %.
DECAY_STEP_MS = 100
# With fewer recent results, a worker's failure rate is not significant.
MIN_RESULTS = 5.0
MIN_FAILURE_RATE = 0.5
# A worker is ejected only if its failure rate is at least this multiple of the others'
# rate, so that a failure common to all workers ejects none of them.
MIN_RATE_RATIO = 2.0
# At most one in this many workers of a pool is ejected at a time.
WORKERS_PER_EJECTION = 3
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 300_000
PROBES_TO_READMIT = 3
# Rates reported for ejected workers. A worker with a due probe is preferred over all
# others, because only a probe can readmit it.
PROBE_DUE = -1.0
EJECTED = 2.0


@dataclass(slots=True)
class ResultCounts:
    """Success and failure counts that decay with a half-life of `HALF_LIFE_MS`."""

    successes: float = 0.0
    failures: float = 0.0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Decay the counts to the given time."""
        if now_ms - self.updated_ms >= DECAY_STEP_MS:
            factor = 0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS)
            self.successes *= factor
            self.failures *= factor
            self.updated_ms = now_ms

    def add(self, now_ms: int, successes: float, failures: float) -> None:
        """Add results observed at the given time."""
        self.decay(now_ms)
        self.successes += successes
        self.failures += failures

    @property
    def total(self) -> float:
        """Return the weight of all results."""
        return self.successes + self.failures


@dataclass(slots=True)
class _Ejection:
    # Each level doubles the duration of the ejection, up to MAX_EJECTION_MS.
    level: int
    until_ms: int
    probes_passed: int = 0
    is_probe_running: bool = False


@dataclass(slots=True)
class _WorkerRecord:
    results: ResultCounts = field(default_factory=ResultCounts)
    ejection: _Ejection | None = None
    last_level: int = 0
    # Until then, another ejection is one level above the last one.
    escalate_until_ms: int = 0


class HealthTracker:
    """Tracks recent results of workers and decides which workers are ejected."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._workers: dict[str, _WorkerRecord] = {}
        self._results_by_entry: dict[str, dict[str, ResultCounts]] = {}

    def record_success(self, entry: str, worker: str) -> None:
        """Record a success; an ejected worker is readmitted after enough probes."""
        record = self._get_record(worker)
        now_ms = self._clock.monotonic_ms()
        record.results.add(now_ms, 1.0, 0.0)
        self._get_entry_results(entry, worker).add(now_ms, 1.0, 0.0)
        # Tasks sent before the ejection may still end, but don't count as probes.
        if record.ejection is None or not record.ejection.is_probe_running:
            return
        record.ejection.probes_passed += 1
        if record.ejection.probes_passed >= PROBES_TO_READMIT:
            self._readmit(record, record.ejection)

    def record_failure(
        self, entry: str, worker: str, pool_workers: Collection[str]
    ) -> bool:
        """Record a failure and return whether it ejected the worker.

        `pool_workers` names all workers of the pool. The more often the entry fails on
        other workers, the less the failure counts against this one.
        """
        weight = 1.0 - self._get_failure_rate_elsewhere(entry, worker)
        record = self._get_record(worker)
        now_ms = self._clock.monotonic_ms()
        # The remaining weight, explained by the entry's failures on other workers,
        # counts as a success. Without it, such failures alone would add up to a rate
        # of 1.
        record.results.add(now_ms, 1.0 - weight, weight)
        self._get_entry_results(entry, worker).add(now_ms, 0.0, 1.0)
        self._readmit_cleared(entry, worker, pool_workers)
        if record.ejection is not None:
            if record.ejection.is_probe_running and weight >= MIN_FAILURE_RATE:
                self._eject(record, record.ejection.level + 1)
            return False
        if not self._is_outlier(record, worker, pool_workers):
            return False
        if (
            self.count_ejected(pool_workers) + 1
            > len(pool_workers) // WORKERS_PER_EJECTION
        ):
            return False
        self._eject(record, self._choose_ejection_level(record))
        return True

    def _readmit_cleared(
        self, entry: str, worker: str, pool_workers: Collection[str]
    ) -> None:
        """Readmit workers whose failures turn out to be caused by an entry.

        An entry that fails everywhere fails on one worker first. As no failures on
        other workers are known by then, these count in full against that worker and may
        eject it by mistake.
        """
        for name in pool_workers:
            record = self._workers.get(name)
            if name == worker or record is None or record.ejection is None:
                continue
            own = self._results_by_entry[entry].get(name)
            if (
                own is not None
                and own.failures > 0
                and self._is_below_failure_threshold(name)
            ):
                record.ejection = None
                record.results = ResultCounts(updated_ms=self._clock.monotonic_ms())

    def _is_below_failure_threshold(self, worker: str) -> bool:
        """Return whether a worker's reweighted failure rate is below the threshold."""
        now_ms = self._clock.monotonic_ms()
        failures = total = 0.0
        for entry, by_worker in self._results_by_entry.items():
            results = by_worker.get(worker)
            if results is None:
                continue
            results.decay(now_ms)
            weight = 1.0 - self._get_failure_rate_elsewhere(entry, worker)
            failures += weight * results.failures
            total += results.total
        return failures < MIN_FAILURE_RATE * total

    def get_failure_rate(self, worker: str) -> float:
        """Return the recent failure rate of a worker, from 0 to 1.

        Returns `PROBE_DUE` or `EJECTED` for an ejected worker.
        """
        record = self._workers.get(worker)
        if record is None:
            return 0.0
        if record.ejection is not None:
            return PROBE_DUE if self.is_probe_due(worker) else EJECTED
        if record.results.failures == 0.0:
            return 0.0
        record.results.decay(self._clock.monotonic_ms())
        return record.results.failures / max(record.results.total, MIN_RESULTS)

    def is_ejected(self, worker: str) -> bool:
        """Return whether a worker is ejected; true also while it is being probed."""
        record = self._workers.get(worker)
        return record is not None and record.ejection is not None

    def is_probe_due(self, worker: str) -> bool:
        """Return whether an ejected worker may get one task as a probe."""
        record = self._workers.get(worker)
        if record is None or record.ejection is None:
            return False
        ejection = record.ejection
        is_expired = self._clock.monotonic_ms() >= ejection.until_ms
        return is_expired and not ejection.is_probe_running

    def begin_probe(self, worker: str) -> None:
        """Mark a probe as running, which allows no other one until `end_probe`."""
        ejection = self._get_record(worker).ejection
        if ejection is not None:
            ejection.is_probe_running = True

    def end_probe(self, worker: str) -> None:
        """Mark the probe as ended, which allows the next one."""
        ejection = self._get_record(worker).ejection
        if ejection is not None:
            ejection.is_probe_running = False

    def count_ejected(self, pool_workers: Collection[str]) -> int:
        """Return how many of the workers are ejected."""
        return sum(self.is_ejected(worker) for worker in pool_workers)

    def forget_worker(self, worker: str) -> None:
        """Discard all results of a worker that was removed or restarted."""
        self._workers.pop(worker, None)
        for results in self._results_by_entry.values():
            results.pop(worker, None)

    def _get_record(self, worker: str) -> _WorkerRecord:
        record = self._workers.get(worker)
        if record is None:
            record = self._workers[worker] = _WorkerRecord()
        return record

    def _get_entry_results(self, entry: str, worker: str) -> ResultCounts:
        by_worker = self._results_by_entry.get(entry)
        if by_worker is None:
            by_worker = self._results_by_entry[entry] = {}
        results = by_worker.get(worker)
        if results is None:
            results = by_worker[worker] = ResultCounts()
        return results

    def _get_failure_rate_elsewhere(self, entry: str, worker: str) -> float:
        now_ms = self._clock.monotonic_ms()
        failures = total = 0.0
        for name, results in self._results_by_entry.get(entry, {}).items():
            if name == worker:
                continue
            results.decay(now_ms)
            failures += results.failures
            total += results.total
        # The 1.0 acts as a prior success, so that a single failure elsewhere doesn't
        # clear a worker.
        return failures / (total + 1.0)

    def _is_outlier(
        self, record: _WorkerRecord, worker: str, pool_workers: Collection[str]
    ) -> bool:
        own = record.results
        if own.total < MIN_RESULTS:
            return False
        rate = own.failures / own.total
        others = [
            self._get_record(name).results
            for name in pool_workers
            if name != worker and not self.is_ejected(name)
        ]
        failures = sum(results.failures for results in others)
        total = sum(results.total for results in others)
        return rate >= max(MIN_FAILURE_RATE, MIN_RATE_RATIO * failures / (total + 1.0))

    def _choose_ejection_level(self, record: _WorkerRecord) -> int:
        if self._clock.monotonic_ms() < record.escalate_until_ms:
            return record.last_level + 1
        return 0

    def _eject(self, record: _WorkerRecord, level: int) -> None:
        duration_ms = _ejection_ms(level)
        until_ms = self._clock.monotonic_ms() + duration_ms
        record.ejection = _Ejection(level, until_ms)

    def _readmit(self, record: _WorkerRecord, ejection: _Ejection) -> None:
        # A worker that fails again soon after its readmission is ejected for longer.
        record.last_level = ejection.level
        now_ms = self._clock.monotonic_ms()
        record.escalate_until_ms = now_ms + 2 * _ejection_ms(ejection.level)
        record.ejection = None
        record.results = ResultCounts(updated_ms=now_ms)


def _ejection_ms(level: int) -> int:
    return int(min(FIRST_EJECTION_MS * 2 ** min(level, 16), MAX_EJECTION_MS))
