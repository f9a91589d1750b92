"""A worker has more than 500 ends that the owner can't take note of: the log is down."""

import asyncio
from pathlib import Path

from scene import Scene, play

FOLDER = Path(__file__).parent
# The sheet of Karklu: 64 cores and 256 GB a worker; report-render has up to 5 steps and
# 32 tasks a step, photo-tag tasks of 0.54 s.
JOBS = 10
STEPS = 5
OUTAGE_S = 4.5
JOB = {
    "specification": "report",
    "steps": [
        {
            "count": 32,
            "cpu": 300,
            "requestedMemoryMb": 256,
            "estimatedMs": 540,
            **({"after": [number - 1]} if number else {"antiAffinity": 16}),
        }
        for number in range(STEPS)
    ],
}


async def run() -> list[str]:
    async with Scene(FOLDER, {"alpha": 2}, 64000, 262144, 3) as scene:
        scene.work_s = 0.54
        ids = [f"5c0e7a21d94b36{number:02x}" for number in range(JOBS)]
        await asyncio.gather(*(scene.submit("alpha", name, JOB) for name in ids))
        # All jobs have begun, and their first records are written.
        await asyncio.sleep(0.35)
        if scene.is_troubled:
            scene.record.write("store-down", how="busy", for_s=OUTAGE_S)
            scene.store.trouble = "busy"
            await asyncio.sleep(OUTAGE_S)
            scene.store.trouble = ""
            scene.record.write("store-up")
        for name in ids:
            await scene.wait_for_state("alpha", name, {"completed"}, 20)
        await asyncio.sleep(2)
        return scene.find_twice()


play(run)
