"""Hosts for waiting tasks that can start on no worker of their pool."""

import asyncio
import math

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bergamotgap.domain.fleet import StepSpec, TaskId
from bergamotgap.domain.host_needs import (
    WaitingGroup,
    leave_long_running,
    search_room,
)
from bergamotgap.domain.pool_sizes import HostNeed
from bergamotgap.domain.task_placement import (
    WorkerCapacity,
    choose_task_worker,
    count_fitting,
)
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.pool import Pool
from stand_ins.pools import MAX_ANSWER_S, build_job, build_worker
from stand_ins.virtual_time import run_virtual
from tests.host_scene import HostScene, build_spare

# Fills the only worker with the label "r0" of a scene of three.
BLOCKER = StepSpec(count=1, cpu=8000, is_long_running=True, requirement="r0")


def test_a_task_with_a_limit_for_each_worker_gets_a_host_when_none_is_left() -> None:
    """Guards against a long-running task that waits for good beside spare hosts.

    One of three workers is full, and each of the others holds a task of its step.
    """

    async def main() -> None:
        scene = HostScene(3, [build_spare(7), build_spare(8)])
        spread = StepSpec(count=3, cpu=1000, is_long_running=True, max_per_host=1)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("blocker", steps=(BLOCKER,)))
            await asyncio.sleep(0.3)
            await pool.submit(build_job("spread", steps=(spread,)))
            await asyncio.sleep(10)
            assert scene.count_running("spread") == 3
            assert scene.moves == [("m7", "previews")]

    run_virtual(main())


async def check_that_one_host_moves(scene: HostScene) -> None:
    """Check that a task which others leave no room gets one host, m7."""
    filling = StepSpec(count=2, cpu=5000, is_long_running=True)
    large = StepSpec(count=1, cpu=4000, is_long_running=True)
    async with scene.run_moves() as pool:
        await pool.submit(build_job("filling", steps=(filling,)))
        await asyncio.sleep(1)
        await pool.submit(build_job("large", steps=(large,)))
        await asyncio.sleep(10)
        assert scene.count_running("large") == 1
        assert scene.moves == [("m7", "previews")]


def test_a_large_long_running_task_gets_a_host_when_others_fill_the_workers() -> None:
    """Guards against a task that waits for good while the sum of fragments has room.

    Long-running tasks that reserve only cores leave 3 cores on each worker.
    """

    async def main() -> None:
        spare = [build_spare(6, cpu=2000), build_spare(7), build_spare(8)]
        await check_that_one_host_moves(HostScene(2, spare))

    run_virtual(main())


def test_a_host_whose_worker_was_not_polled_yet_is_not_ordered_again() -> None:
    """Guards against a second move by a round just after the first one has ended."""

    async def main() -> None:
        scene = HostScene(2, [build_spare(7), build_spare(8)])
        scene.max_answer_s = MAX_ANSWER_S
        await check_that_one_host_moves(scene)

    run_virtual(main())


def test_tasks_that_no_host_can_hold_move_none() -> None:
    """Guards against a fleet that is drained by a step that can never spread."""

    async def main() -> None:
        scene = HostScene(2, [build_spare(number) for number in (6, 7, 8)])
        huge = StepSpec(count=6, cpu=9000, is_long_running=True, max_per_host=1)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("huge", steps=(huge,)))
            await asyncio.sleep(10)
            assert scene.count_running("huge") == 0
            assert scene.moves == []

    run_virtual(main())


@st.composite
def build_group(draw: st.DrawFn) -> WaitingGroup:
    spec = StepSpec(
        count=6,
        cpu=draw(st.integers(500, 9000)),
        memory_mb=draw(st.sampled_from([0, 2000, 9000])),
        is_long_running=True,
        max_per_host=draw(st.integers(0, 2)),
        requirement=draw(st.sampled_from(["", "r0", "x"])),
    )
    task = Task(TaskId(draw(st.sampled_from("ab")), 0, 0, 0), spec)
    return WaitingGroup(task, draw(st.integers(1, 6)))


@given(st.lists(build_group(), max_size=3), build_group(), st.integers(0, 3))
def test_the_search_and_the_placement_agree_on_what_can_start(
    running: list[WaitingGroup], waiting: WaitingGroup, count: int
) -> None:
    """Guards against hosts asked for by other rules than those that start tasks.

    Long-running tasks run on some workers. Others wait.
    """
    workers = [WorkerCapacity(build_worker(number)) for number in range(count)]
    lives = []
    for number, group in enumerate(running, 100):
        task = Task(group.task.task_id._replace(number=number), group.task.step)
        worker = choose_task_worker(workers, task)
        if worker is not None:
            worker.reserve(task)
            lives.append((worker, task))
    host = build_worker(1).capacity
    searched = [
        leave_long_running(worker, [task for other, task in lives if other is worker])
        for worker in workers
    ]
    assert [worker.used for worker in searched] == [worker.used for worker in workers]
    search = search_room([waiting], searched, host)
    step = waiting.task.step
    placed = 0
    while placed < waiting.count:
        task = Task(waiting.task.task_id._replace(number=placed), step)
        worker = choose_task_worker(workers, task)
        if worker is None:
            break
        worker.reserve(task)
        placed += 1
    left = waiting.count - placed
    assert bool(search.workers) == bool(placed)
    assert bool(search.needs) == bool(left)
    if left:
        per_host = max(1, count_fitting(host, step.size))
        per_host = min(per_host, step.max_per_host or per_host)
        hosts = math.ceil(left / per_host)
        assert search.needs == (HostNeed(hosts, step.size, step.requirement),)


