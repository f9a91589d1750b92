"""Test that the worker client reports only what an answer proves."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import pytest
from aiohttp import web

from bergamotgap.adapters.worker_connections import WorkerConnections, open_session
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.clock import SystemClock
from bergamotgap.ports.worker import (
    ListedTask,
    TaskFateUnknownError,
    TaskOrder,
    TaskRefusedError,
    WorkerUnreachableError,
)
from tests.request_harness import ScriptedWorker, echo
from tests.stand_in_api import LONG_TASK, open_worker

ORDER = TaskOrder("t1", "report", "normal", 1, "boot-1", None, 1000, 1, 1, 0, b"body")


async def open_client(stack: AsyncExitStack, limit: int = 8) -> HttpWorkerClient:
    """Return a client that the stack closes."""
    keep_alive_session = await stack.enter_async_context(open_session(0))
    fresh_session = await stack.enter_async_context(open_session(0, False))
    connections = WorkerConnections(limit)
    client = HttpWorkerClient(
        keep_alive_session, fresh_session, SystemClock(), connections
    )
    stack.push_async_callback(client.close)
    return client


async def run(client: HttpWorkerClient, address: str, task: str = "t1") -> bytes:
    """Run an order and return its complete answer."""
    async with client.run(address, ORDER, 200) as answer:
        return b"".join([chunk async for chunk in answer.chunks()])


async def serve_raw_answer(head: str) -> tuple[asyncio.Server, str]:
    """Return a server that sends fixed bytes to every request, and its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"body")
        writer.write(head.encode())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, "127.0.0.1:{1}".format(*server.sockets[0].getsockname())


@pytest.mark.fault("truncated_answer", "answer")
@pytest.mark.parametrize(
    "lines",
    [
        "Task-Id: t1\r\n\r\nwhole?",
        "Task-Id: t1\r\nContent-Length: 9\r\n\r\npart",
        "Task-Id: t1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "Task-Id: t2\r\nContent-Length: 4\r\n\r\npart",
        "Content-Length: 4\r\n\r\npart",
        "Task-Id: t2\r\nTask-Refused: busy\r\nContent-Length: 0\r\n\r\n",
        "Task-",
        "",
    ],
)
async def test_incomplete_or_wrong_answer_leaves_the_outcome_unknown(
    lines: str,
) -> None:
    """Guards against accepting truncated answers and answers of other tasks."""
    async with AsyncExitStack() as stack:
        server, address = await serve_raw_answer("HTTP/1.1 200 OK\r\n" + lines)
        stack.callback(server.close)
        client = await open_client(stack)
        with pytest.raises(TaskFateUnknownError):
            await run(client, address)


async def test_refused_connection_proves_that_nothing_was_sent() -> None:
    """Guards against an unknown outcome when the connection is refused."""
    async with AsyncExitStack() as stack:
        server, address = await serve_raw_answer("")
        server.close()
        await server.wait_closed()
        client = await open_client(stack)
        for call in (run(client, address), client.fetch_status(address)):
            with pytest.raises(WorkerUnreachableError):
                await call


async def test_connections_to_a_worker_are_bounded() -> None:
    """Guards against more connections than a worker accepts."""

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        await asyncio.sleep(0.1)
        return await echo(worker, request, task)

    async with AsyncExitStack() as stack:
        worker = ScriptedWorker(behave)
        await worker.serve(stack)
        client = await open_client(stack, limit=2)
        calls = [run(client, worker.address) for _ in range(3)]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert results[:2] == [b"body", b"body"]
        assert isinstance(results[2], TaskRefusedError)
        assert await run(client, worker.address) == b"body"


async def test_malformed_status_is_an_error_of_the_port() -> None:
    """Guards against a malformed status that ends the task that polls workers."""

    async def status(request: web.Request) -> web.Response:
        return web.json_response({"worker": 5})

    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_get("/v1/status", status)
        runner = web.AppRunner(app)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        client = await open_client(stack)
        with pytest.raises(TaskFateUnknownError):
            await client.fetch_status("127.0.0.1:{1}".format(*runner.addresses[0]))


@pytest.mark.fault("silent_connection", "running")
async def test_status_is_fetched_over_new_connection_after_silence() -> None:
    """Guards against taking a worker for dead because one connection is silent."""
    seen: list[Any] = []

    async def status(request: web.Request) -> web.Response:
        seen.append(request.transport)
        if len(seen) == 2:
            await asyncio.sleep(60)
        payload = {"worker": "w", "time_ms": 1, "boot_id": "b", "pool": None}
        payload |= {"epoch": 0, "state": "serving", "slots": 8, "busy": 0}
        return web.json_response(payload | {"usage": {}, "usage_as_of_ms": 1})

    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_get("/v1/status", status)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        client = await open_client(stack)
        address = "127.0.0.1:{1}".format(*runner.addresses[0])
        for _ in range(2):
            assert (await client.fetch_status(address)).boot_id == "b"
        assert seen[0] is seen[1] and seen[2] is not seen[1]


async def test_running_tasks_are_listed_for_any_entry_host() -> None:
    """Guards against a drain that can't find the tasks of other entry hosts."""
    settings = {"pause_ms": 3_600_000, "usage_lag_ms": 3_600_000}
    async with open_worker(**settings) as api, AsyncExitStack() as stack:
        client = await open_client(stack)
        running = asyncio.create_task(
            api.run_task("t", LONG_TASK, Entry="audit-export", Urgency="batch")
        )
        await api.wait_for("/v1/status", busy=1)
        listed = [ListedTask("t", "audit-export", "batch")]
        assert await client.list_tasks(api.address) == listed
        await client.control(api.address, "t", "checkpoint")
        assert await client.list_tasks(api.address) == listed
        await client.control(api.address, "t", "stop")
        assert await client.list_tasks(api.address) == []
        await running


@pytest.mark.fault("freeze", "drain")
@pytest.mark.fault("freeze", "reboot")
async def test_drain_and_reboot_with_an_old_boot_id_are_refused() -> None:
    """Guards against calls that arrive after the maintenance of a host has ended."""
    async with open_worker(reboot_ms=0) as api, AsyncExitStack() as stack:
        client = await open_client(stack)
        old_boot_id = (await client.fetch_status(api.address)).boot_id
        await client.drain(api.address, old_boot_id)
        await client.reboot(api.address, old_boot_id)
        await api.wait_for("/v1/status", state="serving")
        for call in (client.drain, client.reboot):
            with pytest.raises(TaskRefusedError, match="wrong_boot"):
                await call(api.address, old_boot_id)
        status = await client.fetch_status(api.address)
        assert status.state == "serving"
