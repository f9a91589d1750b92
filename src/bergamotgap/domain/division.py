"""Division of slots and quotas among the entry hosts, from demand they exchange."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from bergamotgap.domain.slots import (
    FLOOR_FRACTION,
    ROTATION_MS,
    SmoothedDemand,
    divide_slots,
)

# Names in catalogues contain no slash, so the key of an entry never equals an owner's.
ENTRY_PREFIX = "entry/"


def entry_key(entry: str) -> str:
    """Return the key of an entry among keys of owners and entries."""
    return ENTRY_PREFIX + entry


class PeerDemand(Protocol):
    """Demand reported by a live peer."""

    @property
    def node_id(self) -> str:
        """Return the peer's id."""

    @property
    def pool_demand(self) -> Mapping[str, float]:
        """Return the peer's demand by pool, in slots."""

    @property
    def owner_demand(self) -> Mapping[str, float]:
        """Return the peer's demand by owner and by `entry_key`, in slots."""


class SlotDivider:
    """Computes this node's grants from its own demand and its peers'.

    A node is an entry host; its grant is the number of slots that it may use. A node
    uses for itself exactly the demand that it reports to its peers, so that all nodes
    that received the same digests compute the same division.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._demand_by_pool = SmoothedDemand()
        self._demand_by_key = SmoothedDemand()
        self._peers: Sequence[PeerDemand] = ()
        self._known_nodes: Sequence[str] = ()
        self._rotation = 0
        # Fleet-wide limits that have been divided, by owner and by `entry_key`.
        self._limits_by_key: dict[str, int] = {}

    def update_peers(
        self,
        wall_ms: int,
        peers: Sequence[PeerDemand],
        known_nodes: Sequence[str],
    ) -> None:
        """Set the peers' latest demand; `known_nodes` also names peers not live."""
        self._rotation = wall_ms // ROTATION_MS
        self._peers = peers
        self._known_nodes = known_nodes

    def update_demand(
        self, now_ms: int, pools: Mapping[str, float], owners: Mapping[str, float]
    ) -> None:
        """Set this node's current demand, in slots; it is smoothed over time."""
        self._demand_by_pool.update(pools, now_ms)
        self._demand_by_key.update(owners, now_ms)

    @property
    def pool_demand(self) -> Mapping[str, float]:
        """Return the demand by pool that the last division used, in slots."""
        return self._demand_by_pool.values

    @property
    def owner_demand(self) -> Mapping[str, float]:
        """Return the demand by owner, and by entry if it is above the floor.

        An entry's demand below the floor does not affect any grant and is left out.
        """
        count = len(
            {self._node, *self._known_nodes, *(peer.node_id for peer in self._peers)}
        )
        return {
            key: value
            for key, value in self._demand_by_key.values.items()
            if not key.startswith(ENTRY_PREFIX)
            or value > FLOOR_FRACTION * self._limits_by_key.get(key, 0) / count
        }

    def divide_pool(self, pool: str, total: int) -> int:
        """Return this node's share of a pool's slots."""
        demands = {
            peer.node_id: peer.pool_demand.get(pool, 0.0) for peer in self._peers
        }
        demands[self._node] = self._demand_by_pool.values.get(pool, 0.0)
        return divide_slots(
            total, self._node, demands, self._known_nodes, self._rotation
        )

    def divide_limit(self, key: str, total: int) -> int:
        """Return this node's share of an owner's quota or an entry's `max_running`."""
        self._limits_by_key[key] = total
        demands = {
            peer.node_id: peer.owner_demand.get(key, 0.0) for peer in self._peers
        }
        demands[self._node] = self._demand_by_key.values.get(key, 0.0)
        return divide_slots(
            total, self._node, demands, self._known_nodes, self._rotation
        )
