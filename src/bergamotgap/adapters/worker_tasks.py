"""Task orders to workers and their answers over HTTP."""

from collections.abc import AsyncIterator, Callable
from functools import lru_cache

import aiohttp

from bergamotgap.adapters.worker_connections import (
    TooManyConnectionsError,
    WorkerConnections,
)
from bergamotgap.ports.worker import (
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    WorkerUnreachableError,
)

CONNECT_TIMEOUT_S = 0.5
CHUNK_BYTES = 64 * 1024

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpTaskAnswer:
    """A task's answer that is received over HTTP.

    `on_timeout` is called when a read times out.
    """

    def __init__(
        self, response: aiohttp.ClientResponse, on_timeout: Callable[[], None]
    ) -> None:
        self._response = response
        self._on_timeout = on_timeout
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
        """Return the number of tasks that the worker runs, from the answer's header."""
        return _parse_busy(self._response)

    @property
    def boot_id(self) -> str | None:
        """Return the worker's boot id, from the answer's headers."""
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
        """Return the next part; raises TaskFateUnknownError if it is cut off."""
        content = self._response.content
        part = b""
        try:
            if not content.at_eof():
                part = await content.read(limit_bytes)
        except TimeoutError as error:
            self._on_timeout()
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
        """Yield the body; raises TaskFateUnknownError if it is cut off."""
        while not self._is_complete:
            part = await self.read(CHUNK_BYTES)
            if part:
                yield part


class TaskExchange:
    """Sends one order and receives its answer on a pooled connection.

    A connection is closed unless its answer was read to the end, because the remaining
    bytes would otherwise be taken for the next request's answer. This is a class since
    a generator-based context manager costs several microseconds more per request.
    """

    __slots__ = (
        "_address",
        "_answer",
        "_connection_pool",
        "_connections",
        "_order",
        "_timeout",
    )

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
        self._timeout = build_stream_timeout(progress_ms)
        self._answer: HttpTaskAnswer | None = None

    async def __aenter__(self) -> HttpTaskAnswer:
        """Send the order and return its answer once the headers have arrived."""
        try:
            self._connection_pool = self._connections.acquire(self._address)
        except TooManyConnectionsError as error:
            raise TaskRefusedError("busy") from error
        try:
            response = await self._send(self._connection_pool.session)
            self._answer = HttpTaskAnswer(response, self._retire_connections)
            if response.headers.get("Task-Id") != self._order.task:
                # The client library may already have returned the connection to its
                # pool, where the next request would get the answer to this one.
                self._retire_connections()
            check_answer_headers(response, self._order.task)
            return self._answer
        except BaseException:
            await self.__aexit__()
            raise

    async def __aexit__(self, *exc: object) -> None:
        """Keep the connection if the answer is complete, otherwise close it."""
        if self._answer is not None:
            self._answer.close()
            # The answer refers to this object. Dropping the reference avoids a cycle,
            # which only the garbage collector would free.
            self._answer = None
        self._connections.release(self._connection_pool)
        if self._connections.has_idle_retired_pools:
            await self._connections.close_idle_retired_pools()

    def _retire_connections(self) -> None:
        self._connections.retire(self._address)

    async def _send(self, session: aiohttp.ClientSession) -> aiohttp.ClientResponse:
        try:
            return await session.post(
                f"http://{self._address}/v1/tasks/{self._order.task}",
                data=self._order.body,
                headers=_build_order_headers(self._order),
                timeout=self._timeout,
                allow_redirects=False,
            )
        except CONNECT_ERRORS as error:
            raise WorkerUnreachableError(repr(error)) from error
        except TimeoutError as error:
            self._retire_connections()
            raise TaskFateUnknownError(repr(error)) from error
        except aiohttp.ClientError as error:
            raise TaskFateUnknownError(repr(error)) from error


@lru_cache(maxsize=4096)
def build_stream_timeout(progress_ms: int) -> aiohttp.ClientTimeout:
    """Return timeouts for a stream of any duration that must make progress."""
    return aiohttp.ClientTimeout(
        total=None,
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=progress_ms / 1000,
    )


@lru_cache(maxsize=1024)
def _build_size_headers(
    entry: str, urgency: str, cpus: float, memory_mb: int, accelerators: int
) -> dict[str, str]:
    return {
        "Entry": entry,
        "Urgency": urgency,
        "Cpus": str(cpus),
        "Memory-Mb": str(memory_mb),
        "Accelerators": str(accelerators),
        # The result is forwarded without a Content-Encoding header.
        "Accept-Encoding": "identity",
    }


def _build_order_headers(order: TaskOrder) -> dict[str, str]:
    headers = _build_size_headers(
        order.entry, order.urgency, order.cpus, order.memory_mb, order.accelerators
    ).copy()
    headers["Pool-Epoch"] = str(order.epoch)
    headers["Lease-Ms"] = str(order.lease_ms)
    if order.boot_id is not None:
        headers["Boot-Id"] = order.boot_id
    if order.start_before_ms is not None:
        headers["Start-Before-Ms"] = str(order.start_before_ms)
    return headers


def check_answer_headers(response: aiohttp.ClientResponse, task: str) -> None:
    """Raise an error if the answer is another task's, a refusal, or not delimited.

    Without a length or chunked encoding, a truncated body would look complete.
    """
    headers = response.headers
    # The id is compared first: a late refusal of another task proves nothing about
    # this one.
    if headers.get("Task-Id") != task:
        raise TaskFateUnknownError("the answer belongs to another task")
    refusal = headers.get("Task-Refused")
    if refusal is not None:
        raise TaskRefusedError(refusal, _parse_busy(response), headers.get("Boot-Id"))
    is_chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    if response.content_length is None and not is_chunked:
        raise TaskFateUnknownError(
            "the answer has neither a length nor chunked encoding"
        )


def _parse_busy(response: aiohttp.ClientResponse) -> int | None:
    value = response.headers.get("Worker-Busy", "")
    return int(value) if value.isdecimal() else None
