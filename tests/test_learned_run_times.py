"""Owners that learn run times: take-overs, loss of the log, damaged records, stops."""

import asyncio

import msgspec
import pytest
import structlog

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.domain.worker_speeds import SLOW_SPEED
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.pool_demand import is_task_late
from bergamotgap.pools.run_time_store import WRITE_GAP_MS
from bergamotgap.ports.fleet import KeyedRecord, StartOrder
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import PARTITION, Scene

QUEUE = "q-previews"
KEY = f"previews/e/{QUEUE}"
# Takes twice its declared time on the scene's workers.
STEP = StepSpec(count=8, cpu=1000, memory_mb=100, estimated_ms=250)
RUN_S = 0.5


async def run_jobs(pool: Pool, name: str, jobs: int = 4) -> None:
    """Run jobs one after the other."""
    for number in range(jobs):
        spec = build_job(f"{name}-{number}", steps=(STEP,))
        await pool.submit(spec)
        while pool.job_table.get_durable_phase(spec.job_id) is not JobPhase.COMPLETED:
            await asyncio.sleep(0.05)


def expect(pool: Pool) -> float:
    return pool.run_tracker.estimates.expect_ms(QUEUE, STEP)


def list_records(scene: Scene) -> list[KeyedRecord]:
    records = scene.store.get(*PARTITION).records
    return [record for record in records if record.key == KEY]


def test_a_successor_keeps_the_estimates() -> None:
    """Guards against estimates that are lost with their owner.

    Only the log outlives the owner, as after the loss of all nodes.
    """

    async def main() -> None:
        scene = Scene(run_s=RUN_S)
        async with scene.run_owner(1) as (pool, _):
            await run_jobs(pool, "a")
            await asyncio.sleep(2 * WRITE_GAP_MS / 1000)
            learned_ms = expect(pool)
            assert learned_ms > 400
        with structlog.testing.capture_logs() as logs:
            async with scene.run_owner(2, term_number=2) as (pool, _):
                assert expect(pool) == pytest.approx(learned_ms, rel=0.02)
                assert pool.run_tracker.estimates.trust(QUEUE, STEP) > 0.7
                # The record is not a job.
                assert QUEUE not in pool.job_table.jobs
                await run_jobs(pool, "b", jobs=1)
        restored = [line for line in logs if line["event"] == "run times restored"]
        assert [(line["queues"], line["runs"]) for line in restored] == [(1, 32)]

    run_virtual(main())


def test_estimates_are_written_seldom_and_only_with_new_runs() -> None:
    """Guards against a log that is filled with estimates."""

    async def main() -> None:
        scene = Scene(run_s=RUN_S)
        async with scene.run_owner(1) as (pool, _):
            began = scene.clock.monotonic_ms()
            await run_jobs(pool, "a", jobs=20)
            passed_ms = scene.clock.monotonic_ms() - began
            assert 1 < len(list_records(scene)) <= 1 + passed_ms / WRITE_GAP_MS
            await asyncio.sleep(2 * WRITE_GAP_MS / 1000)
            written = len(list_records(scene))
            await asyncio.sleep(10 * WRITE_GAP_MS / 1000)
            assert len(list_records(scene)) == written

    run_virtual(main())


