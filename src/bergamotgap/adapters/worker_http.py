"""Workers over HTTP."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import aiohttp
import msgspec

from bergamotgap.adapters.worker_connections import (
    TooManyConnectionsError,
    WorkerConnections,
)
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
# A status on a kept connection that takes longer is asked again on a new one.
STATUS_TIMEOUT_MS = 1000
CHUNK_BYTES = 64 * 1024

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_CONNECT_TIMEOUT = CONNECT_TIMEOUT_MS / 1000

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


class _Refusal(msgspec.Struct):
    code: str = "refused"


class HttpTaskAnswer:
    """A task's answer while it arrives over HTTP.

    `on_silence` is called when the connection makes no progress.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, on_silence: Callable[[], None]
    ) -> None:
        self._response = response
        self._on_silence = on_silence
        self._is_complete = False

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

    @property
    def boot_id(self) -> str | None:
        """Return the worker's boot id, as told with the answer."""
        return self._response.headers.get("Boot-Id")

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body has arrived."""
        return self._is_complete

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises TaskFateUnknownError when it is cut short."""
        received = 0
        try:
            async for chunk in self._response.content.iter_chunked(CHUNK_BYTES):
                received += len(chunk)
                yield chunk
        except TimeoutError as error:
            self._on_silence()
            raise TaskFateUnknownError(repr(error)) from error
        except aiohttp.ClientError as error:
            raise TaskFateUnknownError(repr(error)) from error
        if self.size is not None and received != self.size:
            raise TaskFateUnknownError(f"{received} bytes of {self.size}")
        self._is_complete = True


