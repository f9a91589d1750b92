"""An outage of the log on hundreds of nodes, each of which queries the others."""

import asyncio

import pytest

from bergamotgap.domain.clock import MS_PER_SECOND
from bergamotgap.pools.outage_detector import OutageDetector
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.pool_claims import Member
from bergamotgap.ports.pool_peer import LogContactReply, PoolCall, PoolReply
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock, run_virtual

NODES = 300
OWN_ADDRESS = "10.0.0.1:7000"


class CountingPeers:
    """Count the calls; every node has lost the log."""

    def __init__(self) -> None:
        self.calls = 0

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        self.calls += 1
        await asyncio.sleep(0.002)
        return LogContactReply(2000)


@pytest.mark.parametrize(("has_pools", "calls_per_s"), [(False, 100), (True, 700)])
def test_queries_in_an_outage_are_bounded(has_pools: bool, calls_per_s: int) -> None:
    """Guards against nodes whose calls to one another take all of their time.

    Answers the pattern *an outage on hundreds of nodes*: with each node asking each
    other five times a second, a node answered and sent 3,000 calls a second.
    """

    async def main() -> None:
        store = FakeStore()
        store.members = {f"10.0.1.{n}:7000/1/500" for n in range(NODES)}
        registry = OwnershipRegistry(
            store, Member(OWN_ADDRESS, "1"), SETTINGS, LoopClock()
        )
        renewals = asyncio.create_task(registry.run_membership())
        await asyncio.sleep(2)
        peers = CountingPeers()
        detector = OutageDetector(
            registry, peers, OWN_ADDRESS, lambda: has_pools, SETTINGS, LoopClock()
        )
        checks = asyncio.create_task(detector.run())
        store.is_down = True
        await asyncio.sleep(1)
        peers.calls = 0
        duration_ms = 4000
        seen = []
        for _ in range(duration_ms // 100):
            await asyncio.sleep(0.1)
            seen.append(detector.is_log_down_for_all())
        assert peers.calls <= calls_per_s * duration_ms / MS_PER_SECOND
        # Only an owner learns whether it may act without the log, and without a gap.
        assert all(seen[9:]) is has_pools
        for task in (checks, renewals):
            task.cancel()

    run_virtual(main())
