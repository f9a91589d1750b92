"""Rate-limited log lines and an output that never blocks on its reader."""

import os
from collections import Counter
from typing import Any

import structlog

from bergamotgap.domain.clock import MS_PER_SECOND, Clock

# Limited for each event, so that a flood of one event doesn't suppress the others.
MAX_LINES_PER_EVENT_AND_SECOND = 100
# Limit of the data that a stalled reader has not read yet; more lines are dropped.
MAX_BUFFER_BYTES = 256 * 1024
# Not rate-limited, because refusals, losses and changes of assumed state are logged at
# these levels. A full buffer still drops them.
UNLIMITED_LEVELS = frozenset({"warning", "error", "critical"})


class LineRateLimiter:
    """Drops and counts the lines of an event above `max_lines` in a second."""

    def __init__(
        self, clock: Clock, max_lines: int = MAX_LINES_PER_EVENT_AND_SECOND
    ) -> None:
        self._clock = clock
        self._max_lines = max_lines
        self._second = 0
        self._lines: Counter[str] = Counter()
        self.dropped_lines = 0

    def __call__(
        self, logger: Any, method: str, event: structlog.types.EventDict
    ) -> structlog.types.EventDict:
        """Return the event, or raise DropEvent if the limit is reached."""
        second = self._clock.monotonic_ms() // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines.clear()
        name = str(event.get("event", ""))
        self._lines[name] += 1
        if self._lines[name] > self._max_lines and method not in UNLIMITED_LEVELS:
            self.dropped_lines += 1
            raise structlog.DropEvent
        if self.dropped_lines:
            event["left_out"] = self.dropped_lines
            self.dropped_lines = 0
        return event


class NonBlockingOutput:
    """Writes whole lines to a descriptor; drops lines when its buffer is full."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = bytearray()
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Buffer a line and write as much as the descriptor accepts."""
        line = text.encode(errors="replace")
        if len(self._unwritten) + len(line) > MAX_BUFFER_BYTES:
            self._write_available()
        if len(self._unwritten) + len(line) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            return
        if self.dropped_lines:
            self._unwritten += (
                f"event=lines_left_out count={self.dropped_lines}\n".encode()
            )
            self.dropped_lines = 0
        self._unwritten += line
        self._write_available()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        self._write_available()

    def _write_available(self) -> None:
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._unwritten.clear()
                return
            del self._unwritten[:written]
