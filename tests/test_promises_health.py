"""A worker that fails attracts no work; an entry that fails empties no pool."""

import asyncio
import json

import pytest

from tests.promise_scene import run_fleet, send, wait_until_served

KEY = "nightly-key"
ENTRY = "audit-export"
GOOD = json.dumps({"key": "good", "run_ms": 100}).encode()
BAD = json.dumps({"key": "bad", "run_ms": 0, "fail": True}).encode()


def put_tools_on_audits(document: str) -> str:
    """Give the pool of audits a second idempotent entry."""
    return document.replace('pool = "miscellaneous"', 'pool = "audits"')


@pytest.mark.processes
@pytest.mark.fault("worker_fails_everything", "running")
async def test_worker_that_fails_everything_at_once_attracts_no_work() -> None:
    """Guards against a failing worker that seems idle and takes most requests."""
    async with run_fleet(
        workers_per_pool=3, node_count=2, pools=("audits",), workers_per_process=3
    ) as fleet:
        await wait_until_served(fleet, ENTRY, KEY, range(2))
        await fleet.set_worker_faults("audits-1", fail=True)

        async def call(node: int) -> list[str | None]:
            return [
                (await send(fleet, ENTRY, GOOD, KEY, node)).outcome for _ in range(25)
            ]

        results = await asyncio.gather(*(call(node) for node in (0, 1) * 4))
        starts = [s["host"] for s in fleet.read_starts() if s["key"] == "good"]
        share = starts.count("audits-1") / len(starts)
        assert share < 1 / 3, "the failing worker got more than an equal share"
        outcomes = [outcome for result in results for outcome in result]
        assert outcomes.count("done") > 0.9 * len(outcomes)


@pytest.mark.processes
@pytest.mark.fault("worker_fails_everything", "dispatch")
async def test_entry_that_fails_everywhere_leaves_the_pool_to_others() -> None:
    """Guards against workers that are ejected because of one entry's failures."""
    async with run_fleet(
        workers_per_pool=3,
        node_count=1,
        pools=("audits",),
        workers_per_process=3,
        slots=2,
        edit=put_tools_on_audits,
    ) as fleet:
        for entry in (ENTRY, "tool-run"):
            await wait_until_served(fleet, entry, KEY, range(1))
        is_ended = False

        async def fail(node: int) -> int:
            count = 0
            while not is_ended:
                answer = await send(fleet, "tool-run", BAD, KEY, node)
                count += answer.outcome == "failed"
            return count

        async def call(node: int) -> list[str | None]:
            return [
                (await send(fleet, ENTRY, GOOD, KEY, node)).outcome for _ in range(15)
            ]

        failing = [asyncio.create_task(fail(node)) for node in (0, 0)]
        await asyncio.sleep(1)
        results = await asyncio.gather(*(call(node) for node in (0,) * 6))
        is_ended = True
        failed = sum(await asyncio.gather(*failing))
        assert failed > 30, "the entry has not failed often enough"
        assert {outcome for result in results for outcome in result} == {"done"}
        # The callers need most of the slots, so each worker is needed.
        starts = [s["host"] for s in fleet.read_starts() if s["key"] == "good"]
        least = min(starts.count(host["host"]) for host in fleet.hosts)
        assert least > len(starts) / 6, "a worker got too little of the other entry"
