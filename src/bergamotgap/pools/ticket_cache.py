"""Tickets of the workers that may run a step, from the one service that knows them."""

import asyncio
from collections.abc import Callable, Mapping

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId
from bergamotgap.domain.task_placement import StepKey
from bergamotgap.ports.fleet import AdviceService, Tickets

# Asked again after this time when the service gave nothing.
RETRY_MS = 500
# The service names at most so many workers in one call.
MAX_WORKERS = 100

log = get_logger(__name__)


class TicketCache:
    """Ask for tickets one step at a time, and keep them while they are valid."""

    def __init__(
        self, advice: AdviceService | None, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._advice = advice
        self._clock = clock
        self._on_change = on_change
        self._tickets: dict[StepKey, tuple[Tickets, int]] = {}
        self._asking: dict[StepKey, asyncio.Task[None]] = {}
        self._turn = asyncio.Lock()

    async def close(self) -> None:
        """Stop asking."""
        await cancel_tasks(list(self._asking.values()))

    def get_tickets(self, task: TaskId, workers: list[str]) -> Mapping[str, str]:
        """Return the valid tickets of a step; asks for them if there are none."""
        key = task[:3]
        known = self._tickets.get(key)
        now_ms = self._clock.monotonic_ms()
        if known is not None and now_ms < known[1]:
            return known[0].by_worker
        if key not in self._asking and self._advice is not None:
            asking = asyncio.create_task(self._ask(task, workers[:MAX_WORKERS]))
            self._asking[key] = asking
        return {}

    async def _ask(self, task: TaskId, workers: list[str]) -> None:
        assert self._advice is not None
        async with self._turn:
            sent_ms = self._clock.monotonic_ms()
            tickets = await self._advice.request_tickets(task, workers)
        log.info("advice", job=task.job, step=task.step, good=len(tickets.by_worker))
        if tickets.by_worker:
            self._tickets[task[:3]] = (tickets, sent_ms + tickets.validity_ms)
        else:
            await self._clock.sleep_ms(RETRY_MS)
        del self._asking[task[:3]]
        self._on_change()

    def forget_job(self, job_id: str) -> None:
        """Drop the tickets of a job that ended."""
        for key in [key for key in self._tickets if key[0] == job_id]:
            del self._tickets[key]
