"""Divide slots among the live entry hosts by demand."""

import math
from collections import deque
from collections.abc import Mapping, Sequence

# A grant is used only after it has stood for this long, so that the hosts that give
# slots up have seen the same digests before others use these slots. It covers two
# digest intervals.
GRANT_HOLD_MS = 600
# Least part of an equal share that a host without demand keeps.
FLOOR_FRACTION = 0.25
# Where there are fewer slots than hosts, they rotate among the hosts with this period.
ROTATION_MS = 2000
DEMAND_DECAY_MS = 500


def share_equally(total: int, nodes: Sequence[str], node: str, turn: int = 0) -> int:
    """Return a node's equal share; the shares of all nodes add up to `total`."""
    ordered = sorted(set(nodes) | {node})
    shift = turn if total < len(ordered) else 0
    place = (ordered.index(node) + shift) % len(ordered)
    base, rest = divmod(total, len(ordered))
    return base + (1 if place < rest else 0)


def divide_max_min(total: float, demands: Mapping[str, float]) -> dict[str, float]:
    """Return the max-min fair division of `total`; what nobody needs is split equally.

    A host gets its whole demand unless it asks for more than an equal part of what
    the less demanding hosts leave over.
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
    total: int, grants: Mapping[str, float], turn: int = 0
) -> dict[str, int]:
    """Round to whole slots by largest remainder; the sum is `total`.

    Equal remainders are ordered by node id. With fewer slots than nodes, the order
    starts at another node each turn, so that every node gets a slot at times.
    """
    ordered = sorted(grants)
    whole = {node: math.floor(grants[node] + 1e-9) for node in ordered}
    missing = total - sum(whole.values())
    count = len(ordered)
    shift = turn if total < count else 0
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
    known: Sequence[str],
    turn: int = 0,
) -> int:
    """Return the slots of `total` that `node` may use.

    `demands` holds this node and its live peers; `known` also names silent nodes. Each
    silent node keeps the equal share that it may be using behind a cut, so that a node
    that hears nobody has an equal share.
    """
    silent = {name for name in known if name not in demands and name != node}
    left = total
    if silent:
        everyone = sorted({node, *known, *demands})
        left -= sum(share_equally(total, everyone, name, turn) for name in silent)
    floor = FLOOR_FRACTION * left / max(1, len(demands))
    if left >= len(demands):
        floor = max(1.0, floor)
    wanted = {name: max(floor, min(demand, left)) for name, demand in demands.items()}
    wanted.setdefault(node, floor)
    return round_grants(left, divide_max_min(left, wanted), turn)[node]


class Allowance:
    """Follow a changing grant: shrink at once, grow once it has stood for `hold_ms`."""

    def __init__(self, hold_ms: int = GRANT_HOLD_MS) -> None:
        self._hold_ms = hold_ms
        self._targets: deque[tuple[int, int]] = deque()
        self.value = 0

    def update(self, target: int, now_ms: int) -> int:
        """Take in the newest grant and return the least one of the last `hold_ms`."""
        while self._targets and self._targets[-1][1] > target:
            self._targets.pop()
        if not self._targets or self._targets[-1][1] < target:
            self._targets.append((now_ms, target))
        # A lower grant counts until the next higher one has stood long enough.
        while len(self._targets) > 1 and (
            self._targets[1][0] <= now_ms - self._hold_ms
        ):
            self._targets.popleft()
        self.value = self._targets[0][1]
        return self.value


class SmoothedDemand:
    """Demand by name that rises at once and falls slowly.

    Peaks are held so that short gaps in demand move no slots between hosts.
    """

    def __init__(self, decay_ms: float = DEMAND_DECAY_MS) -> None:
        self._decay_ms = decay_ms
        self._updated_ms: int | None = None
        self.values: dict[str, float] = {}

    def update(self, raw: Mapping[str, float], now_ms: int) -> Mapping[str, float]:
        """Take in the demand of this moment and return the smoothed one."""
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
