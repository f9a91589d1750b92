"""Open connections to the store go silent, then a configuration adds a route."""

import asyncio
import copy
from typing import Any

from scene_3 import TROUBLE, Node, Scene, run_case

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
# Kept beside the two bounds, for the delays of this machine.
SLACK_S = 0.1
POOLS = ("varsel", "saksmappe")
ROUNDS = 3
ROUND_S = 16.0
PROBE_S = 0.05


def build_config(scene: Scene, version: int, routes: list[Any]) -> dict[str, Any]:
    config = dict(copy.deepcopy(scene.platform._build_config(version)))
    config["routes"] = [*config["routes"], *routes]
    return config


async def ask_for_unknown_jobs(scene: Scene, first: int) -> None:
    """Ask for jobs that nobody handed in, from clients of all nodes at once."""
    calls = []
    for number in range(first, first + 14):
        for pool in POOLS:
            node = scene.nodes[number % len(scene.nodes)]
            path = f"/{pool}/{number:016x}"
            calls.append(scene.call(node, "GET", path, f"{pool}.example"))
    answers = await asyncio.gather(*calls)
    scene.record.write(f"GET for {len(calls)} unknown jobs -> {sorted(set(answers))}")


async def play_round(scene: Scene, number: int, routes: list[Any]) -> bool:
    record = scene.record
    await ask_for_unknown_jobs(scene, 1000 * number)
    await asyncio.sleep(1)
    silent_s = record.now_s()
    if TROUBLE:
        for link in scene.links:
            link.silence()
        record.write("all open connections to the store go silent, new ones work")
    await asyncio.sleep(0.4)
    version = 10 + number
    routes.append(
        {
            "name": f"q-new{version}",
            "host": f"new{version}.example",
            "pathPrefix": f"/new{version}/",
            "service": "varsel",
            "retryAttempts": 8,
            "stretch": 1.6,
            "targetLatencyMs": 600,
        }
    )
    config = build_config(scene, version, routes)
    await scene.platform._publish("op", "config", config)
    acked_s = record.now_s()
    record.write(f"configuration {version} with a new route acknowledged")
    # In touch again, and the configuration due.
    due_s = max(silent_s + CONTACT_S, acked_s + CONFIG_APPLY_S) + SLACK_S
    late: dict[str, list[float]] = {}

    async def probe(node: Node) -> None:
        while record.now_s() < silent_s + ROUND_S - 2:
            sent_s = record.now_s()
            path, host = f"/new{version}/", f"new{version}.example"
            status = await scene.call(node, "GET", path, host, deadline_ms=1000)
            is_late = status == 404 and sent_s > due_s
            if is_late:
                late.setdefault(node.name, []).append(sent_s)
            mark = f" LATE by {sent_s - due_s:.2f} s" if is_late else ""
            record.write(f"GET {path} {node.name} sent {sent_s:.3f} -> {status}{mark}")
            if status not in (0, 404):
                return
            await asyncio.sleep(PROBE_S)

    await asyncio.gather(*map(probe, scene.nodes))
    for name, times in sorted(late.items()):
        record.write(
            f"round {number}: {name} refused the route {len(times)} times when due,"
            f" last {times[-1] - silent_s:.2f} s after the silence and"
            f" {times[-1] - acked_s:.2f} s after the acknowledgement"
        )
    await asyncio.sleep(max(0.0, silent_s + ROUND_S - record.now_s()))
    return bool(late)


async def play() -> bool:
    async with Scene({**dict.fromkeys(POOLS, 4), "spare": 2}, nodes=7) as scene:
        await asyncio.sleep(5)
        routes: list[Any] = []
        broken = [await play_round(scene, n, routes) for n in range(ROUNDS)]
        scene.record.write(f"rounds in which CONFIG was broken: {sum(broken)}")
        return any(broken)


run_case(play)
