"""Tasks that may start wait no longer than a few seconds once all is calm."""

import asyncio
import dataclasses
import os

import pytest

from bergamotgap.domain.fleet import JobSpec, StepSpec, TaskId
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import StartOrder
from stand_ins.pool_workers import FakeRun
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.crash_scene import CrashScene
from tests.pool_scene import Scene
from tests.waiting_checks import check_overlaps
from tests.waiting_scene import MAX_WAIT_S, WaitingScene, play

LASTING_RUN_S = 600.0
# The seeds of the random scenes, as FIRST:END.
FIRST_SEED, END_SEED = map(int, os.environ.get("WAITING_SEEDS", "0:8").split(":"))
SEEDS = range(FIRST_SEED, END_SEED)


async def submit_suspects(pool: Pool, jobs: list[JobSpec]) -> None:
    """Submit jobs whose workers crashed; long-running ones have seen one crash more."""
    pool.stop_placement()
    for spec in jobs:
        await pool.submit(spec)
    # The jobs begin a moment after they are durable.
    await asyncio.sleep(0.1)
    for spec in jobs:
        job = pool.job_table.jobs[spec.job_id]
        for task in job.list_tasks():
            task.crashed_workers = ("former",) * (1 + job.is_long_running)
            task.runs_alone = True
    pool.resume_placement()


def test_a_suspected_task_starts_beside_no_other_of_its_step() -> None:
    """Guards against a trial that waits for a worker which the limit per host bars.

    Two tasks of another job start again on the new worker first, so the workers with
    tasks of the same step look emptier.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=4, run_s=LASTING_RUN_S)
        info = scene.infos["w4"]
        info = dataclasses.replace(info, labels=info.labels | {"x"})
        scene.infos["w4"] = scene.workers["w4"].info = info
        other = StepSpec(count=2, cpu=1000, is_long_running=True, requirement="x")
        spread = StepSpec(count=4, cpu=1000, is_long_running=True, max_per_host=1)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("other", steps=(other,)))
            await asyncio.sleep(3)
            await pool.submit(build_job("spread", steps=(spread,)))
            while not any(task.job == "spread" for task in scene.workers["w4"].running):
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            scene.crash("w4")
            await asyncio.sleep(scene.down_s + MAX_WAIT_S)
            tasks = [task for w in scene.workers.values() for task in w.running]
            assert sum(task.job == "other" for task in tasks) == 2
            assert sum(task.job == "spread" for task in tasks) == 4

    run_virtual(main())


def test_suspects_of_a_spread_step_start_before_each_reservation_ends() -> None:
    """Guards against one trial every 3 s for a step with one task on a worker.

    The worker reserved for the first trial bars the second, and half of the workers
    are empty.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=8, run_s=LASTING_RUN_S)
        spread = StepSpec(count=8, cpu=1000, is_long_running=True, max_per_host=1)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("spread", steps=(spread,)))
            await asyncio.sleep(0.05)
            for name in ("w1", "w2", "w3", "w4"):
                assert scene.workers[name].running
                scene.crash(name)
            await asyncio.sleep(MAX_WAIT_S)
            assert sum(len(worker.running) for worker in scene.workers.values()) == 8

    run_virtual(main())


def test_a_task_starts_nowhere_while_its_former_run_may_be_on_a_worker() -> None:
    """Guards against a second run, and room that is held for a run that it replaced.

    A start may arrive late at a new life of its worker, whose stop gets no answer.
    Later, a run of the task is on that worker beside another one, which fails while the
    stop of the former one gets no answer.
    """

    async def main() -> None:
        scene = Scene(workers=2, run_s=LASTING_RUN_S)
        step = StepSpec(count=1, cpu=1000)
        task = TaskId("late", 0, 0, 0)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.3)
            orders.start_delays_s.append(4.0)
            await pool.submit(build_job("late", steps=(step,)))
            await asyncio.sleep(0.1)
            links = pool.run_tracker.links
            (former,) = (link for link in links.values() if link.runs)
            worker = scene.workers[former.worker_id]
            (other,) = (w for w in scene.workers.values() if w is not worker)
            await asyncio.sleep(0.6)
            # The new life does not learn at once that it must not start the run.
            orders.drop_stops = 2
            scene.infos[former.worker_id] = worker.restart()
            pool.update_workers(scene.infos)
            while task not in worker.barred_runs:
                assert task not in other.running
                await asyncio.sleep(0.001)
            await asyncio.sleep(5)
            assert task in other.running
            assert task not in worker.running
            # Another run lets the owner poll the worker.
            label = next(iter(worker.info.labels - other.info.labels))
            beside = StepSpec(count=1, cpu=1000, requirement=label)
            await pool.submit(build_job("beside", steps=(beside,)))
            await asyncio.sleep(1)
            now_s = asyncio.get_running_loop().time()
            stray = StartOrder(task, 1, "payload", "")
            worker.running[task] = FakeRun(stray, now_s + LASTING_RUN_S, now_s)
            orders.drop_stops = 1
            while task not in former.runs:
                await asyncio.sleep(0.01)
            other.end_run(task, "failed")
            while task in worker.running and worker.running[task].order.run == 1:
                assert former.runs[task].run == 1
                assert task not in other.running
                await asyncio.sleep(0.001)
            await asyncio.sleep(3)
            sizes = [live.task.step.cpu for live in former.runs.values()]
            assert former.capacity.used_cpu == sum(sizes)

    run_virtual(main())


