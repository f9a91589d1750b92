"""Records of jobs with many tasks, which must stay below the log's limits."""

import asyncio
import dataclasses

import msgspec
import pytest

from bergamotgap.domain.fleet import JobPhase, JobSpec, Size, StepSpec, TaskId
from bergamotgap.domain.job_blocks import TaskBlock
from bergamotgap.domain.job_records import Exposure, JobProgress, TaskRecord
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.record_limits import USUAL_RECORD_LIMITS, RecordLimits
from bergamotgap.domain.task_state import (
    MAX_COUNTED_RUNS,
    MAX_PERSISTED_CHECKPOINT_BYTES,
    Task,
    TaskPhase,
)
from bergamotgap.ports.fleet import KeyedRecord
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import PARTITION, Scene

LARGE_RUN_S = 8.0
SMALL = StepSpec(count=2, cpu=500, estimated_ms=500)


def build_scene(workers: int = 16) -> Scene:
    """Return a scene with room for thousands of small tasks; `large` takes longer."""
    scene = Scene(workers=workers)
    for name, worker in scene.workers.items():
        info = dataclasses.replace(worker.info, capacity=Size(6000, 256_000, 0))
        worker.info = scene.infos[name] = info
        worker.choose_run_s = lambda order: (
            LARGE_RUN_S if order.task.job == "large" else 0.5
        )
    return scene


def build_large(tasks: int) -> JobSpec:
    """Return a job of one step with small tasks."""
    step = StepSpec(count=tasks, cpu=10, memory_mb=4, estimated_ms=30_000)
    return build_job("large", steps=(step,))


def test_a_large_job_leaves_its_pool_going() -> None:
    """Guards against a pool that stores nothing more since one record is too large."""

    async def main() -> None:
        scene = build_scene()
        # A quarter of the usual limit, so that fewer tasks do.
        limits = RecordLimits(64 << 10, 512 << 10)
        scene.settings = dataclasses.replace(SETTINGS, record_limits=limits)
        scene.store.max_record_bytes = limits.record_bytes
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("job-0", steps=(SMALL,)))
            submitted = [asyncio.create_task(pool.submit(build_large(3000)))]
            for number in range(1, 4):
                await asyncio.sleep(1)
                spec = build_job(f"job-{number}", steps=(SMALL,))
                submitted.append(asyncio.create_task(pool.submit(spec)))
            await asyncio.sleep(LARGE_RUN_S + 12)
            phases = {
                n: pool.job_table.get_durable_phase(n) for n in pool.job_table.jobs
            }
            assert set(phases.values()) == {JobPhase.COMPLETED}, phases
            assert len(phases) == 5
            assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def fill_with_exposures(task: Task) -> None:
    """Let a task be on a worker."""
    number = task.task_id.number % 300
    task.begin_run(TaskPhase.RUNNING, 1, f"i-{number:010x}", 0)
    task.begin_exposure(
        Exposure(f"i-{number:010x}", 1_790_000_000_000, f"machine-{number:05}", True)
    )


def fill_with_losses(task: Task) -> None:
    """Let a task have lost many workers, and be on another."""
    task.crashed_workers = tuple(f"i-{number:010x}" for number in range(40))
    for number in range(40):
        host = f"machine-{number:05}"
        task.begin_exposure(Exposure(f"i-{number:010x}", 1_790_000_000_000, host))


def fill_with_failures(task: Task) -> None:
    """Let a task have failed as often as is remembered."""
    for run in range(MAX_COUNTED_RUNS + 1):
        task.count_failure(1000 * run)


def fill_with_checkpoint(task: Task) -> None:
    """Let a task have a checkpoint of the largest size that is persisted."""
    task.checkpoint = "x" * MAX_PERSISTED_CHECKPOINT_BYTES


def fill_with_all(task: Task) -> None:
    """Let a task have all that grows."""
    fill_with_exposures(task)
    fill_with_losses(task)
    fill_with_failures(task)
    fill_with_checkpoint(task)


FILLS = (
    *(fill_with_exposures, fill_with_losses, fill_with_failures),
    *(fill_with_checkpoint, fill_with_all),
)


