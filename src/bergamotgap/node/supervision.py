"""Restart background tasks that raise."""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger

RESTART_DELAY_S = 1.0

log = get_logger(__name__)


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task; if it raises, log the error and start it again after a delay.

    If a task died unnoticed, the process would look healthy but do nothing.
    """
    while True:
        try:
            await run()
            return
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("task failed", task=name)
            await asyncio.sleep(RESTART_DELAY_S)
