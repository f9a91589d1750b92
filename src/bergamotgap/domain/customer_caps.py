"""Divides the caps of customers among the pools; performs no I/O.

A share is a fraction of a cap, the same in each of its dimensions.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from bergamotgap.domain.fleet import FleetConfig, Size

# Part of each cap that is divided equally among the pools and needs no grant.
BASE_SHARE = 0.25
# Bounds the error of sums of shares.
TOLERANCE = 1e-9
# A pool whose next task was held back for so long may exceed its share by this task, if
# its customer uses less than this part of its cap in all pools.
PERMIT_WAIT_MS = 1000
PERMIT_USE_LIMIT = 0.5
# A base share rises only after this time: a new configuration is in force at all nodes
# within 3 s, and an owner without the log acts for 2 s at most.
BASE_SETTLE_MS = 5000


class CustomerUse(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """What one customer uses and wants in a pool, as fractions of its cap.

    `held` is granted beyond the base share. `ready` is the use if all tasks started for
    which the pool has room, `wanted` the use if all waiting tasks started. `least` is
    the share that the next task held back by the cap needs to start once the runs that
    end have ended, and `waits_ms` how long it has been held back.
    """

    held: float = 0.0
    used: float = 0.0
    ready: float = 0.0
    wanted: float = 0.0
    least: float = 0.0
    waits_ms: int = 0
    has_permit: bool = False


@dataclass(frozen=True)
class Division:
    """Target of each pool's grant, and the pool that may exceed its share, if any."""

    targets: dict[str, float]
    order: list[str]
    permit: str = ""


def list_caps(config: FleetConfig | None) -> dict[str, Size]:
    """Return the caps of the customers that have a limit in any dimension."""
    if config is None or config.customers is None:
        return {}
    customers = config.customers.by_name.values()
    return {c.name: c.cap for c in customers if any(limit > 0 for limit in c.cap)}


def list_pools(config: FleetConfig) -> frozenset[str]:
    """Return the pools among which caps are divided."""
    return frozenset(config.services) - config.spare_services


def measure_base_share(config: FleetConfig, pool: str) -> float:
    """Return a pool's part of a cap that needs no grant; 0 for a removed pool."""
    pools = list_pools(config)
    return BASE_SHARE / len(pools) if pool in pools else 0.0


def measure_fraction(size: Sequence[int], cap: Size) -> float:
    """Return the largest fraction of a cap that a size takes in any dimension."""
    return max(
        (part / limit for part, limit in zip(size, cap, strict=True) if limit > 0),
        default=0.0,
    )


def fits_share(
    used: Sequence[int], size: Size, share: float, cap: Size, count: int, excess: int
) -> bool:
    """Return whether `count` tasks fit into a share, `excess` of them beyond it."""
    return all(
        used_part + (count - excess) * part <= (share + TOLERANCE) * limit
        for used_part, part, limit in zip(used, size, cap, strict=True)
        if limit > 0 and part > 0
    )


def permits_start(
    used: Sequence[int],
    size: Size,
    share: float,
    cap: Size,
    count: int,
    has_permit: bool,
) -> bool:
    """Return whether a task, or a whole gang, may start within a share of a cap."""
    return fits_share(used, size, share, cap, count, 0) or (
        has_permit and fits_share(used, size, share, cap, count, 1)
    )


def can_ever_fit(size: Size, base: float, cap: Size, count: int) -> bool:
    """Return whether a gang fits into the largest share of a pool and one task more."""
    return fits_share((0, 0, 0), size, base + 1 - BASE_SHARE, cap, count, 1)


def count_fitting(
    used: Sequence[int], size: Size, share: float, cap: Size, count: int
) -> int:
    """Return how many of `count` tasks fit into a share."""
    fitting = [
        int(((share + TOLERANCE) * limit - used_part) // part)
        for used_part, part, limit in zip(used, size, cap, strict=True)
        if limit > 0 and part > 0
    ]
    return max(0, min([count, *fitting]))


def divide_cap(
    uses: Mapping[str, CustomerUse], bases: Mapping[str, float], budget: float
) -> Division:
    """Divide `budget` of one customer's cap among the pools that it uses.

    Pools whose next task was held back longest get the share for it first. Otherwise
    the budget goes in equal parts to what can start at once, then to all that waits.
    What then remains is spread over all pools, so that a pool whose turn begins need
    not wait until another one has given its share back.
    """
    order = sorted(uses, key=lambda pool: (-uses[pool].waits_ms, pool))
    permit = _choose_permit(uses, bases, budget, order)
    targets = dict.fromkeys(order, 0.0)
    left = budget
    served = []
    for pool in order:
        least = max(0.0, uses[pool].least - bases[pool])
        if pool == permit:
            least = min(least, left)
        if least <= left + TOLERANCE:
            targets[pool] = min(least, left)
            left -= targets[pool]
            served.append(pool)
    left = _fill(targets, {p: uses[p].ready - bases[p] for p in served}, left)
    left = _fill(targets, {p: uses[p].wanted - bases[p] for p in order}, left)
    _fill(targets, dict.fromkeys(order, budget), left)
    return Division(targets, order, permit)


def _choose_permit(
    uses: Mapping[str, CustomerUse],
    bases: Mapping[str, float],
    budget: float,
    order: Sequence[str],
) -> str:
    """Return the pool that may exceed its share by one task, if it needs to."""
    first = next((pool for pool in order if uses[pool].least > 0), "")
    if not first:
        return ""
    use = uses[first]
    if use.least - bases[first] > budget + TOLERANCE:
        return first
    total = sum(other.used for other in uses.values())
    has_waited = use.waits_ms >= PERMIT_WAIT_MS
    return first if has_waited and total < PERMIT_USE_LIMIT else ""


def _fill(targets: dict[str, float], limits: Mapping[str, float], left: float) -> float:
    """Raise targets by equal parts up to their limits; return what is left."""
    missing = sorted(
        (limit - targets[pool], pool)
        for pool, limit in limits.items()
        if limit > targets[pool]
    )
    for index, (amount, pool) in enumerate(missing):
        given = min(amount, left / (len(missing) - index))
        targets[pool] += given
        left -= given
    return left


def limit_raises(
    division: Division,
    granted: Mapping[str, float],
    claims: Mapping[str, float],
    budget: float,
) -> dict[str, float]:
    """Return the grants to send: raised only up to what other pools don't claim.

    `granted` is what each pool may hold already; its claim can be larger by its use.
    """
    grants = {}
    claimed = sum(claims.values())
    for pool in division.order:
        limit = budget - (claimed - claims[pool])
        grants[pool] = min(division.targets[pool], max(granted[pool], limit))
        claimed += max(0.0, grants[pool] - claims[pool])
    return grants


@dataclass
class BaseShare:
    """A pool's base share, which falls at once and rises after BASE_SETTLE_MS.

    Until all nodes use a new configuration, others may count with a larger part.
    """

    _history: list[tuple[int, float]] = field(default_factory=list)

    def record(self, now_ms: int, base: float) -> None:
        """Record the base share by the configuration in force from now on."""
        if not self._history or self._history[-1][1] != base:
            self._history.append((now_ms, base))

    def measure(self, now_ms: int) -> float:
        """Return the base share that may be used now."""
        while len(self._history) > 1 and (
            now_ms - self._history[1][0] >= BASE_SETTLE_MS
        ):
            del self._history[0]
        return min((base for _, base in self._history), default=0.0)
