"""Lines about jobs that wait: what keeps a task off each worker, and how often."""

import asyncio
import dataclasses
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import pytest
import structlog

from bergamotgap.domain.fleet import StepSpec, TaskId, WorkerState
from bergamotgap.pools.former_runs import FORMER_RUN, find_held_task, measure_held_tasks
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.wait_reasons import (
    MAX_EXAMINED_PER_S,
    MAX_OBSTACLES,
    MAX_REPEATS_PER_S,
    REPEAT_GAP_MS,
    WAIT_LOG_GAP_MS,
    summarize_obstacles,
)
from bergamotgap.ports.fleet import Lease, StartOrder
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import FakeAdvice, Scene

SPREAD = StepSpec(
    count=4,
    cpu=1000,
    memory_mb=100,
    estimated_ms=100,
    max_per_host=1,
    is_long_running=True,
)
WHOLE_WORKER = StepSpec(count=1, cpu=8000, memory_mb=100, estimated_ms=1000)


def play(
    check: Callable[[Scene, Pool], Awaitable[None]],
    workers: int = 3,
    advice: FakeAdvice | None = None,
) -> list[MutableMapping[str, Any]]:
    """Run a check on an owner that knows its pool; return its lines about waits."""
    found: list[MutableMapping[str, Any]] = []

    async def main() -> None:
        scene = Scene(workers, run_s=100.0)
        scene.advice = advice
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(3)
            with structlog.testing.capture_logs() as lines:
                await check(scene, pool)
        found.extend([line for line in lines if line["event"] == "job waits"])

    run_virtual(main())
    return found


def test_a_line_counts_what_keeps_the_task_off_each_worker() -> None:
    """Guards against a wait whose log doesn't tell why no worker is used."""

    async def check(scene: Scene, pool: Pool) -> None:
        draining = dataclasses.replace(scene.infos["w5"], state=WorkerState.DRAINING)
        scene.infos["w5"] = scene.workers["w5"].info = draining
        pool.update_workers(scene.infos)
        for job_id in ("full", "suspect"):
            await pool.submit(build_job(job_id, steps=(WHOLE_WORKER,)))
        await asyncio.sleep(0.1)
        (task,) = pool.job_table.jobs["suspect"].list_tasks()
        task.runs_alone = True
        pool.run_tracker.links[task.worker_id].trial_job = "suspect"
        await pool.submit(build_job("spread", steps=(SPREAD,)))
        await asyncio.sleep(0.1)

    waits = [line for line in play(check, workers=5) if line["job"] == "spread"]
    assert len(waits) == 1
    assert waits[0]["reason"] == "no_room"
    found = dict(part.rsplit(":", 1) for part in waits[0]["obstacles"].split(","))
    assert found == {
        "max_per_host": "2",
        "no_room cpu": "1",
        "reserved_for_trial": "1",
        "draining": "1",
    }
    assert waits[0]["task"].number == 2


def test_a_job_that_goes_on_waiting_gets_a_line_again() -> None:
    """Guards against a job that waits for a minute with one line at its start."""

    async def check(scene: Scene, pool: Pool) -> None:
        await pool.submit(build_job("spread", steps=(SPREAD,)))
        await asyncio.sleep(60)

    waits = play(check)
    ages_ms = [line["age_ms"] for line in waits]
    gaps_ms = [late - early for early, late in itertools.pairwise(ages_ms)]
    # A pass that nothing else asks for comes with each round of housekeeping.
    assert all(REPEAT_GAP_MS <= gap <= REPEAT_GAP_MS + 300 for gap in gaps_ms), gaps_ms
    assert ages_ms[-1] >= 60_000 - REPEAT_GAP_MS - 300
    assert {line["obstacles"] for line in waits} == {"max_per_host:3"}


