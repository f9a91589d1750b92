"""Estimate the log's clock from the time stamps of its records."""

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Stamp


class LogClock:
    """Converts the log's time stamps to this node's monotonic time.

    A record is stamped before it arrives, so its stamp plus the time since its arrival
    is never ahead of the log's clock. The largest such estimate is used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset_ms: int | None = None

    def record_stamp(self, stamp: Stamp) -> None:
        """Update the estimate from the stamp of a record that was just folded."""
        offset_ms = stamp.appended_ms - self._clock.monotonic_ms()
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def to_monotonic_ms(self, log_ms: int) -> int:
        """Return the monotonic time at which the log's clock reads `log_ms`.

        The result may be slightly late, never early.
        """
        if self._offset_ms is None:
            return self._clock.monotonic_ms()
        return log_ms - self._offset_ms
