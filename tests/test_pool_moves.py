"""Moves of hosts between pools, with the owners' replies given."""

import asyncio

from bergamotgap.domain.fleet import FleetConfig, HostInfo
from bergamotgap.domain.pool_sizes import IdleHost
from bergamotgap.pools.pool_moves import PoolMoves
from bergamotgap.ports.pool_peer import (
    DemandCall,
    DemandReply,
    PoolCall,
    PoolReply,
    VacatedReply,
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

    async def maintain(self, host: str, wave: int, token: int) -> str:
        return "wave"


async def ask(call: PoolCall) -> PoolReply:
    """Answer for a pool whose late work idles, and for one that lacks hosts."""
    await asyncio.sleep(0.005)
    if not isinstance(call, DemandCall):
        return VacatedReply(True)
    if call.pool == "late":
        return DemandReply(0, 0.0, 0.0, 24_000, 3, IDLE, late_ms=9e7)
    return DemandReply(8000, 9e7, 60_000.0, 8000, 1, ())


def test_hosts_that_idle_beside_late_work_go_to_work_that_can_be_in_time() -> None:
    """Guards against hosts that idle in a pool whose late work has to yield."""

    async def main() -> None:
        hosts = FakeHosts()
        moves = PoolMoves(hosts, ask, lambda: True, 1, 1500, LoopClock())
        await moves.work(FLEET, HOSTS, set())
        # Only now it is known that the other pool gets nothing.
        assert hosts.moved == []
        await moves.work(FLEET, HOSTS, set())
        # The last worker of a pool stays.
        assert [pool for _, pool in hosts.moved] == ["short", "short"]

    run_virtual(main())
