"""Run load processes against a fleet and read which tasks its workers started."""

import asyncio
import sys
from collections import Counter
from collections.abc import Sequence
from typing import Any

import msgspec

from bench.flood_load import LoadPlan, SentRequest
from tools.fleet import Fleet

PROCESS_TIMEOUT_S = 60.0
POLL_S = 0.1
ERROR_CHARS = 1000


async def run_plan(fleet: Fleet, plan: LoadPlan) -> list[SentRequest]:
    """Run a load plan in a separate process and return its requests."""
    file = fleet.path / f"{plan.name}.plan"
    results = fleet.path / f"{plan.name}.results"
    file.write_bytes(msgspec.json.encode(plan))
    command = [sys.executable, "-m", "bench.flood_load", str(file), str(results)]
    fleet.start(plan.name, command)
    async with asyncio.timeout(PROCESS_TIMEOUT_S):
        while fleet.processes[plan.name].poll() is None:
            await asyncio.sleep(POLL_S)
    if not results.exists():
        raise RuntimeError(fleet.read_log(plan.name)[-ERROR_CHARS:])
    return msgspec.json.decode(results.read_bytes(), type=list[SentRequest])


def list_starts(fleet: Fleet, plan: LoadPlan) -> list[dict[str, Any]]:
    """Return the task starts of a plan's requests; `key` identifies the request."""
    prefix = f"{plan.name}-"
    return [s for s in fleet.read_starts() if str(s["key"]).startswith(prefix)]


def format_outcomes(sent: Sequence[SentRequest]) -> str:
    """Return the number of requests by outcome and error code, as text."""
    counts = Counter(f"{s.outcome} {s.code}".strip() for s in sent)
    return ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))