@pytest.mark.parametrize(
    ("fill", "tasks", "repetitions"),
    [
        *[(fill, n, 1) for fill in FILLS for n in (1, 64, 65, 7000)],
        *[(fill_with_all, n, 10) for n in (64, 7000)],
        (fill_with_exposures, 100_000, 1),
    ],
)
def test_each_record_of_a_job_fits_at_each_moment(
    fill: object, tasks: int, repetitions: int
) -> None:
    """Guards against a job that is accepted and outgrows a record later."""
    assert callable(fill)
    step = StepSpec(count=-(-tasks // repetitions), cpu=10)
    spec = build_job(steps=(step,), repetitions=repetitions)
    job = Job(spec, 0)
    job.begin_due_occurrences(1 << 50)
    for task in job.list_tasks()[:: 1 if tasks < 1000 else 97]:
        job.assign_worker(task, f"i-{task.task_id.number % 300:010x}", 1)
    for task in job.list_tasks():
        fill(task)
    sizes = [len(msgspec.msgpack.encode(job.save()))]
    if job.numbering.is_in_blocks:
        sizes += [
            len(msgspec.msgpack.encode(job.save_block(block)))
            for block in job.numbering.list_blocks()
        ]
    assert max(sizes) <= USUAL_RECORD_LIMITS.record_bytes - 1000


@pytest.mark.parametrize("repetitions", [1, 3])
def test_a_large_job_is_restored_from_its_blocks(repetitions: int) -> None:
    """Guards against tasks that are lost or done again between two owners."""
    steps = (
        StepSpec(count=33, cpu=10),
        StepSpec(count=1, cpu=10, after=(0,)),
        StepSpec(count=200, cpu=10, after=(0, 1)),
    )
    spec = build_job(steps=steps, repetitions=repetitions)
    job = Job(spec, 0)
    job.begin_due_occurrences(1 << 50)
    tasks = job.list_tasks()
    done = tasks[: 34 + 70] + tasks[150:151]
    for task in done:
        job.record_done(task)
    failed = tasks[-1]
    failed.count_failure(3)
    job.assign_worker(failed, "w9", 1)
    restored = Job(spec, 0)
    for number in job.numbering.list_blocks():
        value = msgspec.msgpack.encode(job.save_block(number))
        restored.restore_block(msgspec.msgpack.decode(value, type=TaskBlock))
    after = {task.task_id: task for task in restored.list_tasks()}
    is_done = {i for i, task in after.items() if task.phase is TaskPhase.DONE}
    assert is_done == {task.task_id for task in done}
    assert after[failed.task_id].failures == 1
    assert restored.former_workers == {"w9"}
    assert restored.phase is JobPhase.RUNNING


@pytest.mark.parametrize("is_former_owner_stopped", [True, False])
def test_a_large_job_survives_a_takeover_in_its_middle(
    is_former_owner_stopped: bool,
) -> None:
    """Guards against tasks of a large job that start again with a new owner."""

    async def main() -> None:
        scene = build_scene()
        for worker in scene.workers.values():
            worker.choose_run_s = lambda order: 1.0 + order.task.number % 7
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_large(5000))
            while len(scene.count_starts()) < 2000:
                await asyncio.sleep(0.01)
        assert 2000 <= len(scene.count_starts()) < 5000
        async with scene.run_owner(2, 2, is_former_owner_stopped) as (pool, _):
            await asyncio.sleep(25)
            assert pool.job_table.get_durable_phase("large") is JobPhase.COMPLETED
            # Only the end is kept.
            newest = await scene.store.read_newest_values(*PARTITION)
            assert not [key for key in newest.values if "/t/" in key]
        assert len(scene.count_starts()) == 5000
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def write_former_progress(
    scene: Scene, done: int, tasks: int, phase: JobPhase = JobPhase.RUNNING
) -> None:
    """Write a large job as former versions did: all tasks in one record."""
    spec = build_large(tasks)
    records = tuple(
        TaskRecord(0, 0, number, 0, 0, is_done=True, checkpoint="")
        for number in range(done)
    )
    progress = JobProgress(phase, 0, (), records, ("w1",))
    scene.store.get(*PARTITION).records.extend(
        [
            KeyedRecord("previews/j/large", msgspec.msgpack.encode(spec)),
            KeyedRecord("previews/p/large", msgspec.msgpack.encode(progress)),
        ]
    )


@pytest.mark.parametrize("cut_after", [0, 1, 2, 3])
def test_progress_of_a_former_version_is_read_and_divided(cut_after: int) -> None:
    """Guards against work that is done again after an update of the nodes.

    The first owner of the new version ends after a few of its appends.
    """

    async def main() -> None:
        scene = build_scene()
        write_former_progress(scene, done=9000, tasks=9100)
        first = scene.store.appends
        async with scene.run_owner(1):
            while cut_after and scene.store.appends < first + cut_after:
                await asyncio.sleep(0.001)
            if not cut_after:
                await asyncio.sleep(2)
        async with scene.run_owner(2, 2) as (pool, _):
            await asyncio.sleep(LARGE_RUN_S + 10)
            assert pool.job_table.get_durable_phase("large") is JobPhase.COMPLETED
        starts = scene.count_starts()
        assert not [task for task in starts if task < TaskId("large", 0, 0, 9000)]  # type: ignore[operator]
        assert len(starts) == 100

    run_virtual(main())


def test_workers_of_a_former_version_are_divided_as_well() -> None:
    """Guards against runs on workers that only the former record of a job names."""

    async def main() -> None:
        scene = build_scene()
        scene.workers["w1"].is_silent = True
        write_former_progress(scene, done=0, tasks=100, phase=JobPhase.QUEUED)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.5)
            # The job's own record is written again, as if a run had been adopted.
            job = pool.job_table.jobs["large"]
            job.mark_started()
            pool.job_table.record_progress(job, job.list_tasks()[:1])
            await asyncio.sleep(0.5)
        async with scene.run_owner(2, 2) as (pool, _):
            assert "w1" in pool.job_table.jobs["large"].former_workers
            assert pool.job_table.jobs["large"].phase is JobPhase.RUNNING

    run_virtual(main())


