"""Decide which pools give hosts away and which get them, from measured demand.

A host is moved only when another pool is short by more than the price of moves, or has
been short for long, and then straight from the pool with the largest surplus; the spare
pool comes first among equals. Hosts stay where they are until then: returning each one
to the spare pool after a peak would double the moves (docs/decisions/moves.md).
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from bergamotgap.domain.control_data import HostState

# Slots above the measured demand that a pool should have, as a part of the demand.
HEADROOM_FRACTION = 0.05
# The price of moves: a pool gets hosts when its demand exceeds what it serves by this
# part. Demand includes the queue, so a lasting shortage grows until it is worth moves,
# while a queue of a fraction of a run time is not.
MIN_SHORTAGE_FRACTION = 0.6
# A smaller shortage is worth moves when it has lasted this long: with long tasks, a
# queue that the price lets pass would wait for most of a run time.
LONG_SHORTAGE_MS = 15_000
# Once its price is met, a pool is filled until it lacks less than this part of a host.
FILL_TOLERANCE_HOSTS = 0.5
# A pool that has just received hosts gets no more until the demand measured since then
# has reached the planner in the digests of the other entry hosts.
COOLDOWN_MS = 2000
# Demand of a pool that was filled lately is mostly queue: it gets one host at a time.
RECENTLY_FILLED_MS = 20_000


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """One pool: its hosts, its limits and its demand in hosts.

    `serving` counts hosts that take work, `keep` those that limits and budgets keep
    here, `capacity` is the room up to `max_hosts`; `demand` is the measured demand in
    hosts, without headroom. `received_ms_ago` tells when the pool last got a host,
    `short_ms` for how long it has been short without a break.
    """

    name: str
    serving: int
    min_serving: int
    free_places: int
    demand: float
    is_spare: bool = False
    received_ms_ago: float = math.inf
    short_ms: int = 0

    @property
    def wanted_hosts(self) -> int:
        """Return how many hosts the pool should get now; 0 if not worth the moves."""
        is_worth_it = self.missing_hosts >= MIN_SHORTAGE_FRACTION * self.serving
        if self.received_ms_ago < COOLDOWN_MS:
            return 0
        if not is_worth_it and self.short_ms < LONG_SHORTAGE_MS:
            return 0
        wanted = max(0, math.ceil(self.missing_hosts - FILL_TOLERANCE_HOSTS))
        return min(wanted, 1) if self.received_ms_ago < RECENTLY_FILLED_MS else wanted

    @property
    def missing_hosts(self) -> float:
        """Return the hosts that the pool lacks; negative for a surplus."""
        return self.demand * (1 + HEADROOM_FRACTION) - self.serving

    @property
    def surplus_hosts(self) -> int:
        """Return how many hosts the pool can give away now."""
        return self.serving - max(
            self.min_serving, math.ceil(self.demand * (1 + HEADROOM_FRACTION))
        )


class ShortageTimer:
    """Measure for how long each pool has been short; starts anew after a restart."""

    def __init__(self) -> None:
        self._since_ms: dict[str, int] = {}

    def measure(self, now_ms: int, loads: Iterable[PoolLoad]) -> list[PoolLoad]:
        """Return the loads with `short_ms` set."""
        measured = []
        for load in loads:
            if load.missing_hosts < FILL_TOLERANCE_HOSTS:
                self._since_ms.pop(load.name, None)
            since_ms = self._since_ms.get(load.name, now_ms)
            if load.missing_hosts >= FILL_TOLERANCE_HOSTS:
                self._since_ms[load.name] = since_ms
            measured.append(replace(load, short_ms=now_ms - since_ms))
        return measured


def choose_receiver(loads: Iterable[PoolLoad]) -> str | None:
    """Return the pool that an unassigned host goes to; None when all are full.

    A short pool comes first, then the spare pool, then the one with the least surplus.
    """
    open_pools = [load for load in loads if load.free_places > 0]
    if not open_pools:
        return None
    best = min(
        open_pools,
        key=lambda load: (
            -max(0.0, load.missing_hosts),
            not load.is_spare,
            load.surplus_hosts,
            load.name,
        ),
    )
    return best.name


def add_host(loads: Sequence[PoolLoad], pool: str, change: int = 1) -> list[PoolLoad]:
    """Return the loads after a host was added to a pool, or taken from it."""
    return [
        (
            replace(
                load,
                serving=load.serving + change,
                free_places=load.free_places - change,
            )
            if load.name == pool
            else load
        )
        for load in loads
    ]


def choose_transfers(
    loads: Sequence[PoolLoad], unassigned: int
) -> list[tuple[str, str]]:
    """Return (donor, receiver) for each host to release now.

    Hosts that are already between pools count for the pools that will get them.
    """
    for _ in range(unassigned):
        receiver = choose_receiver(loads)
        if receiver is None:
            return []
        loads = add_host(loads, receiver)
    wanted = Counter({load.name: load.wanted_hosts for load in loads})
    chosen: list[tuple[str, str]] = []
    while True:
        pair = _choose_pair(loads, wanted)
        if pair is None:
            return chosen
        chosen.append(pair)
        wanted[pair[1]] -= 1
        loads = add_host(add_host(loads, pair[0], -1), pair[1])


def _choose_pair(
    loads: Sequence[PoolLoad], wanted: Mapping[str, int]
) -> tuple[str, str] | None:
    receivers = [
        load for load in loads if wanted[load.name] > 0 and load.free_places > 0
    ]
    donors = [load for load in loads if load.surplus_hosts > 0]
    if not receivers or not donors:
        return None
    receiver = max(receivers, key=lambda load: (load.missing_hosts, load.name))
    donor = max(donors, key=lambda load: (load.surplus_hosts, load.is_spare, load.name))
    return donor.name, receiver.name


def choose_host(
    candidates: Iterable[HostState],
    receiver: Sequence[HostState],
    busy: Mapping[str, int],
) -> HostState | None:
    """Return the candidate that spreads the receiving pool best over places.

    Fewest hosts in its data centre, then in its rack, then fewest running tasks.
    """
    centres = Counter(host.facts.data_centre for host in receiver)
    racks = Counter(host.facts.rack for host in receiver)
    return min(
        candidates,
        key=lambda host: (
            centres[host.facts.data_centre],
            racks[host.facts.rack],
            busy.get(host.facts.host, 0),
            host.facts.host,
        ),
        default=None,
    )
