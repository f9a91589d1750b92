"""A node of the fleet: owns the pools that fall to it and answers callers."""

import asyncio
import functools
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.pool_grpc import GrpcPoolPeers, GrpcPoolServer
from bergamotgap.domain.clock import Clock
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.host_controller import HOSTS_POOL, HostController, ReportWave
from bergamotgap.pools.job_table import RecordKind, format_record_key
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.outage_detector import OutageDetector
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.ownership_registry import Claim, Member, OwnershipRegistry
from bergamotgap.pools.partition_follower import PartitionFollower
from bergamotgap.pools.partitions import choose_partition
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.requests import JobRequests, NoReply
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.wave_records import restore_wave_progress
from bergamotgap.ports.fleet import (
    AdviceService,
    Fence,
    HistoryGoneError,
    MachineService,
    Store,
    StoreError,
    WorkerOrders,
)
from bergamotgap.ports.pool_peer import (
    LogContactCall,
    LogContactReply,
    PoolCall,
    PoolReply,
)

# A drain must be known well within the time that a worker still serves.
WORKERS_READ_INTERVAL_MS = 100
TAKEOVER_RETRY_MS = 200
FLUSH_TIMEOUT_MS = 400
CONTROLLER_CALL_TIMEOUT_MS = 1000
# A former holder's last order is answered within this time.
ORDER_ANSWER_MS = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class FleetPorts:
    """What the platform's adapter provides; topics name its streams."""

    store: Store
    orders: WorkerOrders
    machines: MachineService
    fleet_view: FleetView
    report_wave: ReportWave
    operator_topic: str
    workers_topic: str
    advice: AdviceService | None = None


