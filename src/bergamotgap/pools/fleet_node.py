"""A node of the fleet: owns the pools that it has claimed and answers callers."""

import asyncio
import functools
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.pool_grpc import GrpcPoolPeerClient, GrpcPoolServer
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_memory import HeldJobs
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.cap_coordinator import CapCoordinator
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.host_controller import HOSTS_POOL, HostController
from bergamotgap.pools.job_lookup import build_job_lookup
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.outage_detector import OutageDetector
from bergamotgap.pools.ownership_balance import OwnershipBalancer, stop_pool
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.partition_follower import READ_WAIT_MS, PartitionFollower
from bergamotgap.pools.partitions import choose_partition
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.pool_claims import Claim, Member
from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.pools.requests import JobRequests
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.wave_records import restore_wave_progress
from bergamotgap.pools.wave_runner import ReportWave
from bergamotgap.ports.fleet import (
    AdviceService,
    Fence,
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

# Workers' reports are read this often, so that a drain is seen well within the time
# that the worker keeps serving.
WORKERS_READ_INTERVAL_MS = 100
IDLE_WORKERS_READ_INTERVAL_MS = 3000
TAKEOVER_RETRY_MS = 200
# Entries of workers that lapsed in an outage are back within about two seconds of the
# log's return, if the worker is alive and reaches the log.
ENTRIES_RETURN_MS = 2500
CONTROLLER_CALL_TIMEOUT_MS = 1000
# A waiting read of the configuration ends after READ_WAIT_MS; the rest is for an answer
# of a slow log.
MAX_CONFIG_AGE_MS = READ_WAIT_MS + 1000
# The last order of a former host controller is answered within this time.
ORDER_ANSWER_MS = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class FleetPorts:
    """What the platform's adapter provides, and the topics of its keyed logs."""

    store: Store
    orders: WorkerOrders
    machines: MachineService
    fleet_view: FleetView
    report_wave: ReportWave
    operator_topic: str
    workers_topic: str
    advice: AdviceService | None = None


class FleetNode:
    """Run one node: its membership, its claims and the pools that it owns."""

    def __init__(self, settings: PoolSettings, ports: FleetPorts, clock: Clock) -> None:
        self._settings = settings
        self._ports = ports
        self._clock = clock
        self._exit_stack = AsyncExitStack()
        self._background_tasks: list[asyncio.Task[None]] = []
        self._owner_tasks: dict[str, tuple[int, asyncio.Task[None]]] = {}
        self._is_closing = False
        # Kept when the host controller starts again under the same claim: owners refuse
        # a sequence that begins anew.
        self._cap_coordinator: CapCoordinator | None = None
        self.pools: dict[str, Pool] = {}
        # Set while this node is the host controller.
        self.host_controller: HostController | None = None
        incarnation = f"{clock.wall_ms():x}"
        self._member = Member(settings.peer_address, incarnation, settings.cpu)
        self.registry = OwnershipRegistry(ports.store, self._member, settings, clock)
        self.fleet_view = ports.fleet_view
        self._peers = GrpcPoolPeerClient()
        self.requests = JobRequests(
            self.pools,
            self.registry.get_owner_address,
            lambda: self.fleet_view.config,
            settings.peer_address,
            self._peers,
            build_job_lookup(ports.store, settings.log_parts, self.fleet_view),
            clock,
        )
        self._outage_detector = OutageDetector(
            self.registry,
            self._peers,
            settings.peer_address,
            lambda: bool(self._owner_tasks),
            settings,
            clock,
        )
        self._balancer = OwnershipBalancer(
            self._member.name, self.registry, self.pools, self._is_owned, clock
        )
        store = ports.store
        self._operator_follower = PartitionFollower(
            store,
            ports.operator_topic,
            clock,
            self.fleet_view.apply_operator_record,
            self._handle_config_change,
        )
        self._workers_follower = PartitionFollower(
            store,
            ports.workers_topic,
            clock,
            self.fleet_view.apply_worker_record,
            self._handle_workers_change,
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this node."""
        if self.fleet_view.config is None or self._is_closing:
            return False
        return not self._outage_detector.is_cut_off

    @property
    def is_config_current(self) -> bool:
        """Whether the log has shown recently that there is no newer configuration."""
        age_ms = self._clock.monotonic_ms() - self._operator_follower.synced_ms
        return age_ms <= MAX_CONFIG_AGE_MS

    async def __aenter__(self) -> Self:
        """Listen for calls from peers and start the background tasks."""
        self._exit_stack.push_async_callback(self._peers.close)
        server = GrpcPoolServer(self._settings.peer_address, self._answer_peer)
        await self._exit_stack.enter_async_context(server)
        self.registry.subscribe(self._handle_claims_change)
        loops: list[tuple[str, Callable[[], Any]]] = [
            ("claims follower", self.registry.follower.run),
            ("membership", self.registry.run_membership),
            ("claims", self.registry.run_claims),
            ("configuration", self._operator_follower.run),
            ("workers", self._follow_workers),
            ("outage watch", self._outage_detector.run),
            ("ownership balance", self._balancer.run),
        ]
        self._background_tasks = [
            asyncio.create_task(supervise(*loop)) for loop in loops
        ]
        log.info("node started", member=self._member.name)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop the background tasks and close connections."""
        await cancel_tasks([task for _, task in self._owner_tasks.values()])
        await cancel_tasks(self._background_tasks)
        await self._exit_stack.aclose()
        log.info("node stopped", member=self._member.name)

    async def _answer_peer(self, call: PoolCall) -> PoolReply:
        if isinstance(call, LogContactCall):
            return LogContactReply(
                self._outage_detector.measure_log_age_ms(),
                self.registry.measure_steady_ms(),
            )
        return await self.requests.answer_call(call)

    async def hand_over_pools(self) -> None:
        """Release all pools; from now on requests are forwarded to their new owners."""
        self._is_closing = True
        log.info("handing over pools", pools=sorted(self.pools))
        pools = list(self.pools.values())
        self.pools.clear()
        recorded = {pool.name for pool in pools if await stop_pool(pool)}
        await cancel_tasks([task for _, task in self._owner_tasks.values()])
        self._owner_tasks.clear()
        await self.registry.leave(recorded)

    def _handle_config_change(self) -> None:
        config = self.fleet_view.config
        if config is None:
            return
        self.registry.set_claimable_pools(frozenset({*config.pools, HOSTS_POOL}))
        for pool in self.pools.values():
            pool.update_config(config)

    def _handle_workers_change(self) -> None:
        for name, pool in self.pools.items():
            pool.update_workers(self.fleet_view.list_pool_workers(name))

    async def _follow_workers(self) -> None:
        # A node without pools reads seldom, to know which workers began another life
        # when it becomes the successor of their owner.
        next_read_ms = 0
        while True:
            now_ms = self._clock.monotonic_ms()
            if self.pools or now_ms >= next_read_ms:
                next_read_ms = now_ms + IDLE_WORKERS_READ_INTERVAL_MS
                try:
                    await self._workers_follower.refresh()
                except StoreError as error:
                    log.debug("worker reports not read", error=str(error))
            await self._clock.sleep_ms(WORKERS_READ_INTERVAL_MS)

    def _handle_claims_change(self) -> None:
        if self._is_closing:
            return
        for pool in self.pools.values():
            self._require_newest_coordinator(pool)
        for name, claim in self.registry.claims.items():
            owned = self._owner_tasks.get(name)
            if owned is not None and owned[0] != claim.token:
                owned[1].cancel()
                del self._owner_tasks[name]
            if name not in self._owner_tasks and self.registry.is_own_claim(claim):
                run = functools.partial(self._run_ownership, name, claim)
                task = asyncio.create_task(supervise(f"owner of {name}", run))
                self._owner_tasks[name] = (claim.token, task)

    def _is_owned(self, name: str, token: int) -> bool:
        owned = self._owner_tasks.get(name)
        return owned is not None and owned[0] == token and not self._is_closing

    async def _run_ownership(self, name: str, claim: Claim) -> None:
        lost = asyncio.Event()
        while not lost.is_set():
            try:
                if name == HOSTS_POOL:
                    await self._run_host_controller(claim)
                    return
                await self._run_pool(name, claim, lost)
            except StoreError as error:
                log.warning("pool not taken over", pool=name, error=str(error))
                await self._clock.sleep_ms(TAKEOVER_RETRY_MS)

    def _measure_jobs(self, customer: str) -> HeldJobs:
        held = [pool.job_table.measure_held(customer) for pool in self.pools.values()]
        return HeldJobs(
            sum(jobs.total_bytes for jobs in held),
            sum(jobs.customer_bytes for jobs in held),
        )

    async def _run_pool(self, name: str, claim: Claim, lost: asyncio.Event) -> None:
        pool = Pool(
            name,
            Term(
                claim.token,
                claim.term,
                claim.is_former_owner_stopped,
                claim.are_starts_recorded
                or await self._outage_detector.is_log_steady(),
            ),
            self._ports.store,
            choose_partition(name, self._settings.log_parts),
            self._ports.orders,
            self._settings,
            self._clock,
            LogConfirmation(
                lambda: self.registry.last_renewal_ms,
                self._outage_detector.is_log_down_for_all,
                self._is_worker_list_complete,
            ),
            lambda _: lost.set(),
            self._ports.advice,
            self._call_owner_for_controller,
            self._measure_jobs,
        )
        async with pool:
            self._require_newest_coordinator(pool)
            self.pools[name] = pool
            try:
                if self.fleet_view.config is not None:
                    pool.update_config(self.fleet_view.config)
                await self._refresh_workers()
                pool.update_workers(self.fleet_view.list_pool_workers(name))
                await lost.wait()
            finally:
                if self.pools.get(name) is pool:
                    del self.pools[name]

    def _require_newest_coordinator(self, pool: Pool) -> None:
        """Let an owner refuse the grants of former host controllers."""
        claim = self.registry.claims.get(HOSTS_POOL)
        if claim is not None:
            pool.customer_usage.require_coordinator(claim.token)

    def _is_worker_list_complete(self) -> bool:
        """Return whether entries that lapsed in an outage were back when last read."""
        back_ms = self.registry.log_returned_ms + ENTRIES_RETURN_MS
        return self._workers_follower.synced_ms >= back_ms

    async def _refresh_workers(self) -> None:
        try:
            await self._workers_follower.refresh()
        except StoreError as error:
            log.warning("worker reports not read", error=str(error))

    async def _run_host_controller(self, claim: Claim) -> None:
        delay_ms = self._choose_controller_delay_ms(claim)
        coordinator = self._cap_coordinator
        if coordinator is None or coordinator.token != claim.token:
            coordinator = self._cap_coordinator = self._build_cap_coordinator(claim)
        caps = asyncio.create_task(supervise("customer caps", coordinator.run))
        try:
            await self._run_host_duty(claim, delay_ms)
        finally:
            await cancel_tasks([caps])

    def _build_cap_coordinator(self, claim: Claim) -> CapCoordinator:
        return CapCoordinator(
            claim.token,
            lambda: {
                name: other.token
                for name, other in self.registry.claims.items()
                if name != HOSTS_POOL and other.member
            },
            lambda: self.fleet_view.config,
            self._call_owner_for_controller,
            self._outage_detector.may_act,
            self._clock,
        )

    async def _run_host_duty(self, claim: Claim, delay_ms: int) -> None:
        store, clock = self._ports.store, self._clock
        topic, part = choose_partition(HOSTS_POOL, self._settings.log_parts)
        lost = asyncio.Event()
        journal = Journal(
            *(store, topic, part, Fence(HOSTS_POOL, claim.token, 0)),
            *(clock, lost.set, self._settings.record_limits),
        )
        newest = await store.read_newest_values(topic, part)
        controller = HostController(
            claim.token,
            delay_ms,
            journal,
            restore_wave_progress(newest.values, clock.monotonic_ms()),
            self._ports.machines,
            self.fleet_view,
            self._call_owner_for_controller,
            self._ports.report_wave,
            self._outage_detector.may_act,
            self._settings,
            clock,
        )
        self.host_controller = controller
        tasks = [asyncio.create_task(supervise("hosts' journal", journal.run))]
        tasks.append(asyncio.create_task(supervise("hosts' duty", controller.run)))
        try:
            await lost.wait()
        finally:
            if self.host_controller is controller:
                self.host_controller = None
            await cancel_tasks(tasks)

    def _choose_controller_delay_ms(self, claim: Claim) -> int:
        """Return how long orders of a former host controller may still arrive.

        A former controller loses its confirmation before the log removes it from the
        group. Only a confirmation by an outage of the log for all nodes may last
        longer, up to `confirmation_ttl_ms`.
        """
        if claim.is_former_owner_stopped:
            return 0
        if self.registry.is_log_steady():
            return ORDER_ANSWER_MS
        return self._settings.confirmation_ttl_ms + ORDER_ANSWER_MS

    async def _call_owner_for_controller(self, call: PoolCall) -> PoolReply | NoReply:
        return await self.requests.call_owner(call, CONTROLLER_CALL_TIMEOUT_MS, "")

    def dump(self) -> dict[str, Any]:
        """Return the node's state for a state dump."""
        return {
            "member": self._member.name,
            "members": sorted(self.registry.members),
            "claims": {
                name: claim.member for name, claim in self.registry.claims.items()
            },
            "pools": [pool.dump() for pool in self.pools.values()],
        }
