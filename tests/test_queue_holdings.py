"""Queues that the configuration sends to another pool, and their accepted jobs."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import pytest

from bergamotgap.domain.fleet import FleetConfig, JobPhase, StepSpec
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.job_lookup import build_job_lookup
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.partitions import choose_partition
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.request_outcomes import (
    JobAccepted,
    JobCancelled,
    JobState,
    NotAccepted,
    OutcomeUnknown,
    RequestOutcome,
    WaitingCount,
)
from bergamotgap.pools.requests import JobRequests
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import CONFIG, FakeOrders, build_job, build_worker
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.test_pool_requests import FakePeers

POOLS = ("a", "b", "c")
ADDRESS = "10.0.0.1:7000"
WAIT_MS = 2000
JOB = build_job(steps=(StepSpec(count=2, cpu=1000),))


def build_config(version: int, pool: str | None) -> FleetConfig:
    """Return a configuration whose queue is sent to a pool; None removes the queue."""
    queues = (dataclasses.replace(CONFIG.queues[0], service=pool),) if pool else ()
    return FleetConfig(version, queues, POOLS)


class Fleet:
    """The owners of three pools, which may be replaced, and an entry host."""

    def __init__(self, run_s: float = 1.0) -> None:
        self.store = FakeStore()
        self.clock = LoopClock()
        self.config = build_config(1, "a")
        self.infos = {
            pool: {
                f"{pool}-w": dataclasses.replace(build_worker(n), worker_id=f"{pool}-w")
            }
            for n, pool in enumerate(POOLS)
        }
        self.workers = {
            name: FakeWorker(info, run_s)
            for infos in self.infos.values()
            for name, info in infos.items()
        }
        self.pools: dict[str, Pool] = {}
        self._terms = 0
        self._owners: dict[str, AsyncExitStack] = {}
        view: Any = FleetView.__new__(FleetView)
        view.config = self.config
        self.view = view
        self.requests = JobRequests(
            self.pools,
            lambda pool: ADDRESS if pool in self.pools else None,
            lambda: self.config,
            ADDRESS,
            FakePeers(),
            build_job_lookup(self.store, SETTINGS.log_parts, view),
            self.clock,
        )

    async def start_owner(self, name: str) -> None:
        """Start the next owner of a pool."""
        self._terms += 1
        pool = Pool(
            name,
            Term(self._terms, self._terms, is_former_owner_stopped=True),
            self.store,
            choose_partition(name, SETTINGS.log_parts),
            FakeOrders(self.workers),
            SETTINGS,
            self.clock,
            LogConfirmation(self.clock.monotonic_ms, lambda: False, lambda: True),
            lambda _: None,
            None,
            lambda call: self.requests.call_owner(call, 1000, ""),
        )
        stack = self._owners[name] = AsyncExitStack()
        await stack.enter_async_context(pool)
        pool.update_config(self.config)
        pool.update_workers(self.infos[name])
        self.pools[name] = pool

    async def stop_owner(self, name: str) -> None:
        """End the owner of a pool without a hand-over."""
        del self.pools[name]
        await self._owners.pop(name).aclose()

    async def configure(self, pool: str | None) -> None:
        """Publish a configuration that sends the queue to another pool."""
        self.config = self.view.config = build_config(self.config.version + 1, pool)
        for owner in self.pools.values():
            owner.update_config(self.config)

    async def submit(self) -> RequestOutcome:
        """Submit the job as the configuration of the moment says."""
        return await self.requests.submit(JOB, self.config.queues[0], WAIT_MS)

    def count_starts(self) -> int:
        """Return how many runs the workers have started."""
        return sum(len(worker.starts) for worker in self.workers.values())


@asynccontextmanager
async def run_fleet(run_s: float = 1.0) -> AsyncIterator[Fleet]:
    """Run the owners of all pools."""
    fleet = Fleet(run_s)
    for name in POOLS:
        await fleet.start_owner(name)
    await asyncio.sleep(0.5)
    try:
        yield fleet
    finally:
        for name in list(fleet.pools):
            await fleet.stop_owner(name)


@pytest.mark.parametrize("moves", ["b", "bc", "ba", "bcb", "-b", "-a", "b-c"])
@pytest.mark.parametrize("after_s", [0.0, 0.01, 1.0, 5.0])
def test_a_job_that_is_submitted_again_after_its_queue_moved_runs_once(
    moves: str, after_s: float
) -> None:
    """Guards against a second run in the pool that a newer configuration names."""

    async def main() -> None:
        async with run_fleet() as fleet:
            assert await fleet.submit() == JobAccepted()
            for pool in moves:
                await fleet.configure(None if pool == "-" else pool)
                await asyncio.sleep(0.3)
            await asyncio.sleep(after_s)
            assert await fleet.submit() == JobAccepted()
            await asyncio.sleep(5)
            assert fleet.count_starts() == 2
            state = await fleet.requests.get_state(
                JOB.job_id, fleet.config.queues[0], WAIT_MS
            )
            assert state == JobState(JobPhase.COMPLETED)

    run_virtual(main())


@pytest.mark.parametrize("replaced", ["a", "b", "ab", "ba", "abc"])
@pytest.mark.parametrize("waits_s", [0.0, 3.0])
def test_a_job_that_is_submitted_again_after_a_move_and_takeovers_runs_once(
    replaced: str, waits_s: float
) -> None:
    """Guards against an owner that forgets where the jobs of its queues are."""

    async def main() -> None:
        async with run_fleet() as fleet:
            assert await fleet.submit() == JobAccepted()
            await fleet.configure("b")
            await asyncio.sleep(waits_s)
            for name in replaced:
                await fleet.stop_owner(name)
            for name in replaced:
                outcome = await fleet.submit()
                assert isinstance(outcome, JobAccepted | OutcomeUnknown)
                await fleet.start_owner(name)
            await asyncio.sleep(1)
            assert await fleet.submit() == JobAccepted()
            await asyncio.sleep(8)
            assert fleet.count_starts() == 2

    run_virtual(main())


def test_nothing_is_refused_or_accepted_while_an_older_pool_is_unknown() -> None:
    """Guards against a second run, and against a false refusal of an accepted job."""

    async def main() -> None:
        async with run_fleet() as fleet:
            assert await fleet.submit() == JobAccepted()
            await fleet.stop_owner("a")
            await fleet.configure("b")
            outcome = await fleet.submit()
            assert isinstance(outcome, OutcomeUnknown)
            await fleet.start_owner("a")
            await asyncio.sleep(0.5)
            assert await fleet.submit() == JobAccepted()
            await asyncio.sleep(3)
            assert fleet.count_starts() == 2

    run_virtual(main())


def test_a_submission_by_an_older_configuration_is_not_accepted_in_its_pool() -> None:
    """Guards against a job in the old pool that the new one does not know of."""

    async def main() -> None:
        async with run_fleet() as fleet:
            older = fleet.config.queues[0]
            await fleet.configure("b")
            await asyncio.sleep(0.5)
            assert await fleet.requests.submit(JOB, older, WAIT_MS) == JobAccepted()
            assert not fleet.pools["a"].job_table.jobs
            assert JOB.job_id in fleet.pools["b"].job_table.jobs

    run_virtual(main())


def test_an_owner_with_an_older_configuration_keeps_its_queue() -> None:
    """Guards against two pools that accept jobs of one queue at the same time."""

    async def main() -> None:
        async with run_fleet() as fleet:
            fleet.config = build_config(2, "b")
            fleet.pools["b"].update_config(fleet.config)
            await asyncio.sleep(1)
            holdings = [pool.queue_holdings for pool in fleet.pools.values()]
            assert [holding.holds(JOB.queue) for holding in holdings] == [
                True,
                False,
                False,
            ]
            assert isinstance(await fleet.submit(), OutcomeUnknown)
            for name in "ac":
                fleet.pools[name].update_config(fleet.config)
            await asyncio.sleep(0.5)
            assert [holding.holds(JOB.queue) for holding in holdings] == [
                False,
                True,
                False,
            ]

    run_virtual(main())


def test_a_new_owner_keeps_the_queue_of_its_pool_without_the_other_owners() -> None:
    """Guards against a pool that accepts nothing because another has no owner."""

    async def main() -> None:
        async with run_fleet() as fleet:
            for name in POOLS:
                await fleet.stop_owner(name)
            await fleet.start_owner("a")
            assert await fleet.submit() == JobAccepted()

    run_virtual(main())


def test_the_waiting_jobs_of_a_queue_are_counted_in_its_former_pool_too() -> None:
    """Guards against a count of 0 after a queue moved, with its jobs still waiting."""

    async def main() -> None:
        async with run_fleet(run_s=100) as fleet:
            fleet.pools["a"].stop_placement()
            for number in range(3):
                spec = build_job(f"job-{number}")
                outcome = await fleet.requests.submit(
                    spec, fleet.config.queues[0], WAIT_MS
                )
                assert outcome == JobAccepted()
            for pool in "bc":
                await fleet.configure(pool)
                await asyncio.sleep(1)
                queue = fleet.config.queues[0]
                counted = await fleet.requests.count_waiting_jobs(queue, WAIT_MS)
                assert counted == WaitingCount(3)

    run_virtual(main())


@pytest.mark.parametrize("is_recorded", [True, False])
def test_a_job_is_looked_up_in_the_log_of_its_former_pool_too(
    is_recorded: bool,
) -> None:
    """Guards against a refusal of an accepted job while its new pool has no owner."""

    async def main() -> None:
        async with run_fleet(run_s=100) as fleet:
            assert await fleet.submit() == JobAccepted()
            if not is_recorded:
                await fleet.stop_owner("b")
            await fleet.configure("b")
            await asyncio.sleep(1)
            if is_recorded:
                await fleet.stop_owner("b")
            assert await fleet.submit() == JobAccepted()
            other = build_job("other")
            outcome = await fleet.requests.submit(
                other, fleet.config.queues[0], WAIT_MS
            )
            assert isinstance(outcome, NotAccepted)

    run_virtual(main())


def test_a_job_is_cancelled_in_its_former_pool() -> None:
    """Guards against 410 for a job that runs on where its queue was before."""

    async def main() -> None:
        async with run_fleet(run_s=100) as fleet:
            assert await fleet.submit() == JobAccepted()
            await fleet.configure("b")
            await asyncio.sleep(1)
            queue = fleet.config.queues[0]
            outcome = await fleet.requests.cancel(JOB.job_id, queue, WAIT_MS)
            assert outcome == JobCancelled()
            state = await fleet.requests.get_state(JOB.job_id, queue, WAIT_MS)
            assert state == JobState(JobPhase.CANCELLED)

    run_virtual(main())
