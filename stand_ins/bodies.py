"""Bodies of orders and results."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter
from pydantic import BaseModel, ConfigDict, Field, ValidationError

CHUNK_BYTES = 64 * 1024


class OrderBody(BaseModel):
    """The true behaviour of a task, as its JSON body sets it.

    `result_bytes` makes the result the order's body, repeated and cut to that size;
    without it the body is echoed. `cpus` and `memory_mb` are the true use.
    """

    model_config = ConfigDict(frozen=True, extra="allow")

    run_ms: int | None = Field(default=None, ge=0)
    result_bytes: int | None = Field(default=None, ge=0)
    fail: bool = False
    key: str | None = None
    cpus: float | None = Field(default=None, ge=0)
    memory_mb: int | None = Field(default=None, ge=0)


def parse_order_body(body: bytes) -> OrderBody:
    """Return what a JSON body sets; a body of another kind sets nothing."""
    if not body.startswith(b"{"):
        return OrderBody()
    try:
        return OrderBody.model_validate_json(body)
    except ValidationError:
        return OrderBody()


def iterate_chunks(pattern: bytes, size: int) -> Iterator[bytes]:
    """Yield `pattern`, repeated and cut to `size` bytes, in chunks."""
    if not pattern:
        pattern = b"\0"
    block = pattern * max(1, CHUNK_BYTES // len(pattern))
    left = size
    while left > 0:
        chunk = block[:left]
        left -= len(chunk)
        yield chunk


def build_result(body: bytes) -> bytes:
    """Return the result that a worker gives for an order with this body."""
    size = parse_order_body(body).result_bytes
    return body if size is None else b"".join(iterate_chunks(body, size))


class RepeatedBody(payload.Payload):
    """An answer's body: a pattern repeated to a size, written chunk by chunk.

    `hold` is awaited before each chunk.
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
        """Write the whole body."""
        async for chunk in self._chunks():
            await writer.write(chunk)

    async def _chunks(self) -> AsyncIterator[bytes]:
        for chunk in self.iterate(self._size or 0):
            await self._before_chunk()
            yield chunk


def read_first_half(body: Any) -> tuple[int, Iterator[bytes]]:
    """Return the size of an answer's body and the first half of it."""
    if isinstance(body, RepeatedBody):
        size = body.size or 0
        return size, body.iterate(size // 2)
    data = bytes(body or b"")
    return len(data), iter([data[: len(data) // 2]])
