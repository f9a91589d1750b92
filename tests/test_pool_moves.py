"""Moves of hosts between pools, with the owners' replies given."""

import asyncio

from bergamotgap.domain.fleet import FleetConfig, HostInfo
from bergamotgap.domain.pool_sizes import IdleHost, PoolDemand, plan_preemptions
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.ports.pool_peer import (
    DemandCall,
    DemandReply,
    DrainCall,
    DrainReply,
    PoolCall,
    PoolReply,
)
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import LoopClock, run_virtual

IDLE = tuple(IdleHost(f"m{n}", f"w{n}", 8000, 200) for n in range(3))
HOSTS = {
    f"m{n}": HostInfo(f"m{n}", "late", "up", f"w{n}", "dc-1", 8000) for n in range(3)
}
FLEET = FleetConfig(1, CONFIG.queues, ("late", "short"))


class FakeHosts:
    """Note moves."""

    def __init__(self) -> None:
        self.moved: list[tuple[str, str]] = []

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        return ()

    async def move(self, host: str, pool: str, token: int) -> str:
        self.moved.append((host, pool))
        return ""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        return "wave"


async def ask(call: PoolCall) -> PoolReply:
    """Answer for a pool whose late work idles, and for one that lacks hosts."""
    await asyncio.sleep(0.005)
    if not isinstance(call, DemandCall):
        return DrainReply(True)
    if call.pool == "late":
        return DemandReply(0, 0.0, 0.0, 24_000, 3, IDLE, late_ms=9e7)
    return DemandReply(8000, 9e7, 60_000.0, 8000, 1, ())


def test_hosts_that_idle_beside_late_work_go_to_work_that_can_be_in_time() -> None:
    """Guards against hosts that idle in a pool whose late work has to yield."""

    async def main() -> None:
        hosts = FakeHosts()
        moves = HostMover(hosts, ask, lambda: True, 1, 1500, LoopClock())
        await moves.run_round(FLEET, HOSTS, set())
        # Only now it is known that the other pool gets nothing.
        assert hosts.moved == []
        await moves.run_round(FLEET, HOSTS, set())
        # The last worker of a pool stays.
        assert [pool for _, pool in hosts.moved] == ["short", "short"]

    run_virtual(main())


async def ask_busy(call: PoolCall) -> PoolReply:
    """Answer for a pool whose workers run late work only, and for one that lacks."""
    if isinstance(call, DrainCall):
        # A stop takes one round.
        emptied.append((call.worker_id, call.stops_late))
        return DrainReply(emptied.count((call.worker_id, True)) > 1)
    assert isinstance(call, DemandCall)
    if call.pool == "late":
        return DemandReply(
            24_000, 0.0, 0.0, 24_000, 3, (), late_ms=9e7, late_cpu=24_000, late=IDLE
        )
    return DemandReply(8000, 9e7, 60_000.0, 8000, 1, ())


emptied: list[tuple[str, bool]] = []


def test_late_work_ends_for_work_of_another_pool_that_can_be_in_time() -> None:
    """Guards against hosts that are kept by work which earns little any more."""

    async def main() -> None:
        emptied.clear()
        hosts = FakeHosts()
        moves = HostMover(hosts, ask_busy, lambda: True, 1, 1500, LoopClock())
        await moves.run_round(FLEET, HOSTS, set())
        assert hosts.moved == []
        assert all(stops_late for _, stops_late in emptied)
        await moves.run_round(FLEET, HOSTS, set())
        # The last worker of a pool stays.
        assert [pool for _, pool in hosts.moved] == ["short", "short"]

    run_virtual(main())


def test_hosts_of_a_wave_and_of_a_short_pool_keep_their_late_work() -> None:
    """Guards against a preemption that breaks an upkeep or moves a lack about."""

    async def main() -> None:
        emptied.clear()
        hosts = FakeHosts()
        moves = HostMover(hosts, ask_busy, lambda: True, 1, 1500, LoopClock())
        await moves.run_round(FLEET, HOSTS, set(HOSTS))
        assert emptied == []

    run_virtual(main())
    late = tuple(IdleHost(f"m{n}", f"w{n}", 8000, 0) for n in range(3))
    both = [
        PoolDemand("a", 90_000, 90_000, 24_000, 0, 3, (), late=late),
        PoolDemand("b", 90_000, 90_000, 8000, 0, 1, ()),
    ]
    assert plan_preemptions(both, []) == []
    # A pool whose own urgent work fills it gives nothing, though late work runs there.
    full = PoolDemand("a", 24_000, 20_000, 24_000, 0, 3, (), late=late)
    assert plan_preemptions([full, both[1]], []) == []
