"""Log lines within a budget, written without ever waiting for their reader."""

import os
from collections import Counter
from typing import Any

import structlog

from bergamotgap.domain.clock import MS_PER_SECOND, Clock

# Lines of one event and second; a flood of one kind leaves room for the others.
EVENT_BUDGET = 100
# What a stopped reader has not taken yet; further lines are left out.
MAX_BUFFER_BYTES = 256 * 1024
# Levels that tell of refusals, losses and changes of belief are never left out here.
KEPT_LEVELS = frozenset({"warning", "error", "critical"})


class LineBudget:
    """Leave out lines of one event beyond its budget for a second, and count them."""

    def __init__(self, clock: Clock, budget: int = EVENT_BUDGET) -> None:
        self._clock = clock
        self._budget = budget
        self._second = 0
        self._lines: Counter[str] = Counter()
        self.left_out = 0

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
        if self._lines[name] > self._budget and method not in KEPT_LEVELS:
            self.left_out += 1
            raise structlog.DropEvent
        if self.left_out:
            event["left_out"] = self.left_out
            self.left_out = 0
        return event


class NonBlockingOutput:
    """Write whole lines to a descriptor; keep a bounded rest, then leave lines out."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = bytearray()
        self.left_out = 0

    def write(self, text: str) -> None:
        """Write a line, or as much as the reader takes."""
        line = text.encode(errors="replace")
        if len(self._rest) + len(line) > MAX_BUFFER_BYTES:
            self._drain()
        if len(self._rest) + len(line) > MAX_BUFFER_BYTES:
            self.left_out += 1
            return
        if self.left_out:
            self._rest += f"event=lines_left_out count={self.left_out}\n".encode()
            self.left_out = 0
        self._rest += line
        self._drain()

    def flush(self) -> None:
        """Write what the reader takes."""
        self._drain()

    def _drain(self) -> None:
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere left to report it.
                self._rest.clear()
                return
            del self._rest[:written]
