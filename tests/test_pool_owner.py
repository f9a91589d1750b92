"""One owner of a pool, from a job's acceptance to its end."""

import asyncio
import dataclasses

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.pools.job_table import NotStored, Stored
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import FakeAdvice, Scene


def test_a_job_runs_its_steps_in_order_and_completes() -> None:
    """Guards against a step that starts before those that it waits for."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            assert await pool.submit(build_job()) == Stored(is_new=True)
            await asyncio.sleep(0.4)
            steps = {task.step for task in scene.count_starts()}  # type: ignore[attr-defined]
            assert steps == {0}
            await asyncio.sleep(2)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_repeated_id_is_one_job() -> None:
    """Guards against a caller's repeat that runs the work twice."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            first, second = await asyncio.gather(
                pool.submit(build_job()), pool.submit(build_job())
            )
            assert [first, second] == [Stored(True), Stored(False)]
            await asyncio.sleep(3)
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_nothing_is_accepted_while_the_log_refuses() -> None:
    """Guards against a 2xx for a job that the log does not hold."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
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


def test_a_job_begins_although_its_caller_gave_up() -> None:
    """Guards against a job that lasts and that nobody ever starts."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            submitted = asyncio.create_task(pool.submit(build_job()))
            await asyncio.sleep(0.001)
            submitted.cancel()
            await asyncio.sleep(3)
            assert await pool.submit(build_job()) == Stored(is_new=False)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_step_runs_only_where_advice_allows_it() -> None:
    """Guards against starts that a worker refuses for want of a ticket."""

    async def main() -> None:
        scene = Scene()
        scene.advice = FakeAdvice()
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job())
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        used = {name for name, worker in scene.workers.items() if worker.starts}
        assert used == {"w2"}
        assert scene.advice.calls == 2

    run_virtual(main())


def test_a_task_that_stands_still_runs_elsewhere() -> None:
    """Guards against a job that waits for a worker which does no work."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, _):
            await asyncio.sleep(0.2)
            await pool.submit(build_job())
            await asyncio.sleep(0.1)
            for worker in scene.workers.values():
                worker.is_stalled = bool(worker.running)
            await asyncio.sleep(12)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_a_filler_is_paced_beside_a_tail_over_its_target() -> None:
    """Guards against harm that goes on after it was seen."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=60)
        scene.workers["w1"].tail_latency_ms = 900
        serving = StepSpec(count=1, cpu=1000, is_long_running=True, target_ms=500)
        filler = StepSpec(count=1, cpu=4000, is_long_running=True, is_filler=True)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job("serving", steps=(serving,)))
            await pool.submit(build_job("filler", steps=(filler,)))
            await asyncio.sleep(3)
            assert list(scene.workers["w1"].paces.values()) == [0]
            scene.workers["w1"].tail_latency_ms = 100
            await asyncio.sleep(8)
            assert list(scene.workers["w1"].paces.values()) == [100]

    run_virtual(main())


def test_a_start_without_an_answer_is_barred_before_another() -> None:
    """Guards against two runs of a task whose start was carried out unheard."""

    async def main() -> None:
        scene = Scene()
        async with scene.own(1) as (pool, orders):
            orders.lose_starts = 2
            await pool.submit(build_job())
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())


def test_an_order_without_an_answer_holds_up_no_other() -> None:
    """Guards against a worker that stands still for each order whose answer is lost."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.own(1) as (pool, orders):
            await asyncio.sleep(0.2)
            orders.drop_starts = 1
            await pool.submit(build_job(steps=(StepSpec(count=6, cpu=1000),)))
            await asyncio.sleep(0.3)
            assert len(scene.count_starts()) == 5
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_stop_without_an_answer_is_sent_again() -> None:
    """Guards against a task that waits for ever for the fate of an unanswered run."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.own(1) as (pool, orders):
            orders.drop_starts = orders.drop_stops = 1
            await pool.submit(build_job(steps=(StepSpec(count=1, cpu=1000),)))
            await asyncio.sleep(6)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_job_that_never_ends_well_fails_after_its_attempts() -> None:
    """Guards against a hopeless job that runs for ever."""

    async def main() -> None:
        scene = Scene()
        for worker in scene.workers.values():
            worker.fails_all_tasks = True
        async with scene.own(1) as (pool, _):
            spec = build_job(steps=(StepSpec(count=1, cpu=1000, estimated_ms=500),))
            await pool.submit(spec)
            await asyncio.sleep(12)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.FAILED
        assert list(scene.count_starts().values()) == [3]

    run_virtual(main())


def test_a_cancelled_job_stops_and_stays_cancelled() -> None:
    """Guards against work that goes on after its cancelling was acknowledged."""

    async def main() -> None:
        scene = Scene(run_s=60)
        lasting = StepSpec(count=2, cpu=1000, is_long_running=True)
        async with scene.own(1) as (pool, _):
            await pool.submit(build_job(steps=(lasting,)))
            await asyncio.sleep(0.5)
            assert await pool.cancel("job-1")
            await asyncio.sleep(0.5)
            assert not any(worker.running for worker in scene.workers.values())
        async with scene.own(2, number=2) as (pool, _):
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.CANCELLED
            assert not await pool.cancel("job-2")

    run_virtual(main())


def test_looks_at_many_workers_are_bounded() -> None:
    """Guards against an owner whose looks leave it no time for anything else."""

    async def main() -> None:
        scene = Scene(workers=60, run_s=0.1)
        wide = StepSpec(count=480, cpu=1000, memory_mb=10, estimated_ms=100)
        async with scene.own(1) as (pool, orders):
            await pool.submit(build_job(steps=(wide, wide, wide)))
            await asyncio.sleep(0.5)
            before = orders.poll_count
            await asyncio.sleep(1)
            assert orders.poll_count - before <= 400 * 1.1

    run_virtual(main())


def test_a_start_that_gets_no_answer_after_it_was_given_up_holds_up_no_task() -> None:
    """Guards against a task that waits for ever for a run on a former life."""

    async def main() -> None:
        scene = Scene(workers=1)
        async with scene.own(1) as (pool, orders):
            await asyncio.sleep(0.3)
            orders.drop_starts = 1
            await pool.submit(build_job(steps=(StepSpec(count=1, cpu=8000),)))
            await asyncio.sleep(0.2)
            born = dataclasses.replace(scene.infos["w1"], incarnation_ms=2)
            pool.update_workers({"w1": born})
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())
