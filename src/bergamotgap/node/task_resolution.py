"""Queries to workers for the end of tasks whose answer was lost."""

import asyncio
import random
from enum import StrEnum

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.worker import TaskStatus, WorkerClient, WorkerError

FIRST_QUERY_INTERVAL_MS = 20.0
MAX_QUERY_INTERVAL_MS = 500.0
MAX_FAILED_QUERIES = 3
# A request near its deadline still gets this long to find out how its task ended.
MIN_QUERY_TIMEOUT_MS = 250
MAX_CONCURRENT_CANCELS = 32

log = get_logger(__name__)


class ResolvedState(StrEnum):
    """What is known of a task after its worker was queried."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    RUNNING = "running"
    NOT_STARTED = "not_started"
    # The worker can't be reached, or it restarted and no longer knows the task.
    UNKNOWN = "unknown"


_STARTED_STATES = {
    "done": ResolvedState.DONE,
    "failed": ResolvedState.FAILED,
    "stopped": ResolvedState.STOPPED,
    "running": ResolvedState.RUNNING,
}


class TaskResolver:
    """Queries and cancels tasks by id, over new connections to their workers."""

    def __init__(
        self, client: WorkerClient, clock: Clock, rng: random.Random | None = None
    ) -> None:
        self._client = client
        self._clock = clock
        self._rng = rng or random.Random()
        self._cancels: set[asyncio.Task[None]] = set()
        self._cancel_semaphore = asyncio.Semaphore(MAX_CONCURRENT_CANCELS)

    async def resolve(
        self, address: str, task: str, boot_id: str, until_ms: int
    ) -> ResolvedState:
        """Query a task until its end is known, at most until `until_ms` (monotonic).

        Returns RUNNING if the task has not ended by then. A task that the worker does
        not know is cancelled there, which proves that it has not started and never
        will.
        """
        until_ms = max(until_ms, self._clock.monotonic_ms() + MIN_QUERY_TIMEOUT_MS)
        failed_queries = 0
        wait_ms = FIRST_QUERY_INTERVAL_MS
        while True:
            status = await self._query(address, task, until_ms)
            if status is None:
                failed_queries += 1
                state = ResolvedState.UNKNOWN
            else:
                state = _to_resolved_state(status, boot_id)
            is_undecided = state is ResolvedState.RUNNING or (
                status is None and failed_queries < MAX_FAILED_QUERIES
            )
            if not is_undecided or self._clock.monotonic_ms() >= until_ms:
                return state
            await self._clock.sleep_ms(wait_ms * self._rng.uniform(0.5, 1.0))
            wait_ms = min(2 * wait_ms, MAX_QUERY_INTERVAL_MS)

    async def _query(self, address: str, task: str, until_ms: int) -> TaskStatus | None:
        remaining_ms = max(MIN_QUERY_TIMEOUT_MS, until_ms - self._clock.monotonic_ms())
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                status = await self._client.fetch_task(address, task)
                if status.state == "unknown":
                    status = await self._client.cancel(address, task)
                return status
        except (WorkerError, TimeoutError) as error:
            log.info("task status query failed", address=address, error=repr(error))
            return None

    def cancel_in_background(self, address: str, task: str) -> None:
        """Cancel a task in the background, or stop it if it is already running."""
        cancel = asyncio.create_task(self._cancel(address, task))
        self._cancels.add(cancel)
        cancel.add_done_callback(self._cancels.discard)

    async def _cancel(self, address: str, task: str) -> None:
        async with self._cancel_semaphore:
            try:
                status = await self._client.cancel(address, task)
                if status.state == "running":
                    await self._client.control(address, task, "stop")
            except WorkerError as error:
                log.info("task cancellation failed", address=address, error=repr(error))

    async def close(self) -> None:
        """Wait until the cancellations in progress have ended."""
        await asyncio.gather(*self._cancels, return_exceptions=True)


def _to_resolved_state(status: TaskStatus, boot_id: str) -> ResolvedState:
    # A restarted worker does not know the tasks from before the restart, so its
    # "unknown" or "refused" does not prove that the task never started.
    if status.boot_id != boot_id:
        return ResolvedState.UNKNOWN
    if status.state in _STARTED_STATES:
        return _STARTED_STATES[status.state]
    return ResolvedState.UNKNOWN if status.started else ResolvedState.NOT_STARTED
