"""Graceful shutdown of an entry host that lets requests in progress finish."""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock

# The platform's load balancer is assumed to check readiness at least every second.
# Within this time it notices the shutdown and sends new requests to other hosts.
GRACE_PERIOD_MS = 2500

log = get_logger(__name__)


class RequestGate:
    """Counts the requests in progress and refuses new ones once it is closed."""

    def __init__(self) -> None:
        self._in_progress = 0
        self._is_open = True
        self._is_leaving = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_open(self) -> bool:
        """Return whether new requests are accepted."""
        return self._is_open

    @property
    def is_leaving(self) -> bool:
        """Return whether connections should be closed after their next answer."""
        return self._is_leaving

    @property
    def in_progress(self) -> int:
        """Return the number of requests in progress."""
        return self._in_progress

    def begin_request(self) -> None:
        """Count a request as in progress, until `end_request` is called for it."""
        if self._in_progress == 0:
            self._idle.clear()
        self._in_progress += 1

    def end_request(self) -> None:
        """Count a request as ended."""
        self._in_progress -= 1
        if self._in_progress == 0:
            self._idle.set()

    def announce_leaving(self) -> None:
        """Still accept requests, but close connections after their answers."""
        self._is_leaving = True

    def close(self) -> None:
        """Refuse new requests from now on."""
        self._is_leaving = True
        self._is_open = False

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()


async def shut_down(
    gate: RequestGate,
    announce_leaving: Callable[[], None],
    hand_over: Callable[[int], Awaitable[None]],
    clock: Clock,
    shutdown_ms: int,
    grace_ms: int = GRACE_PERIOD_MS,
) -> bool:
    """Let requests in progress finish and return whether all of them did.

    The node reports itself as not ready as soon as the gate is leaving. After the grace
    period, new requests are refused and those in progress get up to `shutdown_ms`.
    `hand_over` gets the same time to finish or hand over the work that no connection
    waits for.
    """
    gate.announce_leaving()
    announce_leaving()
    log.info("shutdown started", in_progress=gate.in_progress)
    await clock.sleep_ms(grace_ms)
    gate.close()
    try:
        async with asyncio.timeout(shutdown_ms / 1000):
            await asyncio.gather(gate.wait_until_idle(), hand_over(shutdown_ms))
    except TimeoutError:
        log.error("requests cut off by shutdown", in_progress=gate.in_progress)
        return False
    return True
