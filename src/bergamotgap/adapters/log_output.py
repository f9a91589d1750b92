"""Log lines within a budget, written without ever waiting for their reader."""

import os
from collections import Counter
from typing import Any

import structlog

from bergamotgap.domain.clock import MS_PER_SECOND, Clock

# Lines of one event and second; a flood of one kind leaves room for the others.
MAX_LINES_PER_EVENT_AND_SECOND = 100
# What a stopped reader has not taken yet; further lines are left out.
MAX_BUFFER_BYTES = 256 * 1024
# Levels that tell of refusals, losses and changes of belief are never left out here.
NEVER_DROPPED_LEVELS = frozenset({"warning", "error", "critical"})


class LineRateLimiter:
    """Leave out lines of one event beyond its budget for a second, and count them."""

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
        """Pass an event on, or raise DropEvent."""
        second = self._clock.monotonic_ms() // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._lines.clear()
        name = str(event.get("event", ""))
        self._lines[name] += 1
        if self._lines[name] > self._max_lines and method not in NEVER_DROPPED_LEVELS:
            self.dropped_lines += 1
            raise structlog.DropEvent
        if self.dropped_lines:
            event["left_out"] = self.dropped_lines
            self.dropped_lines = 0
        return event


class NonBlockingOutput:
    """Write whole lines to a descriptor; keep a bounded rest, then leave lines out."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._unwritten = bytearray()
        self.dropped_lines = 0

    def write(self, text: str) -> None:
        """Write a line, or as much as the reader takes."""
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
        """Write what the reader takes."""
        self._write_available()

    def _write_available(self) -> None:
        while self._unwritten:
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to report it.
                self._unwritten.clear()
                return
            del self._unwritten[:written]
