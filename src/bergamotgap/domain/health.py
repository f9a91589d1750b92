"""Ejection of workers that fail much more often than the rest of their pool."""

from collections.abc import Collection
from dataclasses import dataclass, field

from bergamotgap.domain.clock import Clock

HALF_LIFE_MS = 10_000
# Finer steps would change the counts by less than a hundredth.
DECAY_STEP_MS = 100
# Below this many recent results a worker's failure rate says too little.
MIN_RESULTS = 5.0
MIN_FAILURE_RATE = 0.5
# A worker is ejected only when it fails this many times as often as the others, so
# that a failure that all workers share ejects none.
MIN_RATE_RATIO = 2.0
# At most one in this many workers of a pool is ejected.
WORKERS_PER_EJECTION = 3
FIRST_EJECTION_MS = 5_000
MAX_EJECTION_MS = 300_000
PROBES_TO_READMIT = 3
# Rates of ejected workers. A due probe goes before all other choices, because no other
# task would bring the worker back.
PROBE_DUE = -1.0
EJECTED = 2.0


@dataclass(slots=True)
class ResultCounts:
    """Counts of results that lose half their weight in `HALF_LIFE_MS`."""

    successes: float = 0.0
    failures: float = 0.0
    updated_ms: int = 0

    def decay(self, now_ms: int) -> None:
        """Bring the counts to the given time."""
        if now_ms - self.updated_ms >= DECAY_STEP_MS:
            factor = 0.5 ** ((now_ms - self.updated_ms) / HALF_LIFE_MS)
            self.successes *= factor
            self.failures *= factor
            self.updated_ms = now_ms

    def add(self, now_ms: int, successes: float, failures: float) -> None:
        """Count results of the given time."""
        self.decay(now_ms)
        self.successes += successes
        self.failures += failures

    @property
    def total(self) -> float:
        """Return the weight of all results."""
        return self.successes + self.failures


@dataclass(slots=True)
class _Ejection:
    level: int
    until_ms: int
    probes_passed: int = 0
    is_probe_running: bool = False


@dataclass(slots=True)
class _WorkerRecord:
    results: ResultCounts = field(default_factory=ResultCounts)
    ejection: _Ejection | None = None
    level: int = 0
    level_until_ms: int = 0


