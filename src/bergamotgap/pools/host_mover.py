"""Moves hosts between pools as the pools' demand changes."""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.amounts import Amount, total
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, HostInfo, Size
from bergamotgap.domain.maintenance_plan import UP
from bergamotgap.domain.pool_sizes import (
    IdleHost,
    Move,
    PoolDemand,
    SpareHost,
    cover_need,
    forecast_need,
    list_short_pools,
    measure_free_cpu,
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
        # Moves under way by host: target pool, order time (monotonic, ms) and the
        # host's size.
        self._moves_in_progress: dict[str, tuple[str, int, Size]] = {}
        self._sizes_logged_ms = 0
        # Pools that lack hosts for on-time work; late work of other pools yields to it.
        self._short_pools: set[str] = set()
        # Moves that wait until late work on their host is stopped, by host, and when
        # each is abandoned (monotonic, ms).
        self._preemptions: dict[str, tuple[Move, int]] = {}
        self._refused_moves: set[tuple[str, str]] = set()
        self._pinned_hosts: set[str] = set()
        # 1/1000 cores that each pool could get from elsewhere in the last round.
        self._free_cpu: dict[str, int] = {}

    def list_moving_hosts(self) -> set[str]:
        """Return the hosts whose move is ordered and not completed."""
        return set(self._moves_in_progress)

    async def run_round(
        self, config: FleetConfig, hosts: Mapping[str, HostInfo], pinned_hosts: set[str]
    ) -> None:
        """Run one round: order the moves that demand requires; `pinned_hosts` stay.

        Hosts may be added to `pinned_hosts` during the round.
        """
        self._pinned_hosts = pinned_hosts
        self._remove_finished_moves(hosts)
        spare = [
            SpareHost(info.host, info.pool, info.size, info.labels)
            for info in hosts.values()
            if info.pool in config.spare_services
            and info.state == UP
            and info.host not in pinned_hosts
            and info.host not in self._moves_in_progress
        ]
        demands = await self._read_demands(config, hosts, pinned_hosts, bool(spare))
        self._log_sizes(demands)
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
        call = DrainCall(
            move.source,
            move.worker_id,
            may_stop=False,
            stops_late=True,
            host=move.host,
        )
        reply = await self._call_owner(call)
        if isinstance(reply, DrainReply) and reply.is_empty:
            del self._preemptions[move.host]
            await self._order_move(move, hosts)

    async def _read_demands(
        self,
        config: FleetConfig,
        hosts: Mapping[str, HostInfo],
        pinned_hosts: set[str],
        has_spare_host: bool,
    ) -> list[PoolDemand]:
        pools = sorted(set(config.services) - config.spare_services)
        # Late work yields to work of other pools that can be on time.
        yielding = {pool: bool(self._short_pools - {pool}) for pool in pools}
        replies = await asyncio.gather(
            *(
                self._call_owner(
                    DemandCall(
                        pool,
                        yielding[pool],
                        has_spare_host,
                        self._measure_arriving_cpu(pool, hosts),
                        self._free_cpu.get(pool, 0),
                    )
                )
                for pool in pools
            )
        )
        return [
            self._build_demand(pool, reply, yielding[pool], hosts, pinned_hosts)
            for pool, reply in zip(pools, replies, strict=True)
            if isinstance(reply, DemandReply)
        ]

    def _build_demand(
        self,
        pool: str,
        reply: DemandReply,
        is_yielding: bool,
        hosts: Mapping[str, HostInfo],
        pinned_hosts: set[str],
    ) -> PoolDemand:
        # What no host has can't be supplied, so no pool gives way or grows for it.
        present = total([Amount(*info.size) for info in hosts.values()])
        arriving = self._list_arriving(pool, hosts)
        arriving_size = total([Amount(*size) for _, size in arriving])
        needs = reply.needs
        for host, size in arriving:
            labels = hosts[host].labels if host in hosts else frozenset()
            needs = cover_need(needs, Amount(*size), labels)
        held = reply.capacity + arriving_size
        late_work = Amount() if is_yielding else reply.late_work
        wanted = self._forecast_need(
            reply, Amount(), reply.waiting_work + late_work, held
        )
        on_time = self._forecast_need(reply, reply.late_used, reply.waiting_work, held)
        return PoolDemand(
            pool,
            wanted.limit_to(present),
            on_time.limit_to(present),
            reply.capacity,
            arriving_size,
            reply.workers,
            self._filter_movable_hosts(reply.idle, hosts, pinned_hosts),
            len(arriving),
            reply.least_workers,
            self._filter_movable_hosts(reply.late, hosts, pinned_hosts),
            (reply.lasting + reply.lasting_waiting).limit_to(present),
            reply.whole_hosts,
            reply.whole_size,
            needs,
        )

    def _list_arriving(
        self, pool: str, hosts: Mapping[str, HostInfo]
    ) -> list[tuple[str, Size]]:
        """Return the hosts on their way to a pool, and their sizes."""
        arriving = [
            (host, size)
            for host, (to, _, size) in self._moves_in_progress.items()
            if to == pool
        ]
        arriving += [
            (host, hosts[host].size)
            for host, (move, _) in self._preemptions.items()
            if move.target == pool and host in hosts
        ]
        return arriving

    def _measure_arriving_cpu(
        self, pool: str, hosts: Mapping[str, HostInfo]
    ) -> int | None:
        """Return the 1/1000 cores on their way to a pool; None before a full round."""
        if pool not in self._free_cpu:
            return None
        return sum(size.cpu for _, size in self._list_arriving(pool, hosts))

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

    def _forecast_need(
        self, reply: DemandReply, late_used: Amount, waiting: Amount, held: Amount
    ) -> Amount:
        lead_ms = self._move_duration_ms + DISCOVERY_MS
        # Short work has what the other tasks leave of the capacity.
        held -= reply.lasting + reply.lasting_waiting
        used = reply.used - late_used
        return forecast_need(used, waiting, reply.offered, held, lead_ms)

    def _log_sizes(self, demands: list[PoolDemand]) -> None:
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._sizes_logged_ms < SIZES_LOG_INTERVAL_MS:
            return
        self._sizes_logged_ms = now_ms
        for demand in demands:
            wanted = demand.wanted + demand.lasting
            log.info(
                "pool size",
                pool=demand.pool,
                wanted_cpu=int(wanted.cpu),
                capacity_cpu=int(demand.capacity.cpu),
                arriving_cpu=int(demand.arriving.cpu),
                wanted_mb=int(wanted.memory_mb),
                capacity_mb=int(demand.capacity.memory_mb),
                arriving_mb=int(demand.arriving.memory_mb),
                whole_hosts=demand.whole_hosts,
                idle=len(demand.idle),
            )

    async def _order_move(self, move: Move, hosts: Mapping[str, HostInfo]) -> None:
        if move.worker_id:
            reply = await self._call_owner(
                DrainCall(move.source, move.worker_id, may_stop=False, host=move.host)
            )
            if not isinstance(reply, DrainReply) or not reply.is_empty:
                return
        # This process may have been paused since the round began, and another node may
        # have become the controller.
        if not self._may_order() or move.host in self._pinned_hosts:
            return
        now_ms = self._clock.monotonic_ms()
        size = hosts[move.host].size
        self._moves_in_progress[move.host] = (move.target, now_ms, size)
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
