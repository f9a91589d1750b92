"""Owners that end in an outage of the log, and workers whose entries are back late."""

import asyncio
import math
import os
import random
import zlib
from contextlib import AbstractAsyncContextManager

import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from bergamotgap.pools.pool import Pool
from bergamotgap.ports.fleet import StartOrder
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import FakeOrders, build_job
from stand_ins.virtual_time import run_virtual
from tests.pool_scene import Scene
from tests.test_worker_lives import find_busy, list_simultaneous_runs

OUTAGE_S = 4.5
DETECTION_S = 0.8
WIDE = StepSpec(count=6, cpu=8000, estimated_ms=2500)
NARROW = StepSpec(count=1, cpu=8000, estimated_ms=6000)
LONG_S, SHORT_S = 6.0, 2.5


def build_scene(workers: int = 6) -> Scene:
    """Return a scene whose jobs `short` end during an outage, and others after it."""
    scene = Scene(workers=workers)
    for worker in scene.workers.values():
        worker.choose_run_s = lambda order: (
            SHORT_S if order.task.job == "short" else LONG_S
        )
    return scene


async def begin_outage(scene: Scene) -> None:
    """Let the log be down for all nodes, which their owners find out later."""
    scene.store.is_down = True
    scene.is_confirmed = False
    scene.confirmation_lost_ms = scene.clock.monotonic_ms()
    await asyncio.sleep(DETECTION_S)
    scene.is_log_down_for_all = True


def end_outage(scene: Scene) -> None:
    """Let the log answer again."""
    scene.store.is_down = scene.is_log_down_for_all = False
    scene.is_confirmed = True


@pytest.mark.parametrize("is_former_owner_stopped", [True, False])
@pytest.mark.parametrize("killed_s", [1.8, 2.6, 3.8])
def test_runs_on_workers_that_are_listed_late_are_not_started_again(
    is_former_owner_stopped: bool, killed_s: float
) -> None:
    """Guards against second runs beside unrecorded ones of an owner that was killed.

    The successor begins as the log is back, and few workers are listed by then.
    """

    async def main() -> None:
        scene = build_scene()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("short", steps=(WIDE,)))
            for number in range(4):
                await pool.submit(build_job(f"job-{number}", steps=(NARROW,)))
            await asyncio.sleep(SHORT_S - 1)
            await begin_outage(scene)
            await asyncio.sleep(killed_s - DETECTION_S)
            started = sum(scene.count_starts().values())
            assert started == 6 + 4
        await asyncio.sleep(OUTAGE_S - killed_s)
        end_outage(scene)
        async with scene.run_owner(
            2, 2, is_former_owner_stopped, are_former_starts_recorded=False
        ) as (pool, _):
            await asyncio.sleep(SETTINGS.former_lease_ms / 1000 + LONG_S + 3)
            phases = {pool.job_table.get_durable_phase(f"job-{n}") for n in range(4)}
        assert not list_simultaneous_runs(scene)
        assert phases == {JobPhase.COMPLETED}

    run_virtual(main())


def test_an_end_on_a_worker_that_is_not_back_yet_is_waited_for() -> None:
    """Guards against tasks that are done and start again in a second outage.

    The log is lost again before all entries are back, until all leases have ended.
    """

    async def main() -> None:
        scene = build_scene()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("short", steps=(WIDE,)))
            await pool.submit(build_job("job", steps=(NARROW,)))
            await asyncio.sleep(SHORT_S - 1)
            await begin_outage(scene)
            await asyncio.sleep(3.8)
        # The run ends while nobody reads it.
        end_outage(scene)
        scene.is_list_complete = False
        busy = find_busy(scene)
        hidden = scene.infos.pop(busy)
        scene.workers[busy].lease_end_s += LONG_S
        async with scene.run_owner(2, 2, are_former_starts_recorded=False) as (pool, _):
            await asyncio.sleep(0.5)
            await begin_outage(scene)
            await asyncio.sleep(SETTINGS.former_lease_ms / 1000 + 1)
            assert scene.count_starts()[TaskId("job", 0, 0, 0)] == 1
            end_outage(scene)
            scene.infos[busy] = hidden
            await asyncio.sleep(2.5)
            scene.is_list_complete = True
            await asyncio.sleep(3)
            assert pool.job_table.get_durable_phase("job") is JobPhase.COMPLETED
        assert scene.count_starts()[TaskId("job", 0, 0, 0)] == 1

    run_virtual(main())


