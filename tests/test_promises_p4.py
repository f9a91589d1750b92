"""P3, P4: answers are complete, and `not_run` means that the work was not run."""

import asyncio
import json

import pytest

from tests.promise_harness import run_fleet, send, wait_until_served
from tools.fleet import Fleet

KEY = "finance-key"
ENTRY = "audit-export"
COUNT = 90
# Each truncation closes a connection, so many calls are truncated.
FAULTS = (
    {"truncate": 15, "paths": ["POST .*tasks"]},
    {"lose_answers": 15, "paths": ["POST .*tasks"]},
    {"late_ms": 700, "paths": ["POST .*tasks"]},
    {"fail": True, "paths": ["POST .*tasks"]},
    {"hang": True},
    {"delay_ms": 700, "paths": ["POST .*tasks"]},
)


async def send_and_check(
    fleet: Fleet, number: int
) -> tuple[str, str | None, str | None]:
    """Send a request, check the answer, and return key, outcome and code."""
    key = f"p4-{number}"
    order = {"key": key, "run_ms": 50, "result_bytes": 100 if number % 2 else 90_000}
    body = json.dumps(order).encode()
    await asyncio.sleep(0.03 * number)
    deadline_ms = 400 if number % 5 == 0 else 8000
    answer = await send(fleet, ENTRY, body, KEY, number % 2, deadline_ms=deadline_ms)
    if answer.status == 200:
        size = int(order["result_bytes"])
        assert answer.body == (body * (size // len(body) + 1))[:size]
    if answer.outcome == "done":
        assert answer.status == 200
    return key, answer.outcome, answer.code


@pytest.mark.processes
@pytest.mark.fault("truncated_answer", "answer")
@pytest.mark.fault("answer_lost", "dispatch")
@pytest.mark.fault("silent_connection", "answer")
@pytest.mark.fault("worker_fails_everything", "dispatch")
async def test_answers_are_complete_and_not_run_is_true_under_worker_faults() -> None:
    """Guards against truncated or swapped answers and against a false `not_run`."""
    async with run_fleet(
        workers_per_pool=3, node_count=2, pools=("audits",), workers_per_process=3
    ) as fleet:
        await wait_until_served(fleet, ENTRY, KEY, range(2))

        async def fail_in_turn() -> None:
            for at, faults in enumerate(FAULTS):
                host = f"audits-{at % 3 + 1}"
                await fleet.set_worker_faults(host, **faults)
                other = f"audits-{(at + 1) % 3 + 1}"
                await fleet.set_worker_faults(
                    other, truncate=10, paths=["POST .*tasks"]
                )
                await asyncio.sleep(0.5)
                await fleet.set_worker_faults(host)
                await fleet.set_worker_faults(other)

        failures = asyncio.create_task(fail_in_turn())
        results = await asyncio.gather(
            *(send_and_check(fleet, at) for at in range(COUNT))
        )
        await failures
        started = {start["key"] for start in fleet.read_starts()}
        for key, outcome, code in results:
            if outcome == "not_run":
                assert key not in started, code
        outcomes = {outcome for _, outcome, _ in results}
        assert "done" in outcomes
