"""A rack crashes and starts again under its ids; then one of it is cut off and runs on."""

import asyncio
from pathlib import Path

from scene import Machine, Scene, play

FOLDER = Path(__file__).parent
JOB_ID = "5c0e7a21d94b36f8"
# Tasks that last, as in the sheet of Nabomekling.
JOB = {
    "specification": "archive",
    "steps": [
        {
            "count": 5,
            "cpu": 1300,
            "requestedMemoryMb": 3100,
            "estimatedMs": 700,
            "requirements": "a",
            "longRunning": True,
            "mayMiss": 1,
        },
    ],
}
DOWN_S = 3.0
CUT_S = 5.5
# From the restart of the tasks to the cut.
CALM_S = 1.5


def label(machines: list[Machine]) -> list[Machine]:
    """Put the machines into two racks of 4; return the first, which is of kind a."""
    for number, machine in enumerate(machines):
        machine.labels = ["a", "r1-1"] if number < 4 else ["b", "r1-2"]
    return machines[:4]


async def trouble(scene: Scene, rack: list[Machine]) -> None:
    for machine in rack:
        await scene.crash_machine(machine, DOWN_S, keeps_id=True)
    await asyncio.sleep(DOWN_S)
    busy = []
    while not busy:
        await asyncio.sleep(0.05)
        busy = [m.worker for m in rack if m.worker and m.worker.running]
    await asyncio.sleep(CALM_S)
    worker = busy[0]
    scene.record.write("cut", worker=worker.worker_id, for_s=CUT_S)
    worker.is_cut = True
    await asyncio.sleep(CUT_S)
    worker.is_cut = False
    scene.record.write("cut-healed", worker=worker.worker_id)


async def run() -> list[str]:
    scene = Scene(FOLDER, {"alpha": 8}, 16000, 32768, 3)
    rack = label(list(scene.machines.values()))
    async with scene:
        scene.work_s = 1000.0
        await scene.submit("alpha", JOB_ID, JOB)
        await asyncio.sleep(2)
        if scene.is_troubled:
            await trouble(scene, rack)
        await asyncio.sleep(4)
        return scene.find_twice()


play(run)
