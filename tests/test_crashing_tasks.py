"""Tasks that crash each worker that starts them: who is given up, and at what cost."""

import asyncio
import dataclasses

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene

# The users allow two more starts after three workers have crashed under a task.
MAX_CRASHES = 5
SMALL = StepSpec(count=3, cpu=1000, memory_mb=100, estimated_ms=500)


def is_first_task_of_bad(task: TaskId) -> bool:
    return task.job == "bad" and task.number == 0


def test_a_task_that_crashes_its_workers_is_given_up() -> None:
    """Guards against one task that crashes worker after worker without limit."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(SMALL,)))
            await asyncio.sleep(40)
            assert len(scene.crashes[TaskId("bad", 0, 0, 0)]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


def test_the_count_of_crashes_outlives_the_owners_of_a_pool() -> None:
    """Guards against a successor that starts a task as often as its predecessor.

    Each owner is killed in the moment in which a worker crashes, before it knows.
    """

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        task = TaskId("bad", 0, 0, 0)
        token = 1
        for token in range(1, 12):
            async with scene.run_owner(token, term_number=token) as (pool, _):
                if token == 1:
                    await pool.submit(build_job("bad", steps=(SMALL,)))
                crashes = len(scene.crashes[task])
                for _ in range(1500):
                    await asyncio.sleep(0.01)
                    if len(scene.crashes[task]) > crashes:
                        break
                if pool.job_table.jobs["bad"].phase.is_final:
                    break
        assert len(scene.crashes[task]) <= MAX_CRASHES
        async with scene.run_owner(token + 1, term_number=token + 1) as (pool, _):
            await asyncio.sleep(20)
            assert len(scene.crashes[task]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


def test_healthy_jobs_beside_a_task_that_crashes_workers_complete() -> None:
    """Guards against a healthy job that is given up for the company it was in."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad, workers=3)
        names = [f"job-{number}" for number in range(6)]
        async with scene.run_owner(1) as (pool, _):
            await asyncio.gather(
                *(pool.submit(build_job(name, steps=(SMALL,))) for name in names[:3]),
                pool.submit(build_job("bad", steps=(SMALL,))),
                *(pool.submit(build_job(name, steps=(SMALL,))) for name in names[3:]),
            )
            await asyncio.sleep(20)
            for name in names:
                phase = pool.job_table.get_durable_phase(name)
                assert phase is JobPhase.COMPLETED
            # Only the first crash may find others beside the task at fault.
            jobs = [{task.job for task in tasks} for tasks in scene.victims]
            assert all(victims == {"bad"} for victims in jobs[1:])
            assert await pool.submit(build_job("later", steps=(SMALL,)))
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("later") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_lasting_job_survives_many_crashes_that_others_cause() -> None:
    """Guards against a lasting job given up because of tasks started beside it."""

    async def main() -> None:
        scene = CrashScene(lambda task: task.job.startswith("bad"), workers=1)
        lasting = StepSpec(count=2, cpu=1000, is_long_running=True)
        scene.workers["w1"].choose_run_s = lambda order: (
            600.0 if order.task.job == "lasting" else 0.5
        )
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("lasting", steps=(lasting,)))
            await asyncio.sleep(3)
            for number in range(6):
                await pool.submit(build_job(f"bad-{number}", steps=(SMALL,)))
                await asyncio.sleep(9)
            assert len(scene.victims) > 6
            assert pool.job_table.get_durable_phase("lasting") is JobPhase.RUNNING

    run_virtual(main())