def test_a_label_whose_workers_are_full_for_good_brings_another_host() -> None:
    """Guards against a task that waits for good because a full worker has its label.

    Other long-running tasks fill the only worker with the label.
    """

    async def main() -> None:
        for step in (
            StepSpec(count=1, cpu=1000, is_long_running=True, requirement="r0"),
            StepSpec(count=1, memory_mb=9, is_long_running=True, requirement="r0"),
            StepSpec(count=1, cpu=1000, estimated_ms=500, requirement="r0"),
        ):
            scene = HostScene(3, [build_spare(7), build_spare(8)])
            blocker = msgspec.structs.replace(BLOCKER, memory_mb=16_384)
            async with scene.run_moves() as pool:
                await pool.submit(build_job("blocker", steps=(blocker,)))
                await asyncio.sleep(0.3)
                await pool.submit(build_job("labelled", steps=(step,)))
                await asyncio.sleep(10)
                assert scene.count_running("labelled") == 1
                assert ("m8", "previews") in scene.moves
                assert ("m7", "previews") not in scene.moves

    run_virtual(main())


def test_a_label_that_only_too_small_hosts_have_moves_none() -> None:
    """Guards against hosts that are moved for a label and can't hold the task."""

    async def main() -> None:
        hosts = [build_spare(7), build_spare(8, "large", cpu=2000)]
        scene = HostScene(1, hosts)
        large = StepSpec(count=2, cpu=4000, is_long_running=True, requirement="large")
        async with scene.run_moves() as pool:
            await pool.submit(build_job("large", steps=(large,)))
            await asyncio.sleep(10)
            assert scene.count_running("large") == 0
            assert scene.moves == []

    run_virtual(main())


def test_each_of_the_tasks_with_a_label_and_a_limit_gets_a_host() -> None:
    """Guards against tasks with a label and a limit that share one labelled host."""

    async def main() -> None:
        large = [build_spare(number, "large") for number in (6, 7, 8)]
        scene = HostScene(4, [build_spare(5), *large])
        step = StepSpec(
            count=3,
            cpu=1000,
            is_long_running=True,
            max_per_host=1,
            requirement="large",
        )
        async with scene.run_moves() as pool:
            await pool.submit(build_job("large", steps=(step,)))
            await asyncio.sleep(0.5)
            assert sorted(host for host, to in scene.moves if to == "previews") == [
                "m6",
                "m7",
                "m8",
            ]
            await asyncio.sleep(5)
            assert scene.count_running("large") == 3

    run_virtual(main())


async def submit_suspect(
    scene: HostScene, pool: Pool, step: StepSpec, job_id: str = "suspect"
) -> None:
    """Submit a job whose tasks may start apart from other jobs only."""
    scene.is_paused = True
    await pool.submit(build_job(job_id, steps=(step,)))
    job = pool.job_table.jobs[job_id]
    job.begin_due_occurrences(scene.clock.wall_ms())
    for ready in job.list_ready_steps():
        ready.require_trial()
    assert job.is_waiting_for_trial()
    assert scene.count_running(job_id) == 0
    scene.is_paused = False


def test_a_suspect_that_fits_on_no_empty_worker_gets_a_host() -> None:
    """Guards against a trial that waits for good since an empty worker counts as one.

    The empty workers lack its label, or are too small.
    """

    async def main() -> None:
        for suspect in (
            StepSpec(count=1, cpu=1000, is_long_running=True, requirement="r0"),
            StepSpec(count=1, cpu=9000, is_long_running=True),
        ):
            large = build_spare(8, cpu=20_000)
            scene = HostScene(3, [build_spare(7), large])
            async with scene.run_moves() as pool:
                await pool.submit(build_job("blocker", steps=(BLOCKER,)))
                await asyncio.sleep(0.3)
                await submit_suspect(scene, pool, suspect)
                await asyncio.sleep(10)
                assert scene.count_running("suspect") == 1
                assert ("m8", "previews") in scene.moves
                assert ("m7", "previews") not in scene.moves

    run_virtual(main())


