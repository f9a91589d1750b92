"""P7: a worker that is leaving gets no new work after a few seconds."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from tests.promise_scene import poll, run_fleet, send, wait_until_served
from tools.fleet import Fleet

ENTRY, KEY = "audit-export", "nightly-key"
LEAVING = "audits-1"
# The host list is fetched every 2 s and worker states every second.
FEW_S = 5.0
WATCH_S = 2.0


@asynccontextmanager
async def steady_load(fleet: Fleet) -> AsyncIterator[list[str | None]]:
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


async def leave_by_own_word(fleet: Fleet) -> None:
    await fleet.set_worker_settings(LEAVING, state="leaving")


async def leave_by_list(fleet: Fleet) -> None:
    facts = next(item for item in fleet.hosts if item["host"] == LEAVING)
    changed = {**facts, "state": "leaving"}
    await fleet._put_json(fleet.platform_address, f"/hosts/{LEAVING}", changed)


async def stop(fleet: Fleet) -> None:
    fleet.kill(LEAVING)


@pytest.mark.processes
@pytest.mark.fault("crash", "dispatch")
@pytest.mark.fault("host_list_wrong", "dispatch")
@pytest.mark.parametrize("leave", [leave_by_own_word, leave_by_list, stop])
async def test_leaving_worker_gets_no_new_work(leave: object) -> None:
    """Guards against tasks for a worker that leaves, as one source alone tells."""
    async with run_fleet(workers_per_pool=3, node_count=2, pools=("audits",)) as fleet:
        await wait_until_served(fleet, ENTRY, KEY, range(2))
        async with steady_load(fleet) as outcomes:
            await poll(lambda: len(fleet.read_starts(LEAVING)) > 5)
            await leave(fleet)  # type: ignore[operator]
            await asyncio.sleep(FEW_S)
            before = len(fleet.read_starts(LEAVING))
            served = len(outcomes)
            others = len(fleet.read_starts())
            await asyncio.sleep(WATCH_S)
            assert len(fleet.read_starts(LEAVING)) == before
            assert len(fleet.read_starts()) > others, "the load has stopped"
            assert set(outcomes[served:]) == {"done"}