def test_a_worker_that_was_cut_off_counts_as_no_crash() -> None:
    """Guards against a healthy task given up because its workers were unreachable."""

    async def main() -> None:
        scene = CrashScene(lambda task: False, run_s=8)
        one = StepSpec(count=1, cpu=8000, memory_mb=100, estimated_ms=8000)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(build_job("job", steps=(one,)))
            for _ in range(5):
                await asyncio.sleep(0.3)
                cut = {n for n, w in scene.workers.items() if w.running}
                orders.unreachable_workers |= cut
                await asyncio.sleep(6)
                orders.unreachable_workers.clear()
            await asyncio.sleep(30)
            assert pool.crash_watch.crashes == 0
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_task_is_not_blamed_for_a_crash_before_its_start_arrived() -> None:
    """Guards against a job given up for workers that never started its tasks."""

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=6)
        one = StepSpec(count=1, cpu=8000, memory_mb=100, estimated_ms=500)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.5)
            orders.drop_starts = 1
            await pool.submit(build_job("job", steps=(one,)))
            await asyncio.sleep(0.05)
            for name, link in list(pool.run_tracker.links.items()):
                if link.runs:
                    scene.crash(name)
            await asyncio.sleep(7)
            assert pool.crash_watch.crashes == 1
            task = pool.job_table.jobs["job"].list_tasks()[0]
            assert task.crashed_workers == ()
            await asyncio.sleep(8)
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_suspect_waits_for_its_record_in_an_outage_of_the_log() -> None:
    """Guards against a trial that a successor would not know of."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        task = TaskId("bad", 0, 0, 0)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(SMALL,)))
            while not scene.crashes[task]:
                await asyncio.sleep(0.01)
            scene.store.is_down = scene.is_log_down_for_all = True
            await asyncio.sleep(10)
            assert len(scene.crashes[task]) == 1
            scene.store.is_down = scene.is_log_down_for_all = False
            await asyncio.sleep(20)
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED
            assert len(scene.crashes[task]) <= MAX_CRASHES

    run_virtual(main())


def test_a_gang_with_a_member_that_crashes_workers_is_given_up() -> None:
    """Guards against a gang that starts again and again because one member crashes."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad, workers=4)
        scene.gangs.add("bad")
        gang = StepSpec(count=3, cpu=5000, memory_mb=100, is_gang=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(gang,)))
            await asyncio.sleep(40)
            assert len(scene.crashes[TaskId("bad", 0, 0, 0)]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


def test_a_timed_job_is_given_up_at_its_first_occurrence_that_crashes() -> None:
    """Guards against each occurrence of a timed job costing as many workers anew."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        start_ms = scene.clock.wall_ms()
        job = build_job(
            "bad",
            steps=(SMALL,),
            repetitions=20,
            start_at_ms=start_ms,
            interval_ms=1000,
        )
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(job)
            await asyncio.sleep(40)
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED
            crashes = {task.occurrence: len(c) for task, c in scene.crashes.items()}
            assert max(crashes.values()) <= MAX_CRASHES

    run_virtual(main())


def test_a_lasting_task_that_crashes_its_workers_is_given_up() -> None:
    """Guards against a lasting job whose task crashes workers without end."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad)
        lasting = StepSpec(count=2, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(lasting,)))
            await asyncio.sleep(40)
            assert len(scene.crashes[TaskId("bad", 0, 0, 0)]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


def test_a_task_that_crashes_its_workers_late_is_given_up() -> None:
    """Guards against a fault that shows only after the start was survived."""

    async def main() -> None:
        scene = CrashScene(is_first_task_of_bad, run_s=3)
        scene.crash_delay_s = 1.5
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("bad", steps=(SMALL,)))
            await asyncio.sleep(60)
            assert len(scene.crashes[TaskId("bad", 0, 0, 0)]) <= MAX_CRASHES
            assert pool.job_table.get_durable_phase("bad") is JobPhase.FAILED

    run_virtual(main())


@pytest.mark.parametrize("closes_connections", [False, True])
def test_crashes_of_a_flood_leave_workers_for_other_jobs(
    closes_connections: bool,
) -> None:
    """Guards against a flood of such tasks that takes all workers of a pool.

    Pattern: every job of a queue crashes its worker for some seconds, then healthy jobs
    come.
    """

    async def main() -> None:
        scene = CrashScene(
            lambda task: task.job.startswith("bad"),
            workers=8,
            closes_connections=closes_connections,
        )
        async with scene.run_owner(1) as (pool, _):
            for number in range(20):
                await pool.submit(build_job(f"bad-{number}", steps=(SMALL,)))
                await asyncio.sleep(0.1)
            for number in range(5):
                await pool.submit(build_job(f"good-{number}", steps=(SMALL,)))
                await asyncio.sleep(0.1)
            await asyncio.sleep(12)
            for number in range(5):
                phase = pool.job_table.get_durable_phase(f"good-{number}")
                assert phase is JobPhase.COMPLETED
            await asyncio.sleep(60)
            phases = {
                pool.job_table.get_durable_phase(f"bad-{number}")
                for number in range(20)
            }
            assert phases == {JobPhase.FAILED}
            assert all(len(c) <= MAX_CRASHES for c in scene.crashes.values())

    run_virtual(main())


