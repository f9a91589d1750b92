"""The worker of a job's only task crashes four times."""

import asyncio
from pathlib import Path

from scene import Scene, play

FOLDER = Path(__file__).parent
JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"
# Sound work: it ends `done` after 8 s on any worker that stays up.
JOB = {
    "specification": "letter",
    "steps": [
        {"count": 1, "cpu": 500, "requestedMemoryMb": 256, "estimatedMs": 8000},
    ],
}
CRASHES = 4
DOWN_S = 3.0
# After the start of the task's run.
CRASH_AFTER_S = 0.5


async def run() -> list[str]:
    async with Scene(FOLDER, {"alpha": 6}, 16000, 32768, 3) as scene:
        scene.work_s = 8.0
        if not await scene.submit("alpha", JOB_ID, JOB):
            return []
        for number in range(CRASHES if scene.is_troubled else 0):
            while len(scene.runs.get(TASK, ())) <= number:
                await asyncio.sleep(0.02)
            await asyncio.sleep(CRASH_AFTER_S)
            worker_id = scene.runs[TASK][-1]["worker"]
            machine = next(
                machine
                for machine in scene.machines.values()
                if machine.worker is not None and machine.worker.worker_id == worker_id
            )
            await scene.crash_machine(machine, DOWN_S)
        state = await scene.wait_for_state(
            "alpha", JOB_ID, {"completed", "failed", "cancelled"}, 40
        )
        ends = [row["how"] for row in scene.runs.get(TASK, ())]
        scene.record.write("verdict", state=state, ends=ends)
        if state == "failed" and ends.count("failed") < 4:
            return [f"the job is shown as failed; its runs ended {ends}"]
        return []


play(run)
