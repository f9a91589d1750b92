"""Measure the time until a published catalogue is in force on all entry hosts."""

import asyncio
import time

from bench.figures import Figure
from bench.fleet_use import UsageMeter
from tools.fleet import Fleet

PUBLICATIONS = 20
POLL_S = 0.002
IDLE_DURATION_S = 10.0
CHANGES_DURATION_S = 10.0
# The target is 1,400 changes a day, one in 62 s; this short run publishes more often.
CHANGES_PER_SECOND = 1.0
ROLL_OUT_TARGET_S = 2.0
CPU_TARGET_PERCENT = 4.0
MEMORY_TARGET_MB = 256.0
TRAFFIC_TARGET = 20_000.0


async def _wait_in_force(fleet: Fleet, revision: int, skip: frozenset[int]) -> None:
    async def wait(node: int) -> None:
        while True:
            dump = await fleet.calls.call_operator("GET", "/v1/dump", node=node)
            if dump.payload["catalogue_revision"] >= revision:
                return
            await asyncio.sleep(POLL_S)

    nodes = [node for node in range(len(fleet.nodes)) if node not in skip]
    await asyncio.gather(*(wait(node) for node in nodes))


async def _publish(fleet: Fleet, base: int, skip: frozenset[int]) -> float:
    started = time.monotonic()
    status = await fleet.publish(base_revision=base)
    if status != 200:
        raise RuntimeError(f"publication refused with status {status}")
    await _wait_in_force(fleet, base + 1, skip)
    return time.monotonic() - started


async def _measure() -> list[Figure]:
    async with Fleet(workers_per_process=6) as fleet:
        await _publish(fleet, 0, frozenset())
        await fleet.wait_until_ready()
        times = [
            await _publish(fleet, base, frozenset())
            for base in range(1, PUBLICATIONS + 1)
        ]
        revision = PUBLICATIONS + 1
        idle = await _measure_use(fleet, IDLE_DURATION_S)
        meter = UsageMeter(fleet)
        for _ in range(int(CHANGES_DURATION_S * CHANGES_PER_SECOND)):
            await _publish(fleet, revision, frozenset())
            revision += 1
            await asyncio.sleep(1 / CHANGES_PER_SECOND)
        changing = meter.read()
        fleet.freeze("entry-2")
        frozen = await _publish(fleet, revision, frozenset({1}))
        fleet.unfreeze("entry-2")
    return [
        Figure("roll-out: median", sorted(times)[len(times) // 2], "s"),
        Figure("roll-out: longest of 20", max(times), "s", ROLL_OUT_TARGET_S),
        Figure("roll-out: with a frozen reader", frozen, "s", 15.0),
        Figure("rest: CPU of an entry host", idle[0], "%", CPU_TARGET_PERCENT),
        Figure("rest: memory of an entry host", idle[1], "MB", MEMORY_TARGET_MB),
        Figure("rest: traffic per entry host", idle[2], "B/s", TRAFFIC_TARGET),
        Figure(
            "one publication a second: CPU",
            changing.cpu_percent,
            "%",
            CPU_TARGET_PERCENT,
            note="62 times the target's rate of changes",
        ),
    ]


async def _measure_use(fleet: Fleet, duration_s: float) -> tuple[float, float, float]:
    meter = UsageMeter(fleet)
    await asyncio.sleep(duration_s)
    usage = meter.read()
    return usage.cpu_percent, usage.memory_mb, usage.bytes_per_second


def main() -> list[Figure]:
    """Run the benchmark on a local fleet of real processes."""
    return asyncio.run(_measure())
