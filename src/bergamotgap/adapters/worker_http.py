"""Workers over HTTP."""

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from functools import lru_cache
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
        self._size = response.content_length
        self._received = 0

    @property
    def is_failure(self) -> bool:
        """Return whether the worker reports that the task failed."""
        return self._response.status != 200

    @property
    def size(self) -> int | None:
        """Return the announced length in bytes, if any."""
        return self._size

    @property
    def busy(self) -> int | None:
        """Return the worker's running tasks, as told with the answer."""
        return _parse_busy(self._response)

    @property
    def boot_id(self) -> str | None:
        """Return the worker's boot id, as told with the answer."""
        return self._response.headers.get("Boot-Id")

    def close(self) -> None:
        """Close the connection unless the whole body has arrived."""
        if not self._is_complete:
            self._response.close()
        self._response.release()

    @property
    def is_complete(self) -> bool:
        """Return whether the whole body was read."""
        return self._is_complete

    async def read(self, limit_bytes: int) -> bytes:
        """Return the next part; raises TaskFateUnknownError when it is cut short."""
        content = self._response.content
        part = b""
        try:
            if not content.at_eof():
                part = await content.read(limit_bytes)
        except TimeoutError as error:
            self._on_silence()
            raise TaskFateUnknownError(repr(error)) from error
        except aiohttp.ClientError as error:
            raise TaskFateUnknownError(repr(error)) from error
        self._received += len(part)
        if content.at_eof():
            if self._size is not None and self._received != self._size:
                detail = f"{self._received} bytes of {self._size}"
                raise TaskFateUnknownError(detail)
            self._is_complete = True
        return part

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raises TaskFateUnknownError when it is cut short."""
        while not self._is_complete:
            part = await self.read(CHUNK_BYTES)
            if part:
                yield part


class _Exchange:
    """One order and its answer, on a connection of the worker's pool.

    A connection whose answer was not read to its end is closed, so that the rest of
    the answer can't reach the next request. A class, because a generator costs
    several microseconds more for each request.
    """

    __slots__ = ("_address", "_answer", "_connections", "_lease", "_order", "_timeout")

    def __init__(
        self,
        connections: WorkerConnections,
        address: str,
        order: TaskOrder,
        progress_ms: int,
    ) -> None:
        self._connections = connections
        self._address = address
        self._order = order
        self._timeout = _stream_timeout(progress_ms)
        self._answer: HttpTaskAnswer | None = None

    async def __aenter__(self) -> HttpTaskAnswer:
        """Send the order and return its answer once the head has arrived."""
        try:
            self._lease = self._connections.acquire(self._address)
        except TooManyConnectionsError as error:
            raise TaskRefusedError("busy") from error
        try:
            response = await self._send(self._lease.session)
            self._answer = HttpTaskAnswer(response, self._leave)
            if response.headers.get("Task-Id") != self._order.task:
                # The client library may have put the connection back into its pool
                # already, one answer behind.
                self._leave()
            _check_answer(response, self._order.task)
            return self._answer
        except BaseException:
            await self.__aexit__()
            raise

    async def __aexit__(self, *exc: object) -> None:
        """Keep the connection if the answer is complete, else close it."""
        if self._answer is not None:
            self._answer.close()
            # The answer refers to this object; a cycle would wait for a collection.
            self._answer = None
        self._connections.release(self._lease)
        if self._connections.has_idle_retired:
            await self._connections.close_retired()

    def _leave(self) -> None:
        self._connections.retire(self._address)

    async def _send(self, session: aiohttp.ClientSession) -> aiohttp.ClientResponse:
        try:
            return await session.post(
                f"http://{self._address}/v1/tasks/{self._order.task}",
                data=self._order.body,
                headers=_order_headers(self._order),
                timeout=self._timeout,
                allow_redirects=False,
            )
        except _CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except TimeoutError as error:
            self._leave()
            raise TaskFateUnknownError(repr(error)) from error
        except aiohttp.ClientError as error:
            raise TaskFateUnknownError(repr(error)) from error


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

    def run(
        self, address: str, order: TaskOrder, progress_ms: int
    ) -> AbstractAsyncContextManager[HttpTaskAnswer]:
        """Send a task; no progress within `progress_ms` raises TaskFateUnknownError."""
        return _Exchange(self._connections, address, order, progress_ms)

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


@lru_cache(maxsize=4096)
def _stream_timeout(progress_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=_CONNECT_TIMEOUT,
        sock_read=progress_ms / 1000,
    )


@lru_cache(maxsize=1024)
def _size_headers(
    entry: str, urgency: str, cpus: float, memory_mb: int, accelerators: int
) -> dict[str, str]:
    return {
        "Entry": entry,
        "Urgency": urgency,
        "Cpus": str(cpus),
        "Memory-Mb": str(memory_mb),
        "Accelerators": str(accelerators),
        # The result is passed on byte by byte, without its encoding header.
        "Accept-Encoding": "identity",
    }


def _order_headers(order: TaskOrder) -> dict[str, str]:
    headers = _size_headers(
        order.entry, order.urgency, order.cpus, order.memory_mb, order.accelerators
    ).copy()
    headers["Pool-Epoch"] = str(order.epoch)
    headers["Lease-Ms"] = str(order.lease_ms)
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
