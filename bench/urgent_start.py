"""Measure how soon urgent requests start in a pool full of long batch tasks.

Real processes: one worker and one or two entry hosts. The measured tasks run for 0 ms,
and the time until the whole response is an upper bound of the time until the start.
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
LONG_TASK_MS = 60_000
DEADLINE_MS = 2000
WAIT_TIMEOUT_S = 30.0
POLL_S = 0.05
HOST = "miscellaneous-1"
PREVIEW = '"spend-preview"\nowner = "member-services"\npool = '
DEADLINES = ("deadline_ms = 2000\n", f"deadline_ms = {LONG_TASK_MS}\n")


@asynccontextmanager
async def open_full_pool(node_count: int = 1) -> AsyncIterator[Fleet]:
    """Start a fleet whose only worker runs long batch tasks in all but one slot.

    Long urgent tasks occupy the slots that are reserved for urgent requests. With two
    entry hosts, the first one gets the batch tasks and the second one the urgent ones.
    """
    fleet = Fleet(
        workers_per_pool=1,
        node_count=node_count,
        slots=SLOTS,
        pools=("miscellaneous",),
    )
    document = fleet.document.replace(
        f'{PREVIEW}"previews"', f'{PREVIEW}"miscellaneous"'
    ).replace(*DEADLINES)
    async with fleet:
        assert await fleet.publish(document) == 200
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        for node in range(node_count):
            while (await send_urgent_request(fleet, node)).status != 200:
                await asyncio.sleep(POLL_S)
        body = json.dumps({"run_ms": LONG_TASK_MS}).encode()
        last = node_count - 1

        def hold(entry: str, key: str, node: int) -> asyncio.Task[CallerAnswer]:
            return asyncio.create_task(
                fleet.calls.send_request(
                    entry, body, key=key, node=node, deadline_ms=LONG_TASK_MS
                )
            )

        holders = [hold("tool-run", "nightly-key", 0) for _ in range(SLOTS)]
        await wait_until_busy(fleet, SLOTS - node_count)
        holders += [
            hold("spend-preview", "founder-key", last) for _ in range(node_count)
        ]
        try:
            await wait_until_full(fleet)
            yield fleet
        finally:
            for holder in holders:
                holder.cancel()
            await asyncio.gather(*holders, return_exceptions=True)


async def send_urgent_request(fleet: Fleet, node: int = 0) -> CallerAnswer:
    """Send an urgent request with a run time of 0 ms."""
    return await fleet.calls.send_request(
        "spend-preview", b'{"run_ms": 0}', node=node, deadline_ms=DEADLINE_MS
    )


async def wait_until_full(fleet: Fleet) -> None:
    """Wait until the worker reports that all its slots are busy."""
    await wait_until_busy(fleet, SLOTS)


async def wait_until_busy(fleet: Fleet, count: int) -> None:
    """Wait until the worker reports at least `count` busy slots."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while (await fleet.read_worker_status(HOST))["busy"] < count:
            await asyncio.sleep(POLL_S)


async def measure(node_count: int) -> list[float]:
    """Return the times of urgent requests in ms, infinite for those not run.

    With two entry hosts, requests go to the one that doesn't run the batch tasks.
    """
    times = []
    async with open_full_pool(node_count) as fleet:
        for _ in range(REQUESTS):
            await wait_until_full(fleet)
            started = time.monotonic()
            answer = await send_urgent_request(fleet, node=node_count - 1)
            elapsed_ms = (time.monotonic() - started) * 1000
            times.append(elapsed_ms if answer.status == 200 else float("inf"))
    return times


def main() -> list[Figure]:
    """Return the median and longest time, with one entry host and with two."""
    note = (
        f"{REQUESTS} requests, {SLOTS} slots held by tasks of {LONG_TASK_MS // 1000} s"
    )
    figures = []
    for node_count, name in ((1, "own tasks"), (2, "another host's tasks")):
        times = sorted(asyncio.run(measure(node_count)))
        middle = times[len(times) // 2]
        figures += [
            Figure(f"urgent start, {name}: median", middle, "ms", note=note),
            Figure(
                f"urgent start, {name}: longest", times[-1], "ms", TARGET_MS, note=note
            ),
        ]
    return figures


if __name__ == "__main__":
    for figure in main():
        print(figure)
