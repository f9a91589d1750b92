"""The check that compares tasks with the runs on links: what it finds and tells."""

import asyncio
from collections.abc import Callable, MutableMapping
from typing import Any

import pytest
import structlog

from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.run_audit import (
    AUDIT_INTERVAL_MS,
    MAX_LINES_PER_CHECK,
)
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.fleet import Lease, StartOrder
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene, find_pool_disagreements

TASK = TaskId("job-1", 0, 0, 0)
STEP = StepSpec(count=2, cpu=1000, memory_mb=100, estimated_ms=1000)
ODD_STEPS = (
    StepSpec(count=2, cpu=500, memory_mb=50, estimated_ms=100, is_filler=True),
    StepSpec(count=2, cpu=500, estimated_ms=100, target_ms=50, is_long_running=True),
    StepSpec(count=2, cpu=500, memory_mb=70, estimated_ms=100, is_long_running=True),
)


def get_task(pool: Pool) -> Task:
    task = pool.job_table.jobs["job-1"].get_task(TASK)
    assert task is not None
    return task


def get_link(pool: Pool) -> WorkerLink:
    return pool.run_tracker.links[get_task(pool).worker_id]


def get_other_link(pool: Pool) -> WorkerLink:
    links = pool.run_tracker.links.values()
    return next(link for link in links if link is not get_link(pool))


def forget_link(pool: Pool) -> None:
    get_task(pool).worker_id = "w99"


def forget_run(pool: Pool) -> None:
    link = get_link(pool)
    link.remove_run(link.runs[TASK])


def count_run_up(pool: Pool) -> None:
    get_task(pool).run += 1


def track_another_task(pool: Pool) -> None:
    get_link(pool).runs[TASK].task = Task(TASK, STEP)


def return_task_to_waiting(pool: Pool) -> None:
    task = get_task(pool)
    task.phase = TaskPhase.WAITING
    pool.job_table.pending.clear()


def track_twice(pool: Pool) -> None:
    task = get_task(pool)
    get_other_link(pool).add_run(LiveRun(task, task.run))


def replace_run(pool: Pool) -> None:
    """Replace the entry of a run without releasing its room."""
    task, link = get_task(pool), get_link(pool)
    link.runs[task.task_id] = LiveRun(task, task.run)
    link.capacity.reserve(task)


def forget_possible_run(pool: Pool) -> None:
    task = get_task(pool)
    pool.run_tracker.possible_runs.remove(TASK, task.worker_id, task.run)


def hold_without_run(pool: Pool) -> None:
    """Hold the run of a task that the owner does not know, on a worker that is gone."""
    pool.run_tracker.possible_runs.add(TaskId("job-2", 0, 0, 0), "w99", 7)


def hold_another_number(pool: Pool) -> None:
    possible_runs, task = pool.run_tracker.possible_runs, get_task(pool)
    possible_runs.add(TASK, task.worker_id, task.run + 1)


def forget_unknown_run(pool: Pool) -> None:
    get_link(pool).unknown_runs.add((TaskId("job-2", 0, 0, 0), 7))


def leave_pending(pool: Pool) -> None:
    forget_run(pool)
    get_task(pool).requeue()
    pool.job_table.pending.clear()


def play(
    corrupt: Callable[[Pool], None], seconds: float = 3.3
) -> tuple[list[MutableMapping[str, Any]], int, AssertionError | None]:
    """Run a job, corrupt the owner's state without passes, and return what was told.

    Returns the lines, the counter, and the error of the scene, if any.
    """
    told: list[MutableMapping[str, Any]] = []
    counters = []
    errors = []

    async def main() -> None:
        scene = Scene(run_s=60.0)
        try:
            async with scene.run_owner(1) as (pool, _):
                await asyncio.sleep(3)
                await pool.submit(build_job(steps=(STEP, *ODD_STEPS)))
                await asyncio.sleep(0.5)
                pool.stop_placement()
                for worker in scene.workers.values():
                    worker.is_silent = True
                with structlog.testing.capture_logs() as lines:
                    corrupt(pool)
                    await asyncio.sleep(seconds)
                told.extend(line for line in lines if line["event"] == "runs disagree")
                counters.append(pool.run_audit.found)
        except AssertionError as error:
            errors.append(error)

    run_virtual(main())
    return told, counters[0], errors[0] if errors else None


@pytest.mark.parametrize(
    ("corrupt", "kinds"),
    [
        (forget_link, {"no_link"}),
        (forget_run, {"no_run"}),
        (count_run_up, {"no_run"}),
        (track_another_task, {"no_run"}),
        (return_task_to_waiting, {"tracked_while_waiting", "not_pending"}),
        (track_twice, {"tracked_twice"}),
        (replace_run, {"capacity"}),
        (leave_pending, {"not_pending"}),
        (forget_possible_run, {"run_not_held"}),
        (forget_unknown_run, {"run_not_held"}),
        (hold_without_run, {"held_without_run"}),
        (hold_another_number, {"held_without_run"}),
    ],
)
def test_each_disagreement_is_told_once_and_fails_the_scene(
    corrupt: Callable[[Pool], None], kinds: set[str]
) -> None:
    """Guards against a task that is lost, or room held by no run, without a line."""
    told, counter, error = play(corrupt)
    assert {line["kind"] for line in told} == kinds
    assert len(told) == counter == len(kinds)
    assert error is not None
    assert all(kind in str(error) for kind in kinds)


