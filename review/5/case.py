"""A route is removed while a job of it that can never be done is being tried."""

import asyncio
from pathlib import Path

from scene import RETRY_ATTEMPTS, Scene, play

FOLDER = Path(__file__).parent
JOB_ID = "5c0e7a21d94b36f8"
TASK = f"{JOB_ID}.0.0.0"
JOB = {
    "specification": "poison",
    "steps": [
        {"count": 1, "cpu": 500, "requestedMemoryMb": 256, "estimatedMs": 700},
    ],
}


async def run() -> list[str]:
    async with Scene(FOLDER, {"alpha": 3, "beta": 3}, 16000, 32768, 3) as scene:
        scene.work_s, scene.end = 0.7, "failed"
        await scene.submit("alpha", JOB_ID, JOB)
        await asyncio.sleep(0.5)
        if scene.is_troubled:
            scene.publish_config({"beta": "beta"})
        # Enough for four attempts in the calm.
        await asyncio.sleep(25)
        rows = scene.runs.get(TASK, [])
        noted = sorted(
            row["acked_ms"]
            for row in rows
            if row["how"] == "failed" and row["acked_ms"] is not None
        )
        scene.record.write("verdict", runs=len(rows), failed_and_noted=len(noted))
        if len(noted) < RETRY_ATTEMPTS:
            return []
        late = [
            row["began_ms"] for row in rows if row["began_ms"] > noted[RETRY_ATTEMPTS - 1]
        ]
        return [
            f"a start at {began_ms}, after {RETRY_ATTEMPTS} failed ends were taken note of"
            for began_ms in late
        ]


play(run)
