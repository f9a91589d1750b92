"""Tests that the jobs which a process accepts fit into its memory."""

import asyncio
import dataclasses

import pytest

from bergamotgap.domain.client_limits import ClientBudget
from bergamotgap.domain.fleet import StepSpec
from bergamotgap.domain.job_memory import TASK_BYTES, measure_job, measure_spec
from bergamotgap.pools.job_table import NotStored, Stored
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

SMALL = build_job("small")
LARGE = build_job("large", steps=(StepSpec(count=10_000, cpu=100_000),))


def build_scene(job_bytes: int) -> Scene:
    """Return a scene whose owners have so much memory for jobs."""
    scene = Scene()
    budget = ClientBudget(1 << 20, 10, 8192, job_bytes)
    scene.settings = dataclasses.replace(scene.settings, client_budget=budget)
    return scene


@pytest.mark.parametrize("repetitions", [0, 1, 50])
def test_a_small_document_is_measured_by_what_it_becomes(repetitions: int) -> None:
    """Guards against a budget that counts a job of 100,000 tasks as 70 bytes."""
    step = StepSpec(count=2000)
    spec = build_job(steps=(step,), repetitions=repetitions)
    assert measure_job(spec) >= 2000 * TASK_BYTES * max(1, repetitions)
    assert measure_spec(spec) < 2000


def test_a_job_beyond_the_memory_is_refused_and_never_runs() -> None:
    """Guards against an owner that ends by what it has accepted."""

    async def main() -> None:
        scene = build_scene(measure_job(LARGE))
        async with scene.run_owner(1) as (pool, _):
            assert await pool.submit(SMALL) == Stored(is_new=True)
            refusal = await pool.submit(LARGE)
            assert isinstance(refusal, NotStored)
            assert refusal.reason == "memory"
            # A job that was accepted is still found when it is submitted again.
            assert await pool.submit(SMALL) == Stored(is_new=False)
            await asyncio.sleep(3)
            assert {task.job for task in scene.count_starts()} == {"small"}  # type: ignore[attr-defined]

    run_virtual(main())


def test_jobs_give_their_memory_back_when_they_are_deleted() -> None:
    """Guards against an owner that refuses jobs for memory that is free again."""

    async def main() -> None:
        scene = build_scene(2 * measure_job(SMALL))
        async with scene.run_owner(1) as (pool, _):
            for name in "ab":
                assert await pool.submit(build_job(name)) == Stored(is_new=True)
            assert isinstance(await pool.submit(build_job("c")), NotStored)
            # Ended jobs are kept until callers may no longer query them.
            await asyncio.sleep(10)
            assert isinstance(await pool.submit(build_job("c")), NotStored)
            await asyncio.sleep(scene.settings.job_retention_ms / 1000 + 20)
            assert pool.job_table.held_bytes == 0
            assert await pool.submit(build_job("c")) == Stored(is_new=True)

    run_virtual(main())


def test_a_successor_counts_the_jobs_that_it_restores() -> None:
    """Guards against a take-over that forgets what the jobs take."""

    async def main() -> None:
        scene = build_scene(2 * measure_job(LARGE))
        async with scene.run_owner(1) as (pool, _):
            assert await pool.submit(LARGE) == Stored(is_new=True)
        async with scene.run_owner(2, 2) as (pool, _):
            assert pool.job_table.held_bytes == measure_job(
                pool.job_table.jobs["large"].spec
            )
            more = build_job("more", steps=(StepSpec(count=10_001, cpu=100_000),))
            assert isinstance(await pool.submit(more), NotStored)

    run_virtual(main())
