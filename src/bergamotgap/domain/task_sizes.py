"""Estimates of task sizes by entry, from measured resource usage."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bergamotgap.domain.catalogue import Entry

# Declared sizes are unreliable; they are used until this many tasks were measured.
MIN_SAMPLES = 10
# All measurements are dropped after this many, so that the estimate follows a new
# version of an entry's program. The last estimate stays until the next MIN_SAMPLES.
MAX_SAMPLES = 1000
PERCENTILE = 90.0
SIGNIFICANT_FIGURES = 2
COUNTER_BYTES = 4
MAX_MILLI_CPUS = 1024 * 1000
MAX_MEMORY_MB = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class TaskSize:
    """CPUs and megabytes of memory used by one task."""

    cpus: float
    memory_mb: float


class _EntryMeasurements:
    """Measurements of one entry and the resulting estimate."""

    def __init__(self) -> None:
        self.estimate: TaskSize | None = None
        self._clear()

    def _clear(self) -> None:
        self._milli_cpus = _build_histogram(MAX_MILLI_CPUS)
        self._memory_mb = _build_histogram(MAX_MEMORY_MB)
        self._count = 0

    def record(self, size: TaskSize) -> None:
        if self._count >= MAX_SAMPLES:
            self._clear()
        self._count += 1
        milli_cpus = min(max(1, int(size.cpus * 1000)), MAX_MILLI_CPUS)
        self._milli_cpus.record_value(milli_cpus)
        memory_mb = min(max(1, int(size.memory_mb)), MAX_MEMORY_MB)
        self._memory_mb.record_value(memory_mb)
        if self._count >= MIN_SAMPLES:
            self.estimate = TaskSize(
                self._milli_cpus.get_value_at_percentile(PERCENTILE) / 1000,
                float(self._memory_mb.get_value_at_percentile(PERCENTILE)),
            )


class SizeEstimates:
    """Estimated task sizes of all entries, from measurements by this entry host."""

    def __init__(self) -> None:
        self._measured: dict[str, _EntryMeasurements] = {}

    def record(self, entry: Entry, size: TaskSize) -> None:
        """Record the measured size of one task."""
        self._measured.setdefault(entry.name, _EntryMeasurements()).record(size)

    def estimate(self, entry: Entry) -> TaskSize:
        """Return the measured high quantile, or the declared size until it exists."""
        measured = self._measured.get(entry.name)
        if measured is None or measured.estimate is None:
            return TaskSize(entry.cpus, entry.memory_mb)
        return measured.estimate


def _build_histogram(highest: int) -> HdrHistogram:
    return HdrHistogram(1, highest, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES)
