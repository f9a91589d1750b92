"""P7: a leaving worker gets no new work after a few seconds."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.promise_harness import run_fleet, send, wait_until, wait_until_served
from tools.fleet import Fleet

ENTRY, KEY = "audit-export", "nightly-key"
LEAVING_HOST = "audits-1"
# The host list is fetched every 2 s and worker states every second.
NOTICE_S = 5.0
OBSERVATION_S = 2.0


@asynccontextmanager
async def run_steady_load(fleet: Fleet) -> AsyncIterator[list[str | None]]:
    """Send requests through all entry hosts; yield the list of their outcomes."""
    outcomes: list[str | None] = []

    async def call(node: int) -> None:
        while True:
            answer = await send(fleet, ENTRY, b"steady", KEY, node)
            outcomes.append(answer.outcome)
            await asyncio.sleep(0.02)

    callers = [asyncio.create_task(call(node)) for node in (0, 1) * 3]
    try:
        yield outcomes
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


async def leave_by_worker_status(fleet: Fleet) -> None:
    await fleet.set_worker_settings(LEAVING_HOST, state="leaving")


async def leave_by_host_list(fleet: Fleet) -> None:
    facts = next(item for item in fleet.hosts if item["host"] == LEAVING_HOST)
    changed = {**facts, "state": "leaving"}
    await fleet._put_json(fleet.platform_address, f"/hosts/{LEAVING_HOST}", changed)


async def crash_worker(fleet: Fleet) -> None:
    fleet.kill(LEAVING_HOST)


@pytest.mark.processes
@pytest.mark.fault("crash", "dispatch")
@pytest.mark.fault("host_list_wrong", "dispatch")
@pytest.mark.parametrize(
    "leave", [leave_by_worker_status, leave_by_host_list, crash_worker]
)
async def test_leaving_worker_gets_no_new_work(leave: object) -> None:
    """Guards against tasks for a leaving worker if only one source reports it."""
    async with run_fleet(workers_per_pool=3, node_count=2, pools=("audits",)) as fleet:
        await wait_until_served(fleet, ENTRY, KEY, range(2))
        async with run_steady_load(fleet) as outcomes:
            await wait_until(lambda: len(fleet.read_starts(LEAVING_HOST)) > 5)
            await leave(fleet)  # type: ignore[operator]
            await asyncio.sleep(NOTICE_S)
            before = len(fleet.read_starts(LEAVING_HOST))
            served = len(outcomes)
            others = len(fleet.read_starts())
            await asyncio.sleep(OBSERVATION_S)
            assert len(fleet.read_starts(LEAVING_HOST)) == before
            assert len(fleet.read_starts()) > others, "the load stopped"
            assert set(outcomes[served:]) == {"done"}
