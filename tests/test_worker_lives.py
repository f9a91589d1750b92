"""Workers that start again under their id, and the leases of their new life."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

import pytest

from bergamotgap.domain.fleet import StepSpec
from bergamotgap.pools.pool import Pool
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import FakeOrders, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene

DOWN_S = 3.0
# From the start of a worker's life to its report in the log.
REPORT_LAG_S = 0.8
LASTING = build_job(
    "lasting", steps=(StepSpec(count=1, cpu=1000, is_long_running=True),)
)


@pytest.fixture(autouse=True)
def let_orders_reach_later_lives(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let orders reach any life of a worker, as those that are carried out late do."""
    monkeypatch.setattr(FakeOrders, "binds_lives", False)


async def restart_all(scene: Scene, pool: Pool, down_s: float) -> None:
    """Crash all workers at once; they start again under their ids after `down_s`.

    Their reports are listed some time later.
    """
    for worker in scene.workers.values():
        worker.crash()
        worker.is_silent = True
    await asyncio.sleep(down_s)
    for worker in scene.workers.values():
        worker.restart(clock_ms=0)
        worker.is_silent = False
    asyncio.get_running_loop().call_later(REPORT_LAG_S, publish_reports, scene, pool)


def publish_reports(scene: Scene, pool: Pool) -> None:
    """Let the owner read the reports of the workers' present lives."""
    scene.infos |= {name: worker.info for name, worker in scene.workers.items()}
    pool.update_workers(scene.list_entries())


def list_simultaneous_runs(scene: Scene) -> list[object]:
    """Return the tasks of which two runs were on workers at the same time."""
    now_s = asyncio.get_running_loop().time()
    intervals = []
    for worker in scene.workers.values():
        worker.end_due_runs()
        intervals += worker.run_intervals
        intervals += [
            (task, run.start_s, now_s) for task, run in worker.running.items()
        ]
    intervals.sort(key=lambda row: row[1])
    return [
        task
        for index, (task, _, end_s) in enumerate(intervals)
        for other, start_s, _ in intervals[index + 1 :]
        if other == task and start_s < end_s
    ]


def find_busy(scene: Scene) -> str:
    """Return the worker that runs something."""
    return next(name for name, worker in scene.workers.items() if worker.running)


async def wait_until_busy(scene: Scene) -> str:
    """Wait until a worker runs something; return its id."""
    while not any(worker.running for worker in scene.workers.values()):
        await asyncio.sleep(0.01)
    return find_busy(scene)


Trouble = Callable[[Scene, Pool], Awaitable[None]]


async def restart_once(scene: Scene, pool: Pool) -> None:
    """Restart the workers; a poll shows it."""
    await restart_all(scene, pool, DOWN_S)
    await wait_until_busy(scene)


async def restart_twice(scene: Scene, pool: Pool) -> None:
    """Restart the workers twice in a row."""
    for _ in range(2):
        await restart_once(scene, pool)


async def restart_at_once(scene: Scene, pool: Pool) -> None:
    """Restart the workers so fast that the owner hears no silence."""
    await restart_all(scene, pool, 0.0)
    await wait_until_busy(scene)


async def restart_listed(scene: Scene, pool: Pool) -> None:
    """Restart the workers; their entries in the log show it before a poll does."""
    await restart_all(scene, pool, 0.0)
    publish_reports(scene, pool)
    await wait_until_busy(scene)


@pytest.mark.parametrize(
    "trouble", [restart_once, restart_twice, restart_at_once, restart_listed]
)
@pytest.mark.parametrize("calm_s", [0.0, 0.3, 1.5, 5.0])
def test_a_restarted_worker_that_is_cut_off_ends_its_runs_in_time(
    trouble: Trouble, calm_s: float
) -> None:
    """Guards against a second run while a lease in a former life's clock goes on."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=1000)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(LASTING)
            await asyncio.sleep(6)
            await trouble(scene, pool)
            await asyncio.sleep(calm_s)
            orders.unreachable_workers.add(find_busy(scene))
            await asyncio.sleep(2 * SETTINGS.max_lease_ms / 1000)
            assert not list_simultaneous_runs(scene)

    run_virtual(main())


@pytest.mark.parametrize("cut_after_s", [0.0, 0.02, 0.3, 1.5])
def test_a_start_on_an_idle_worker_that_restarted_has_a_lease_of_its_new_life(
    cut_after_s: float,
) -> None:
    """Guards against a start in the clock of a life that ended while nothing ran."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        async with scene.run_owner(1) as (pool, orders):
            await asyncio.sleep(3)
            await restart_all(scene, pool, DOWN_S)
            submitted = asyncio.create_task(pool.submit(LASTING))
            name = await wait_until_busy(scene)
            worker = scene.workers[name]
            lease_ms = 1000 * (worker.lease_end_s - asyncio.get_running_loop().time())
            assert lease_ms <= SETTINGS.run_lease_ms
            await asyncio.sleep(cut_after_s)
            orders.unreachable_workers.add(name)
            await asyncio.sleep(2 * SETTINGS.max_lease_ms / 1000)
            await submitted
            assert not list_simultaneous_runs(scene)

    run_virtual(main())