@pytest.mark.parametrize(
    ("field", "amount"),
    [
        ("used_cpu", 1),
        ("used_memory_mb", -1),
        ("used_gpus", 1),
        ("serving_tasks", 1),
        ("filler_tasks", -1),
        ("lasting_tasks", 1),
    ],
)
def test_each_amount_that_no_run_reserves_is_told(field: str, amount: int) -> None:
    """Guards against room that is held, or given twice, without a line."""

    def corrupt(pool: Pool) -> None:
        capacity = get_link(pool).capacity
        setattr(capacity, field, getattr(capacity, field) + amount)

    (line,), _, _ = play(corrupt)
    assert line["kind"] == "capacity"
    assert line["found"].startswith(f"{field}=")
    held, needed = line["found"].removeprefix(f"{field}=").split("/")
    assert int(held) - int(needed) == amount


def test_a_step_that_counts_too_many_tasks_on_a_worker_is_told() -> None:
    """Guards against a worker that a step's limit of tasks rules out for good."""

    def corrupt(pool: Pool) -> None:
        get_link(pool).capacity.tasks_of_step["gone", 0, 0] += 1

    (line,), _, _ = play(corrupt)
    assert (line["kind"], line["found"]) == ("capacity", "gone.0.0=1/0")


def test_a_disagreement_of_a_moment_is_not_told() -> None:
    """Guards against lines about a state that the next order or poll sets right."""

    def corrupt(pool: Pool) -> None:
        capacity = get_link(pool).capacity
        capacity.used_cpu += 1

        def mend() -> None:
            capacity.used_cpu -= 1

        asyncio.get_running_loop().call_later(AUDIT_INTERVAL_MS * 0.9 / 1000, mend)

    assert play(corrupt) == ([], 0, None)


def test_the_lines_of_a_check_are_bounded_and_all_are_told() -> None:
    """Guards against a flood of lines, and against disagreements that are left out."""

    def corrupt(pool: Pool) -> None:
        job = build_job("many", steps=(StepSpec(count=25, cpu=1, estimated_ms=100),))
        pool.job_table._jobs["many"] = other = type(pool.job_table.jobs["job-1"])(
            job, 0
        )
        other.begin_due_occurrences(0)
        for task in other.list_tasks():
            task.phase = TaskPhase.RUNNING

    early, _, _ = play(corrupt, seconds=2.3)
    assert len(early) == MAX_LINES_PER_CHECK
    late, counter, _ = play(corrupt, seconds=6.3)
    assert len({line["task"] for line in late}) == len(late) == counter == 25


def test_runs_of_all_kinds_agree_while_workers_restart_and_answers_are_lost() -> None:
    """Guards against a check that takes usual changes of runs for faults."""

    async def main() -> None:
        scene = Scene(run_s=0.7)
        with structlog.testing.capture_logs() as lines:
            async with scene.run_owner(1) as (pool, orders):
                for number in range(60):
                    await pool.submit(build_job(f"j{number}", steps=(STEP, *ODD_STEPS)))
                    await asyncio.sleep(0.2)
                    orders.lose_starts = number % 3 == 0
                    orders.drop_stops = number % 5 == 0
                    if number % 10 == 5:
                        name = f"w{1 + number % 3}"
                        scene.infos[name] = scene.workers[name].restart()
                        pool.update_workers(scene.infos)
                    if number % 4 == 3:
                        await pool.cancel(f"j{number - 1}")
                    found = find_pool_disagreements(pool)
                    assert found == []
        assert not [line for line in lines if line["event"] == "runs disagree"]

    run_virtual(main())


def test_a_run_beside_another_of_its_task_is_told_at_once_and_counted() -> None:
    """Guards against two runs of a task that no operator hears of."""

    async def main() -> None:
        scene = Scene(run_s=60.0)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(3)
            await pool.submit(build_job(steps=(STEP,)))
            await asyncio.sleep(0.5)
            assert pool.run_tracker.possible_runs.doubled == 0
            other, task = get_other_link(pool), get_task(pool)
            worker = scene.workers[other.worker_id]
            stray = StartOrder(TASK, task.run + 6, "", "", "")
            with structlog.testing.capture_logs() as lines:
                orders.execute_start(worker, stray, Lease(1, worker.now_ms() + 4000))
                other.request_poll()
                await asyncio.sleep(2)
            assert pool.run_tracker.possible_runs.doubled == 1
            (told,) = [line for line in lines if line["event"] == "task may run twice"]
            assert told["log_level"] == "warning"
            assert (told["task"], told["run"]) == (TASK, task.run + 6)
            assert told["worker"] == other.worker_id
            assert told["others"] == f"run {task.run} on {task.worker_id}"
            assert not worker.running

    run_virtual(main())
