"""Tests of when the workers of a large fleet are polled."""

import asyncio
from typing import Any

import pytest

from bergamotgap.domain.clock import ManualClock
from bergamotgap.node.workers import STATUS_INTERVAL_MS, Workers
from bergamotgap.ports.worker import TaskFateUnknownError
from tools.slopes_state import build_fleet

HOSTS = 1700
SILENT = "worker-00007"


class SilentClient:
    """A worker client that fails all status requests; `lost` is set at the first."""

    def __init__(self) -> None:
        self.lost = asyncio.Event()

    async def fetch_status(self, address: str) -> Any:
        self.lost.set()
        raise TaskFateUnknownError("silent")


@pytest.mark.fault("silent_connection", "dispatch")
async def test_worker_with_a_lost_status_is_polled_again_within_seconds() -> None:
    """Guards against a silent worker that stays routable for two long intervals.

    A worker stays routable after one lost status, so the next request must follow soon.
    """
    stream, former = build_fleet(HOSTS)
    clock, client = ManualClock(), SilentClient()
    workers = Workers(stream, client, clock)  # type: ignore[arg-type]
    for name in stream.state.hosts:
        workers.view(name).status = former.view(name).status
        workers.view(name).next_poll_ms = 1 << 60
    workers.view(SILENT).next_poll_ms = 0
    task = asyncio.create_task(workers.run())
    await client.lost.wait()
    await asyncio.sleep(0)
    lost_ms = clock.monotonic_ms()
    task.cancel()
    view = workers.view(SILENT)
    assert view.failures == 1
    assert workers.is_routable(stream.state.hosts[SILENT])
    assert view.next_poll_ms <= lost_ms + 1.2 * STATUS_INTERVAL_MS
