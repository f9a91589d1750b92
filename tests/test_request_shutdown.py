"""A graceful shutdown cuts off no request in progress (P8)."""

import asyncio
from typing import Any

import aiohttp
import pytest
from aiohttp import web

from bergamotgap.domain.clock import ManualClock
from bergamotgap.node.shutdown import GRACE_MS, RequestGate, shut_down
from tests.request_harness import FakeWorker, Front, echo, wait_for
from tools.fleet import Fleet

CLERK = {"Authorization": "Bearer clerk-key"}


async def test_new_requests_are_refused_while_old_ones_finish() -> None:
    """Guards against requests that are cut off, or taken, by a node that stops."""
    release = asyncio.Event()

    async def behave(worker: FakeWorker, request: web.Request, task: str) -> Any:
        await release.wait()
        return await echo(worker, request, task)

    worker = FakeWorker(behave)
    announced: list[bool] = []
    async with Front(worker, progress_ms=5000) as front:
        old = asyncio.create_task(front.request(b"old"))
        await wait_for(lambda: worker.transports)
        stop = asyncio.create_task(
            shut_down(front.gate, lambda: announced.append(True), ManualClock(), 20_000)
        )
        await wait_for(lambda: not front.gate.is_open)
        assert announced == [True]
        async with front.open() as response:
            assert response.status == 503
            assert response.headers["Outcome"] == "not_run"
            assert response.headers["Connection"] == "close"
            assert (await response.json())["code"] == "shutting_down"
        assert not stop.done()
        release.set()
        assert await old == (200, "done", b"old")
        assert await stop


async def test_requests_are_still_taken_in_grace_time() -> None:
    """Guards against refusals before the balancer has noticed the readiness."""
    async with Front(FakeWorker()) as front:
        front.gate.announce()
        async with front.open() as response:
            assert response.status == 200
            assert response.headers["Connection"] == "close"


async def test_shutdown_is_bounded() -> None:
    """Guards against a node that never exits because one request never ends."""
    gate = RequestGate()
    gate.enter()
    assert not await shut_down(gate, lambda: None, ManualClock(), 10)


@pytest.mark.processes
async def test_request_in_progress_finishes_after_sigterm() -> None:
    """Guards against a rolling restart that cuts off requests."""
    # The task runs for longer than the grace time, so that it is still in progress
    # when new requests are refused.
    fleet = Fleet("vestfjord", 1, 1, run_ms=GRACE_MS + 1000, pools=("case-bundles",))
    body = b"bundle" * 50_000
    async with fleet, aiohttp.ClientSession(headers=CLERK) as session:
        assert await fleet.publish() == 200
        await fleet.wait_until_ready()
        node = fleet.nodes[0]
        url = f"http://{node.caller}/v1/requests/case-bundle"
        request = asyncio.create_task(send_until_run(session, url, body))
        worker = f"http://{fleet.hosts[0]['address']}/v1/status"
        async with asyncio.timeout(20):
            while True:
                async with session.get(worker) as response:
                    if (await response.json())["busy"]:
                        break
                await asyncio.sleep(0.05)
        fleet.terminate(node.name)
        assert await request == body
        process = fleet.processes[node.name]
        assert await asyncio.to_thread(process.wait, 20) == 0


async def send_until_run(
    session: aiohttp.ClientSession, url: str, body: bytes
) -> bytes:
    """Send a request until workers are known, and return its answer."""
    async with asyncio.timeout(20):
        while True:
            async with session.post(url, data=body) as response:
                if response.status == 200:
                    return await response.read()
                assert response.headers["Outcome"] == "not_run"
            await asyncio.sleep(0.1)
