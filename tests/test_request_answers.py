"""A caller gets its own complete answer or none at all (P3)."""

import asyncio
import hashlib
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from tests.request_harness import RequestPath, ScriptedWorker, echo, wait_for

LARGE = 300_000


def cut_after(sent: int, size: int | None, total: int = LARGE) -> Any:
    """Return a behaviour that closes its connection in the middle of the answer."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "done", b"x" * total)
        response = web.StreamResponse(headers=worker.headers(task))
        response.content_length = size
        await response.prepare(request)
        await response.write(b"x" * sent)
        await asyncio.sleep(0.05)
        request.transport.close()
        return response

    return behave


@pytest.mark.fault("truncated_answer", "answer")
@pytest.mark.parametrize("size", [LARGE, None])
async def test_large_answer_cut_short_never_looks_complete(size: int | None) -> None:
    """Guards against a truncated answer that looks complete to its caller."""
    worker = ScriptedWorker(cut_after(200_000, size))
    async with RequestPath(worker) as path, path.open() as response:
        assert response.status == 200
        with pytest.raises(aiohttp.ClientError):
            await response.read()


@pytest.mark.fault("truncated_answer", "answer")
async def test_cut_answer_resets_connection_of_old_callers() -> None:
    """Guards against a clean close, which means "complete" to HTTP/1.0 callers."""
    async with RequestPath(ScriptedWorker(cut_after(200_000, None))) as path:
        reader, writer = await asyncio.open_connection(path.host, path.port)
        head = "POST /v1/requests/report HTTP/1.0\r\nAuthorization: Bearer key\r\n\r\n"
        writer.write(head.encode())
        with pytest.raises(ConnectionResetError):
            while await reader.read(65536):
                pass
        writer.close()


@pytest.mark.fault("truncated_answer", "answer")
@pytest.mark.parametrize("size", [100, None])
async def test_small_answer_cut_short_is_fetched_again(size: int | None) -> None:
    """Guards against a lost answer whose result the worker still has."""
    worker = ScriptedWorker(cut_after(50, size, total=100))
    async with RequestPath(worker) as path:
        assert await path.request() == (200, "done", b"x" * 100)
        assert len(worker.started) == 1


async def send_late(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
    """Answer, and then send an answer of another task on the same connection."""
    response = await echo(worker, request, task)
    if len(worker.started) == 1:

        async def send() -> None:
            await asyncio.sleep(0.05)
            late = b"HTTP/1.1 200 OK\r\nTask-Id: other\r\nContent-Length: 4\r\n\r\nlate"
            worker.transports[0].write(late)

        worker.late = asyncio.create_task(send())  # type: ignore[attr-defined]
    return response


@pytest.mark.fault("answer_lost", "answer")
async def test_late_answer_never_reaches_next_request() -> None:
    """Guards against a late answer on a reused connection reaching the next caller."""
    worker = ScriptedWorker(send_late)
    async with RequestPath(worker) as path:
        assert await path.request(b"first") == (200, "done", b"first")
        await worker.late  # type: ignore[attr-defined]
        for body in (b"second", b"third"):
            assert await path.request(body) == (200, "done", body)
        # The connection with the extra answer is not reused.
        assert worker.calls.count("status") == 1


async def test_large_answer_is_streamed_with_bounded_memory() -> None:
    """Guards against an entry host that buffers answers for slow callers in memory."""
    chunk, count = b"y" * (1 << 20), 128
    sent = 0

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        nonlocal sent
        response = web.StreamResponse(headers=worker.headers(task))
        await response.prepare(request)
        for _ in range(count):
            await response.write(chunk)
            sent += 1
        await response.write_eof()
        return response

    async with RequestPath(ScriptedWorker(behave), progress_ms=5000) as path:
        async with path.open() as response:
            seen = -1
            while sent != seen:
                seen = sent
                await asyncio.sleep(0.5)
            assert seen < 48, "the worker sent most of the answer to no reader"
            digest = hashlib.sha256()
            async for part in response.content.iter_any():
                digest.update(part)
        assert digest.digest() == hashlib.sha256(chunk * count).digest()


async def test_failed_task_is_reported_as_failed() -> None:
    """Guards against a failed task whose answer looks like a result."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "failed", b"no such ledger")
        return worker.answer(task, status=500)

    async with RequestPath(ScriptedWorker(behave)) as path:
        status, outcome, body = await path.request()
        assert (status, outcome) == (502, "failed")
        assert b"no such ledger" in body


async def test_task_is_cancelled_when_its_caller_disconnects() -> None:
    """Guards against tasks that continue after their caller disconnected."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        worker.start(task, "running")
        await asyncio.sleep(60)

    worker = ScriptedWorker(behave)
    async with RequestPath(worker, progress_ms=10_000) as path:
        request = asyncio.create_task(path.request())
        await wait_for(lambda: worker.started)
        request.cancel()
        await wait_for(lambda: worker.calls == ["cancel", "stop"])
        assert path.admission.pool_demand().get("reports", 0) == 0
