"""Moves hosts between pools as the pools' demand changes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.early_refusal import measure_free_cpu
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

# A moved host whose worker has not reported this long after the move's usual duration
# no longer counts as arriving.
ARRIVAL_MARGIN_MS = 1500
# Refusal of a request that the host service does not understand, such as a host or pool
# that it does not know; such a move is not ordered again.
REASON_UNKNOWN = "unknown"
# Sizes of pools are logged this often.
SIZES_LOG_INTERVAL_MS = 1000
# Time from a worker's start to its first task: its report, the read of the report by
# the pool's owner and the first poll.
DISCOVERY_MS = 300
# Share of a round's orders that may be for hosts whose late work is newly preempted. It
# is a minor share, since the tasks stopped there have to start again elsewhere.
PREEMPTION_SHARE = 1 / 3
# Longest drain of a host whose late work is preempted. Stops take 200 ms, so a host
# that isn't empty by then runs something that must not be stopped.
DRAIN_TIMEOUT_MS = 1000

log = get_logger(__name__)


class HostMover:
    """Decide and order moves of hosts, and track the moves under way."""

    def __init__(
        self,
        machines: MachineService,
        call_owner: CallOwner,
        may_order: Callable[[], bool],
        token: int,
        max_moves_per_round: int,
        move_duration_ms: int,
        clock: Clock,
    ) -> None:
        self._machines = machines
        self._call_owner = call_owner
        self._may_order = may_order
        self._token = token
        self._max_moves_per_round = max_moves_per_round
        self._max_preemptions_per_round = max(
            1, int(PREEMPTION_SHARE * max_moves_per_round)
        )
        self._move_duration_ms = move_duration_ms
        self._clock = clock
        # Moves under way by host: target pool, order time (monotonic, ms) and 1/1000
        # cores of the host.
        self._moves_in_progress: dict[str, tuple[str, int, int]] = {}
        self._sizes_logged_ms = 0
        # Pools that lack hosts for on-time work; late work of other pools yields to it.
        self._short_pools: set[str] = set()
        # Moves that wait until late work on their host is stopped, by host, and when
        # each is abandoned (monotonic, ms).
        self._preemptions: dict[str, tuple[Move, int]] = {}
        self._refused_moves: set[tuple[str, str]] = set()
        # 1/1000 cores that each pool could get from elsewhere in the last round.
        self._free_cpu: dict[str, int] = {}

    async def run_round(
        self, config: FleetConfig, hosts: Mapping[str, HostInfo], pinned_hosts: set[str]
    ) -> None:
        """Run one round: order the moves that demand requires; `pinned_hosts` stay."""
        self._remove_finished_moves(hosts)
        demands = await self._read_demands(config, hosts, pinned_hosts)
        self._log_sizes(demands)
        spare = [
            SpareHost(info.host, info.pool, info.cpu, info.labels)
            for info in hosts.values()
            if info.pool in config.spare_services
            and info.state == UP
            and info.host not in pinned_hosts
            and info.host not in self._moves_in_progress
        ]
        self._free_cpu = measure_free_cpu(demands, spare)
        spare_pool = min(config.spare_services, default="")
        planned = plan_moves(demands, spare, spare_pool)
        self._short_pools = list_short_pools(demands, planned)
        moves = [
            move
            for move in planned
            if (move.host, move.target) not in self._refused_moves
        ]
        await asyncio.gather(
            *(
                self._order_move(move, hosts)
                for move in moves[: self._max_moves_per_round]
            )
        )
        preemptions = plan_preemptions(demands, planned)
        for move in preemptions[: self._max_preemptions_per_round]:
            self._begin_preemption(move)
        await self._drain_preempted_hosts(hosts, pinned_hosts)

    def _begin_preemption(self, move: Move) -> None:
        if move.host in self._preemptions:
            return
        until_ms = self._clock.monotonic_ms() + DRAIN_TIMEOUT_MS
        self._preemptions[move.host] = (move, until_ms)
        log.info(
            "late work preempted for a move",
            host=move.host,
            worker=move.worker_id,
            source=move.source,
            target=move.target,
        )

    async def _drain_preempted_hosts(
        self, hosts: Mapping[str, HostInfo], pinned_hosts: set[str]
    ) -> None:
        """Drain the hosts with preempted late work and move those that are empty."""
        for host, (move, until_ms) in list(self._preemptions.items()):
            is_worker_unchanged = (
                host in hosts and hosts[host].worker_id == move.worker_id
            )
            if (
                self._clock.monotonic_ms() > until_ms
                or not is_worker_unchanged
                or host in pinned_hosts
            ):
                del self._preemptions[host]
        moves = [move for move, _ in self._preemptions.values()]
        await asyncio.gather(*(self._drain_preempted_host(m, hosts) for m in moves))

    async def _drain_preempted_host(
        self, move: Move, hosts: Mapping[str, HostInfo]
    ) -> None:
        call = DrainCall(move.source, move.worker_id, may_stop=False, stops_late=True)
        reply = await self._call_owner(call)
        if isinstance(reply, DrainReply) and reply.is_empty:
            del self._preemptions[move.host]
            await self._order_move(move, hosts)

    async def _read_demands(
        self, config: FleetConfig, hosts: Mapping[str, HostInfo], pinned_hosts: set[str]
    ) -> list[PoolDemand]:
        demands = []
        pools = sorted(set(config.services) - config.spare_services)
        # Late work yields to work of other pools that can be on time.
        yielding = {pool: bool(self._short_pools - {pool}) for pool in pools}
        replies = await asyncio.gather(
            *(
                self._call_owner(
                    DemandCall(
                        pool,
                        yielding[pool],
                        self._measure_arriving_cpu(pool, hosts),
                        self._free_cpu.get(pool, 0),
                    )
                )
                for pool in pools
            )
        )
        for pool, reply in zip(pools, replies, strict=True):
            if not isinstance(reply, DemandReply):
                continue
            arriving = [
                (host, cpu)
                for host, (to, _, cpu) in self._moves_in_progress.items()
                if to == pool
            ]
            arriving += [
                (host, hosts[host].cpu)
                for host, (move, _) in self._preemptions.items()
                if move.target == pool and host in hosts
            ]
            arriving_cpu = sum(cpu for _, cpu in arriving)
            arriving_labels = {
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
                    self._forecast_cpu(reply, 0, reply.waiting_ms + late_ms, held_cpu),
                    self._forecast_cpu(
                        reply, reply.late_cpu, reply.waiting_ms, held_cpu
                    ),
                    reply.capacity_cpu,
                    arriving_cpu,
                    reply.workers,
                    self._filter_movable_hosts(reply.idle, hosts, pinned_hosts),
                    len(arriving),
                    reply.least_workers,
                    frozenset(reply.labels) - arriving_labels,
                    self._filter_movable_hosts(reply.late, hosts, pinned_hosts),
                )
            )
        return demands

    def _measure_arriving_cpu(
        self, pool: str, hosts: Mapping[str, HostInfo]
    ) -> int | None:
        """Return the 1/1000 cores on their way to a pool; None before a full round."""
        if pool not in self._free_cpu:
            return None
        moving = sum(
            cpu for to, _, cpu in self._moves_in_progress.values() if to == pool
        )
        return moving + sum(
            hosts[host].cpu
            for host, (move, _) in self._preemptions.items()
            if move.target == pool and host in hosts
        )

    def _filter_movable_hosts(
        self,
        idle_hosts: Iterable[IdleHost],
        hosts: Mapping[str, HostInfo],
        pinned_hosts: set[str],
    ) -> tuple[IdleHost, ...]:
        return tuple(
            host
            for host in idle_hosts
            if host.host in hosts
            and hosts[host.host].worker_id == host.worker_id
            and host.host not in pinned_hosts
            and host.host not in self._preemptions
        )

    def _forecast_cpu(
        self, reply: DemandReply, late_cpu: int, waiting_ms: float, held_cpu: int
    ) -> int:
        lead_ms = self._move_duration_ms + DISCOVERY_MS
        used_cpu = reply.used_cpu - late_cpu
        return forecast_demand(
            used_cpu, waiting_ms, reply.offered_cpu, held_cpu, lead_ms
        )

    def _log_sizes(self, demands: list[PoolDemand]) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._sizes_logged_ms < SIZES_LOG_INTERVAL_MS:
            return
        self._sizes_logged_ms = now_ms
        for demand in demands:
            log.info(
                "pool size",
                pool=demand.pool,
                wanted_cpu=demand.wanted_cpu,
                capacity_cpu=demand.capacity_cpu,
                arriving_cpu=demand.arriving_cpu,
                idle=len(demand.idle),
            )

    async def _order_move(self, move: Move, hosts: Mapping[str, HostInfo]) -> None:
        if move.worker_id:
            reply = await self._call_owner(
                DrainCall(move.source, move.worker_id, may_stop=False)
            )
            if not isinstance(reply, DrainReply) or not reply.is_empty:
                return
        # This process may have been paused since the round began, and another node may
        # have become the controller.
        if not self._may_order():
            return
        now_ms = self._clock.monotonic_ms()
        cpu = hosts[move.host].cpu
        self._moves_in_progress[move.host] = (move.target, now_ms, cpu)
        try:
            reason = await self._machines.move(move.host, move.target, self._token)
        except MachineServiceUnavailableError as error:
            # If the move may have been executed, the host counts as arriving until the
            # time by which it should have arrived.
            log.warning(
                "move unanswered",
                host=move.host,
                error=str(error),
                may_have_executed=error.may_have_executed,
            )
            if not error.may_have_executed:
                del self._moves_in_progress[move.host]
            return
        log.info(
            "move",
            host=move.host,
            source=move.source,
            target=move.target,
            refused=reason,
        )
        if reason:
            del self._moves_in_progress[move.host]
        if reason == REASON_UNKNOWN:
            self._refused_moves.add((move.host, move.target))

    def _remove_finished_moves(self, hosts: Mapping[str, HostInfo]) -> None:
        now_ms = self._clock.monotonic_ms()
        for host, (target, at_ms, _) in list(self._moves_in_progress.items()):
            info = hosts.get(host)
            has_arrived = (
                info is not None
                and info.pool == target
                and info.state == UP
                and now_ms - at_ms >= self._move_duration_ms
            )
            limit_ms = self._move_duration_ms + ARRIVAL_MARGIN_MS
            if has_arrived or info is None or now_ms - at_ms > limit_ms:
                del self._moves_in_progress[host]
