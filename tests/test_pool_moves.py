"""Moves of hosts between pools, with fixed replies of the pools' owners."""

import asyncio
import dataclasses

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.fleet import FleetConfig, HostInfo, Size
from bergamotgap.domain.pool_sizes import IdleHost, PoolDemand, plan_preemptions
from bergamotgap.pools.host_mover import HostMover
from bergamotgap.ports.fleet import MachineServiceUnavailableError
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

IDLE_HOSTS = tuple(IdleHost(f"m{n}", f"w{n}", Size(8000), 200) for n in range(3))
HOSTS = {
    f"m{n}": HostInfo(f"m{n}", "late", "up", f"w{n}", "dc-1", 8000) for n in range(3)
}
FLEET_CONFIG = FleetConfig(1, CONFIG.queues, ("late", "short"))


def build_short_reply(offered: int) -> DemandReply:
    """Return the demand of a pool with one worker and more work than it can hold."""
    return DemandReply(Amount(8000), Amount(9e7), Amount(offered), Amount(8000), 1, ())


def build_demand(
    pool: str, wanted: int, on_time: int, workers: int, late: tuple[IdleHost, ...] = ()
) -> PoolDemand:
    """Return a demand in cores of a pool without idle hosts."""
    return PoolDemand(
        pool,
        Amount(wanted),
        Amount(on_time),
        Amount(8000 * workers),
        NOTHING,
        workers,
        (),
        late=late,
    )


class FakeMachineService:
    """Record the moves that are ordered."""

    def __init__(self) -> None:
        self.moves: list[tuple[str, str]] = []

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        return ()

    async def move(self, host: str, pool: str, token: int) -> str:
        self.moves.append((host, pool))
        return ""

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        return "wave"


async def answer_with_idle_hosts(call: PoolCall) -> PoolReply:
    """Answer for a pool with idle hosts and late work, and for one short of hosts."""
    await asyncio.sleep(0.005)
    if not isinstance(call, DemandCall):
        return DrainReply(True)
    if call.pool == "late":
        return DemandReply(
            NOTHING, NOTHING, NOTHING, Amount(24_000), 3, IDLE_HOSTS, Amount(9e7)
        )
    return build_short_reply(60_000)


def test_idle_hosts_beside_late_work_move_to_a_pool_with_work_on_time() -> None:
    """Guards against hosts that stay idle in a pool whose late work must yield."""

    async def main() -> None:
        machines = FakeMachineService()
        mover = HostMover(
            machines, answer_with_idle_hosts, lambda: True, 1, 6, 1500, LoopClock()
        )
        await mover.run_round(FLEET_CONFIG, HOSTS, set())
        # The first round finds that the other pool is short; the second one moves.
        assert machines.moves == []
        await mover.run_round(FLEET_CONFIG, HOSTS, set())
        # The last worker of a pool stays.
        assert [pool for _, pool in machines.moves] == ["short", "short"]

    run_virtual(main())


async def answer_with_late_runs(call: PoolCall) -> PoolReply:
    """Answer for a pool that runs only late work, and for one short of hosts."""
    if isinstance(call, DrainCall):
        # The worker is empty one round after its runs were stopped.
        drained.append((call.worker_id, call.stops_late))
        return DrainReply(drained.count((call.worker_id, True)) > 1)
    assert isinstance(call, DemandCall)
    if call.pool == "late":
        return DemandReply(
            Amount(24_000),
            NOTHING,
            NOTHING,
            Amount(24_000),
            3,
            (),
            late_work=Amount(9e7),
            late_used=Amount(24_000),
            late=IDLE_HOSTS,
        )
    return build_short_reply(60_000)


drained: list[tuple[str, bool]] = []


def test_late_work_is_preempted_for_on_time_work_of_another_pool() -> None:
    """Guards against hosts kept by late work while another pool is short of hosts."""

    async def main() -> None:
        drained.clear()
        machines = FakeMachineService()
        mover = HostMover(
            machines, answer_with_late_runs, lambda: True, 1, 6, 1500, LoopClock()
        )
        await mover.run_round(FLEET_CONFIG, HOSTS, set())
        assert machines.moves == []
        assert all(stops_late for _, stops_late in drained)
        await mover.run_round(FLEET_CONFIG, HOSTS, set())
        # The last worker of a pool stays.
        assert [pool for _, pool in machines.moves] == ["short", "short"]

    run_virtual(main())


