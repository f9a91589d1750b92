"""Heartbeats with the other entry hosts and the list of live ones."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bergamotgap.domain.clock import Clock

PEER_LIVE_MS = 3000


@dataclass(frozen=True, slots=True)
class PeerView:
    """What this node last heard from a peer; `heard_ms` is our monotonic time."""

    node_id: str
    incarnation_ms: int
    peer_address: str
    operator_address: str
    data_centre: str
    heard_ms: int
    control_offset: int = 0
    work_offset: int = 0
    catalogue_revision: int = 0
    is_leaving: bool = False
    is_platform_reachable: bool = False
    pool_demand: Mapping[str, float] = field(default_factory=dict)
    owner_demand: Mapping[str, float] = field(default_factory=dict)


class Membership:
    """Own the views of peers and the tasks that exchange digests with them.

    Demand is in slots: running plus queued tasks of this node.
    """

    def __init__(
        self,
        node_id: str,
        clock: Clock,
        pool_demand: Callable[[], Mapping[str, float]],
        owner_demand: Callable[[], Mapping[str, float]],
    ) -> None:
        self._node_id = node_id
        self._clock = clock
        self._pool_demand = pool_demand
        self._owner_demand = owner_demand
        self._peers: dict[str, PeerView] = {}
        self._is_leaving = False

    @property
    def node_id(self) -> str:
        """Return this node's own id."""
        return self._node_id

    def list_known(self) -> list[PeerView]:
        """Return all known peers, live or not, without this node."""
        return list(self._peers.values())

    def list_live(self) -> list[PeerView]:
        """Return peers heard within `PEER_LIVE_MS` that are not leaving."""
        limit_ms = self._clock.monotonic_ms() - PEER_LIVE_MS
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_ms >= limit_ms and not peer.is_leaving
        ]

    def is_live(self, node_id: str) -> bool:
        """Return whether a node is this one or a live peer."""
        if node_id == self._node_id:
            return True
        return any(peer.node_id == node_id for peer in self.list_live())

    def announce_leaving(self) -> None:
        """Tell peers with the next digest that this node stops."""
        self._is_leaving = True
