"""Owners of pools where memory binds: what they ask for and what they hold back."""

import asyncio
import dataclasses

import msgspec
import pytest

from bergamotgap.domain.amounts import NOTHING
from bergamotgap.domain.fleet import FleetConfig, HostInfo, Size, StepSpec
from bergamotgap.domain.task_placement import WorkerCapacity
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.pools.lasting_room import LASTING_ROOM_MS, OWN_HOST_WAIT_MS
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.pool_peer import DemandCall, DrainCall, PoolCall, PoolReply
from stand_ins.pools import CONFIG, build_job
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import Scene
from tests.test_pool_moves import FakeMachineService

HOST = Size(64_000, 256_000)
LASTING = StepSpec(count=4, cpu=9000, memory_mb=61_000, is_long_running=True)
SHORT = StepSpec(count=8, cpu=6200, memory_mb=23_000, estimated_ms=1000)


class LargeScene(Scene):
    """Workers of 64 cores and 256 GB."""

    def __init__(self, workers: int, run_s: float = 1.0) -> None:
        super().__init__(workers, run_s)
        for name in self.infos:
            self.set_capacity(name, HOST)
        for worker in self.workers.values():
            worker.choose_run_s = lambda order: (
                1e6 if order.task.job.startswith("lasting") else run_s
            )

    def set_capacity(self, name: str, capacity: Size) -> None:
        """Let a worker report another capacity, in the same life."""
        info = dataclasses.replace(self.infos[name], capacity=capacity)
        self.infos[name] = self.workers[name].info = info

    def count_running(self, prefix: str) -> dict[str, int]:
        """Return the running tasks of jobs with a prefix, by worker."""
        return {
            name: sum(task.job.startswith(prefix) for task in worker.running)
            for name, worker in self.workers.items()
        }


async def move_hosts(
    scene: LargeScene, pool: Pool, spare: int
) -> list[tuple[str, str]]:
    """Run a round of the host controller; return the moves that it orders."""

    async def call_owner(call: PoolCall) -> PoolReply:
        await asyncio.sleep(0.005)
        if isinstance(call, DemandCall):
            return pool.measure_demand(call.must_yield, call.has_spare_host)
        assert isinstance(call, DrainCall)
        return pool.drain_worker(call.worker_id, call.may_stop, call.stops_late)

    fields = ("dc-1", HOST.cpu, frozenset[str](), HOST.memory_mb)
    hosts = {
        info.host: HostInfo(info.host, "previews", "up", info.worker_id, *fields)
        for info in scene.infos.values()
    }
    for number in range(spare):
        hosts[f"s{number}"] = HostInfo(f"s{number}", "misc", "up", "", *fields)
    machines = FakeMachineService()
    config = FleetConfig(1, CONFIG.queues, ("previews", "misc"), frozenset({"misc"}))
    mover = HostMover(machines, call_owner, lambda: True, 1, 9, 1500, LoopClock())
    await mover.run_round(config, hosts, set())
    return machines.moves


def with_count(step: StepSpec, count: int) -> StepSpec:
    return msgspec.structs.replace(step, count=count)


async def submit(pool: Pool, job_id: str, step: StepSpec) -> None:
    await pool.submit(build_job(job_id, steps=(step,)))
    await asyncio.sleep(0.2)


async def submit_turn(pool: Pool) -> None:
    """Submit the short work of a turn."""
    await submit(pool, "first", SHORT)
    await submit(pool, "second", with_count(SHORT, 10))


def test_long_running_tasks_that_wait_ask_for_the_hosts_that_they_fill() -> None:
    """Guards against a job of 24 large tasks that waits on one host for good."""

    async def main() -> None:
        scene = LargeScene(workers=1)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit(pool, "lasting", with_count(LASTING, 24))
            assert scene.count_running("lasting") == {"w1": 4}
            assert pool.measure_demand(must_yield=False).whole_hosts == 5
            moves = await move_hosts(scene, pool, spare=9)
            assert [target for _, target in moves] == ["previews"] * 5

    run_virtual(main())


def test_a_short_task_beside_long_running_ones_asks_for_a_host() -> None:
    """Guards against a pool at rest in whose fragments no short task fits."""

    async def main() -> None:
        scene = LargeScene(workers=3)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit(pool, "lasting", with_count(LASTING, 12))
            assert await move_hosts(scene, pool, spare=3) == []
            await submit(pool, "short", with_count(SHORT, 1))
            assert scene.count_running("short") == {"w1": 0, "w2": 0, "w3": 0}
            moves = await move_hosts(scene, pool, spare=3)
            assert [target for _, target in moves] == ["previews"]

    run_virtual(main())