def test_a_restart_that_a_poll_showed_first_is_counted_once() -> None:
    """Guards against runs of a restarted worker that are started twice.

    The worker restarts under its id. A poll shows it before the list of workers does.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=2, run_s=3)
        one = StepSpec(count=1, cpu=8000, memory_mb=100, estimated_ms=3000)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("job", steps=(one,)))
            await asyncio.sleep(1)
            (name,) = (name for name, w in scene.workers.items() if w.running)
            (other,) = set(scene.workers) - {name}
            worker = scene.workers[name]
            worker.crash()
            worker.info = dataclasses.replace(worker.info, incarnation_ms=2)
            other_info = scene.infos.pop(other)
            scene.publish_workers()
            await asyncio.sleep(1.6)
            assert not worker.running
            scene.infos[name] = worker.info
            scene.publish_workers()
            await asyncio.sleep(0.5)
            assert worker.running
            scene.infos[other] = other_info
            scene.publish_workers()
            await asyncio.sleep(10)
            assert scene.count_starts_of(TaskId("job", 0, 0, 0)) == 2
            assert pool.crash_watch.crashes == 1
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_crash_long_after_a_trial_is_not_blamed_by_a_successor() -> None:
    """Guards against a lasting job given up for crashes long after its trials.

    The owner is killed together with the worker, so the successor goes by the record.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3)
        lasting = StepSpec(count=1, cpu=1000, is_long_running=True)
        for worker in scene.workers.values():
            worker.choose_run_s = lambda order: 600.0
        for token in range(1, 5):
            async with scene.run_owner(token, term_number=token) as (pool, _):
                if token == 1:
                    await pool.submit(build_job("job", steps=(lasting,)))
                await asyncio.sleep(0.1)
                job = pool.job_table.jobs["job"]
                (task,) = job.list_tasks()
                for _ in range(1500):
                    await asyncio.sleep(0.01)
                    if task.is_active and not task.runs_alone:
                        break
                await asyncio.sleep(3)
                pool.job_table.record_progress(job)
                await asyncio.sleep(0.5)
            (name,) = (name for name, w in scene.workers.items() if w.running)
            scene.crash(name)
        async with scene.run_owner(5, term_number=5) as (pool, _):
            await asyncio.sleep(15)
            assert pool.crash_watch.crashes == 1
            assert pool.job_table.get_durable_phase("job") is JobPhase.RUNNING
            (task,) = pool.job_table.jobs["job"].list_tasks()
            assert task.blamed_crashes == 0

    run_virtual(main())


def test_the_workers_of_a_gang_on_trial_take_no_other_job() -> None:
    """Guards against jobs that start beside a gang that may crash its workers."""

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=4, run_s=2)
        gang = StepSpec(count=2, cpu=5000, memory_mb=100, is_gang=True)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("gang", steps=(gang,)))
            job = pool.job_table.jobs["gang"]
            job.begin_due_occurrences(scene.clock.wall_ms())
            assert len(job.list_tasks()) == 2
            for task in job.list_tasks():
                task.runs_alone = True
            await asyncio.sleep(0.1)
            links = pool.run_tracker.links.values()
            assert sum(bool(link.runs) for link in links) == 2
            assert [link.trial_job for link in links if link.runs] == ["gang"] * 2

    run_virtual(main())


def test_a_trial_does_not_outlast_the_wave_of_its_worker() -> None:
    """Guards against maintenance that waits for a task on trial, as one host did.

    The host came back from a crash shortly before the end of its wave.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            for name in ("w1", "w2"):
                capacity = pool.run_tracker.links[name].capacity
                capacity.maintenance_in_ms, capacity.longest_task_ms = 3000, 500
            pool.crash_watch.is_queue_on_probation = lambda queue: True  # type: ignore[method-assign]
            step = StepSpec(count=1, cpu=1000, estimated_ms=1000)
            await pool.submit(build_job(steps=(step,)))
            await asyncio.sleep(0.3)
            started = [name for name, w in scene.workers.items() if w.starts]
            assert started == ["w3"]

    run_virtual(main())
