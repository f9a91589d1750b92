"""Workers over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from bergamotgap.domain.clock import Clock
from bergamotgap.ports.worker import (
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    TaskStatus,
    WorkerStatus,
    WorkerUnreachableError,
)

CONNECT_TIMEOUT_MS = 500
CALL_TIMEOUT_MS = 2000
CHUNK_BYTES = 64 * 1024

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpTaskAnswer:
    """A task's answer while it arrives over HTTP."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._response = response

    @property
    def is_failure(self) -> bool:
        """Return whether the worker reports that the task failed."""
        return self._response.status != 200

    @property
    def size(self) -> int | None:
        """Return the announced length in bytes, if any."""
        return self._response.content_length

    @property
    def busy(self) -> int | None:
        """Return the worker's running tasks, as told with the answer."""
        return _parse_busy(self._response)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises TaskFateUnknownError when it is cut short."""
        try:
            async for chunk in self._response.content.iter_chunked(CHUNK_BYTES):
                yield chunk
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TaskFateUnknownError(repr(error)) from error


class HttpWorkerClient:
    """Talk to workers by address (`ip:port`)."""

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        clock: Clock,
    ) -> None:
        # Status questions about a silent connection must not be queued on it, so
        # they use a session that opens a new connection for each call.
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Ask a worker for its own state."""
        payload = await self._call(self._pooled, "GET", address, "/v1/status")
        usage = payload["usage"]
        return WorkerStatus(
            worker=payload["worker"],
            time_ms=payload["time_ms"],
            arrived_ms=self._clock.monotonic_ms(),
            boot_id=payload["boot_id"],
            pool=payload["pool"],
            epoch=payload["epoch"],
            state=payload["state"],
            slots=payload["slots"],
            busy=payload["busy"],
            used_cpus=usage["cpus"],
            used_memory_mb=usage["memory_mb"],
            usage_as_of_ms=payload["usage_as_of_ms"],
        )

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        """Tell a worker its pool and epoch; raises TaskRefusedError if it is stale."""
        body = {"pool": pool, "epoch": epoch}
        await self._call(self._fresh, "PUT", address, "/v1/assignment", body)

    @asynccontextmanager
    async def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AsyncIterator[HttpTaskAnswer]:
        """Send a task; no progress within `progress_ms` raises TaskFateUnknownError."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / 1000,
            sock_read=progress_ms / 1000,
        )
        url = f"http://{address}/v1/tasks/{order.task}"
        try:
            response = await self._pooled.post(
                url, data=order.body, headers=_order_headers(order), timeout=timeout
            )
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TaskFateUnknownError(repr(error)) from error
        async with response:
            _check_answer(response, order.task)
            yield HttpTaskAnswer(response)

    async def fetch_task(self, address: str, task: str) -> TaskStatus:
        """Ask for a task over a new connection."""
        payload = await self._call(self._fresh, "GET", address, f"/v1/tasks/{task}")
        return _parse_task(payload)

    @asynccontextmanager
    async def fetch_result(
        self, address: str, task: str
    ) -> AsyncIterator[HttpTaskAnswer]:
        """Stream the result of a finished task over a new connection."""
        url = f"http://{address}/v1/tasks/{task}/result"
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_MS / 1000,
            sock_read=CALL_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._fresh.get(url, timeout=timeout)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise WorkerUnreachableError(repr(error)) from error
        async with response:
            if response.status != 200:
                raise TaskFateUnknownError(f"no result, status {response.status}")
            _check_answer(response, task)
            yield HttpTaskAnswer(response)

    async def cancel(self, address: str, task: str) -> TaskStatus:
        """Refuse the task for good if it has not started; return what is known."""
        path = f"/v1/tasks/{task}/cancel"
        return _parse_task(await self._call(self._fresh, "POST", address, path))

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Renew, checkpoint, throttle or stop a running task."""
        path = f"/v1/tasks/{task}/{verb}"
        return _parse_task(await self._call(self._fresh, "POST", address, path))

    async def drain(self, address: str) -> None:
        """Tell the worker to refuse new tasks."""
        await self._call(self._fresh, "POST", address, "/v1/drain")

    async def reboot(self, address: str) -> None:
        """Tell the worker to restart."""
        await self._call(self._fresh, "POST", address, "/v1/reboot")

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        path: str,
        body: dict[str, Any] | None = None,
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_MS / 1000, sock_connect=CONNECT_TIMEOUT_MS / 1000
        )
        try:
            async with session.request(
                method, f"http://{address}{path}", json=body, timeout=timeout
            ) as response:
                payload: dict[str, Any] = await response.json()
                if response.status == 409:
                    raise TaskRefusedError(payload["code"])
                if response.status != 200:
                    raise TaskFateUnknownError(f"status {response.status}")
                return payload
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise TaskFateUnknownError(repr(error)) from error


def _order_headers(order: TaskOrder) -> dict[str, str]:
    headers = {
        "Pool-Epoch": str(order.epoch),
        "Lease-Ms": str(order.lease_ms),
        "Entry": order.entry,
        "Urgency": order.urgency,
        "Cpus": str(order.cpus),
        "Memory-Mb": str(order.memory_mb),
        "Accelerators": str(order.accelerators),
    }
    if order.boot_id is not None:
        headers["Boot-Id"] = order.boot_id
    if order.start_before_ms is not None:
        headers["Start-Before-Ms"] = str(order.start_before_ms)
    return headers


def _check_answer(response: aiohttp.ClientResponse, task: str) -> None:
    refusal = response.headers.get("Task-Refused")
    if refusal is not None:
        raise TaskRefusedError(refusal, _parse_busy(response))
    if response.headers.get("Task-Id") != task:
        raise TaskFateUnknownError("the answer belongs to another task")


def _parse_busy(response: aiohttp.ClientResponse) -> int | None:
    value = response.headers.get("Worker-Busy", "")
    return int(value) if value.isdigit() else None


def _parse_task(payload: dict[str, Any]) -> TaskStatus:
    return TaskStatus(
        state=payload["state"],
        size=payload["size"],
        boot_id=payload["boot_id"],
        started=payload["started"],
    )
