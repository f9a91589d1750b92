"""Quantiles of measured run times by entry, over a sliding time window."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from bergamotgap.domain.catalogue import MAX_DEADLINE_MS, Entry

WINDOW_MS = 20_000
WINDOW_COUNT = 3
SIGNIFICANT_FIGURES = 2
COUNTER_BYTES = 4
# Declared run times are unreliable. They are used only until this many tasks have been
# measured, and never cause a rejection on their own.
MIN_SAMPLES = 10
CACHE_MS = 500
HIGH_PERCENTILE = 90.0
MEDIAN_PERCENTILE = 50.0
PERCENTILES = [MEDIAN_PERCENTILE, HIGH_PERCENTILE]


@dataclass(frozen=True, slots=True)
class RunTimeEstimate:
    """Estimate of an entry's run time, in milliseconds."""

    mean_ms: float
    median_ms: float
    high_ms: float
    is_measured: bool

    def needed_ms(self, remaining_ms: float) -> float:
        """Return the time to reserve for the run before the deadline.

        This is the high quantile if it fits into the remaining time, else the median:
        if the median fits, most runs still end on time, and rejecting all of them would
        help nobody.
        """
        if not self.is_measured:
            return min(self.high_ms, remaining_ms / 2)
        return self.high_ms if self.high_ms <= remaining_ms else self.median_ms


class RunTimes:
    """Run times of one entry over the last `WINDOW_COUNT` windows of `WINDOW_MS`."""

    def __init__(self) -> None:
        self._windows: dict[int, HdrHistogram] = {}
        self._sums: dict[int, float] = {}
        self._cached: RunTimeEstimate | None = None
        self._cached_ms = 0
        self._declared_ms = 0

    def record(self, run_ms: float, now_ms: int) -> None:
        """Record the run time of one finished task."""
        window = now_ms // WINDOW_MS
        if window not in self._windows:
            self._drop_old_windows(window)
            self._windows[window] = HdrHistogram(
                1, MAX_DEADLINE_MS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES
            )
            self._sums[window] = 0.0
        bounded_ms = min(max(1.0, run_ms), float(MAX_DEADLINE_MS))
        self._windows[window].record_value(int(bounded_ms))
        self._sums[window] += bounded_ms
        if self._cached is not None and not self._cached.is_measured:
            self._cached = None

    def _drop_old_windows(self, window: int) -> None:
        for old in [key for key in self._windows if key <= window - WINDOW_COUNT]:
            del self._windows[old]
            del self._sums[old]

    def estimate(self, entry: Entry, now_ms: int) -> RunTimeEstimate:
        """Return an estimate at most `CACHE_MS` old; the declared time is its prior."""
        cached = self._cached
        if (
            cached is not None
            and now_ms - self._cached_ms < CACHE_MS
            and self._declared_ms == entry.run_ms
        ):
            return cached
        self._drop_old_windows(now_ms // WINDOW_MS)
        self._cached = self._build_estimate(entry.run_ms)
        self._cached_ms = now_ms
        self._declared_ms = entry.run_ms
        return self._cached

    def _build_estimate(self, declared_ms: int) -> RunTimeEstimate:
        count = sum(histogram.get_total_count() for histogram in self._windows.values())
        mean_ms = (sum(self._sums.values()) + declared_ms) / (count + 1)
        if count < MIN_SAMPLES:
            return RunTimeEstimate(mean_ms, mean_ms, mean_ms, False)
        merged = HdrHistogram(
            1, MAX_DEADLINE_MS, SIGNIFICANT_FIGURES, word_size=COUNTER_BYTES
        )
        for histogram in self._windows.values():
            merged.add(histogram)
        values = merged.get_percentile_to_value_dict(PERCENTILES)
        measured_ms = sum(self._sums.values()) / count
        return RunTimeEstimate(
            measured_ms,
            float(values[MEDIAN_PERCENTILE]),
            float(values[HIGH_PERCENTILE]),
            True,
        )