def test_a_job_whose_last_block_is_written_without_its_end_has_ended() -> None:
    """Guards against work that is done again since an end was not written."""

    async def main() -> None:
        scene = build_scene()
        job = Job(build_large(100), 0)
        job.begin_due_occurrences(0)
        records = [KeyedRecord("previews/j/large", msgspec.msgpack.encode(job.spec))]
        for task in job.list_tasks():
            job.record_done(task)
        for block in job.numbering.list_blocks():
            value = msgspec.msgpack.encode(job.save_block(block))
            records.append(KeyedRecord(f"previews/t/large/{block}", value))
        scene.store.get(*PARTITION).records.extend(records)
        for token in (1, 2):
            async with scene.run_owner(token, token) as (pool, _):
                await asyncio.sleep(1)
                phase = pool.job_table.get_durable_phase("large")
                assert phase is JobPhase.COMPLETED
        assert not scene.count_starts()

    run_virtual(main())


@pytest.mark.parametrize("kind", ["p", "j"])
def test_a_record_that_the_log_rejects_stops_its_job_only(kind: str) -> None:
    """Guards against a pool that repeats an append which the log rejects for good."""

    async def main() -> None:
        scene = build_scene()
        scene.store.rejected_keys = {f"previews/{kind}/bad"}
        async with scene.run_owner(1) as (pool, _):
            bad = asyncio.create_task(pool.submit(build_job("bad", steps=(SMALL,))))
            good = [
                await pool.submit(build_job(f"job-{number}", steps=(SMALL,)))
                for number in range(3)
            ]
            await asyncio.sleep(3)
            assert all(
                pool.job_table.get_durable_phase(f"job-{n}") is (JobPhase.COMPLETED)
                for n in range(len(good))
            )
            assert pool.journal.rejected_records >= 1
            assert bad.done()
            if kind == "j":
                assert "bad" not in pool.job_table.jobs
            else:
                assert pool.job_table.jobs["bad"].phase is JobPhase.FAILED
            scene.store.rejected_keys = set()
            await asyncio.sleep(2)

    run_virtual(main())
