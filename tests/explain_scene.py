"""Configuration, jobs and helpers of the tests of explanations."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from bergamotgap.domain.customers import Customer, build_customers
from bergamotgap.domain.fleet import (
    NO_SIZE,
    FleetConfig,
    JobSpec,
    Size,
    StepSpec,
)
from bergamotgap.domain.placement_explanation import (
    PlacementExplanation,
)
from bergamotgap.pools.job_table import Stored
from bergamotgap.pools.pool import Pool
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

KEY = "key-of-acme"
BODY = {"specification": "x", "steps": [{"count": 2, "cpu": 1000, "estimatedMs": 500}]}
STEP = StepSpec(count=2, cpu=1000, memory_mb=100, estimated_ms=500)


def build_config(weight: float = 2.0, cap: Size = NO_SIZE) -> FleetConfig:
    customers = build_customers([(Customer("acme", weight, cap), [KEY])])
    return dataclasses.replace(CONFIG, customers=customers)


def build_spec(job_id: str = "job-1", customer: str = "", **step: Any) -> JobSpec:
    steps = (msgspec.structs.replace(STEP, **step),)
    return JobSpec(job_id, "q-previews", "payload", steps, customer=customer)


def play(
    check: Callable[[Scene, Pool], Awaitable[None]],
    workers: int = 2,
    prepare: Callable[[Scene], None] = lambda scene: None,
) -> None:
    """Run a check on an owner that knows its pool, in virtual time."""

    async def main() -> None:
        scene = Scene(workers, run_s=60.0)
        prepare(scene)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(3)
            await check(scene, pool)

    run_virtual(main())


async def submit_and_count(scene: Scene, pool: Pool, spec: JobSpec) -> dict[str, int]:
    """Submit a job and return how many of its tasks each worker got soon after."""
    assert isinstance(await pool.submit(spec), Stored)
    await asyncio.sleep(0.1)
    found: dict[str, int] = {}
    for name, worker in scene.workers.items():
        count = sum(task.job == spec.job_id for task, _ in worker.starts)
        if count:
            found[name] = count
    return found


async def check_agreement(scene: Scene, pool: Pool, spec: JobSpec) -> Any:
    """Explain a job, submit it, compare the starts, and return the first step."""
    step = pool.explain(spec).steps[0]
    assert await submit_and_count(scene, pool, spec) == step.workers
    assert step.could_start == sum(step.workers.values())
    return step


def list_reasons(explanation: PlacementExplanation) -> dict[str, int]:
    return {g.reason: g.count for g in explanation.steps[0].ruled_out}