def test_starts_in_an_outage_do_not_wait_one_after_another() -> None:
    """Guards against starts that each wait for a record while none can be written."""

    async def main() -> None:
        scene = Scene(workers=1, run_s=1)
        step = StepSpec(count=40, cpu=100, estimated_ms=1000)
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(1)
            submitted = [
                asyncio.create_task(pool.submit(build_job(f"job-{n}", steps=(step,))))
                for n in range(2)
            ]
            await asyncio.sleep(0.007)
            scene.confirmation_lost_ms = scene.clock.monotonic_ms()
            scene.store.is_down, scene.is_confirmed = True, False
            scene.is_log_down_for_all = True
            await asyncio.gather(*submitted)
            await asyncio.sleep(2.5)
            assert len(scene.count_starts()) == 80
            end_outage(scene)
            await asyncio.sleep(3)

    run_virtual(main())


class RestartScene(Scene):
    """A pool whose owners are killed in series, in outages of the log and later."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        super().__init__(workers=self.rng.randint(2, 8))
        self._returned_s = -math.inf
        self._token = 0
        for worker in self.workers.values():
            worker.choose_run_s = self._choose_run_s

    def _choose_run_s(self, order: StartOrder) -> float:
        is_wide = order.task.job.endswith("-0")
        run_s = zlib.crc32(order.task.job.encode()) % 30 / 10
        return run_s + (0.5 if is_wide else 4)

    async def play(self) -> None:
        """Kill owners in outages, and some of their successors soon after."""
        for _ in range(self.rng.randint(1, 3)):
            async with self._run_next_owner() as (pool, _):
                await asyncio.sleep(0.2)
                await self._submit_jobs(pool)
                await asyncio.sleep(self.rng.uniform(0, 1.5))
                self.is_list_complete = False
                await begin_outage(self)
                await asyncio.sleep(self.rng.uniform(0.5, 4))
            await asyncio.sleep(self.rng.uniform(0, 2.5))
            end_outage(self)
            loop = asyncio.get_running_loop()
            self._returned_s = loop.time()
            loop.call_later(2.5, self._complete_list, self._returned_s)
            for _ in range(self.rng.randint(0, 2)):
                await asyncio.sleep(self.rng.uniform(0, 0.5))
                async with self._run_next_owner() as (_, orders):
                    cut = self.rng.sample(sorted(self.workers), self.rng.randint(0, 2))
                    orders.unreachable_workers.update(cut)
                    await asyncio.sleep(self.rng.uniform(0, 2))

    def run_last_owner(self) -> AbstractAsyncContextManager[tuple[Pool, FakeOrders]]:
        """Run the owner that nothing disrupts any more."""
        return self._run_next_owner()

    def _run_next_owner(self) -> AbstractAsyncContextManager[tuple[Pool, FakeOrders]]:
        self._token += 1
        steady_s = asyncio.get_running_loop().time() - self._returned_s
        return self.run_owner(
            self._token,
            self._token,
            self.rng.random() < 0.7,
            are_former_starts_recorded=steady_s > SETTINGS.restarted_lease_ms / 1000,
        )

    def _complete_list(self, returned_s: float) -> None:
        if returned_s == self._returned_s and not self.store.is_down:
            self.is_list_complete = True

    async def _submit_jobs(self, pool: Pool) -> None:
        # One job takes all workers, and the others wait for it.
        for number in range(self.rng.randint(2, len(self.workers))):
            count = 1 if number else len(self.workers)
            step = StepSpec(count=count, cpu=8000, estimated_ms=3000)
            await pool.submit(build_job(f"{self._token}-{number}", steps=(step,)))


RESTART_SEEDS = range(*map(int, os.environ.get("RESTART_SEEDS", "0:12").split(":")))


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_no_task_runs_twice_however_owners_restart_in_outages(seed: int) -> None:
    """Guards against the fault of one order of events in another one.

    Several outages, owners and cut workers; each job of a durable owner completes.
    """

    async def main() -> None:
        scene = RestartScene(seed)
        await scene.play()
        async with scene.run_last_owner() as (pool, _):
            await asyncio.sleep(90)
            assert set(pool.job_table.count_jobs_by_phase()) == {"completed"}
        assert not list_simultaneous_runs(scene)

    run_virtual(main())
