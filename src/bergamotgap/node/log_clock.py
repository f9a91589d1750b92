"""Estimate the log's clock from the time stamps of its records."""

from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Stamp


class LogClock:
    """Translate the log's time stamps to this node's monotonic time.

    A record was stamped before it arrived, so its stamp plus the time since its
    arrival is never later than the log's clock. The largest such estimate is used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset_ms: int | None = None

    def record_stamp(self, stamp: Stamp) -> None:
        """Learn from a record that was folded just now."""
        offset_ms = stamp.appended_ms - self._clock.monotonic_ms()
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def to_monotonic_ms(self, log_ms: int) -> int:
        """Return when the log's clock reads `log_ms`, or a little later."""
        if self._offset_ms is None:
            return self._clock.monotonic_ms()
        return log_ms - self._offset_ms