def test_a_late_start_is_barred_in_the_next_life_of_its_worker() -> None:
    """Guards against two runs of a task after a start that a former life never got.

    The former life accepted a stop that bars the run; the next life forgot it.
    """

    async def main() -> None:
        scene = Scene(workers=2, run_s=LASTING_RUN_S)
        step = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.3)
            orders.start_delays_s.append(2.0)
            await pool.submit(build_job("late", steps=(step,)))
            await asyncio.sleep(0.1)
            links = pool.run_tracker.links.values()
            (name,) = (link.worker_id for link in links if link.runs)
            await asyncio.sleep(0.6)
            assert TaskId("late", 0, 0, 0) in scene.workers[name].barred_runs
            scene.infos[name] = scene.workers[name].restart()
            pool.update_workers(scene.infos)
            await asyncio.sleep(3)
            assert not list(
                check_overlaps(scene.workers, asyncio.get_running_loop().time())
            )

    run_virtual(main())


def test_a_worker_lost_long_ago_holds_up_no_restored_job() -> None:
    """Guards against a successor that waits for leases on a worker that is gone.

    The worker left, and its task has run elsewhere since.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=4, run_s=LASTING_RUN_S)
        spread = StepSpec(count=2, cpu=1000, is_long_running=True, max_per_host=1)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            await pool.submit(build_job("spread", steps=(spread,)))
            await asyncio.sleep(3)
            scene.crash(next(name for name, w in scene.workers.items() if w.running))
            await asyncio.sleep(30)
            pool.stop_placement()
            await pool.journal.wait_committed(pool.journal.last_change)
        running = [worker for worker in scene.workers.values() if worker.running]
        assert len(running) == 2
        running[0].end_run(next(iter(running[0].running)), "failed")
        async with scene.run_owner(2, term_number=2):
            await asyncio.sleep(2)
            assert sum(len(worker.running) for worker in scene.workers.values()) == 2

    run_virtual(main())


def test_a_lasting_suspect_waits_for_no_flood_of_short_ones() -> None:
    """Guards against a long-running task whose trial comes after those of short jobs.

    It has seen more crashes than they have, as long-running tasks do over a day.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3)
        for worker in scene.workers.values():
            worker.choose_run_s = lambda order: (
                3.0 if order.task.job.startswith("short") else LASTING_RUN_S
            )
        spread = StepSpec(count=3, cpu=1000, is_long_running=True, max_per_host=1)
        lasting = StepSpec(count=1, cpu=1000, is_long_running=True)
        short = StepSpec(count=1, cpu=1000, estimated_ms=3000)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            # No worker is empty.
            await pool.submit(build_job("spread", steps=(spread,)))
            await asyncio.sleep(1)
            jobs = [build_job("lasting", steps=(lasting,))]
            jobs += [build_job(f"short-{n}", steps=(short,)) for n in range(15)]
            await submit_suspects(pool, jobs)
            await asyncio.sleep(MAX_WAIT_S)
            running = [task for w in scene.workers.values() for task in w.running]
            assert TaskId("lasting", 0, 0, 0) in running

    run_virtual(main())


def test_a_suspect_that_fits_waits_for_none_that_does_not() -> None:
    """Guards against a trial that waits while a worker is reserved in vain for another.

    The room that the wide task needs never gets free while its worker is reserved.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3)
        for worker in scene.workers.values():
            worker.choose_run_s = lambda order: (
                6.0 + int(order.task.job[-1]) % 5
                if order.task.job.startswith("short")
                else LASTING_RUN_S
            )
        short = StepSpec(count=1, cpu=2300, estimated_ms=8000)
        wide = StepSpec(count=1, cpu=7000, is_long_running=True)
        narrow = StepSpec(count=1, cpu=500, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            for number in range(60):
                await pool.submit(build_job(f"short-{number}", steps=(short,)))
            await asyncio.sleep(0.5)
            jobs = [
                build_job("wide", steps=(wide,)),
                build_job("narrow", steps=(narrow,)),
            ]
            await submit_suspects(pool, jobs)
            await asyncio.sleep(MAX_WAIT_S)
            running = [task for w in scene.workers.values() for task in w.running]
            assert TaskId("narrow", 0, 0, 0) in running

    run_virtual(main())


def test_all_suspects_of_one_crash_start_in_time() -> None:
    """Guards against trials one after the other that take too long for the last one.

    Eight long-running jobs lose their tasks at the start, in a pool of three workers.
    """

    async def main() -> None:
        scene = CrashScene(lambda task: False, workers=3, run_s=LASTING_RUN_S)
        spread = StepSpec(count=3, cpu=1000, is_long_running=True, max_per_host=1)
        lasting = StepSpec(count=1, cpu=500, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.3)
            # No worker is empty.
            await pool.submit(build_job("spread", steps=(spread,)))
            await asyncio.sleep(2)
            jobs = [build_job(f"lasting-{n}", steps=(lasting,)) for n in range(8)]
            await asyncio.gather(*(pool.submit(job) for job in jobs))
            workers = scene.workers
            name = max(workers, key=lambda name: len(workers[name].running))
            async with asyncio.timeout(0.1):
                while len(workers[name].running) < 9:
                    await asyncio.sleep(0.005)
            assert len(workers[name].running) == 9
            scene.crash(name)
            await asyncio.sleep(scene.down_s + MAX_WAIT_S)
            assert sum(len(worker.running) for worker in workers.values()) == 11

    run_virtual(main())


@pytest.mark.parametrize("seed", SEEDS)
def test_what_may_start_waits_only_seconds_after_random_disruptions(seed: int) -> None:
    """Guards against tasks, workers or room that a disruption takes away for good."""

    async def main() -> None:
        scene = WaitingScene(seed)
        await play(scene)
        assert not scene.problems, "\n".join([*scene.events, *scene.problems])

    run_virtual(main())