@pytest.mark.parametrize("calm_s", [0.0, 0.3, 1.5])
def test_a_successor_outwaits_the_leases_of_a_restarted_worker(calm_s: float) -> None:
    """Guards against a second run after a restart, a takeover and a cut."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=1000)
        async with scene.run_owner(1) as (pool, orders):
            await pool.submit(LASTING)
            await asyncio.sleep(6)
            await restart_once(scene, pool)
        async with scene.run_owner(2, term_number=2, is_former_owner_stopped=False) as (
            pool,
            orders,
        ):
            await asyncio.sleep(calm_s)
            orders.unreachable_workers.add(find_busy(scene))
            await asyncio.sleep(2 * SETTINGS.max_lease_ms / 1000)
            assert not list_simultaneous_runs(scene)

    run_virtual(main())


def test_a_new_life_of_a_worker_keeps_its_ends_until_they_are_read() -> None:
    """Guards against an acknowledgement in the numbers of a former life's ends."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=0.2)
        worker = scene.workers["w1"]
        short = (StepSpec(count=6, cpu=100),)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("before", steps=short))
            await asyncio.sleep(2)
            worker.run_s = 2.0
            await pool.submit(build_job("at-work", steps=short))
            await asyncio.sleep(0.5)
            await restart_all(scene, pool, DOWN_S)
            worker.run_s = 0.0
            await asyncio.sleep(20)
            counts = scene.count_starts()
            assert {n for task, n in counts.items() if task.job == "at-work"} == {2}

    run_virtual(main())


def test_a_life_gets_no_work_before_its_own_report_is_listed() -> None:
    """Guards against tasks on a worker that came back as another kind."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1000)
        step = StepSpec(count=1, cpu=1000, requirement="a", is_long_running=True)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("job", steps=(step,)))
            await asyncio.sleep(3)
            await restart_all(scene, pool, DOWN_S)
            worker = scene.workers["w1"]
            before = len(worker.starts)
            worker.info = dataclasses.replace(worker.info, labels=frozenset({"b"}))
            await asyncio.sleep(2)
            assert len(worker.starts) == before
            worker.info = dataclasses.replace(worker.info, labels=frozenset({"a"}))
            publish_reports(scene, pool)
            await asyncio.sleep(2)
            assert len(worker.starts) == before + 1

    run_virtual(main())


def test_a_late_report_of_a_former_life_ends_no_runs() -> None:
    """Guards against a second run because an older report is read as a restart."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(LASTING)
            await asyncio.sleep(3)
            await restart_all(scene, pool, DOWN_S)
            former = {name: worker.info for name, worker in scene.workers.items()}
            await restart_all(scene, pool, DOWN_S)
            # The owner has polled the third life, and reads the report of the second.
            await asyncio.sleep(0.5)
            pool.update_workers(former)
            await asyncio.sleep(2)
            assert not list_simultaneous_runs(scene)
            assert find_busy(scene)

    run_virtual(main())


def test_a_report_of_a_former_life_after_that_of_the_present_one_ends_no_runs() -> None:
    """Guards against a second run because an older report is listed once more."""

    async def main() -> None:
        scene = Scene(workers=2, run_s=1000)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            former = {name: worker.info for name, worker in scene.workers.items()}
            await restart_all(scene, pool, DOWN_S)
            await asyncio.sleep(2)
            await pool.submit(LASTING)
            name = await wait_until_busy(scene)
            await asyncio.sleep(0.5)
            pool.update_workers({**scene.infos, name: former[name]})
            await asyncio.sleep(2)
            assert not list_simultaneous_runs(scene)
            assert list(scene.count_starts().values()) == [1]

    run_virtual(main())
