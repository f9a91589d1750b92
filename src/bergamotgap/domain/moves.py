"""Decides from measured demand which pools release hosts and which receive them.

A host is moved only when another pool's shortage is large enough to justify moves or
has persisted, and then directly from the pool with the largest surplus. Among equal
surpluses the spare pool is preferred. Until then hosts stay where they are: returning
them to the spare pool after each peak would double the number of moves (see
docs/decisions/moves.md).
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from bergamotgap.domain.control_data import HostState

# Slots that a pool should have above its measured demand, as a fraction of the demand.
HEADROOM_FRACTION = 0.05
# A pool receives hosts when its shortage is at least this fraction of its serving
# hosts. Demand includes the queue, so a persistent shortage grows until it justifies
# moves, while a queue worth a fraction of a run time does not.
MIN_SHORTAGE_FRACTION = 0.6
# A smaller shortage justifies moves once it has persisted for this long. With long
# tasks, a queue below the threshold would otherwise wait for most of a run time.
LONG_SHORTAGE_MS = 15_000
# A pool that receives hosts is filled until it lacks less than this fraction of a host.
FILL_TOLERANCE_HOSTS = 0.5
# A pool that has just received hosts gets no more until demand measured since then has
# reached the planner through the digests of the other entry hosts.
COOLDOWN_MS = 2000
# The demand of a recently filled pool is mostly its queue, so it gets one host at a
# time during this period.
RECENTLY_FILLED_MS = 20_000


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Hosts, limits and demand of one pool.

    `serving` counts the hosts that take work, `min_serving` those that limits and
    budgets require, `addable_hosts` how many may be added before `max_hosts` is
    reached. `demand` is the measured demand in hosts, without headroom.
    `received_ms_ago` is the time since the pool last received a host, `shortage_ms`
    how long its current shortage has lasted without interruption.
    """

    name: str
    serving: int
    min_serving: int
    addable_hosts: int
    demand: float
    is_spare: bool = False
    received_ms_ago: float = math.inf
    shortage_ms: int = 0

    @property
    def wanted_hosts(self) -> int:
        """Return how many hosts to add now; 0 if the shortage doesn't justify moves."""
        is_large_shortage = self.missing_hosts >= MIN_SHORTAGE_FRACTION * self.serving
        if self.received_ms_ago < COOLDOWN_MS:
            return 0
        if not is_large_shortage and self.shortage_ms < LONG_SHORTAGE_MS:
            return 0
        wanted = max(0, math.ceil(self.missing_hosts - FILL_TOLERANCE_HOSTS))
        return min(wanted, 1) if self.received_ms_ago < RECENTLY_FILLED_MS else wanted

    @property
    def missing_hosts(self) -> float:
        """Return how many hosts the pool lacks; negative for a surplus."""
        return self.demand * (1 + HEADROOM_FRACTION) - self.serving

    @property
    def surplus_hosts(self) -> int:
        """Return how many hosts the pool can release now."""
        return self.serving - max(
            self.min_serving, math.ceil(self.demand * (1 + HEADROOM_FRACTION))
        )


class ShortageTimer:
    """Measures how long each pool's shortage has lasted.

    The state is in memory only, so that a restart of the process resets it.
    """

    def __init__(self) -> None:
        self._short_since_ms: dict[str, int] = {}

    def measure(self, now_ms: int, loads: Iterable[PoolLoad]) -> list[PoolLoad]:
        """Return the loads with `shortage_ms` set."""
        measured = []
        for load in loads:
            if load.missing_hosts < FILL_TOLERANCE_HOSTS:
                self._short_since_ms.pop(load.name, None)
            since_ms = self._short_since_ms.get(load.name, now_ms)
            if load.missing_hosts >= FILL_TOLERANCE_HOSTS:
                self._short_since_ms[load.name] = since_ms
            measured.append(replace(load, shortage_ms=now_ms - since_ms))
        return measured


def choose_receiver(loads: Iterable[PoolLoad]) -> str | None:
    """Return the pool to assign an unassigned host to, or None if all are full.

    The pool with the largest shortage is preferred, then the spare pool, then the pool
    with the smallest surplus.
    """
    open_pools = [load for load in loads if load.addable_hosts > 0]
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


def change_host_count(
    loads: Sequence[PoolLoad], pool: str, change: int = 1
) -> list[PoolLoad]:
    """Return the loads as they are once a host is added (1) or removed (-1)."""
    return [
        (
            replace(
                load,
                serving=load.serving + change,
                addable_hosts=load.addable_hosts - change,
            )
            if load.name == pool
            else load
        )
        for load in loads
    ]


def choose_transfers(
    loads: Sequence[PoolLoad], unassigned: int
) -> list[tuple[str, str]]:
    """Return a pair of donor and receiver pools for each host to release now.

    Unassigned hosts already count for the pools that will receive them.
    """
    for _ in range(unassigned):
        receiver = choose_receiver(loads)
        if receiver is None:
            return []
        loads = change_host_count(loads, receiver)
    wanted = Counter({load.name: load.wanted_hosts for load in loads})
    chosen: list[tuple[str, str]] = []
    while True:
        pair = _choose_transfer(loads, wanted)
        if pair is None:
            return chosen
        chosen.append(pair)
        wanted[pair[1]] -= 1
        loads = change_host_count(change_host_count(loads, pair[0], -1), pair[1])


def _choose_transfer(
    loads: Sequence[PoolLoad], wanted: Mapping[str, int]
) -> tuple[str, str] | None:
    receivers = [
        load for load in loads if wanted[load.name] > 0 and load.addable_hosts > 0
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
    """Return the candidate that best spreads the receiving pool over data centres.

    Prefers the candidate with the fewest hosts of the receiver in its data centre, then
    in its rack, then the one with the fewest running tasks.
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