def test_a_suspect_that_no_host_can_hold_moves_none() -> None:
    """Guards against a fleet that is drained for a trial that can never begin."""

    async def main() -> None:
        scene = HostScene(1, [build_spare(number) for number in (6, 7, 8)])
        blocker = StepSpec(count=1, cpu=1000, is_long_running=True)
        suspect = StepSpec(count=1, cpu=9000, is_long_running=True)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("blocker", steps=(blocker,)))
            await asyncio.sleep(0.3)
            await submit_suspect(scene, pool, suspect)
            await asyncio.sleep(10)
            assert scene.moves == []

    run_virtual(main())


def test_an_empty_worker_is_kept_until_the_trial_on_it_begins() -> None:
    """Guards against a host that comes for a trial and is given back before it.

    Another trial takes all workers that may be used for trials at a time.
    """

    async def main() -> None:
        scene = HostScene(3, [])
        suspect = StepSpec(count=1, cpu=1000, is_long_running=True)
        async with scene.run_moves() as pool:
            await asyncio.sleep(0.3)
            await submit_suspect(scene, pool, suspect, "first")
            await submit_suspect(scene, pool, suspect, "second")
            await asyncio.sleep(0.1)
            assert pool.job_table.jobs["second"].is_waiting_for_trial()
            demand = pool.measure_demand(must_yield=False)
            assert demand.needs == ()
            assert len(demand.idle) == 1
            await asyncio.sleep(3)
            assert scene.count_running("second") == 1

    run_virtual(main())


def test_a_task_with_memory_gets_a_host_when_tasks_with_cores_fill_the_workers() -> (
    None
):
    """Guards against whole hosts counted without long-running tasks that take cores."""

    async def main() -> None:
        scene = HostScene(2, [build_spare(7), build_spare(8)])
        filling = StepSpec(count=2, cpu=5000, is_long_running=True)
        large = StepSpec(count=1, cpu=4000, memory_mb=1000, is_long_running=True)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("filling", steps=(filling,)))
            await asyncio.sleep(1)
            await pool.submit(build_job("large", steps=(large,)))
            await asyncio.sleep(10)
            assert scene.count_running("large") == 1
            assert scene.moves == [("m7", "previews")]

    run_virtual(main())


def test_room_of_a_worker_in_a_trial_is_not_counted_for_other_tasks() -> None:
    """Guards against tasks that wait for the room of a worker reserved for a trial."""

    async def main() -> None:
        scene = HostScene(1, [])
        trial = StepSpec(count=1, cpu=1000, is_long_running=True)
        lasting = StepSpec(count=1, cpu=1000, memory_mb=1000, is_long_running=True)
        async with scene.run_moves() as pool:
            await asyncio.sleep(0.3)
            await submit_suspect(scene, pool, trial)
            await asyncio.sleep(0.05)
            await pool.submit(build_job("lasting", steps=(lasting,)))
            await asyncio.sleep(0.02)
            assert pool.run_tracker.links["w1"].trial_job == "suspect"
            demand = pool.measure_demand(must_yield=False)
            assert demand.whole_hosts == 1
            await asyncio.sleep(1)
            assert scene.count_running("lasting") == 1

    run_virtual(main())


def test_tasks_with_memory_that_no_host_can_hold_move_none() -> None:
    """Guards against a fleet that is drained by the sums of tasks that fit nowhere."""

    async def main() -> None:
        scene = HostScene(2, [build_spare(number) for number in (6, 7, 8)])
        huge = StepSpec(count=6, cpu=9000, memory_mb=1000, is_long_running=True)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("huge", steps=(huge,)))
            await asyncio.sleep(10)
            assert scene.count_running("huge") == 0
            assert scene.moves == [("m1", "misc")]

    run_virtual(main())


def test_tasks_with_memory_larger_than_the_pools_workers_get_larger_hosts() -> None:
    """Guards against tasks that wait because no present worker could ever hold them."""

    async def main() -> None:
        large = [build_spare(number, cpu=20_000) for number in (7, 8)]
        scene = HostScene(2, [build_spare(6), *large])
        huge = StepSpec(count=3, cpu=9000, memory_mb=1000, is_long_running=True)
        async with scene.run_moves() as pool:
            await pool.submit(build_job("huge", steps=(huge,)))
            await asyncio.sleep(10)
            assert scene.count_running("huge") == 3
            assert ("m6", "previews") not in scene.moves

    run_virtual(main())


def test_tasks_with_memory_and_a_label_that_no_host_has_move_none() -> None:
    """Guards against hosts without a label that come for the sums of its tasks."""

    async def main() -> None:
        scene = HostScene(2, [build_spare(number) for number in (6, 7, 8)])
        step = StepSpec(
            count=9,
            cpu=4000,
            memory_mb=1000,
            is_long_running=True,
            requirement="nowhere",
        )
        async with scene.run_moves() as pool:
            await pool.submit(build_job("job", steps=(step,)))
            await asyncio.sleep(10)
            assert scene.moves == [("m1", "misc")]

    run_virtual(main())