def test_many_waiting_jobs_get_a_bounded_number_of_examined_lines() -> None:
    """Guards against passes that spend their time on lines about waits.

    Each of the jobs must get a line with obstacles nevertheless.
    """
    jobs = 300

    async def check(scene: Scene, pool: Pool) -> None:
        await asyncio.gather(
            *(
                pool.submit(build_job(f"j{n}", steps=(WHOLE_WORKER,)))
                for n in range(jobs)
            )
        )
        await asyncio.sleep(40)

    waits = play(check, workers=1)
    examined = [line for line in waits if line["obstacles"] != "not_examined"]
    assert {line["obstacles"] for line in examined} == {"no_room cpu:1"}
    # One job runs.
    assert len({line["job"] for line in examined}) == jobs - 1
    by_second = Counter(line["age_ms"] // 1000 for line in examined)
    assert max(by_second.values()) <= MAX_REPEATS_PER_S + MAX_EXAMINED_PER_S


def test_a_change_of_the_reason_is_told_once_a_second_at_most() -> None:
    """Guards against a line per pass where two reasons take turns."""

    async def check(scene: Scene, pool: Pool) -> None:
        await pool.submit(build_job("spread", steps=(SPREAD,)))
        await asyncio.sleep(0.1)
        job = pool.job_table.jobs["spread"]
        for number in range(400):
            reason = ("no_room", "own_host")[number % 2]
            pool._task_placer._wait_log.record(job, reason, 1)
            await asyncio.sleep(0.01)

    ages_ms = [line["age_ms"] for line in play(check)]
    gaps_ms = [late - early for early, late in itertools.pairwise(ages_ms)]
    assert 3 <= len(gaps_ms) <= 5
    assert min(gaps_ms) >= WAIT_LOG_GAP_MS


def test_missing_tickets_are_named() -> None:
    """Guards against a line that takes workers without a ticket for usable ones."""
    advice = FakeAdvice()

    async def check(scene: Scene, pool: Pool) -> None:
        await pool.submit(build_job("full", steps=(WHOLE_WORKER,)))
        await asyncio.sleep(0.3)
        await pool.submit(build_job("next", steps=(WHOLE_WORKER,)))
        # The ticket for w2 is there, and w2 is full.
        await asyncio.sleep(6)

    waits = [line for line in play(check, advice=advice) if line["job"] == "next"]
    assert waits[-1]["obstacles"] == "needs_ticket:2,no_room cpu:1"


@pytest.mark.parametrize("kinds", [MAX_OBSTACLES, MAX_OBSTACLES + 3])
def test_the_obstacles_of_a_line_are_bounded(kinds: int) -> None:
    """Guards against a line that grows with the number of obstacles."""
    obstacles = [f"o{kind}" for kind in range(kinds) for _ in range(kinds - kind)]
    parts = summarize_obstacles(obstacles).split(",")
    named = [f"o{kind}:{kinds - kind}" for kind in range(MAX_OBSTACLES)]
    others = sum(range(1, kinds - MAX_OBSTACLES + 1))
    assert parts == named + ([f"other:{others}"] if others else [])


def test_a_task_held_by_a_former_run_is_named_with_that_run() -> None:
    """Guards against a task that waits beside free workers without a cause."""
    held, spec = TaskId("held", 0, 0, 0), build_job("held", steps=(WHOLE_WORKER,))

    async def main() -> None:
        scene = Scene(2, run_s=100.0)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(3)
            await pool.submit(spec)
            await asyncio.sleep(0.5)
            (task,) = pool.job_table.jobs["held"].list_tasks()
            (name,) = scene.workers.keys() - {task.worker_id}
            other = scene.workers[name]
            orders.drop_stops = 100
            start = StartOrder(held, 7, "", "", "")
            orders.execute_start(other, start, Lease(1, other.now_ms() + 4000))
            pool.run_tracker.links[name].request_poll()
            await asyncio.sleep(0.2)

            def measure() -> tuple[int, int]:
                possible_runs = pool.run_tracker.possible_runs
                return measure_held_tasks(
                    pool.job_table.pending.values(), possible_runs
                )

            assert measure() == (0, 0)
            scene.workers[task.worker_id].end_run(held, "stopped")
            with structlog.testing.capture_logs() as lines:
                await asyncio.sleep(1.2)
            line = next(line for line in lines if line["event"] == "job waits")
            assert (line["reason"], line["task"]) == (FORMER_RUN, held)
            assert (line["former_worker"], line["former_run"]) == (name, 7)
            assert line["former_state"] == "stop_not_answered"
            count, age_ms = measure()
            assert count == 1
            assert 1200 <= age_ms <= 1500
            (former,) = pool.explain(spec).former_runs
            assert (former.task, former.worker, former.run) == (str(held), name, 7)
            assert former.state == "stop_not_answered"
            orders.drop_stops = 0
            await asyncio.sleep(2)
            assert task.is_active
            assert measure() == (0, 0)
            assert pool.explain(spec).former_runs == ()

    run_virtual(main())


def test_a_former_run_of_one_task_is_no_cause_for_the_others() -> None:
    """Guards against a wait for room that is told as one for a former run."""
    step = StepSpec(count=2, cpu=8000, memory_mb=100, estimated_ms=1000)

    async def check(scene: Scene, pool: Pool) -> None:
        await pool.submit(build_job("full", steps=(WHOLE_WORKER,)))
        await asyncio.sleep(0.1)
        possible_runs = pool.run_tracker.possible_runs
        possible_runs.add(TaskId("two", 0, 0, 0), "w1", 9)
        await pool.submit(build_job("two", steps=(step,)))
        await asyncio.sleep(1.5)
        possible_runs.add(TaskId("two", 0, 0, 1), "w1", 9)
        await asyncio.sleep(1.5)
        possible_runs.remove(TaskId("two", 0, 0, 0), "w1", 9)
        possible_runs.remove(TaskId("two", 0, 0, 1), "w1", 9)

    waits = [line for line in play(check, workers=1) if line["job"] == "two"]
    assert [line["reason"] for line in waits] == ["no_room", FORMER_RUN]
    assert waits[1]["former_state"] == "unknown_size"


@pytest.mark.parametrize("is_gang", [False, True])
def test_one_held_member_holds_its_gang(is_gang: bool) -> None:
    """Guards against a gang that waits for a former run and is told to lack room."""
    step = StepSpec(count=2, cpu=9000, estimated_ms=1000, is_gang=is_gang)

    async def check(scene: Scene, pool: Pool) -> None:
        await pool.submit(build_job("two", steps=(step,)))
        await asyncio.sleep(0.1)
        job, possible_runs = pool.job_table.jobs["two"], pool.run_tracker.possible_runs
        first, second = job.list_tasks()
        assert find_held_task(job, possible_runs) is None
        possible_runs.add(second.task_id, "w1", 9)
        assert find_held_task(job, possible_runs) is (second if is_gang else None)
        possible_runs.add(first.task_id, "w1", 9)
        assert find_held_task(job, possible_runs) is first
        possible_runs.remove(first.task_id, "w1", 9)
        possible_runs.remove(second.task_id, "w1", 9)

    play(check)
