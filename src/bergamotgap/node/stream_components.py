"""Build the components that keep the streams up to date: platform, peers, snapshots."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack
from typing import Any, Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.peer_grpc import GrpcPeerClient, PeerServer
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.following import StreamFollower
from bergamotgap.node.membership import Membership, PeerView
from bergamotgap.node.peer_service import PeerService, build_relay
from bergamotgap.node.planner import is_planner_node
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.settings import Settings
from bergamotgap.node.snapshots import SnapshotWriter
from bergamotgap.node.streams import Stream
from bergamotgap.node.supervision import supervise
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.peer import PeerInfo
from bergamotgap.ports.platform import PlatformLog

DemandSource = Callable[[], Mapping[str, float]]


class StreamComponents:
    """Both streams, the exchange with peers, and the follower and snapshot tasks."""

    def __init__(
        self,
        settings: Settings,
        platform: PlatformLog,
        pool_demand: DemandSource,
        owner_demand: DemandSource,
        preempt: Callable[[str, int], None],
        clock: Clock,
        max_tail_bytes: int,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._pool_demand = pool_demand
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        self.control = Stream("control", ControlState(), clock)
        self.work = Stream("work", WorkState(), clock, max_tail_bytes)
        self.platform = PlatformHealth(platform, clock)
        self.info = PeerInfo(
            node_id=settings.node_id,
            incarnation_ms=clock.wall_ms(),
            peer_address=settings.peer_address,
            operator_address=settings.operator_address,
            data_centre=settings.data_centre,
        )
        self.peer_client = GrpcPeerClient()
        self.peer_service = PeerService(
            self.info,
            {"control": self.control, "work": self.work},
            self.platform,
            pool_demand,
            owner_demand,
            preempt,
        )
        self.membership = Membership(
            self.info,
            settings.peers,
            self.peer_client,
            clock,
            self.peer_service.build_digest,
            self.peer_service.handle_digest,
        )
        self.peer_service.attach_membership(self.membership)
        self.followers: tuple[StreamFollower[Any], ...] = (
            self._build_follower(self.control, ControlState.decode),
            self._build_follower(self.work, WorkState.decode),
        )

    def _build_follower(self, stream: Stream[Any], decode: Any) -> StreamFollower[Any]:
        return StreamFollower(
            stream,
            decode,
            self.platform,
            self.peer_client,
            self.membership,
            self._clock,
        )

    async def __aenter__(self) -> Self:
        """Listen to peers, exchange heartbeats and follow the streams."""
        await self._stack.enter_async_context(self.peer_client)
        await self._stack.enter_async_context(
            PeerServer(self.peer_service, self._settings.peer_address)
        )
        await self._stack.enter_async_context(self.membership)
        self._start_task("platform probe", self.platform.run)
        for follower in self.followers:
            self._start_task(f"follow {follower.stream.name}", follower.run)
            snapshots = SnapshotWriter(
                follower.stream,
                self.platform,
                self._clock,
                self._settings.snapshot_records,
                self._settings.snapshot_age_ms,
            )
            self._start_task(f"snapshot {follower.stream.name}", snapshots.run)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Cancel the tasks, then close the exchange with peers."""
        await cancel_tasks(self._tasks)
        await self._stack.aclose()

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervise(name, run), name=name))

    def build_writer(self, stream: Stream[Any]) -> StreamWriter:
        """Return a writer that falls back to appending through a peer's relay."""
        relay = build_relay(self.membership, self.peer_client)
        return StreamWriter(
            stream, self.platform, self._clock, self._settings.batch_ms, relay
        )

    def list_live_peers(self) -> list[PeerView]:
        """Return live peers that are not leaving, excluding this node."""
        return self.membership.list_live()

    def sum_pool_demand(self) -> Mapping[str, float]:
        """Return the demand of this node and its live peers, in slots by pool."""
        total = Counter(self._pool_demand())
        for peer in self.list_live_peers():
            total.update(peer.pool_demand)
        return total

    def is_planner(self) -> bool:
        """Return whether this node is the planner.

        The planner is the live entry host with the lowest id that reaches the platform.
        """
        can_plan = self.platform.is_reachable and not self.membership.is_leaving
        reaching = [
            peer.node_id
            for peer in self.list_live_peers()
            if peer.is_platform_reachable
        ]
        return is_planner_node(self.info.node_id, can_plan, reaching)

    @property
    def is_up_to_date(self) -> bool:
        """Return whether both streams have been read to their ends and not halted."""
        return all(
            follower.is_caught_up and follower.stream.halt_reason is None
            for follower in self.followers
        )
