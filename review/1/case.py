"""A job is handed in again after its route has got another service."""

import asyncio
from pathlib import Path

from scene import Scene, play

FOLDER = Path(__file__).parent
JOB_ID = "5c0e7a21d94b36f8"
# The example of PROTOCOL.md has 4 tasks of half a core in a job's first step.
JOB = {
    "specification": "letter",
    "steps": [
        {"count": 4, "cpu": 500, "requestedMemoryMb": 256, "estimatedMs": 6000},
    ],
}


async def run() -> list[str]:
    async with Scene(FOLDER, {"alpha": 2, "beta": 2}, 16000, 32768, 3) as scene:
        scene.work_s = 6.0
        await scene.submit("alpha", JOB_ID, JOB)
        if scene.is_troubled:
            scene.publish_config({"alpha": "beta", "beta": "beta"})
        # Longer than `configApplyMs`.
        await asyncio.sleep(3)
        # "Occasionally, such a request also arrives seconds after the 2xx response."
        await scene.call(scene.nodes[1], "POST", "alpha", JOB_ID, JOB)
        await scene.wait_for_state("alpha", JOB_ID, {"completed"}, 20)
        await asyncio.sleep(3)
        return scene.find_twice()


play(run)
