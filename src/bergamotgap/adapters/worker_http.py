"""HTTP client of the workers."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Any, TypeVar

import aiohttp
import msgspec

from bergamotgap.adapters.worker_connections import WorkerConnections
from bergamotgap.adapters.worker_tasks import (
    CONNECT_ERRORS,
    CONNECT_TIMEOUT_S,
    HttpTaskAnswer,
    TaskExchange,
    build_stream_timeout,
    check_answer_headers,
)
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.worker import (
    ListedTask,
    ResultGoneError,
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    TaskStatus,
    WorkerStatus,
    WorkerUnreachableError,
)

CALL_TIMEOUT_MS = 2000
NOT_FOUND = 404
# If a status takes longer on a keep-alive connection, a new connection is tried.
KEEP_ALIVE_STATUS_TIMEOUT_MS = 1000


P = TypeVar("P")


class _Usage(msgspec.Struct):
    cpus: float = 0.0
    memory_mb: float = 0.0


class _StatusPayload(msgspec.Struct):
    worker: str
    time_ms: int
    boot_id: str
    pool: str | None
    epoch: int
    state: str
    slots: int
    busy: int
    usage: _Usage
    usage_as_of_ms: int


class _TaskPayload(msgspec.Struct):
    state: str
    size: int = 0
    boot_id: str = ""
    started: bool = True


class _ListedTask(msgspec.Struct):
    task: str
    entry: str = ""
    urgency: str = ""
    cpus: float | None = None
    memory_mb: float | None = None


class _ListPayload(msgspec.Struct):
    tasks: list[_ListedTask]


class _RefusalPayload(msgspec.Struct):
    code: str = "refused"


class HttpWorkerClient:
    """Calls workers by address (`ip:port`).

    Tasks use `connections`, statuses the keep-alive connections of
    `keep_alive_session`. Calls that must not depend on a connection that may be silent
    use `fresh_session`, which opens a new connection for each call.
    """

    def __init__(
        self,
        keep_alive_session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        clock: Clock,
        connections: WorkerConnections | None = None,
    ) -> None:
        self._keep_alive_session = keep_alive_session
        self._fresh_session = fresh_session
        self._clock = clock
        self._connections = connections or WorkerConnections()

    async def close(self) -> None:
        """Close the connections for tasks."""
        await self._connections.close()

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Fetch a worker's status."""
        path = "/v1/status"
        try:
            payload = await self._call(
                self._keep_alive_session,
                "GET",
                address,
                path,
                _StatusPayload,
                KEEP_ALIVE_STATUS_TIMEOUT_MS,
            )
        except TaskFateUnknownError:
            # The keep-alive connection may be silent although the worker is healthy.
            payload = await self._call(
                self._fresh_session, "GET", address, path, _StatusPayload
            )
        return WorkerStatus(
            worker=payload.worker,
            time_ms=payload.time_ms,
            arrived_ms=self._clock.monotonic_ms(),
            boot_id=payload.boot_id,
            pool=payload.pool,
            epoch=payload.epoch,
            state=payload.state,
            slots=payload.slots,
            busy=payload.busy,
            used_cpus=payload.usage.cpus,
            used_memory_mb=int(payload.usage.memory_mb),
            usage_as_of_ms=payload.usage_as_of_ms,
        )

    async def assign(self, address: str, pool: str | None, epoch: int) -> None:
        """Assign a worker to a pool; raises TaskRefusedError if the epoch is stale."""
        body = {"pool": pool, "epoch": epoch}
        await self._call(
            self._fresh_session,
            "PUT",
            address,
            "/v1/assignment",
            dict[str, Any],
            body=body,
        )

    def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AbstractAsyncContextManager[HttpTaskAnswer]:
        """Send a task; raises TaskFateUnknownError if idle for `progress_ms`."""
        return TaskExchange(self._connections, address, order, progress_ms)

    async def list_tasks(self, address: str) -> list[ListedTask]:
        """List a worker's running tasks, including paused ones."""
        path = "/v1/tasks"
        payload = await self._call(
            self._fresh_session, "GET", address, path, _ListPayload
        )
        return [
            ListedTask(item.task, item.entry, item.urgency, item.cpus, item.memory_mb)
            for item in payload.tasks
        ]

    async def fetch_task(self, address: str, task: str) -> TaskStatus:
        """Fetch the status of a task over a new connection."""
        path = f"/v1/tasks/{task}"
        return _build_task_status(
            await self._call(self._fresh_session, "GET", address, path, _TaskPayload)
        )

    @asynccontextmanager
    async def fetch_result(
        self, address: str, task: str
    ) -> AsyncIterator[HttpTaskAnswer]:
        """Stream the result of a finished task over a new connection.

        Raises ResultGoneError if the worker reports that it has no such result, and
        TaskFateUnknownError if its answer is lost.
        """
        url = f"http://{address}/v1/tasks/{task}/result"
        try:
            response = await self._fresh_session.get(
                url,
                timeout=build_stream_timeout(CALL_TIMEOUT_MS),
                headers={"Accept-Encoding": "identity"},
            )
        except CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TaskFateUnknownError(repr(error)) from error
        try:
            if response.status == NOT_FOUND:
                raise ResultGoneError("the worker has no such result")
            if response.status != 200:
                raise TaskFateUnknownError(f"no result, status {response.status}")
            check_answer_headers(response, task)
            yield HttpTaskAnswer(response, lambda: None)
        finally:
            response.close()

    async def cancel(self, address: str, task: str) -> TaskStatus:
        """Cancel a task unless it has started; the worker then never starts it."""
        return await self.control(address, task, "cancel")

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Change a running task; `verb` is renew, checkpoint, throttle or stop."""
        path = f"/v1/tasks/{task}/{verb}"
        return _build_task_status(
            await self._call(self._fresh_session, "POST", address, path, _TaskPayload)
        )

    async def drain(self, address: str, boot_id: str) -> None:
        """Make the worker refuse new tasks.

        Raises TaskRefusedError `wrong_boot` if it has restarted since `boot_id`.
        """
        await self._post_maintenance(address, "drain", boot_id)

    async def reboot(self, address: str, boot_id: str) -> None:
        """Restart the worker; raises the same errors as `drain`."""
        await self._post_maintenance(address, "reboot", boot_id)

    async def _post_maintenance(self, address: str, verb: str, boot_id: str) -> None:
        headers = {"Boot-Id": boot_id}
        await self._call(
            self._fresh_session,
            "POST",
            address,
            f"/v1/{verb}",
            dict[str, Any],
            headers=headers,
        )

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        path: str,
        payload_type: type[P],
        timeout_ms: int = CALL_TIMEOUT_MS,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> P:
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
            sock_connect=CONNECT_TIMEOUT_S,
        )
        url = f"http://{address}{path}"
        try:
            async with session.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                content = await response.read()
                return _decode_response(response.status, content, payload_type)
        except CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            raise TaskFateUnknownError(repr(error)) from error


def _decode_response(status: int, content: bytes, payload_type: type[P]) -> P:
    if status == 409:
        raise TaskRefusedError(msgspec.json.decode(content, type=_RefusalPayload).code)
    if status != 200:
        raise TaskFateUnknownError(f"status {status}")
    return msgspec.json.decode(content, type=payload_type)


def _build_task_status(payload: _TaskPayload) -> TaskStatus:
    return TaskStatus(
        state=payload.state,
        size=payload.size,
        boot_id=payload.boot_id,
        started=payload.started,
    )
