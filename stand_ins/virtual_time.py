"""An event loop whose time jumps to the next timer, so that tests wait for nothing."""

import asyncio
from collections.abc import Coroutine
from typing import Any

MS_PER_S = 1000
START_TIME_S = 1000.0


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advance the loop's time instead of sleeping; not for sockets."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = START_TIME_S

    def time(self) -> float:
        """Return the virtual time in s."""
        return self._now_s

    def _run_once(self) -> None:
        # The parts of asyncio's loop that its types do not show.
        loop: Any = self
        if not loop._ready and loop._scheduled:
            self._now_s = max(self._now_s, loop._scheduled[0].when())
        super()._run_once()  # type: ignore[misc]


class LoopClock:
    """Tell the running loop's time."""

    def wall_ms(self) -> int:
        """Return a Unix time that runs with the loop."""
        return 1_700_000_000_000 + self.monotonic_ms()

    def monotonic_ms(self) -> int:
        """Return the loop's time in ms."""
        return int(asyncio.get_running_loop().time() * MS_PER_S)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Run a test in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(main)
