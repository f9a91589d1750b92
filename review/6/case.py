"""Case: a large job's record outgrows `recordBytes`, and its pool does nothing more."""

import asyncio
import json
import time

import world as stand_ins

HOST, PREFIX = "previews.example", "/previews/"
OTHER_HOST, OTHER_PREFIX = "audits.example", "/audits/"
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": f"q-{name}",
            "host": f"{name}.example",
            "pathPrefix": f"/{name}/",
            "service": name,
            "priority": 0,
            "retryAttempts": 4,
            "stretch": 1.6,
            "targetLatencyMs": 600,
            "timeoutMs": 10_000,
        }
        for name in ("previews", "audits")
    ],
    "services": [
        {"name": "previews", "enforcesCapacity": False},
        {"name": "audits", "enforcesCapacity": False},
    ],
    "limits": {"maxHeaderBytes": 32_768, "maxBodyBytes": 262_144},
}
# 10/1000 of a core each: all tasks together take 37 % of the six workers of the pool.
LARGE_TASKS, SMALLER_TASKS = 7000, 2000
LARGE_STEP = {"cpu": 10, "requestedMemoryMb": 4, "estimatedMs": 90_000}
SMALL_STEP = {"count": 2, "cpu": 500, "requestedMemoryMb": 50, "estimatedMs": 500}
SMALL_STEPS = [SMALL_STEP, {**SMALL_STEP, "after": [0]}]
TRAFFIC_S = 45.0
FINISH_S = 14.0
IDLE_S = 3.0


async def submit(world, number, accepted, refused):
    """Submit a small job as a client does, with four further attempts."""
    job_id = f"{number:016x}"
    body = {"specification": "ms=500", "steps": SMALL_STEPS}
    for attempt in range(5):
        node = world.nodes[(number + attempt) % len(world.nodes)]
        status, _ = await world.call("POST", node, HOST, PREFIX + job_id, body)
        if status == 200:
            accepted.append(job_id)
            return
        await asyncio.sleep(0.3)
    refused.append(job_id)


async def read_state(world, host, path):
    """Ask for a job's state at each node until one answers."""
    for node in world.nodes:
        status, content = await world.call("GET", node, host, path)
        if status == 200:
            return json.loads(content)["state"]
        if status == 410:
            return "410"
    return "no answer"


async def run(folder, has_trouble):
    world = stand_ins.World(folder, {"previews": 6, "audits": 2}, CONFIG)
    await world.start()
    try:
        for name in ("front-a", "front-b", "front-c"):
            world.add_node(name)
        if not await world.wait_ready():
            return 2
        await asyncio.sleep(6)
        accepted, refused, calls = [], [], []
        tasks = LARGE_TASKS if has_trouble else SMALLER_TASKS
        began = time.monotonic()
        number = 0
        while time.monotonic() - began < TRAFFIC_S:
            if number == 3:
                body = {
                    "specification": "ms=90000",
                    "steps": [{"count": tasks, **LARGE_STEP}],
                }
                world.record.line(f"the large job has {tasks} tasks")
                status, _ = await world.call(
                    "POST", world.nodes[0], HOST, PREFIX + "f" * 16, body
                )
                if status != 200:
                    return 2
            number += 1
            calls.append(world.run(submit(world, number, accepted, refused)))
            await asyncio.sleep(1.0)
        await asyncio.sleep(FINISH_S)
        unfinished = {}
        for job_id in list(accepted):
            state = await read_state(world, HOST, PREFIX + job_id)
            if state != "completed":
                unfinished[job_id] = state
        idle = dict(unfinished)
        until = time.monotonic() + IDLE_S
        while time.monotonic() < until:
            for job_id in list(idle):
                if world.is_running(job_id):
                    del idle[job_id]
            await asyncio.sleep(0.05)
        for job_id in list(idle):
            state = await read_state(world, HOST, PREFIX + job_id)
            if state == "completed":
                del idle[job_id]
        ended = sum(
            row[4] == "done"
            for name, rows in world.runs.items()
            for row in rows
            if not name.startswith("f")
        )
        world.record.line(
            f"{len(accepted)} small jobs accepted, {len(refused)} not; "
            f"{len(unfinished)} not completed {FINISH_S:.0f} s after the traffic, "
            f"{len(idle)} of them with nothing running for {IDLE_S:.0f} s; large job: "
            f"{sum(n.startswith('f') for n in world.runs)} of {tasks} tasks begun; "
            f"the store refused {world.store.too_large} records; {ended} ends of small "
            "tasks listed"
        )
        for job_id, state in idle.items():
            world.record.line(f"LOST: job {job_id} accepted, shown as {state}, idle")
        return 1 if idle else 0
    finally:
        await world.stop()


stand_ins.main(run)
