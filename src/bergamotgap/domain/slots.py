"""Divides slots among the live entry hosts, here called nodes, by demand."""

import math
from collections import deque
from collections.abc import Mapping, Sequence

# A larger grant takes effect only after this time, which covers two digest intervals.
# By then the nodes that lose slots have received the same digests and no longer use
# them.
GRANT_HOLD_MS = 600
# Minimum that a node without demand keeps, as a fraction of an equal share.
FLOOR_FRACTION = 0.25
# With fewer slots than nodes, the slots rotate among the nodes at this interval.
ROTATION_MS = 2000
DEMAND_DECAY_MS = 500


def share_equally(
    total: int, nodes: Sequence[str], node: str, rotation: int = 0
) -> int:
    """Return a node's equal share; the shares of all nodes sum to `total`."""
    ordered = sorted(set(nodes) | {node})
    shift = rotation if total < len(ordered) else 0
    position = (ordered.index(node) + shift) % len(ordered)
    base, rest = divmod(total, len(ordered))
    return base + (1 if position < rest else 0)


def divide_max_min(total: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return the max-min fair division of `total`; any surplus is split equally.

    A node gets its full demand unless that exceeds an equal share of what nodes with
    lower demand leave over.
    """
    grants: dict[str, float] = {}
    left = total
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for index, (node, demand) in enumerate(ordered):
        grants[node] = min(demand, left / (len(ordered) - index))
        left -= grants[node]
    extra = left / len(grants) if grants else 0.0
    return {node: grant + extra for node, grant in grants.items()}


def round_grants(
    total: int, grants: Mapping[str, float], rotation: int = 0
) -> dict[str, int]:
    """Round grants to whole slots by largest remainder, so that they sum to `total`.

    Equal remainders are ordered by node id. If there are fewer slots than nodes, the
    order starts at a different node for each `rotation`, so that every node gets a slot
    from time to time.
    """
    ordered = sorted(grants)
    whole = {node: math.floor(grants[node] + 1e-9) for node in ordered}
    missing = total - sum(whole.values())
    count = len(ordered)
    shift = rotation if total < count else 0
    ranked = sorted(
        (round(whole[node] - grants[node], 6), (index + shift) % count, node)
        for index, node in enumerate(ordered)
    )
    for _, _, node in ranked[: max(0, missing)]:
        whole[node] += 1
    return whole


def divide_slots(
    total: int,
    node: str,
    demands: Mapping[str, float],
    known_nodes: Sequence[str],
    rotation: int = 0,
) -> int:
    """Return how many of `total` slots `node` may use.

    `demands` holds this node and its live peers; `known_nodes` also names nodes that
    are not live. Each of these keeps an equal share, because it may be using that share
    on the other side of a network partition. Accordingly, a node without live peers
    uses an equal share.
    """
    silent = {name for name in known_nodes if name not in demands and name != node}
    left = total
    if silent:
        everyone = sorted({node, *known_nodes, *demands})
        left -= sum(share_equally(total, everyone, name, rotation) for name in silent)
    floor = FLOOR_FRACTION * left / max(1, len(demands))
    if left >= len(demands):
        floor = max(1.0, floor)
    wanted = {name: max(floor, min(demand, left)) for name, demand in demands.items()}
    wanted.setdefault(node, floor)
    return round_grants(left, divide_max_min(left, wanted), rotation)[node]


class Allowance:
    """Follows a changing grant: shrinks at once, grows to grants `hold_ms` old."""

    def __init__(self, hold_ms: int = GRANT_HOLD_MS) -> None:
        self._hold_ms = hold_ms
        self._grants: deque[tuple[int, int]] = deque()
        self.value = 0

    def update(self, grant: int, now_ms: int) -> int:
        """Set the latest grant and return the lowest one of the last `hold_ms`."""
        while self._grants and self._grants[-1][1] > grant:
            self._grants.pop()
        if not self._grants or self._grants[-1][1] < grant:
            self._grants.append((now_ms, grant))
        # The stored grants increase with time. A lower one stays in effect until the
        # next higher one is `hold_ms` old.
        while len(self._grants) > 1 and (self._grants[1][0] <= now_ms - self._hold_ms):
            self._grants.popleft()
        self.value = self._grants[0][1]
        return self.value


class SmoothedDemand:
    """Demand by name that rises immediately and decays exponentially.

    The decay prevents short gaps in demand from moving slots between nodes.
    """

    def __init__(self, decay_ms: float = DEMAND_DECAY_MS) -> None:
        self._decay_ms = decay_ms
        self._updated_ms: int | None = None
        self.values: dict[str, float] = {}

    def update(self, raw: Mapping[str, float], now_ms: int) -> Mapping[str, float]:
        """Update with the current demand and return the smoothed demand."""
        elapsed_ms = now_ms - (now_ms if self._updated_ms is None else self._updated_ms)
        self._updated_ms = now_ms
        keep = math.exp(-elapsed_ms / self._decay_ms)
        values: dict[str, float] = {}
        for name in self.values.keys() | raw.keys():
            now = raw.get(name, 0.0)
            value = max(now, now + (self.values.get(name, 0.0) - now) * keep)
            if value >= 0.01:
                values[name] = value
        self.values = values
        return values
