"""A pool with a single owner, from a job's acceptance to its end."""

import asyncio

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.pools.job_table import NotStored, Stored
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import FakeAdvice, Scene


def test_a_job_runs_its_steps_in_order_and_completes() -> None:
    """Guards against a step that starts before the steps it depends on are done."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            assert await pool.submit(build_job()) == Stored(is_new=True)
            await asyncio.sleep(0.4)
            steps = {task.step for task in scene.count_starts()}  # type: ignore[attr-defined]
            assert steps == {0}
            await asyncio.sleep(2)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_job_that_is_submitted_twice_runs_once() -> None:
    """Guards against a repeated submission that runs the job twice."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            first, second = await asyncio.gather(
                pool.submit(build_job()), pool.submit(build_job())
            )
            assert [first, second] == [Stored(True), Stored(False)]
            await asyncio.sleep(3)
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_nothing_is_accepted_while_the_log_refuses() -> None:
    """Guards against an acceptance of a job that the log does not hold."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            scene.store.is_down = True
            first = asyncio.create_task(pool.submit(build_job("a")))
            await asyncio.sleep(1)
            assert not first.done()
            outcome = await pool.submit(build_job("b"))
            assert isinstance(outcome, NotStored)
            assert pool.job_table.get_durable_phase("a") is None
            scene.store.is_down = False
            assert await first == Stored(is_new=True)
            assert pool.job_table.get_durable_phase("b") is None

    run_virtual(main())


def test_a_job_begins_although_its_caller_disconnected() -> None:
    """Guards against a durable job that is never started.

    The caller cancels its request before the job is durable.
    """

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            submitted = asyncio.create_task(pool.submit(build_job()))
            await asyncio.sleep(0.001)
            submitted.cancel()
            await asyncio.sleep(3)
            assert await pool.submit(build_job()) == Stored(is_new=False)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_step_runs_only_on_workers_with_tickets() -> None:
    """Guards against starts that a worker refuses because they have no ticket."""

    async def main() -> None:
        scene = Scene()
        scene.advice = FakeAdvice()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        used = {name for name, worker in scene.workers.items() if worker.starts}
        assert used == {"w2"}
        assert scene.advice.calls == 2

    run_virtual(main())


def test_a_stalled_task_runs_elsewhere() -> None:
    """Guards against a job that waits for a run without progress."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await pool.submit(build_job())
            await asyncio.sleep(0.1)
            for worker in scene.workers.values():
                worker.is_stalled = bool(worker.running)
            await asyncio.sleep(12)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_filler_is_paced_while_tail_latency_is_over_its_target() -> None:
    """Guards against a filler that keeps slowing a serving task down.

    The filler is paced while the tail latency is over its target, and released after.
    """

    async def main() -> None:
        scene = Scene(workers=1, run_s=60)
        scene.workers["w1"].tail_latency_ms = 900
        serving = StepSpec(count=1, cpu=1000, is_long_running=True, target_ms=500)
        filler = StepSpec(count=1, cpu=4000, is_long_running=True, is_filler=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("serving", steps=(serving,)))
            await pool.submit(build_job("filler", steps=(filler,)))
            await asyncio.sleep(3)
            assert list(scene.workers["w1"].paces.values()) == [0]
            scene.workers["w1"].tail_latency_ms = 100
            await asyncio.sleep(8)
            assert list(scene.workers["w1"].paces.values()) == [100]

    run_virtual(main())


def test_an_unanswered_start_is_stopped_before_another() -> None:
    """Guards against two runs of a task whose first start got no answer."""

    async def main() -> None:
        scene = Scene()
        async with scene.run_owner(1) as (pool, orders):
            orders.lose_starts = 2
            await pool.submit(build_job())
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_an_unanswered_order_does_not_block_others() -> None:
    """Guards against an unanswered order that blocks all others to its worker."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.2)
            orders.drop_starts = 1
            await pool.submit(build_job(steps=(StepSpec(count=6, cpu=1000),)))
            await asyncio.sleep(0.3)
            assert len(scene.count_starts()) == 5
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_an_unanswered_stop_is_sent_again() -> None:
    """Guards against a task that waits forever for the outcome of an unanswered run."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.run_owner(1) as (pool, orders):
            orders.drop_starts = orders.drop_stops = 1
            await pool.submit(build_job(steps=(StepSpec(count=1, cpu=1000),)))
            await asyncio.sleep(6)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_job_fails_when_its_attempts_are_used_up() -> None:
    """Guards against a failing job that is retried forever."""

    async def main() -> None:
        scene = Scene()
        for worker in scene.workers.values():
            worker.fails_all_tasks = True
        async with scene.run_owner(1) as (pool, _):
            spec = build_job(steps=(StepSpec(count=1, cpu=1000, estimated_ms=500),))
            await pool.submit(spec)
            await asyncio.sleep(12)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.FAILED
        assert list(scene.count_starts().values()) == [3]

    run_virtual(main())


def test_a_cancelled_job_stops_and_stays_cancelled() -> None:
    """Guards against tasks that go on after the cancellation was acknowledged."""

    async def main() -> None:
        scene = Scene(run_s=60)
        long_running = StepSpec(count=2, cpu=1000, is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(long_running,)))
            await asyncio.sleep(0.5)
            assert await pool.cancel("job-1")
            await asyncio.sleep(0.5)
            assert not any(worker.running for worker in scene.workers.values())
        async with scene.run_owner(2, term_number=2) as (pool, _):
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.CANCELLED
            assert not await pool.cancel("job-2")

    run_virtual(main())


def test_the_rate_of_polls_is_bounded() -> None:
    """Guards against an owner whose polls leave it no time for anything else."""

    async def main() -> None:
        scene = Scene(workers=60, run_s=0.1)
        wide = StepSpec(count=480, cpu=1000, memory_mb=10, estimated_ms=100)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(build_job(steps=(wide, wide, wide)))
            await asyncio.sleep(0.5)
            before = orders.poll_count
            await asyncio.sleep(1)
            assert orders.poll_count - before <= 400 * 1.1

    run_virtual(main())


def test_an_abandoned_start_without_an_answer_does_not_block_its_task() -> None:
    """Guards against a task that waits forever for a run on a restarted worker.

    The worker restarts while the start of the run is unanswered.
    """

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(0.3)
            orders.drop_starts = 1
            await pool.submit(build_job(steps=(StepSpec(count=1, cpu=8000),)))
            await asyncio.sleep(0.2)
            pool.update_workers({"w1": scene.workers["w1"].restart()})
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())
