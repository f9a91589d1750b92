"""Failing workers get no extra load; a failing entry doesn't eject workers."""

import asyncio
import json

import pytest

from tests.promise_harness import run_fleet, send, wait_until_served

KEY = "nightly-key"
ENTRY = "audit-export"
GOOD = json.dumps({"key": "good", "run_ms": 100}).encode()
BAD = json.dumps({"key": "bad", "run_ms": 0, "fail": True}).encode()


def add_entry_to_audits(document: str) -> str:
    """Add a second idempotent entry to the pool of audits."""
    return document.replace('pool = "miscellaneous"', 'pool = "audits"')


@pytest.mark.processes
@pytest.mark.fault("worker_fails_everything", "running")
async def test_worker_that_fails_everything_immediately_gets_no_extra_work() -> None:
    """Guards against a failing worker that gets most requests.

    It ends each task immediately and therefore seems idle.
    """
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
async def test_entry_that_fails_on_all_workers_ejects_none_for_others() -> None:
    """Guards against workers that are ejected because a single entry fails."""
    async with run_fleet(
        workers_per_pool=3,
        node_count=1,
        pools=("audits",),
        workers_per_process=3,
        slots=2,
        edit=add_entry_to_audits,
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
        assert failed > 30, "the entry failed too rarely for this test"
        assert {outcome for result in results for outcome in result} == {"done"}
        # The load needs most of the slots, so every worker must take part.
        starts = [s["host"] for s in fleet.read_starts() if s["key"] == "good"]
        least = min(starts.count(host["host"]) for host in fleet.hosts)
        assert least > len(starts) / 6, "a worker got too few tasks of the other entry"
