"""Cache of the advice service's tickets: the workers that may run a step."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.domain.task_placement import StepKey
from bergamotgap.ports.fleet import AdviceService, Tickets

# Delay before the next request for a step that still waits.
RETRY_MS = 500
# The service accepts at most this many workers in one request.
MAX_WORKERS_PER_REQUEST = 100
NO_TICKETS = Tickets({}, 0)

log = get_logger(__name__)


@dataclass
class _StepAdvice:
    """Tickets of a step by worker id, and the workers that requests have named.

    Times are monotonic, in ms: `ends_ms` is until when the answer about each named
    worker holds, `first_end_ms` the first of these times.
    """

    tickets: dict[str, str] = field(default_factory=dict)
    ends_ms: dict[str, int] = field(default_factory=dict)
    first_end_ms: int = 0
    next_request_ms: int = 0

    def remove_expired(self, now_ms: int) -> None:
        if now_ms < self.first_end_ms:
            return
        for worker in [
            name for name, end_ms in self.ends_ms.items() if end_ms <= now_ms
        ]:
            self.remove(worker)
        self.first_end_ms = min(self.ends_ms.values(), default=0)

    def remove(self, worker: str) -> None:
        self.ends_ms.pop(worker, None)
        self.tickets.pop(worker, None)

    def add(self, workers: list[str], answer: Tickets, end_ms: int) -> None:
        self.tickets |= answer.by_worker
        self.ends_ms |= dict.fromkeys([*workers, *answer.by_worker], end_ms)
        self.first_end_ms = min(self.ends_ms.values(), default=0)


class TicketCache:
    """Request tickets for one step at a time, and keep them while they are valid.

    A step that waits although it has tickets is asked about further workers.
    """

    def __init__(
        self, advice: AdviceService | None, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._advice = advice
        self._clock = clock
        self._on_change = on_change
        self._steps: dict[StepKey, _StepAdvice] = {}
        self._requests: dict[StepKey, asyncio.Task[None]] = {}
        # The step that has tickets and is asked about further workers, if any.
        self._extended_step: StepKey | None = None
        self._request_lock = asyncio.Lock()
        # The life of each listed worker, for which its tickets hold.
        self._lives: dict[str, int] = {}

    async def close(self) -> None:
        """Cancel the requests under way."""
        await cancel_tasks(list(self._requests.values()))

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Forget the answers about workers that left or began another life."""
        lives = {name: info.incarnation_ms for name, info in workers.items()}
        for worker, life in self._lives.items():
            if lives.get(worker) != life:
                for step in self._steps.values():
                    step.remove(worker)
        self._lives = lives

    def get_tickets(self, task: TaskId, workers: list[str]) -> Mapping[str, str]:
        """Return the valid tickets of a waiting step, and request others if needed."""
        key = task[:3]
        step = self._steps.setdefault(key, _StepAdvice())
        now_ms = self._clock.monotonic_ms()
        step.remove_expired(now_ms)
        if (
            self._advice is None
            or key in self._requests
            or now_ms < step.next_request_ms
            or (step.tickets and self._extended_step is not None)
        ):
            return step.tickets
        step.next_request_ms = now_ms + RETRY_MS
        named = [name for name in workers if name not in step.ends_ms]
        if named:
            if step.tickets:
                self._extended_step = key
            self._requests[key] = asyncio.create_task(
                self._request_tickets(task, named[:MAX_WORKERS_PER_REQUEST])
            )
        return step.tickets

    def find_tickets(self, task: TaskId) -> Mapping[str, str]:
        """Return the valid tickets of a step, requesting none."""
        step = self._steps.get(task[:3])
        if step is None:
            return {}
        step.remove_expired(self._clock.monotonic_ms())
        return step.tickets

    async def _request_tickets(self, task: TaskId, workers: list[str]) -> None:
        key = task[:3]
        lives = {worker: self._lives.get(worker) for worker in workers}
        try:
            async with self._request_lock:
                sent_ms = self._clock.monotonic_ms()
                answer = await self._call_service(task, workers)
        finally:
            del self._requests[key]
            if self._extended_step == key:
                self._extended_step = None
        log.info(
            "tickets received",
            job=task.job,
            step=task.step,
            asked=len(workers),
            good=len(answer.by_worker),
        )
        step = self._steps.get(key)
        if step is None:
            return
        now_ms = self._clock.monotonic_ms()
        if answer.validity_ms:
            step.add(workers, answer, sent_ms + answer.validity_ms)
            # The answer may be about a former life.
            for worker, life in lives.items():
                if self._lives.get(worker) != life:
                    step.remove(worker)
        # A step without any ticket is asked about the next workers at once.
        is_next_due = answer.validity_ms and not step.tickets
        step.next_request_ms = now_ms + (0 if is_next_due else RETRY_MS)
        self._on_change()

    async def _call_service(self, task: TaskId, workers: list[str]) -> Tickets:
        assert self._advice is not None
        try:
            return await self._advice.request_tickets(task, workers)
        except Exception:
            log.exception("advice request not processed", job=task.job, step=task.step)
            return NO_TICKETS

    def forget_job(self, job_id: str) -> None:
        """Delete the tickets of a job that ended."""
        for key in [key for key in self._steps if key[0] == job_id]:
            del self._steps[key]
