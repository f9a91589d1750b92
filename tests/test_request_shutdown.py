"""A graceful shutdown cuts off no request in progress (P8)."""

import asyncio
from typing import Any

import pytest
from aiohttp import web

from bergamotgap.domain.clock import ManualClock
from bergamotgap.node.shutdown import GRACE_PERIOD_MS, RequestGate, shut_down
from tests.request_harness import RequestPath, ScriptedWorker, echo, wait_for
from tools.fleet import Fleet


async def hand_over(timeout_ms: int) -> None:
    """Hand over nothing."""


async def test_new_requests_are_refused_while_old_ones_finish() -> None:
    """Guards against requests that are cut off or accepted during a shutdown."""
    release = asyncio.Event()

    async def behave(worker: ScriptedWorker, request: web.Request, task: str) -> Any:
        await release.wait()
        return await echo(worker, request, task)

    worker = ScriptedWorker(behave)
    announced: list[bool] = []
    async with RequestPath(worker, progress_ms=5000) as path:
        old = asyncio.create_task(path.request(b"old"))
        await wait_for(lambda: worker.transports)
        stop = asyncio.create_task(
            shut_down(
                path.gate,
                lambda: announced.append(True),
                hand_over,
                ManualClock(),
                20_000,
            )
        )
        await wait_for(lambda: not path.gate.is_open)
        assert announced == [True]
        async with path.open() as response:
            assert response.status == 503
            assert response.headers["Outcome"] == "not_run"
            assert response.headers["Connection"] == "close"
            assert (await response.json())["code"] == "shutting_down"
        assert not stop.done()
        release.set()
        assert await old == (200, "done", b"old")
        assert await stop


async def test_requests_are_still_accepted_in_grace_period() -> None:
    """Guards against refusals before the load balancer has noticed the shutdown."""
    async with RequestPath(ScriptedWorker()) as path:
        path.gate.announce_leaving()
        async with path.open() as response:
            assert response.status == 200
            assert response.headers["Connection"] == "close"


async def test_requests_are_refused_only_after_the_grace_period() -> None:
    """Guards against refusals while the load balancer still sends requests here."""
    gate = RequestGate()
    states: list[tuple[bool, bool]] = []

    class GraceClock(ManualClock):
        async def sleep_ms(self, duration_ms: float) -> None:
            states.append((gate.is_open, gate.is_leaving))

    assert await shut_down(gate, lambda: None, hand_over, GraceClock(), 1000)
    assert states == [(True, True)]
    assert not gate.is_open


async def test_shutdown_is_bounded() -> None:
    """Guards against a node that never exits because one request never ends."""
    gate = RequestGate()
    gate.begin_request()
    assert not await shut_down(gate, lambda: None, hand_over, ManualClock(), 10)


@pytest.mark.processes
async def test_request_in_progress_finishes_after_sigterm() -> None:
    """Guards against a rolling restart that cuts off requests."""
    # The task runs for longer than the grace period, so that it is still in progress
    # when new requests are refused.
    fleet = Fleet(
        "vestfjord", 1, 1, run_ms=GRACE_PERIOD_MS + 1000, pools=("case-bundles",)
    )
    body = b"bundle" * 50_000
    async with fleet:
        assert await fleet.publish() == 200
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        node = fleet.nodes[0]
        request = asyncio.create_task(send_until_run(fleet, body))
        await wait_for(fleet.read_starts)
        fleet.terminate(node.name)
        assert await request == body
        process = fleet.processes[node.name]
        assert await asyncio.to_thread(process.wait, 20) == 0


async def send_until_run(fleet: Fleet, body: bytes) -> bytes:
    """Repeat a request until it is run, and return its answer."""
    while True:
        answer = await fleet.calls.send_request("case-bundle", body, key="clerk-key")
        if answer.status == 200:
            return answer.body
        assert answer.outcome == "not_run"
        await asyncio.sleep(0.1)
