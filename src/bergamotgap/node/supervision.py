"""Keep long-running tasks going when one of their steps raises."""

import asyncio
from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger

RESTART_DELAY_S = 1.0

log = get_logger(__name__)


async def supervise(name: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task for good; log an unexpected error and start the task again.

    A task that died unseen would leave a host that looks healthy and does nothing.
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
