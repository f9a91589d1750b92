"""Run of a single task on a worker, including queries for its end."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from bergamotgap.domain.clock import Clock
from bergamotgap.ports.worker import (
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    TaskStatus,
    WorkerClient,
    WorkerError,
    WorkerUnreachableError,
)

PROGRESS_TIMEOUT_MS = 5000
# A task survives a pause of its owner of up to one lease. Renewals at a third of the
# lease tolerate the loss of two in a row.
LEASE_MS = 15_000
RENEW_INTERVAL_MS = 5000
QUERY_INTERVAL_MS = 500
# Results up to this size are stored inline in the outcome record in the log.
MAX_INLINE_BYTES = 16 << 10


@dataclass(frozen=True, slots=True)
class TaskEnd:
    """How a task ended.

    `state` is done, failed, stopped, not_run (which is proven), running (when the time
    for queries was over) or unknown. `result` is None if it is larger than
    `MAX_INLINE_BYTES` or was not received.
    """

    state: str
    reason: str = ""
    size: int = 0
    result: bytes | None = None


class TaskRunner:
    """Sends tasks to workers and queries the end of those whose answer was lost."""

    def __init__(self, client: WorkerClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    async def run_task(
        self, address: str, order: TaskOrder, until_ms: int, unreachable_timeout_ms: int
    ) -> TaskEnd:
        """Send a task once and return its end; `until_ms` is monotonic.

        If its worker can't be reached for `unreachable_timeout_ms`, the end is unknown.
        """
        async with self._keep_lease_renewed(address, order.task):
            try:
                remaining_ms = max(0, until_ms - self._clock.monotonic_ms())
                async with asyncio.timeout(remaining_ms / 1000):
                    end = await self._send_order(address, order)
            except TaskRefusedError as error:
                # "duplicate" means that the worker knows this task, so it may have run.
                if error.code != "duplicate":
                    return TaskEnd("not_run", error.code)
                end = None
            except WorkerUnreachableError:
                return TaskEnd("not_run", "unreachable")
            except (TaskFateUnknownError, TimeoutError):
                end = None
            if end is not None:
                return end
            return await self.query_task_end(
                address, order.task, order.boot_id, until_ms, unreachable_timeout_ms
            )

    async def _send_order(self, address: str, order: TaskOrder) -> TaskEnd | None:
        async with self._client.run(address, order, PROGRESS_TIMEOUT_MS) as answer:
            result = bytearray()
            async for chunk in answer.chunks():
                result += chunk
                if len(result) > MAX_INLINE_BYTES:
                    # The worker keeps the result, and its status includes the size.
                    return None
            state = "failed" if answer.is_failure else "done"
            return TaskEnd(state, "", len(result), bytes(result))

    async def query_task_end(
        self,
        address: str,
        task: str,
        boot_id: str | None,
        until_ms: int,
        unreachable_timeout_ms: int,
    ) -> TaskEnd:
        """Query a task over new connections until its end is known.

        The query is a `cancel` call. It has no effect on a started task, and it fences
        one that has not started, so that a delayed order can't start it later.
        """
        last_answer_ms = self._clock.monotonic_ms()
        while True:
            try:
                status = await self._client.cancel(address, task)
                last_answer_ms = self._clock.monotonic_ms()
                end = _to_task_end(status, boot_id)
                if end is not None:
                    return end
                reason = "running"
            except WorkerError as error:
                reason = repr(error)
            now_ms = self._clock.monotonic_ms()
            if (
                reason != "running"
                and now_ms - last_answer_ms >= unreachable_timeout_ms
            ):
                return TaskEnd("unknown", f"the worker does not answer: {reason}")
            if now_ms >= until_ms:
                return TaskEnd("running" if reason == "running" else "unknown", reason)
            await self._clock.sleep_ms(QUERY_INTERVAL_MS)

    async def stop_task(self, address: str, task: str) -> None:
        """Request the worker to stop a running task; errors are ignored."""
        try:
            await self._client.control(address, task, "stop")
        except WorkerError:
            return

    @asynccontextmanager
    async def _keep_lease_renewed(self, address: str, task: str) -> AsyncIterator[None]:
        renewing = asyncio.create_task(self.renew_lease(address, task))
        try:
            yield
        finally:
            renewing.cancel()

    async def renew_lease(self, address: str, task: str) -> None:
        """Renew a task's lease periodically until cancelled."""
        while True:
            await self._clock.sleep_ms(RENEW_INTERVAL_MS)
            try:
                await self._client.control(address, task, "renew")
            except WorkerError:
                # The next renewal may succeed, and the task's own connection shows
                # whether the worker is lost.
                continue


def _to_task_end(status: TaskStatus, boot_id: str | None) -> TaskEnd | None:
    if boot_id is not None and status.boot_id != boot_id:
        return TaskEnd("unknown", "the worker restarted")
    if not status.started:
        return TaskEnd("not_run", "cancelled")
    if status.state in ("done", "failed", "stopped"):
        return TaskEnd(status.state, "", status.size)
    return None