def test_hosts_in_a_wave_or_in_a_short_pool_keep_their_late_work() -> None:
    """Guards against a preemption on hosts under maintenance or in a short pool."""

    async def main() -> None:
        drained.clear()
        machines = FakeMachineService()
        mover = HostMover(
            machines, answer_with_late_runs, lambda: True, 1, 6, 1500, LoopClock()
        )
        await mover.run_round(FLEET_CONFIG, HOSTS, set(HOSTS))
        assert drained == []

    run_virtual(main())
    late = tuple(IdleHost(f"m{n}", f"w{n}", Size(8000), 0) for n in range(3))
    both = [
        build_demand("a", 90_000, 90_000, 3, late),
        build_demand("b", 90_000, 90_000, 1),
    ]
    assert plan_preemptions(both, []) == []
    # A pool that its own urgent work fills gives no host, though late work runs there.
    full = build_demand("a", 24_000, 20_000, 3, late)
    assert plan_preemptions([full, both[1]], []) == []


class ManyHostsScene:
    """A spare pool of 280 hosts, and pools of which one needs 60 of them at once."""

    def __init__(self) -> None:
        self.hosts = {
            f"m{n}": HostInfo(f"m{n}", "misc", "up", "", "dc-1", 32_000)
            for n in range(280)
        }
        self.config = FleetConfig(
            1, CONFIG.queues, ("short", "misc"), frozenset({"misc"})
        )
        self.machines = FakeMachineService()

    async def answer(self, call: PoolCall) -> PoolReply:
        """Answer for a pool whose turn has just begun."""
        assert isinstance(call, DemandCall)
        return DemandReply(
            Amount(8000), Amount(9e7), Amount(1_800_000), Amount(32_000), 1, ()
        )


def test_a_turn_on_hundreds_of_hosts_gets_its_hosts_within_the_platforms_rate() -> None:
    """Guards against a turn whose hosts are ordered over a second or more.

    Answers the pattern *turning demand on hundreds of hosts*: the platform's stated
    rate of orders, not a constant, limits the moves of a round.
    """

    async def main() -> None:
        scene = ManyHostsScene()
        clock = LoopClock()
        mover = HostMover(
            scene.machines, scene.answer, lambda: True, 1, 31, 1500, clock
        )
        await mover.run_round(scene.config, scene.hosts, set())
        assert len(scene.machines.moves) == 31
        await mover.run_round(scene.config, scene.hosts, set())
        assert len(scene.machines.moves) >= 60

    run_virtual(main())


def test_a_move_that_the_rate_limit_refused_is_ordered_again() -> None:
    """Guards against a host that counts as arriving for seconds and never comes."""

    class LimitedMachineService(FakeMachineService):
        """Refuse all orders of the first round by the rate limit."""

        is_limited = True

        async def move(self, host: str, pool: str, token: int) -> str:
            if self.is_limited:
                raise MachineServiceUnavailableError("429", may_have_executed=False)
            return await super().move(host, pool, token)

    async def main() -> None:
        scene = ManyHostsScene()
        machines = LimitedMachineService()
        mover = HostMover(
            machines, scene.answer, lambda: True, 1, 10, 1500, LoopClock()
        )
        await mover.run_round(scene.config, scene.hosts, set())
        machines.is_limited = False
        await mover.run_round(scene.config, scene.hosts, set())
        assert len(machines.moves) == 10
        assert {host for host, _ in machines.moves} <= set(scene.hosts)

    run_virtual(main())


def test_owners_are_told_which_hosts_can_arrive() -> None:
    """Guards against refusals while hosts are on their way or free elsewhere."""
    calls: list[DemandCall] = []

    async def answer(call: PoolCall) -> PoolReply:
        if not isinstance(call, DemandCall):
            return DrainReply(False)
        calls.append(call)
        if call.pool == "late":
            return DemandReply(
                NOTHING, NOTHING, NOTHING, Amount(24_000), 3, IDLE_HOSTS[:1]
            )
        offered, used = Amount(16_000), Amount(8000)
        return DemandReply(used, NOTHING, offered, used, 1, ())

    async def main() -> None:
        hosts = {
            name: HostInfo(name, pool, "up", worker, "dc-1", 8000)
            for name, pool, worker in (("m0", "late", "w0"), ("m1", "spare", ""))
        }
        config = FleetConfig(1, CONFIG.queues, ("late", "short", "spare"))
        config = dataclasses.replace(config, spare_services=frozenset({"spare"}))
        mover = HostMover(
            FakeMachineService(), answer, lambda: True, 1, 1, 1500, LoopClock()
        )
        for _ in range(2):
            await mover.run_round(config, hosts, set())
        assert [call.arriving_cpu for call in calls[:2]] == [None, None]
        told = {call.pool: (call.arriving_cpu, call.free_cpu) for call in calls[2:4]}
        # The spare host was ordered to the short pool meanwhile.
        assert told == {"late": (0, 8000), "short": (8000, 16_000)}

    run_virtual(main())
