"""The only source of time, in milliseconds."""

import asyncio
import time
from typing import Protocol

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Tell the time in milliseconds and wait."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may step."""

    def monotonic_ms(self) -> int:
        """Return milliseconds that never go back; no fixed origin."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for the given time."""


class SystemClock:
    """Read the clocks of the operating system."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch; may step."""
        return time.time_ns() // NS_PER_MS

    def monotonic_ms(self) -> int:
        """Return milliseconds since boot, time asleep included."""
        # CLOCK_BOOTTIME also counts while the host is suspended, so that a lease
        # held across a suspension is seen as lapsed.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)


class ManualClock:
    """Tell a time that only a test moves."""

    def __init__(self, wall_ms: int = 1_700_000_000_000) -> None:
        self._wall_ms = wall_ms
        self._monotonic_ms = 0

    def wall_ms(self) -> int:
        """Return the wall time set by the test."""
        return self._wall_ms

    def monotonic_ms(self) -> int:
        """Return the time passed by `advance_ms`."""
        return self._monotonic_ms

    def advance_ms(self, duration_ms: int) -> None:
        """Move both clocks forward."""
        self._wall_ms += duration_ms
        self._monotonic_ms += duration_ms

    async def sleep_ms(self, duration_ms: float) -> None:
        """Advance by the duration and let other tasks run."""
        self.advance_ms(int(duration_ms))
        await asyncio.sleep(0)