class HttpWorkerClient:
    """Talk to workers by address (`ip:port`).

    Tasks use `connections`, statuses the kept connections of `pooled`; everything
    that must not depend on a silent connection uses `fresh`, a session that opens a
    new connection for each call.
    """

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
        clock: Clock,
        connections: WorkerConnections | None = None,
    ) -> None:
        self._pooled = pooled
        self._fresh = fresh
        self._clock = clock
        self._connections = connections or WorkerConnections()

    async def close(self) -> None:
        """Close the connections for tasks."""
        await self._connections.close()

    async def fetch_status(self, address: str) -> WorkerStatus:
        """Ask a worker for its own state."""
        path = "/v1/status"
        try:
            payload = await self._call(
                self._pooled, "GET", address, path, _StatusPayload, STATUS_TIMEOUT_MS
            )
        except TaskFateUnknownError:
            # The kept connection may have gone silent while the worker is well.
            payload = await self._call(
                self._fresh, "GET", address, path, _StatusPayload
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
        """Tell a worker its pool and epoch; raises TaskRefusedError if it is stale."""
        body = {"pool": pool, "epoch": epoch}
        await self._call(
            self._fresh, "PUT", address, "/v1/assignment", dict[str, Any], body=body
        )

    @asynccontextmanager
    async def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AsyncIterator[HttpTaskAnswer]:
        """Send a task; no progress within `progress_ms` raises TaskFateUnknownError.

        A connection whose answer was not read to its end is closed, so that the rest
        of the answer can't reach the next request.
        """
        try:
            with self._connections.borrow(address) as session:
                response = await self._send(session, address, order, progress_ms)
                answer = HttpTaskAnswer(response, lambda: self._leave(address))
                try:
                    if response.headers.get("Task-Id") != order.task:
                        # The client library may have put the connection back into
                        # its pool already, one answer behind.
                        self._leave(address)
                    _check_answer(response, order.task)
                    yield answer
                finally:
                    if not answer.is_complete:
                        response.close()
                    response.release()
        except TooManyConnectionsError as error:
            raise TaskRefusedError("busy") from error
        finally:
            await self._connections.close_retired()

    async def _send(
        self,
        session: aiohttp.ClientSession,
        address: str,
        order: TaskOrder,
        progress_ms: int,
    ) -> aiohttp.ClientResponse:
        try:
            return await session.post(
                f"http://{address}/v1/tasks/{order.task}",
                data=order.body,
                headers=_order_headers(order),
                timeout=_stream_timeout(progress_ms),
                allow_redirects=False,
            )
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except TimeoutError as error:
            self._leave(address)
            raise TaskFateUnknownError(repr(error)) from error
        except aiohttp.ClientError as error:
            raise TaskFateUnknownError(repr(error)) from error

    def _leave(self, address: str) -> None:
        self._connections.retire(address)

    async def fetch_task(self, address: str, task: str) -> TaskStatus:
        """Ask for a task over a new connection."""
        path = f"/v1/tasks/{task}"
        return _build_task(
            await self._call(self._fresh, "GET", address, path, _TaskPayload)
        )

    @asynccontextmanager
    async def fetch_result(
        self, address: str, task: str
    ) -> AsyncIterator[HttpTaskAnswer]:
        """Stream the result of a finished task over a new connection.

        Raises TaskFateUnknownError when the worker has no such result.
        """
        url = f"http://{address}/v1/tasks/{task}/result"
        try:
            response = await self._fresh.get(
                url,
                timeout=_stream_timeout(CALL_TIMEOUT_MS),
                headers={"Accept-Encoding": "identity"},
            )
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TaskFateUnknownError(repr(error)) from error
        try:
            if response.status != 200:
                raise TaskFateUnknownError(f"no result, status {response.status}")
            _check_answer(response, task)
            yield HttpTaskAnswer(response, lambda: None)
        finally:
            response.close()

    async def cancel(self, address: str, task: str) -> TaskStatus:
        """Refuse the task for good if it has not started; return what is known."""
        return await self.control(address, task, "cancel")

    async def control(self, address: str, task: str, verb: str) -> TaskStatus:
        """Renew, checkpoint, throttle or stop a running task."""
        path = f"/v1/tasks/{task}/{verb}"
        return _build_task(
            await self._call(self._fresh, "POST", address, path, _TaskPayload)
        )

    async def drain(self, address: str) -> None:
        """Tell the worker to refuse new tasks."""
        await self._call(self._fresh, "POST", address, "/v1/drain", dict[str, Any])

    async def reboot(self, address: str) -> None:
        """Tell the worker to restart."""
        await self._call(self._fresh, "POST", address, "/v1/reboot", dict[str, Any])

    async def _call(
        self,
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        path: str,
        payload_type: type[P],
        timeout_ms: int = CALL_TIMEOUT_MS,
        body: dict[str, Any] | None = None,
    ) -> P:
        timeout = aiohttp.ClientTimeout(
            total=timeout_ms / 1000,
            connect=_CONNECT_TIMEOUT,
            sock_connect=_CONNECT_TIMEOUT,
        )
        url = f"http://{address}{path}"
        try:
            async with session.request(
                method, url, json=body, timeout=timeout
            ) as response:
                content = await response.read()
                return _decode(response.status, content, payload_type)
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            raise TaskFateUnknownError(repr(error)) from error


def _decode(status: int, content: bytes, payload_type: type[P]) -> P:
    if status == 409:
        raise TaskRefusedError(msgspec.json.decode(content, type=_Refusal).code)
    if status != 200:
        raise TaskFateUnknownError(f"status {status}")
    return msgspec.json.decode(content, type=payload_type)


def _stream_timeout(progress_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None,
        connect=_CONNECT_TIMEOUT,
        sock_connect=_CONNECT_TIMEOUT,
        sock_read=progress_ms / 1000,
    )


def _order_headers(order: TaskOrder) -> dict[str, str]:
    headers = {
        "Pool-Epoch": str(order.epoch),
        "Lease-Ms": str(order.lease_ms),
        "Entry": order.entry,
        "Urgency": order.urgency,
        "Cpus": str(order.cpus),
        "Memory-Mb": str(order.memory_mb),
        "Accelerators": str(order.accelerators),
        # The result is passed on byte by byte, without its encoding header.
        "Accept-Encoding": "identity",
    }
    if order.boot_id is not None:
        headers["Boot-Id"] = order.boot_id
    if order.start_before_ms is not None:
        headers["Start-Before-Ms"] = str(order.start_before_ms)
    return headers


def _check_answer(response: aiohttp.ClientResponse, task: str) -> None:
    headers = response.headers
    # A late refusal of another task proves nothing about this one, so the id is
    # compared first.
    if headers.get("Task-Id") != task:
        raise TaskFateUnknownError("the answer belongs to another task")
    refusal = headers.get("Task-Refused")
    if refusal is not None:
        raise TaskRefusedError(refusal, _parse_busy(response), headers.get("Boot-Id"))
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if response.content_length is None and not is_chunked:
        raise TaskFateUnknownError("the answer's end can't be told from a lost one")


def _parse_busy(response: aiohttp.ClientResponse) -> int | None:
    value = response.headers.get("Worker-Busy", "")
    return int(value) if value.isdecimal() else None


def _build_task(payload: _TaskPayload) -> TaskStatus:
    return TaskStatus(
        state=payload.state,
        size=payload.size,
        boot_id=payload.boot_id,
        started=payload.started,
    )
