"""Track whether this process reaches the platform."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.platform import (
    LogPage,
    OffsetDroppedError,
    PlatformBusyError,
    PlatformError,
    PlatformLog,
)

PROBE_INTERVAL_MS = 1000

T = TypeVar("T")

log = get_logger(__name__)


class PlatformHealth:
    """Wraps the platform log and records whether the last call was answered.

    While the platform is unreachable, a background task probes it, because an entry
    host that reads its streams from a relay makes no reads of its own.
    """

    def __init__(self, platform: PlatformLog, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock
        self._is_reachable = True
        self._changed_ms = clock.monotonic_ms()

    @property
    def is_reachable(self) -> bool:
        """Return whether the last call was answered; True before the first."""
        return self._is_reachable

    @property
    def changed_ms(self) -> int:
        """Return the monotonic time at which reachability last changed."""
        return self._changed_ms

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append one record and return its offset."""
        return await self._call_platform(
            lambda: self._platform.append(stream, record_id, body)
        )

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> LogPage:
        """Read records from an offset; wait up to `wait_ms` if there are none yet."""
        return await self._call_platform(
            lambda: self._platform.read(stream, offset, limit, wait_ms)
        )

    async def _call_platform(self, call: Callable[[], Awaitable[T]]) -> T:
        try:
            result = await call()
        except (OffsetDroppedError, PlatformBusyError):
            self._set_reachable(True)
            raise
        except PlatformError:
            self._set_reachable(False)
            raise
        self._set_reachable(True)
        return result

    def _set_reachable(self, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        self._changed_ms = self._clock.monotonic_ms()
        log.warning("platform reachability changed", reachable=is_reachable)

    async def run(self) -> None:
        """Probe the platform whenever it is unreachable, until cancelled."""
        while True:
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)
            if self._is_reachable:
                continue
            try:
                await self.read("control", 0, 1, 0)
            except PlatformError as error:
                log.debug("platform probe failed", error=str(error))
