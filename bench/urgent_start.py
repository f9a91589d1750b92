"""Measure how soon urgent requests start in a pool full of long batch tasks.

Real processes: one worker, one entry host. The time is that of the whole answer, of
tasks that run for 0 ms, so it is an upper bound of the time to the start.
"""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bench.figures import Figure
from tools.fleet import Fleet
from tools.fleet_calls import CallerAnswer

TARGET_MS = 1100.0
REQUESTS = 10
SLOTS = 6
LONG_MS = 60_000
DEADLINE_MS = 2000
LIMIT_S = 30.0
POLL_S = 0.05
HOST = "miscellaneous-1"
PREVIEW = '"spend-preview"\nowner = "member-services"\npool = '
DEADLINES = ("deadline_ms = 2000\n", f"deadline_ms = {LONG_MS}\n")


@asynccontextmanager
async def open_full_pool() -> AsyncIterator[Fleet]:
    """Start a fleet whose only worker runs long batch tasks in all but one slot.

    A long urgent task holds the slot that is kept free for urgent work.
    """
    fleet = Fleet(
        workers_per_pool=1, node_count=1, slots=SLOTS, pools=("miscellaneous",)
    )
    document = fleet.document.replace(
        f'{PREVIEW}"previews"', f'{PREVIEW}"miscellaneous"'
    ).replace(*DEADLINES)
    async with fleet:
        assert await fleet.publish(document) == 200
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        while (await ask_urgent(fleet)).status != 200:
            await asyncio.sleep(POLL_S)
        body = json.dumps({"run_ms": LONG_MS}).encode()
        batch = [("tool-run", "nightly-key")] * (SLOTS - 1)
        holders = [
            asyncio.create_task(
                fleet.calls.send_request(entry, body, key=key, deadline_ms=LONG_MS)
            )
            for entry, key in [("spend-preview", "founder-key"), *batch]
        ]
        try:
            await wait_until_full(fleet)
            yield fleet
        finally:
            for holder in holders:
                holder.cancel()
            await asyncio.gather(*holders, return_exceptions=True)


async def ask_urgent(fleet: Fleet) -> CallerAnswer:
    """Send an urgent request that runs for no time."""
    return await fleet.calls.send_request(
        "spend-preview", b'{"run_ms": 0}', deadline_ms=DEADLINE_MS
    )


async def wait_until_full(fleet: Fleet) -> None:
    """Wait until the worker says that all its slots are taken."""
    async with asyncio.timeout(LIMIT_S):
        while (await fleet.read_worker_status(HOST))["busy"] < SLOTS:
            await asyncio.sleep(POLL_S)


async def measure() -> list[float]:
    """Return the times of urgent requests, infinite for one that was not run."""
    times = []
    async with open_full_pool() as fleet:
        for _ in range(REQUESTS):
            await wait_until_full(fleet)
            started = time.monotonic()
            answer = await ask_urgent(fleet)
            elapsed_ms = (time.monotonic() - started) * 1000
            times.append(elapsed_ms if answer.status == 200 else float("inf"))
    return times


def main() -> list[Figure]:
    """Return the median and the longest time."""
    times = sorted(asyncio.run(measure()))
    note = f"{REQUESTS} requests, {SLOTS} slots held by tasks of {LONG_MS // 1000} s"
    return [
        Figure("urgent start, median", times[len(times) // 2], "ms", note=note),
        Figure("urgent start, longest", times[-1], "ms", TARGET_MS, note=note),
    ]


if __name__ == "__main__":
    for figure in main():
        print(figure)
