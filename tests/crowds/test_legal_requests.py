"""Tests that a single request at the very limits is served in calm."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import msgspec
import pytest

from stand_ins.crowd_clients import BODY_LIMIT, HEAD_LIMIT
from tests.crowds.hosts import JOB, Host, run_joined_host

pytestmark = pytest.mark.processes

NUMBERS = iter(range(0xE000, 0xF000))
ANSWER_TIMEOUT_S = 30.0
DOCUMENT = msgspec.json.encode(JOB)


@pytest.fixture
async def host(tmp_path: Path) -> AsyncIterator[Host]:
    """Run a node with the limits of the users' pages."""
    async with run_joined_host(tmp_path) as running:
        yield running


async def _send(host: Host, head: bytes, body: Iterator[bytes]) -> int:
    """Send a request; return the status of the answer, 0 without one."""
    address, _, port = host.targets["front"].address.rpartition(":")
    reader, writer = await asyncio.open_connection(address, int(port))
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            writer.write(head)
            for piece in body:
                writer.write(piece)
                await writer.drain()
            line = await reader.readline()
    except (OSError, TimeoutError):
        return 0
    finally:
        writer.close()
    return int(line.split()[1]) if line else 0


def _build_head(host: Host, *fields: str) -> bytes:
    return host.targets["front"].build_head(*fields, number=next(NUMBERS))


def _build_body(size: int = BODY_LIMIT) -> bytes:
    return DOCUMENT + b" " * (size - len(DOCUMENT))


def _chunk(body: bytes, size: int) -> Iterator[bytes]:
    at_once = max(1, 16_384 // size)
    for first in range(0, len(body), size * at_once):
        yield b"".join(
            b"%x\r\n%b\r\n" % (len(piece), piece)
            for start in range(first, min(len(body), first + size * at_once), size)
            if (piece := body[start : start + size])
        )
    yield b"0\r\n\r\n"


LENGTH = f"Content-Length: {len(DOCUMENT)}"


async def test_heads_at_the_limit_are_served(host: Host) -> None:
    """Guards against limits of the HTTP library below those of the configuration."""
    rest = HEAD_LIMIT - len(_build_head(host, LENGTH, "X-Long: "))
    one_field = _build_head(host, LENGTH, "X-Long: " + "x" * rest)
    assert len(one_field) == HEAD_LIMIT
    assert await _send(host, one_field, iter([DOCUMENT])) == 200
    many_fields = [f"X-{n:03}: " + "x" * 43 for n in range(200)]
    head = _build_head(host, LENGTH, *many_fields)
    assert await _send(host, head, iter([DOCUMENT])) == 200
    short_fields = ["a:"] * ((HEAD_LIMIT - len(_build_head(host, LENGTH))) // 4)
    head = _build_head(host, LENGTH, *short_fields)
    assert await _send(host, head, iter([DOCUMENT])) == 200


async def test_a_long_request_line_is_answered(host: Host) -> None:
    """Guards against a legal path that the HTTP library refuses as malformed."""
    head = _build_head(host, LENGTH).replace(b" HTTP", b"?" + b"q" * 15_000 + b" HTTP")
    assert await _send(host, head, iter([DOCUMENT])) == 200


async def test_bodies_at_the_limit_are_served(host: Host) -> None:
    """Guards against budgets below a single legal body, however it is sent."""
    body = _build_body()
    head = _build_head(host, f"Content-Length: {BODY_LIMIT}")
    assert await _send(host, head, iter([body])) == 200
    for size in (BODY_LIMIT, 8192, 1):
        head = _build_head(host, "Transfer-Encoding: chunked")
        assert await _send(host, head, _chunk(body, size)) == 200


async def test_heads_and_bodies_over_the_limit_are_refused(host: Host) -> None:
    """Guards against limits of the configuration that are not applied."""
    head = _build_head(host, LENGTH, *(["X: " + "x" * 1000] * 40))
    assert await _send(host, head, iter([DOCUMENT])) in (0, 431)
    head = _build_head(host, f"Content-Length: {BODY_LIMIT + 1}")
    assert await _send(host, head, iter([_build_body(BODY_LIMIT + 1)])) in (0, 413)
    head = _build_head(host, "Transfer-Encoding: chunked")
    chunks = _chunk(_build_body(BODY_LIMIT + 1), 8192)
    assert await _send(host, head, chunks) in (0, 413)


async def test_a_long_specification_is_refused(host: Host) -> None:
    """Guards against a specification above the 4,000 bytes of the users' pages."""
    for size, status in ((4000, 200), (4001, 400)):
        document = msgspec.json.encode({**JOB, "specification": "s" * size})
        head = _build_head(host, f"Content-Length: {len(document)}")
        assert await _send(host, head, iter([document])) == status
