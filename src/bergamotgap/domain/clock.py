"""Clocks: every part of the program reads the time, in milliseconds, from here."""

import asyncio
import statistics
import time
from collections import deque
from collections.abc import Callable
from typing import Protocol

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000
# The offset of the wall clock is sampled this often, and its median taken over the last
# minute: a jump that is corrected within half a minute never shows.
SAMPLE_INTERVAL_MS = 1000
OFFSET_SAMPLES = 60


class Clock(Protocol):
    """Source of wall and monotonic time that can also sleep."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump in either direction."""

    def monotonic_ms(self) -> int:
        """Return milliseconds from an arbitrary origin; never goes backwards."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for the given time."""


def _read_wall_ms() -> int:
    return time.time_ns() // NS_PER_MS


def _read_monotonic_ms() -> int:
    # Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the host is suspended, so a
    # lease held across a suspension is seen as expired.
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS


class SystemClock:
    """Reads the clocks of the operating system.

    A host's time of day may jump by seconds and back. The wall time is therefore the
    monotonic time plus an offset: the median of those read lately, so a jump shows only
    once it has lasted for half of the samples.
    """

    def __init__(
        self,
        read_wall_ms: Callable[[], int] = _read_wall_ms,
        read_monotonic_ms: Callable[[], int] = _read_monotonic_ms,
    ) -> None:
        self._read_wall_ms = read_wall_ms
        self._read_monotonic_ms = read_monotonic_ms
        self._offsets: deque[int] = deque(maxlen=OFFSET_SAMPLES)
        self._offset_ms = 0
        self._sampled_ms: int | None = None

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may change in either direction."""
        now_ms = self._read_monotonic_ms()
        if self._sampled_ms is None or now_ms - self._sampled_ms >= SAMPLE_INTERVAL_MS:
            self._sampled_ms = now_ms
            self._offsets.append(self._read_wall_ms() - now_ms)
            self._offset_ms = int(statistics.median(self._offsets))
        return now_ms + self._offset_ms

    def monotonic_ms(self) -> int:
        """Return milliseconds since boot, including time spent suspended."""
        return self._read_monotonic_ms()

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


class ManualClock:
    """Clock for tests that advances only on request."""

    def __init__(self, wall_ms: int = 1_700_000_000_000) -> None:
        self._wall_ms = wall_ms
        self._monotonic_ms = 0

    def wall_ms(self) -> int:
        """Return the initial wall time plus the time advanced so far."""
        return self._wall_ms

    def monotonic_ms(self) -> int:
        """Return the total time advanced so far."""
        return self._monotonic_ms

    def advance_ms(self, duration_ms: int) -> None:
        """Advance both clocks."""
        self._wall_ms += duration_ms
        self._monotonic_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance by the duration and let other tasks run."""
        self.advance_ms(int(duration_ms))
        await asyncio.sleep(0)