def test_a_task_between_short_runs_asks_for_one_host_once_it_has_waited() -> None:
    """Guards against a task that starves between others, and a host for each moment."""

    async def main() -> None:
        scene = LargeScene(workers=3, run_s=9)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            half = StepSpec(count=3, cpu=1000, memory_mb=140_000, estimated_ms=9000)
            await submit(pool, "half", half)
            large = StepSpec(count=1, cpu=1000, memory_mb=150_000, estimated_ms=300)
            await submit(pool, "large", large)
            assert pool.measure_demand(must_yield=False).whole_hosts == 0
            await asyncio.sleep(0.2)
            assert pool.measure_demand(must_yield=False).whole_hosts == 1

    run_virtual(main())


@pytest.mark.parametrize("has_spare_host", [False, True])
def test_long_running_tasks_leave_room_to_a_turn_while_a_host_is_spare(
    has_spare_host: bool,
) -> None:
    """Guards against short work that loses its memory in its turn, and a long wait."""

    async def main() -> None:
        scene = LargeScene(workers=2, run_s=9)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit_turn(pool)
            pool.measure_demand(False, has_spare_host)
            await submit(pool, "lasting", with_count(LASTING, 1))
            running = sum(scene.count_running("lasting").values())
            assert running == (0 if has_spare_host else 1)
            for _ in range(OWN_HOST_WAIT_MS // 100):
                pool.measure_demand(False, has_spare_host)
                await asyncio.sleep(0.1)
            assert sum(scene.count_running("lasting").values()) == 1

    run_virtual(main())


def test_long_running_tasks_start_when_the_host_controller_is_lost() -> None:
    """Guards against tasks that wait for a spare host that nobody moves any more."""

    async def main() -> None:
        scene = LargeScene(workers=2, run_s=9)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit_turn(pool)
            pool.measure_demand(False, has_spare_host=True)
            await submit(pool, "lasting", with_count(LASTING, 1))
            assert sum(scene.count_running("lasting").values()) == 0
            await asyncio.sleep(LASTING_ROOM_MS / 1000 + 0.6)
            assert sum(scene.count_running("lasting").values()) == 1

    run_virtual(main())


def test_a_worker_whose_memory_shrinks_gets_nothing_and_its_pool_a_host() -> None:
    """Guards against starts over a capacity that shrank, and a host given away then."""

    async def main() -> None:
        scene = LargeScene(workers=2, run_s=9)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit(pool, "lasting", LASTING)
            await asyncio.sleep(1.5)
            used = next(n for n, c in scene.count_running("lasting").items() if c > 1)
            assert await move_hosts(scene, pool, spare=2) == []
            scene.set_capacity(used, Size(64_000, 100_000))
            pool.update_workers(dict(scene.infos))
            await submit(pool, "short", with_count(SHORT, 20))
            assert scene.count_running("short")[used] == 0
            assert sum(scene.count_running("lasting").values()) == LASTING.count
            demand = pool.measure_demand(must_yield=False)
            assert demand.capacity.memory_mb == 356_000
            moves = await move_hosts(scene, pool, spare=2)
            assert {target for _, target in moves} == {"previews"}
            for name, worker in scene.workers.items():
                assert fits_capacity(scene, name) or name == used, worker.running

    run_virtual(main())


def fits_capacity(scene: LargeScene, name: str) -> bool:
    """Return whether what runs on a worker fits into its capacity."""
    capacity = WorkerCapacity(scene.infos[name])
    sizes = {"lasting": LASTING.size, "short": SHORT.size}
    running = [sizes[task.job] for task in scene.workers[name].running]
    return capacity.fits(Size(*(sum(column) for column in zip(*running, strict=True))))


def test_jobs_that_wait_for_nothing_but_cores_report_no_memory() -> None:
    """Guards against demand in dimensions that no task uses."""

    async def main() -> None:
        scene = LargeScene(workers=1, run_s=9)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.2)
            await submit(pool, "cores", StepSpec(count=20, cpu=9000, estimated_ms=900))
            demand = pool.measure_demand(must_yield=False)
            assert demand.waiting_work.cpu > 0
            amounts = (demand.used, demand.waiting_work, demand.offered)
            assert {amount.memory_mb for amount in amounts} == {0}
            assert (demand.lasting, demand.lasting_waiting) == (NOTHING, NOTHING)
            assert demand.whole_hosts == 0

    run_virtual(main())