class FleetNode:
    """Own the parts of one node, its membership and its pools."""

    def __init__(self, settings: PoolSettings, ports: FleetPorts, clock: Clock) -> None:
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self._owners: dict[str, tuple[int, asyncio.Task[None]]] = {}
        self._is_closing = False
        self.pools: dict[str, Pool] = {}
        life = f"{clock.wall_ms():x}"
        self._member = Member(settings.peer_address, life, settings.cpu)
        self.registry = OwnershipRegistry(ports.store, self._member, settings, clock)
        self.fleet_view = ports.fleet_view
        self._peers = GrpcPoolPeers()
        self.requests = JobRequests(
            self.pools,
            self.registry.get_owner_address,
            lambda: self.fleet_view.config,
            settings.peer_address,
            self._peers,
            self._is_stored,
            clock,
        )
        self._watch = OutageDetector(
            self.registry, self._peers, settings.peer_address, settings, clock
        )
        store = ports.store
        self._operator = PartitionFollower(
            store,
            ports.operator_topic,
            clock,
            self.fleet_view.apply_operator_record,
            self._note_config,
        )
        self._workers = PartitionFollower(
            store,
            ports.workers_topic,
            clock,
            self.fleet_view.apply_worker_record,
            self._note_workers,
        )

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        if self.fleet_view.config is None or self._is_closing:
            return False
        return not self._watch.is_cut_off

    async def __aenter__(self) -> Self:
        """Listen for peers and start."""
        self._stack.push_async_callback(self._peers.close)
        server = GrpcPoolServer(self._settings.peer_address, self._answer_peer)
        await self._stack.enter_async_context(server)
        self.registry.subscribe(self._note_claims)
        runs: list[tuple[str, Callable[[], Any]]] = [
            ("claims follower", self.registry.follower.run),
            ("membership", self.registry.run_membership),
            ("claims", self.registry.run_claims),
            ("configuration", self._operator.run),
            ("workers", self._run_workers),
            ("outage watch", self._watch.run),
        ]
        self._tasks = [asyncio.create_task(supervise(*run)) for run in runs]
        log.info("started", member=self._member.name)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop the tasks and close connections."""
        await cancel_tasks([task for _, task in self._owners.values()])
        await cancel_tasks(self._tasks)
        await self._stack.aclose()
        log.info("stopped", member=self._member.name)

    async def _answer_peer(self, call: PoolCall) -> PoolReply:
        if isinstance(call, LogContactCall):
            return LogContactReply(self._watch.measure_log_age_ms())
        return await self.requests.answer_call(call)

    async def hand_over_pools(self) -> None:
        """Give the pools to other nodes; go on passing requests to them."""
        self._is_closing = True
        log.info("handing over", pools=sorted(self.pools))
        pools = list(self.pools.values())
        self.pools.clear()
        for pool in pools:
            pool.stop_placement()
            journal = pool.journal
            if not await journal.wait_committed_within(
                journal.last_change, FLUSH_TIMEOUT_MS
            ):
                log.warning("journal not flushed", pool=pool.name)
        await cancel_tasks([task for _, task in self._owners.values()])
        self._owners.clear()
        await self.registry.leave()

    def _note_config(self) -> None:
        config = self.fleet_view.config
        if config is None:
            return
        names = set(config.services) - config.spare_services
        self.registry.set_claimable_pools(frozenset(names | {HOSTS_POOL}))
        for pool in self.pools.values():
            pool.update_config(config)

    def _note_workers(self) -> None:
        for name, pool in self.pools.items():
            pool.update_workers(self.fleet_view.list_pool_workers(name))

    async def _run_workers(self) -> None:
        while True:
            if self.pools:
                try:
                    await self._workers.refresh()
                except HistoryGoneError:
                    self._workers.next_offset = None
                except StoreError as error:
                    log.debug("workers not read", error=str(error))
            await self._clock.sleep_ms(WORKERS_READ_INTERVAL_MS)

    def _note_claims(self) -> None:
        if self._is_closing:
            return
        for name, claim in self.registry.claims.items():
            owned = self._owners.get(name)
            if owned is not None and owned[0] != claim.token:
                owned[1].cancel()
                del self._owners[name]
            if name not in self._owners and self.registry.is_own_claim(claim):
                run = functools.partial(self._own, name, claim)
                task = asyncio.create_task(supervise(f"owner of {name}", run))
                self._owners[name] = (claim.token, task)

    async def _own(self, name: str, claim: Claim) -> None:
        lost = asyncio.Event()
        while not lost.is_set():
            try:
                if name == HOSTS_POOL:
                    await self._run_duty(claim)
                    return
                await self._run_pool(name, claim, lost)
            except StoreError as error:
                log.warning("pool not taken over", pool=name, error=str(error))
                await self._clock.sleep_ms(TAKEOVER_RETRY_MS)

    async def _run_pool(self, name: str, claim: Claim, lost: asyncio.Event) -> None:
        pool = Pool(
            name,
            Term(
                claim.token,
                claim.term,
                claim.is_former_owner_stopped,
                self.registry.is_log_steady(),
            ),
            self._ports.store,
            choose_partition(name, self._settings.log_parts),
            self._ports.orders,
            self._settings,
            self._clock,
            LogConfirmation(
                lambda: self.registry.last_renewal_ms, self._watch.is_outage
            ),
            lambda _: lost.set(),
            self._ports.advice,
        )
        async with pool:
            self.pools[name] = pool
            try:
                if self.fleet_view.config is not None:
                    pool.update_config(self.fleet_view.config)
                await self._workers_now()
                pool.update_workers(self.fleet_view.list_pool_workers(name))
                await lost.wait()
            finally:
                if self.pools.get(name) is pool:
                    del self.pools[name]

    async def _workers_now(self) -> None:
        try:
            await self._workers.refresh()
        except StoreError as error:
            log.warning("workers not read", error=str(error))

    async def _run_duty(self, claim: Claim) -> None:
        wait_ms = self._choose_duty_wait_ms(claim)
        store, clock = self._ports.store, self._clock
        topic, part = choose_partition(HOSTS_POOL, self._settings.log_parts)
        lost = asyncio.Event()
        journal = Journal(
            store, topic, part, Fence(HOSTS_POOL, claim.token, 0), clock, lost.set
        )
        newest = await store.read_newest_values(topic, part)
        duty = HostController(
            claim.token,
            wait_ms,
            journal,
            restore_wave_progress(newest.values, clock.monotonic_ms()),
            self._ports.machines,
            self.fleet_view,
            self._ask_for_duty,
            self._ports.report_wave,
            self._watch.may_act,
            self._settings,
            clock,
        )
        work = [asyncio.create_task(supervise("hosts' journal", journal.run))]
        work.append(asyncio.create_task(supervise("hosts' duty", duty.run)))
        try:
            await lost.wait()
        finally:
            await cancel_tasks(work)

    def _choose_duty_wait_ms(self, claim: Claim) -> int:
        """Return the time in which a former holder's orders may still arrive.

        A holder that the log took for gone has lost its confirmation before that, but
        for the one that an outage for all may have given it.
        """
        if claim.is_former_owner_stopped:
            return 0
        if self.registry.is_log_steady():
            return ORDER_ANSWER_MS
        return self._settings.confirmation_ttl_ms + ORDER_ANSWER_MS

    async def _is_stored(self, pool: str, job_id: str) -> bool | None:
        topic, part = choose_partition(pool, self._settings.log_parts)
        try:
            newest = await self._ports.store.read_newest_values(topic, part)
        except StoreError as error:
            log.warning("job not looked up", job=job_id, error=str(error))
            return None
        kinds = (RecordKind.SPEC, RecordKind.PROGRESS)
        return any(
            format_record_key(pool, kind, job_id) in newest.values for kind in kinds
        )

    async def _ask_for_duty(self, call: PoolCall) -> PoolReply | NoReply:
        return await self.requests.call_owner(call, CONTROLLER_CALL_TIMEOUT_MS, "")

    def dump(self) -> dict[str, Any]:
        """Return the node's state."""
        return {
            "member": self._member.name,
            "members": sorted(self.registry.members),
            "claims": {
                name: claim.member for name, claim in self.registry.claims.items()
            },
            "pools": [pool.dump() for pool in self.pools.values()],
        }
