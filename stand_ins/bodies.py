"""Bodies of task orders and of their results."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter
from pydantic import BaseModel, ConfigDict, Field, ValidationError

CHUNK_BYTES = 64 * 1024


class OrderBody(BaseModel):
    """How a task behaves, as set by the JSON body of its order.

    With `result_bytes`, the result is the body repeated and cut to that size; without
    it, the body is echoed. `cpus` and `memory_mb` are what the task really uses, which
    may differ from what the order declares.
    """

    model_config = ConfigDict(frozen=True, extra="allow")

    run_ms: int | None = Field(default=None, ge=0)
    result_bytes: int | None = Field(default=None, ge=0)
    fail: bool = False
    key: str | None = None
    cpus: float | None = Field(default=None, ge=0)
    memory_mb: int | None = Field(default=None, ge=0)


def parse_order_body(body: bytes) -> OrderBody:
    """Parse a JSON body; a body that is not a valid one sets nothing."""
    if not body.startswith(b"{"):
        return OrderBody()
    try:
        return OrderBody.model_validate_json(body)
    except ValidationError:
        return OrderBody()


def iterate_chunks(pattern: bytes, size: int) -> Iterator[bytes]:
    """Yield chunks of `pattern` repeated and cut to a total of `size` bytes."""
    if not pattern:
        pattern = b"\0"
    block = pattern * max(1, CHUNK_BYTES // len(pattern))
    left = size
    while left > 0:
        chunk = block[:left]
        left -= len(chunk)
        yield chunk


def build_result(body: bytes) -> bytes:
    """Return the result that a worker returns for an order with this body."""
    size = parse_order_body(body).result_bytes
    return body if size is None else b"".join(iterate_chunks(body, size))


class RepeatedBody(payload.Payload):
    """Response body that repeats a pattern up to a size without storing it whole.

    `before_chunk` is awaited before each chunk is written.
    """

    def __init__(
        self, pattern: bytes, size: int, before_chunk: Callable[[], Awaitable[None]]
    ) -> None:
        super().__init__(pattern, content_type="application/octet-stream")
        self._pattern = pattern
        self._size = size
        self._before_chunk = before_chunk

    def iterate(self, size: int) -> Iterator[bytes]:
        """Yield the first `size` bytes in chunks."""
        return iterate_chunks(self._pattern, size)

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the whole body as text."""
        return b"".join(self.iterate(self._size or 0)).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body chunk by chunk."""
        async for chunk in self._chunks():
            await writer.write(chunk)

    async def _chunks(self) -> AsyncIterator[bytes]:
        for chunk in self.iterate(self._size or 0):
            await self._before_chunk()
            yield chunk


def read_first_half(body: Any) -> tuple[int, Iterator[bytes]]:
    """Return the full size of a response body, and its first half in chunks."""
    if isinstance(body, RepeatedBody):
        size = body.size or 0
        return size, body.iterate(size // 2)
    data = bytes(body or b"")
    return len(data), iter([data[: len(data) // 2]])
