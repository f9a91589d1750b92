"""What this entry host knows for dividing slots and quotas with its peers."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from bergamotgap.domain.slots import (
    FLOOR_FRACTION,
    ROTATION_MS,
    SmoothedDemand,
    divide_slots,
)

# Names in catalogues have no slash, so an entry's demand can't be taken for an owner's.
ENTRY_PREFIX = "entry/"


def entry_key(entry: str) -> str:
    """Return the name of an entry's demand among the owners' demands."""
    return ENTRY_PREFIX + entry


class PeerDemand(Protocol):
    """What the division needs to know of a live peer."""

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
    """Demand of this node and its peers, and the grants that follow from it.

    A node uses for itself exactly the demand that it tells its peers, so that all
    nodes that saw the same digests compute the same division.
    """

    def __init__(self, node: str) -> None:
        self._node = node
        self._pools = SmoothedDemand()
        self._owners = SmoothedDemand()
        self._peers: Sequence[PeerDemand] = ()
        self._known: Sequence[str] = ()
        self._turn = 0
        self._totals: dict[str, int] = {}

    def update_peers(
        self,
        wall_ms: int,
        peers: Sequence[PeerDemand],
        known: Sequence[str],
    ) -> None:
        """Take in the peers' newest demand; `known` also names silent peers."""
        self._turn = wall_ms // ROTATION_MS
        self._peers = peers
        self._known = known

    def update_demand(
        self, now_ms: int, pools: Mapping[str, float], owners: Mapping[str, float]
    ) -> None:
        """Take in the demand of this moment, in slots."""
        self._pools.update(pools, now_ms)
        self._owners.update(owners, now_ms)

    @property
    def pool_demand(self) -> Mapping[str, float]:
        """Return the demand by pool that the last division used, in slots."""
        return self._pools.values

    @property
    def owner_demand(self) -> Mapping[str, float]:
        """Return the demand by owner, and by entry where it is above the floor.

        Below the floor a demand changes no grant, so it need not be told.
        """
        count = len({self._node, *self._known, *(peer.node_id for peer in self._peers)})
        return {
            key: value
            for key, value in self._owners.values.items()
            if not key.startswith(ENTRY_PREFIX)
            or value > FLOOR_FRACTION * self._totals.get(key, 0) / count
        }

    def divide_pool(self, pool: str, total: int) -> int:
        """Return this node's part of a pool's slots."""
        demands = {
            peer.node_id: peer.pool_demand.get(pool, 0.0) for peer in self._peers
        }
        demands[self._node] = self._pools.values.get(pool, 0.0)
        return divide_slots(total, self._node, demands, self._known, self._turn)

    def divide_limit(self, key: str, total: int) -> int:
        """Return this node's part of an owner's quota or an entry's `max_running`."""
        self._totals[key] = total
        demands = {
            peer.node_id: peer.owner_demand.get(key, 0.0) for peer in self._peers
        }
        demands[self._node] = self._owners.values.get(key, 0.0)
        return divide_slots(total, self._node, demands, self._known, self._turn)