class HealthTracker:
    """Hold recent results of workers and which of them are ejected."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._workers: dict[str, _WorkerRecord] = {}
        self._entries: dict[str, dict[str, ResultCounts]] = {}

    def record_success(self, entry: str, worker: str) -> None:
        """Count a success; a passed probe brings an ejected worker closer to use."""
        record = self._record(worker)
        now_ms = self._clock.monotonic_ms()
        record.results.add(now_ms, 1.0, 0.0)
        self._entry_results(entry, worker).add(now_ms, 1.0, 0.0)
        # Tasks sent before the ejection end too, but are no probes.
        if record.ejection is None or not record.ejection.is_probe_running:
            return
        record.ejection.probes_passed += 1
        if record.ejection.probes_passed >= PROBES_TO_READMIT:
            self._readmit(record, record.ejection)

    def record_failure(self, entry: str, worker: str, pool: Collection[str]) -> bool:
        """Count a failure and return whether the worker was ejected by it.

        `pool` names all workers of the pool. A failure counts less the more often the
        entry fails on other workers.
        """
        weight = 1.0 - self._failure_rate_elsewhere(entry, worker)
        record = self._record(worker)
        now_ms = self._clock.monotonic_ms()
        # The part that the entry's failures elsewhere explain counts as a success:
        # left out, any number of such failures would add up to a rate of 1.
        record.results.add(now_ms, 1.0 - weight, weight)
        self._entry_results(entry, worker).add(now_ms, 0.0, 1.0)
        self._review_ejected(entry, worker, pool)
        if record.ejection is not None:
            if record.ejection.is_probe_running and weight >= MIN_FAILURE_RATE:
                self._eject(record, record.ejection.level + 1)
            return False
        if not self._fails_more_than(record, worker, pool):
            return False
        if self.count_ejected(pool) + 1 > len(pool) // WORKERS_PER_EJECTION:
            return False
        self._eject(record, self._next_level(record))
        return True

    def _review_ejected(self, entry: str, worker: str, pool: Collection[str]) -> None:
        """Readmit workers whose failures are explained by an entry's failures here.

        An entry that fails everywhere fails first on one worker, when nothing is known
        of it elsewhere, so these failures count in full against that worker.
        """
        for name in pool:
            record = self._workers.get(name)
            if name == worker or record is None or record.ejection is None:
                continue
            own = self._entries[entry].get(name)
            if own is not None and own.failures > 0 and self._is_cleared(name):
                record.ejection = None
                record.results = ResultCounts(updated_ms=self._clock.monotonic_ms())

    def _is_cleared(self, worker: str) -> bool:
        """Return whether a worker's failures, weighted anew, are below the limit."""
        now_ms = self._clock.monotonic_ms()
        failures = total = 0.0
        for entry, by_worker in self._entries.items():
            results = by_worker.get(worker)
            if results is None:
                continue
            results.decay(now_ms)
            weight = 1.0 - self._failure_rate_elsewhere(entry, worker)
            failures += weight * results.failures
            total += results.total
        return failures < MIN_FAILURE_RATE * total

    def get_failure_rate(self, worker: str) -> float:
        """Return the recent failure rate of a worker, from 0 to 1.

        For an ejected worker, return `PROBE_DUE` or `EJECTED`.
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
        """Return whether a worker is ejected, also while it is probed."""
        record = self._workers.get(worker)
        return record is not None and record.ejection is not None

    def is_probe_due(self, worker: str) -> bool:
        """Return whether an ejected worker may be given one task as a probe."""
        record = self._workers.get(worker)
        if record is None or record.ejection is None:
            return False
        ejection = record.ejection
        is_over = self._clock.monotonic_ms() >= ejection.until_ms
        return is_over and not ejection.is_probe_running

    def begin_probe(self, worker: str) -> None:
        """Allow no other probe of the worker until `end_probe`."""
        ejection = self._record(worker).ejection
        if ejection is not None:
            ejection.is_probe_running = True

    def end_probe(self, worker: str) -> None:
        """Allow the next probe."""
        ejection = self._record(worker).ejection
        if ejection is not None:
            ejection.is_probe_running = False

    def count_ejected(self, pool: Collection[str]) -> int:
        """Return how many of the workers are ejected."""
        return sum(self.is_ejected(worker) for worker in pool)

    def forget_worker(self, worker: str) -> None:
        """Drop what is known of a worker that was removed or restarted."""
        self._workers.pop(worker, None)
        for results in self._entries.values():
            results.pop(worker, None)

    def _record(self, worker: str) -> _WorkerRecord:
        record = self._workers.get(worker)
        if record is None:
            record = self._workers[worker] = _WorkerRecord()
        return record

    def _entry_results(self, entry: str, worker: str) -> ResultCounts:
        by_worker = self._entries.get(entry)
        if by_worker is None:
            by_worker = self._entries[entry] = {}
        results = by_worker.get(worker)
        if results is None:
            results = by_worker[worker] = ResultCounts()
        return results

    def _failure_rate_elsewhere(self, entry: str, worker: str) -> float:
        now_ms = self._clock.monotonic_ms()
        failures = total = 0.0
        for name, results in self._entries.get(entry, {}).items():
            if name == worker:
                continue
            results.decay(now_ms)
            failures += results.failures
            total += results.total
        # The added result stands for "nothing known", so that one failure elsewhere
        # doesn't yet clear a worker.
        return failures / (total + 1.0)

    def _fails_more_than(
        self, record: _WorkerRecord, worker: str, pool: Collection[str]
    ) -> bool:
        own = record.results
        if own.total < MIN_RESULTS:
            return False
        rate = own.failures / own.total
        others = [
            self._record(name).results
            for name in pool
            if name != worker and not self.is_ejected(name)
        ]
        failures = sum(results.failures for results in others)
        total = sum(results.total for results in others)
        return rate >= max(MIN_FAILURE_RATE, MIN_RATE_RATIO * failures / (total + 1.0))

    def _next_level(self, record: _WorkerRecord) -> int:
        if self._clock.monotonic_ms() < record.level_until_ms:
            return record.level + 1
        return 0

    def _eject(self, record: _WorkerRecord, level: int) -> None:
        duration_ms = _ejection_ms(level)
        until_ms = self._clock.monotonic_ms() + duration_ms
        record.ejection = _Ejection(level, until_ms)

    def _readmit(self, record: _WorkerRecord, ejection: _Ejection) -> None:
        # A worker that fails again soon after its return is ejected for longer.
        record.level = ejection.level
        now_ms = self._clock.monotonic_ms()
        record.level_until_ms = now_ms + 2 * _ejection_ms(ejection.level)
        record.ejection = None
        record.results = ResultCounts(updated_ms=now_ms)


def _ejection_ms(level: int) -> int:
    return int(min(FIRST_EJECTION_MS * 2 ** min(level, 16), MAX_EJECTION_MS))