def test_loss_of_the_log_while_estimates_are_written_leaves_the_newest() -> None:
    """Guards against estimates lost, or an owner held up, in an outage of the log."""

    async def main() -> None:
        scene = Scene(run_s=RUN_S)
        async with scene.run_owner(1) as (pool, _):
            await run_jobs(pool, "a")
            scene.store.lose_answers = 1
            await asyncio.sleep(2 * WRITE_GAP_MS / 1000)
            assert not scene.store.lose_answers, "the record was not written"
            scene.store.is_down = True
            for number in range(10):
                pool.run_tracker.estimates.record_run(
                    QUEUE, STEP, 500, scene.clock.monotonic_ms() + number
                )
            await asyncio.sleep(4 * WRITE_GAP_MS / 1000)
            learned_ms = expect(pool)
            scene.store.is_down = False
            await asyncio.sleep(WRITE_GAP_MS / 1000)
        async with scene.run_owner(2, term_number=2) as (pool, _):
            assert expect(pool) == pytest.approx(learned_ms, rel=0.02)
            assert pool.run_tracker.estimates.summarize(QUEUE).runs == 42

    run_virtual(main())


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x00\xff",
        msgspec.msgpack.encode([1, [1, [[99], [16]], [[], []]]]),
        msgspec.msgpack.encode([1, [-1, [[0], [16]], [[], []]]]),
        msgspec.msgpack.encode([1, [1, [[0], [float("nan")]], [[], []]]]),
        msgspec.msgpack.encode({"saved_ms": 1}),
    ],
)
def test_a_damaged_record_is_ignored(value: bytes) -> None:
    """Guards against a pool that nobody can own because of a damaged record."""

    async def main() -> None:
        scene = Scene(run_s=RUN_S)
        scene.store.get(*PARTITION).records.append(KeyedRecord(KEY, value))
        with structlog.testing.capture_logs() as logs:
            async with scene.run_owner(1) as (pool, _):
                assert expect(pool) == STEP.estimated_ms
                assert not pool.job_table.jobs
                await run_jobs(pool, "a")
                await asyncio.sleep(2 * WRITE_GAP_MS / 1000)
        assert "run times not decoded" in [line["event"] for line in logs]
        # It is replaced by a record of this owner's runs.
        async with scene.run_owner(2, term_number=2) as (pool, _):
            assert expect(pool) > 400

    run_virtual(main())


def test_a_slow_worker_is_avoided_and_does_not_make_its_queue_look_slow() -> None:
    """Guards against work placed on a worker that takes several times as long."""

    async def main() -> None:
        scene = Scene(workers=5, run_s=0.25)
        scene.workers["w3"].run_s = 1.5
        # A worker holds 8 tasks, so a job spreads over two.
        wide = msgspec.structs.replace(STEP, count=4, cpu=2000)
        async with scene.run_owner(1) as (pool, _):
            lowest = 1.0
            for number in range(60):
                await pool.submit(build_job(f"a-{number}", steps=(wide,)))
                await asyncio.sleep(0.085)
                links = pool.run_tracker.links
                lowest = min(lowest, links["w3"].capacity.speed)
            assert lowest < SLOW_SPEED
            others = [link for key, link in links.items() if key != "w3"]
            assert min(link.capacity.speed for link in others) > SLOW_SPEED
            starts = len(scene.workers["w3"].starts)
            print(f"starts on the slow worker: {starts} of 240")
            assert starts < 240 / 10
            estimate_ms = pool.run_tracker.estimates.expect_ms(QUEUE, wide)
            print(f"expected {estimate_ms:.0f} ms, sound workers take about 300")
            assert estimate_ms < 450

    run_virtual(main())


def test_runs_that_were_stopped_adopted_or_resumed_are_not_taken_as_short() -> None:
    """Guards against estimates from a part of a run."""

    async def main() -> None:
        scene = Scene(run_s=3)
        step = msgspec.structs.replace(STEP, count=4, estimated_ms=3000)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("cancelled", steps=(step,)))
            await asyncio.sleep(1.5)
            await pool.cancel("cancelled")
            await asyncio.sleep(1)
            estimates = pool.run_tracker.estimates
            assert estimates.summarize(QUEUE).runs == 0
            assert estimates.expect_ms(QUEUE, step) >= 3000
            await pool.submit(build_job("adopted", steps=(step,)))
            await asyncio.sleep(2)
        async with scene.run_owner(2, term_number=2) as (pool, _):
            await asyncio.sleep(4)
            phase = pool.job_table.get_durable_phase("adopted")
            assert phase is JobPhase.COMPLETED
            assert pool.run_tracker.estimates.summarize(QUEUE).runs == 0
            pool.update_workers({})
            await pool.submit(build_job("resumed", steps=(step,)))
            await asyncio.sleep(0.1)
            for task in pool.job_table.jobs["resumed"].list_tasks():
                task.checkpoint = "half"
            for worker in scene.workers.values():
                worker.run_s = 0.5
            pool.update_workers(scene.infos)
            await asyncio.sleep(2)
            phase = pool.job_table.get_durable_phase("resumed")
            assert phase is JobPhase.COMPLETED
            assert pool.run_tracker.estimates.summarize(QUEUE).runs == 0

    run_virtual(main())


