"""Case: an owner that is back as the store returns runs tasks again that still run."""

import asyncio
import time

import world as stand_ins

HOST, PREFIX = "reconcile.example", "/reconcile/"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q-reconcile",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": "reconcile",
            "priority": 0,
            "retryAttempts": 4,
            "stretch": 1.6,
            "targetLatencyMs": 600,
            "timeoutMs": 10_000,
        }
    ],
    "services": [{"name": "reconcile", "enforcesCapacity": False}],
    "limits": {"maxHeaderBytes": 32_768, "maxBodyBytes": 262_144},
}
WORKERS, JOBS = 12, 8
# One job takes all workers when the store goes down, and eight more wait for room.
FIRST_STEPS = [
    {
        "count": WORKERS,
        "cpu": 28_000,
        "requestedMemoryMb": 5500,
        "estimatedMs": 3500,
    }
]
STEPS = [{"count": 1, "cpu": 28_000, "requestedMemoryMb": 5500, "estimatedMs": 6000}]
# The store is down for as long as in the site file, and the node that owns the pool is
# killed meanwhile; it is started again after a short delay.
OUTAGE_S = 4.5
KILL_AFTER_S = 2.6
RESTART_DELAY_S = 0.3


def find_owner(world):
    """Return the node that gained the pool last."""
    gained = []
    for node in world.nodes:
        for line in world.find_log(node, "pool gained", "pool=reconcile"):
            gained.append((line.split()[0], node))
    return max(gained, key=lambda row: row[0])[1]


def list_overlaps(world):
    """Return the pairs of runs of one task that were on workers at the same time."""
    found = []
    for task, rows in world.runs.items():
        for index, first in enumerate(rows):
            for second in rows[index + 1 :]:
                end = first[3] if first[3] is not None else world.record.now()
                if second[2] < end:
                    found.append((task, first, second))
    return found


def list_repeats(world):
    """Return the runs that began after a run that ended `done` and was taken note of."""
    found = []
    for task, rows in world.runs.items():
        for first in rows:
            is_noted = (first[0], task, first[1]) in world.acked
            if first[4] != "done" or not is_noted:
                continue
            for second in rows:
                if second is not first and second[2] > first[3]:
                    found.append((task, first, second))
    return found


async def run(folder, has_trouble):
    world = stand_ins.World(folder, {"reconcile": WORKERS}, CONFIG)
    await world.start()
    try:
        for name in ("front-a", "front-b", "front-c"):
            world.add_node(name)
        if not await world.wait_ready():
            return 2
        await asyncio.sleep(15)
        owner = find_owner(world)
        others = [node for node in world.nodes if node is not owner]
        jobs = [("ms=3500", FIRST_STEPS)] + [("ms=6000", STEPS)] * JOBS
        for number, (specification, steps) in enumerate(jobs):
            body = {"specification": specification, "steps": steps}
            status, _ = await world.call(
                "POST", others[number % 2], HOST, f"{PREFIX}{number + 1:016x}", body
            )
            if status != 200:
                return 2
        await asyncio.sleep(2.5)
        if has_trouble:
            world.record.line("the store is down: 503 to all, entries lapse")
            world.store.is_down = True
            began = time.monotonic()
            await asyncio.sleep(KILL_AFTER_S)
            world.kill_node(owner)
            await asyncio.sleep(RESTART_DELAY_S)
            world.start_node(owner)
            await asyncio.sleep(OUTAGE_S - (time.monotonic() - began))
            world.lapse_entries()
            world.store.is_down = False
            world.record.line("the store is up")
        await asyncio.sleep(25)
        overlaps, repeats = list_overlaps(world), list_repeats(world)
        for kind, rows in (("overlap", overlaps), ("repeat", repeats)):
            for task, first, second in rows:
                world.record.line(f"TWICE ({kind}): {task} {first} and {second}")
        done = sum(row[4] == "done" for rows in world.runs.values() for row in rows)
        starts = sum(map(len, world.runs.values()))
        world.record.line(
            f"{len(world.runs)} tasks, {starts} runs, {done} done; {len(overlaps)} "
            f"overlaps, {len(repeats)} repeats after an end that was taken note of"
        )
        if not has_trouble and done != WORKERS + JOBS:
            return 2
        return 1 if overlaps or repeats else 0
    finally:
        await world.stop()


stand_ins.main(run)
