"""Limits of running tasks that hold over all entry hosts together.

An owner's `quota_slots` and an entry's `max_running` are divided among the entry hosts
like the slots of a pool. On one entry host an owner's part is shared by its entries:
while the owner is at its limit, the entry that runs least for its weight goes first.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Callable

from bergamotgap.domain.catalogue import Catalogue, Entry
from bergamotgap.domain.division import entry_key
from bergamotgap.domain.keyed_heap import KeyedHeap
from bergamotgap.domain.scheduler import Flow, PoolQueue
from bergamotgap.domain.slots import Allowance

BlockedFlow = tuple[PoolQueue, Flow]


class QuotaTracker:
    """Running tasks by owner and entry, their limits, and the flows these block."""

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()
        self.queued: Counter[str] = Counter()
        self._totals: dict[str, int] = {}
        self._weights: Counter[str] = Counter()
        self._limits: dict[str, Allowance] = {}
        self._blocked: dict[str, KeyedHeap[BlockedFlow]] = {}
        self._places: dict[Flow, tuple[str, BlockedFlow]] = {}

    def set_fleet_limits(self, catalogue: Catalogue) -> None:
        """Take over the fleet-wide limits of a catalogue."""
        self._totals = {owner.name: owner.quota_slots for owner in catalogue.owners}
        self._weights.clear()
        for entry in catalogue.entries:
            self._totals[entry_key(entry.name)] = entry.max_running
            self._weights[entry.owner] += entry.weight
        for key in self._limits.keys() - self._totals.keys():
            del self._limits[key]

    def list_active_keys(self) -> list[str]:
        """Return the owners and entries with limits that run or wait here."""
        names = self.running.keys() | self.queued.keys()
        return [name for name in names if name in self._totals]

    def divide_limits(
        self, part: Callable[[str, int], int], now_ms: int, is_full_round: bool
    ) -> None:
        """Divide the limits in use anew; `part` gives this host's part of a total.

        Between full rounds, only limits of which half or more is in use. Limits out of
        use are forgotten: they would be stale at their next use.
        """
        active = set(self.list_active_keys())
        for key in self._limits.keys() - active:
            del self._limits[key]
        for key in active:
            limit = self.get_limit(key)
            used = self.running[key] + self.queued[key]
            if not is_full_round and limit is not None and 2 * used < limit:
                continue
            target = part(key, self._totals[key])
            self._limits.setdefault(key, Allowance()).update(target, now_ms)

    def ensure_limits(
        self, entry: Entry, part: Callable[[str, int], int], now_ms: int
    ) -> None:
        """Divide the limits of an entry that had none in use."""
        for key in (entry.owner, entry_key(entry.name)):
            total = self._totals.get(key)
            if key not in self._limits and total is not None:
                self._limits[key] = Allowance()
                self._limits[key].update(part(key, total), now_ms)

    def get_limit(self, key: str) -> int | None:
        """Return this entry host's part of a limit; None when it is out of use."""
        allowance = self._limits.get(key)
        return None if allowance is None else allowance.value

    def guaranteed_rate(self, entry: Entry) -> float:
        """Return the slots assured to an entry while its owner is at its limit."""
        part = entry.weight / max(self._weights[entry.owner], entry.weight)
        owner = self.get_limit(entry.owner)
        own = self.get_limit(entry_key(entry.name))
        rate = math.inf if owner is None else owner * part
        return rate if own is None else min(rate, own)

    def find_full_limit(self, entry: Entry) -> str | None:
        """Return the key of the limit that forbids another task of the entry."""
        for key in (entry.owner, entry_key(entry.name)):
            allowance = self._limits.get(key)
            if allowance is not None and self.running[key] >= allowance.value:
                return key
        return None

    def occupy(self, entry: Entry) -> None:
        """Count a task that starts."""
        self.running[entry.owner] += 1
        self.running[entry_key(entry.name)] += 1

    def release(self, entry: Entry) -> None:
        """Count a task that ended."""
        for key in (entry.owner, entry_key(entry.name)):
            self.running[key] -= 1
            if self.running[key] <= 0:
                del self.running[key]

    def count_queued(self, entry: Entry, change: int) -> None:
        """Count requests that begin or cease to wait."""
        for key in (entry.owner, entry_key(entry.name)):
            self.queued[key] += change
            if self.queued[key] <= 0:
                del self.queued[key]

    def block(self, key: str, queue: PoolQueue, flow: Flow) -> None:
        """Hold a flow back until its owner or entry has a slot of the limit left."""
        queue.block(flow)
        blocked = (queue, flow)
        self._places[flow] = (key, blocked)
        heap = self._blocked.setdefault(key, KeyedHeap())
        heap.set(blocked, flow.running / flow.entry.weight)

    def pop_blocked(self, key: str) -> BlockedFlow | None:
        """Take out the blocked flow that runs least for its weight."""
        heap = self._blocked.get(key)
        first = heap.first() if heap is not None else None
        if heap is None or first is None:
            return None
        heap.remove(first[1])
        del self._places[first[1][1]]
        return first[1]

    def update_blocked(self, flow: Flow) -> None:
        """Reorder a blocked flow after its number of running tasks changed."""
        place = self._places.get(flow)
        if place is not None:
            key, blocked = place
            self._blocked[key].set(blocked, flow.running / flow.entry.weight)

    def list_blocked_keys(self) -> list[str]:
        """Return the limits that hold flows back."""
        return [key for key, heap in self._blocked.items() if heap]


def divide_shares(catalogue: Catalogue) -> dict[tuple[str, str], float]:
    """Return each entry's part of its pool, by pool and entry.

    Owners share a pool by their quotas, and an owner's entries share its part by
    weight, so that an owner gains nothing from having many entries.
    """
    quotas = {owner.name: owner.quota_slots for owner in catalogue.owners}
    weights: defaultdict[tuple[str, str], int] = defaultdict(int)
    for entry in catalogue.entries:
        weights[entry.pool, entry.owner] += entry.weight
    totals: defaultdict[str, int] = defaultdict(int)
    for pool, owner in weights:
        totals[pool] += quotas[owner]
    return {
        (entry.pool, entry.name): (quotas[entry.owner] / totals[entry.pool])
        * (entry.weight / weights[entry.pool, entry.owner])
        for entry in catalogue.entries
    }
