"""Event loop with virtual time, so that tests don't wait for timers."""

import asyncio
from collections.abc import Coroutine
from typing import Any

MS_PER_S = 1000
START_TIME_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time jumps to the next timer when no callback is ready.

    It doesn't wait for sockets, so it must not be used with them.
    """

    def __init__(self) -> None:
        super().__init__()
        self._now_s = START_TIME_S

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._now_s

    def _run_once(self) -> None:
        # Private attributes of asyncio's loop, which its type stubs omit.
        loop: Any = self
        if not loop._ready and loop._scheduled:
            self._now_s = max(self._now_s, loop._scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


class LoopClock:
    """Clock that reads the time of the running event loop."""

    def wall_ms(self) -> int:
        """Return a Unix time in ms that advances with the loop."""
        return 1_700_000_000_000 + self.monotonic_ms()

    def monotonic_ms(self) -> int:
        """Return the loop's time in ms."""
        return int(asyncio.get_running_loop().time() * MS_PER_S)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
