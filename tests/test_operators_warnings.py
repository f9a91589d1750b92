"""Scenes of what operators of similar systems warned of.

Other modules have further ones; docs/operators-warnings.md lists all.
"""

import asyncio

import msgspec
import pytest

from bergamotgap.domain.fleet import JobPhase, StepSpec
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.partition_follower import PartitionFollower
from bergamotgap.pools.pool_claims import Claim, Member
from bergamotgap.ports.fleet import (
    Fence,
    HistoryGoneError,
    KeyedLogPage,
    KeyedRecord,
)
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import build_job
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import PARTITION, Scene

PRODUCER = "pool/previews"
LONG_STEP = StepSpec(count=6, cpu=1000, estimated_ms=8000)


@pytest.mark.parametrize("tenths", range(0, 12, 2))
def test_a_worker_that_is_silent_for_half_of_its_lease_keeps_its_runs(
    tenths: int,
) -> None:
    """Guards against work that is started again, or given up, on a late report.

    The lease must survive the silence whenever that begins between two polls.
    """

    async def main() -> None:
        scene = Scene(workers=3, run_s=8)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(LONG_STEP,)))
            await asyncio.sleep(1 + tenths / 10)
            for worker in scene.workers.values():
                worker.is_silent = True
            await asyncio.sleep(SETTINGS.run_lease_ms / 1000 / 2)
            for worker in scene.workers.values():
                worker.is_silent = False
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_worker_whose_report_expired_keeps_its_runs() -> None:
    """Guards against work that is given up because a list lacks its worker."""

    async def main() -> None:
        scene = Scene(workers=3, run_s=8)
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(LONG_STEP,)))
            await asyncio.sleep(1)
            pool.update_workers({})
            await asyncio.sleep(6)
            pool.update_workers(scene.infos)
            await asyncio.sleep(5)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


def test_a_hand_over_amid_starts_sends_no_order_twice() -> None:
    """Guards against two owners that both start what was queued at the hand-over."""

    async def main() -> None:
        scene = Scene(workers=6, run_s=2)
        short_step = StepSpec(count=20, cpu=1000, estimated_ms=2000)
        for number in range(4):
            async with scene.run_owner(number + 1, number + 1) as (pool, _):
                await pool.submit(build_job(f"job-{number}", steps=(short_step,)))
                # The owner leaves while starts wait for their record or an answer.
                await asyncio.sleep(0.012 + 0.004 * number)
                pool.stop_placement()
        async with scene.run_owner(9, 9) as (pool, _):
            await asyncio.sleep(20)
            phases = {
                pool.job_table.get_durable_phase(f"job-{number}") for number in range(4)
            }
            assert phases == {JobPhase.COMPLETED}
        assert set(scene.count_starts().values()) == {1}

    run_virtual(main())


class PausingClock(LoopClock):
    """Clock of a process that was paused for `paused_ms`."""

    paused_ms = 0

    def monotonic_ms(self) -> int:
        return super().monotonic_ms() + self.paused_ms


def test_an_owner_paused_beyond_its_permission_starts_nothing() -> None:
    """Guards against a start by a process that was paused while it lost its pool."""

    async def main() -> None:
        scene = Scene()
        clock = scene.clock = PausingClock()
        async with scene.run_owner(1) as (pool, _):
            await asyncio.sleep(0.5)
            submission = asyncio.create_task(pool.submit(build_job()))
            links = pool.run_tracker.links
            while not any(link.runs for link in links.values()):
                await asyncio.sleep(0.001)
            # The starts wait for their record, whose append was sent before the pause.
            scene.is_confirmed = False
            scene.confirmation_lost_ms = clock.monotonic_ms()
            clock.paused_ms = 5000
            await scene.store.append(
                *PARTITION, [KeyedRecord("owner", b"2")], fence=Fence(PRODUCER, 2, 0)
            )
            await asyncio.sleep(3)
            submission.cancel()
        assert scene.count_starts() == {}

    run_virtual(main())


class ForgetfulStore(FakeStore):
    """Store that has deleted the history before `first_offset`."""

    first_offset = 0

    async def read(
        self, topic: str, part: int, start_offset: int, wait_ms: int
    ) -> KeyedLogPage:
        if start_offset < self.first_offset:
            raise HistoryGoneError(self.first_offset)
        return await super().read(topic, part, start_offset, wait_ms)


def test_a_worker_that_left_is_not_used_again_after_a_gap_in_the_history() -> None:
    """Guards against a list from an earlier term in which a worker is still ready."""

    async def main() -> None:
        store = ForgetfulStore()
        seen: dict[str, bytes] = {}

        def fold(record: KeyedRecord) -> None:
            if record.value is None:
                seen.pop(record.key, None)
            else:
                seen[record.key] = record.value

        follower = PartitionFollower(store, "workers", LoopClock(), fold)
        await store.append("workers", 0, [KeyedRecord("w1", b"1")])
        await store.append("workers", 0, [KeyedRecord("w2", b"1")])
        await follower.refresh()
        # While the node owns no pool, it reads no reports.
        await store.append("workers", 0, [KeyedRecord("w1", None)])
        store.first_offset = 3
        await follower.refresh()
        assert seen == {"w2": b"1"}

    run_virtual(main())


def test_an_older_claim_that_is_read_again_does_not_bring_its_owner_back() -> None:
    """Guards against requests to a former owner after a claim is read twice."""

    async def main() -> None:
        store = FakeStore()
        registry = OwnershipRegistry(
            store, Member("10.0.0.1:7000", "1"), SETTINGS, LoopClock()
        )
        claims = [Claim("a:1/1/1", 1, 1), Claim("b:1/1/1", 2, 2)]
        records = [KeyedRecord("p", msgspec.msgpack.encode(claim)) for claim in claims]
        for record in records:
            await store.append("keyed.owners", 0, [record])
        await registry.follower.refresh()
        registry._apply_record(records[0])
        assert registry.get_owner_address("p") == "b:1"

    run_virtual(main())