def test_runs_that_live_through_a_silence_are_left_out() -> None:
    """Guards against run times that include a time in which nothing was heard."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=RUN_S)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("a", steps=(STEP,)))
            await asyncio.sleep(0.2)
            scene.workers["w1"].is_silent = True
            await asyncio.sleep(1.8)
            scene.workers["w1"].is_silent = False
            await asyncio.sleep(2)
            assert pool.job_table.get_durable_phase("a") is JobPhase.COMPLETED
            assert pool.run_tracker.estimates.summarize(QUEUE).runs == 0

    run_virtual(main())


def test_a_job_with_an_overdue_run_is_late_and_its_run_is_not_stalled() -> None:
    """Guards against a job judged on time whose last run is one of the long ones."""

    async def main() -> None:
        scene = Scene(run_s=2)
        long_jobs = {f"a-{number}" for number in range(0, 40, 8)} | {"last"}

        def choose_run_s(order: StartOrder) -> float:
            is_long = order.task.job in long_jobs and order.task.number == 0
            return 14.0 if is_long else 2.0

        for worker in scene.workers.values():
            worker.choose_run_s = choose_run_s
        step = StepSpec(count=4, cpu=1000, memory_mb=100, estimated_ms=2000)
        async with scene.run_owner(1) as (pool, _):
            for number in range(40):
                await pool.submit(build_job(f"a-{number}", steps=(step,)))
                await asyncio.sleep(1)
            await asyncio.sleep(30)
            with structlog.testing.capture_logs() as logs:
                await pool.submit(build_job("last", steps=(step,)))
                await asyncio.sleep(1.5)
                tracker, table = pool.run_tracker, pool.job_table
                task = table.jobs["last"].list_tasks()[0]
                now_ms = scene.clock.monotonic_ms
                assert not is_task_late(task, table, tracker, now_ms())
                rest_ms = tracker.estimates.remaining_ms(QUEUE, step, 3000)
                print(f"expected rest after 3 s: {rest_ms:.0f} ms")
                assert rest_ms > 5000
                await asyncio.sleep(2.5)
                assert is_task_late(task, table, tracker, now_ms())
                await asyncio.sleep(12)
                phase = table.get_durable_phase("last")
                assert phase is JobPhase.COMPLETED
            assert "run stalled" not in [line["event"] for line in logs]

    run_virtual(main())


def test_offered_load_and_waiting_work_follow_the_estimates() -> None:
    """Guards against a pool sized for declared times that are half of the actual."""

    async def main() -> None:
        scene = Scene(run_s=2)
        step = msgspec.structs.replace(STEP, estimated_ms=1000)
        async with scene.run_owner(1) as (pool, _):
            before = pool.job_table.estimate_work(build_job(steps=(step,))).cpu
            for number in range(10):
                await pool.submit(build_job(f"a-{number}", steps=(step,)))
                await asyncio.sleep(2.5)
            after = pool.job_table.estimate_work(build_job(steps=(step,))).cpu
            assert 1.7 * before < after < 2.3 * before
            blocked = msgspec.structs.replace(step, requirement="none has it")
            await pool.submit(build_job("waits", steps=(blocked,)))
            await asyncio.sleep(0.3)
            demand = pool.measure_demand(must_yield=False)
            waiting = demand.waiting_work + demand.late_work
            assert 1.7 * before < waiting.cpu < 2.3 * before

    run_virtual(main())
