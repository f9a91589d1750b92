"""Moves of hosts between pools, as their demand turns."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, HostInfo
from bergamotgap.domain.maintenance_plan import UP
from bergamotgap.domain.pool_sizes import (
    IdleHost,
    Move,
    PoolDemand,
    SpareHost,
    forecast_demand,
    list_short_pools,
    plan_moves,
    plan_preemptions,
)
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.ports.fleet import MachineService, MachineServiceUnavailableError
from bergamotgap.ports.pool_peer import (
    DemandCall,
    DemandReply,
    DrainCall,
    DrainReply,
)

# A moved host's worker reports within this time after the move, or is not counted.
ARRIVAL_MARGIN_MS = 1500
REASON_UNKNOWN = "unknown"
# Sizes of pools are logged this often.
SIZES_LOG_INTERVAL_MS = 1000
# Time from a worker's start to its first task: its report, the reading of it, a look.
DISCOVERY_MS = 300
# Late work is ended on so many hosts in one round. Its stops take 200 ms, and a host
# that isn't empty then runs something that must not end.
MAX_PREEMPTIONS = 2
DRAIN_TIMEOUT_MS = 1000
# Moves ordered in one round; keeps within the platform's rate with ten rounds a second.
MAX_MOVES = 6

log = get_logger(__name__)


class HostMover:
    """Decide and order moves; remembers the hosts that are on their way."""

    def __init__(
        self,
        machines: MachineService,
        ask_owner: CallOwner,
        may_order: Callable[[], bool],
        token: int,
        move_ms: int,
        clock: Clock,
    ) -> None:
        self._machines = machines
        self._ask_owner = ask_owner
        self._may_order = may_order
        self._token = token
        self._move_ms = move_ms
        self._clock = clock
        # Target and ms of our clock of each move under way.
        self._moving: dict[str, tuple[str, int, int]] = {}
        self._logged_ms = 0
        self._short: set[str] = set()
        # Hosts whose late work ends for a move, and until when they are asked for.
        self._emptying: dict[str, tuple[Move, int]] = {}
        self._refused: set[tuple[str, str]] = set()

    async def run_round(
        self, config: FleetConfig, hosts: Mapping[str, HostInfo], kept: set[str]
    ) -> None:
        """Order the moves that demand asks for; `kept` hosts stay where they are."""
        self._forget_arrived(hosts)
        demands = await self._read_demands(config, hosts, kept)
        self._log_sizes(demands)
        spare = [
            SpareHost(info.host, info.pool, info.cpu, info.labels)
            for info in hosts.values()
            if info.pool in config.spare_services
            and info.state == UP
            and info.host not in kept
            and info.host not in self._moving
        ]
        spare_pool = min(config.spare_services, default="")
        planned = plan_moves(demands, spare, spare_pool)
        self._short = list_short_pools(demands, planned)
        moves = [
            move for move in planned if (move.host, move.target) not in self._refused
        ]
        await asyncio.gather(*(self._order(move, hosts) for move in moves[:MAX_MOVES]))
        for move in plan_preemptions(demands, planned)[:MAX_PREEMPTIONS]:
            self._begin_emptying(move)
        await self._empty_hosts(hosts, kept)

    def _begin_emptying(self, move: Move) -> None:
        if move.host in self._emptying:
            return
        until_ms = self._clock.monotonic_ms() + DRAIN_TIMEOUT_MS
        self._emptying[move.host] = (move, until_ms)
        log.info(
            "late work preempted",
            host=move.host,
            worker=move.worker_id,
            source=move.source,
            target=move.target,
        )

    async def _empty_hosts(self, hosts: Mapping[str, HostInfo], kept: set[str]) -> None:
        """Order the moves of hosts whose late work has ended."""
        for host, (move, until_ms) in list(self._emptying.items()):
            is_there = host in hosts and hosts[host].worker_id == move.worker_id
            if self._clock.monotonic_ms() > until_ms or not is_there or host in kept:
                del self._emptying[host]
                continue
            call = DrainCall(
                move.source, move.worker_id, may_stop=False, stops_late=True
            )
            reply = await self._ask_owner(call)
            if isinstance(reply, DrainReply) and reply.is_empty:
                del self._emptying[host]
                await self._order(move, hosts)

    async def _read_demands(
        self, config: FleetConfig, hosts: Mapping[str, HostInfo], kept: set[str]
    ) -> list[PoolDemand]:
        demands = []
        pools = sorted(set(config.services) - config.spare_services)
        # Late work yields to work of other pools that can be in time.
        yielding = {pool: bool(self._short - {pool}) for pool in pools}
        replies = await asyncio.gather(
            *(self._ask_owner(DemandCall(pool, yielding[pool])) for pool in pools)
        )
        for pool, reply in zip(pools, replies, strict=True):
            if not isinstance(reply, DemandReply):
                continue
            arriving = [
                (host, cpu) for host, (to, _, cpu) in self._moving.items() if to == pool
            ]
            arriving += [
                (host, hosts[host].cpu)
                for host, (move, _) in self._emptying.items()
                if move.target == pool and host in hosts
            ]
            arriving_cpu = sum(cpu for _, cpu in arriving)
            coming = {
                label
                for host, _ in arriving
                if host in hosts
                for label in hosts[host].labels
            }
            held_cpu = reply.capacity_cpu + arriving_cpu
            late_ms = 0.0 if yielding[pool] else reply.late_ms
            demands.append(
                PoolDemand(
                    pool,
                    self._forecast(reply, 0, reply.waiting_ms + late_ms, held_cpu),
                    self._forecast(reply, reply.late_cpu, reply.waiting_ms, held_cpu),
                    reply.capacity_cpu,
                    arriving_cpu,
                    reply.workers,
                    self._list_movable(reply.idle, hosts, kept),
                    len(arriving),
                    reply.least_workers,
                    frozenset(reply.labels) - coming,
                    self._list_movable(reply.late, hosts, kept),
                )
            )
        return demands

    def _list_movable(
        self, listed: Iterable[IdleHost], hosts: Mapping[str, HostInfo], kept: set[str]
    ) -> tuple[IdleHost, ...]:
        return tuple(
            host
            for host in listed
            if host.host in hosts
            and hosts[host.host].worker_id == host.worker_id
            and host.host not in kept
            and host.host not in self._emptying
        )

    def _forecast(
        self, reply: DemandReply, late_cpu: int, waiting_ms: float, held_cpu: int
    ) -> int:
        lead_ms = self._move_ms + DISCOVERY_MS
        used_cpu = reply.used_cpu - late_cpu
        return forecast_demand(
            used_cpu, waiting_ms, reply.offered_cpu, held_cpu, lead_ms
        )

    def _log_sizes(self, demands: list[PoolDemand]) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._logged_ms < SIZES_LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        for demand in demands:
            log.info(
                "pool size",
                pool=demand.pool,
                wanted_cpu=demand.wanted_cpu,
                capacity_cpu=demand.capacity_cpu,
                arriving_cpu=demand.arriving_cpu,
                idle=len(demand.idle),
            )

    async def _order(self, move: Move, hosts: Mapping[str, HostInfo]) -> None:
        if move.worker_id:
            reply = await self._ask_owner(
                DrainCall(move.source, move.worker_id, may_stop=False)
            )
            if not isinstance(reply, DrainReply) or not reply.is_empty:
                return
        # The holder may have been frozen since the round began.
        if not self._may_order():
            return
        now_ms = self._clock.monotonic_ms()
        cpu = hosts[move.host].cpu
        self._moving[move.host] = (move.target, now_ms, cpu)
        try:
            reason = await self._machines.move(move.host, move.target, self._token)
        except MachineServiceUnavailableError as error:
            # It may have been executed; the host counts until it should be there.
            reason = str(error)
            log.warning("move unanswered", host=move.host, error=reason)
            return
        log.info(
            "move",
            host=move.host,
            source=move.source,
            target=move.target,
            refused=reason,
        )
        if reason:
            del self._moving[move.host]
        if reason == REASON_UNKNOWN:
            self._refused.add((move.host, move.target))

    def _forget_arrived(self, hosts: Mapping[str, HostInfo]) -> None:
        now_ms = self._clock.monotonic_ms()
        for host, (target, at_ms, _) in list(self._moving.items()):
            info = hosts.get(host)
            has_arrived = (
                info is not None
                and info.pool == target
                and info.state == UP
                and now_ms - at_ms >= self._move_ms
            )
            limit_ms = self._move_ms + ARRIVAL_MARGIN_MS
            if has_arrived or info is None or now_ms - at_ms > limit_ms:
                del self._moving[host]
