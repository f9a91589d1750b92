"""Clocks: every part of the program reads the time, in milliseconds, from here."""

import asyncio
import time
from typing import Protocol

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of wall and monotonic time that can also sleep."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump in either direction."""

    def monotonic_ms(self) -> int:
        """Return milliseconds from an arbitrary origin; never goes backwards."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for the given time."""


class SystemClock:
    """Reads the clocks of the operating system."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may jump in either direction."""
        return time.time_ns() // NS_PER_MS

    def monotonic_ms(self) -> int:
        """Return milliseconds since boot, including time spent suspended."""
        # Unlike CLOCK_MONOTONIC, CLOCK_BOOTTIME advances while the host is suspended,
        # so a lease held across a suspension is seen as expired.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

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
