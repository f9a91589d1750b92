"""Fleet-wide limits on running tasks, enforced across all entry hosts.

An owner's `quota_slots` and an entry's `max_running` are divided among the entry hosts
like the slots of a pool. On each entry host, an owner's entries share its part: while
the owner is at its limit, the entry with the fewest running tasks per weight goes next.
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
    """Tracks running tasks and limits by owner and entry, and the blocked flows.

    The key of an owner is its name, that of an entry its `entry_key`. The limits of the
    catalogue apply to all entry hosts together; each enforces its share of them.
    """

    def __init__(self) -> None:
        self.running: Counter[str] = Counter()
        self.queued: Counter[str] = Counter()
        self._fleet_limits: dict[str, int] = {}
        self._weights: Counter[str] = Counter()
        self._local_limits: dict[str, Allowance] = {}
        self._blocked_by_key: dict[str, KeyedHeap[BlockedFlow]] = {}
        self._blocks_by_flow: dict[Flow, tuple[str, BlockedFlow]] = {}

    def set_fleet_limits(self, catalogue: Catalogue) -> None:
        """Set the fleet-wide limits from a catalogue."""
        self._fleet_limits = {
            owner.name: owner.quota_slots for owner in catalogue.owners
        }
        self._weights.clear()
        for entry in catalogue.entries:
            self._fleet_limits[entry_key(entry.name)] = entry.max_running
            self._weights[entry.owner] += entry.weight
        for key in self._local_limits.keys() - self._fleet_limits.keys():
            del self._local_limits[key]

    def list_active_keys(self) -> list[str]:
        """Return the keys with limits that have running or queued tasks here."""
        names = self.running.keys() | self.queued.keys()
        return [name for name in names if name in self._fleet_limits]

    def divide_limits(
        self, get_share: Callable[[str, int], int], now_ms: int, is_full_round: bool
    ) -> None:
        """Recompute the limits in use; `get_share` returns this entry host's share.

        Between full rounds, only limits of which at least half is in use are updated.
        Unused limits are removed, because they would be stale at their next use.
        """
        active = set(self.list_active_keys())
        for key in self._local_limits.keys() - active:
            del self._local_limits[key]
        for key in active:
            limit = self.get_limit(key)
            used = self.running[key] + self.queued[key]
            if not is_full_round and limit is not None and 2 * used < limit:
                continue
            target = get_share(key, self._fleet_limits[key])
            self._local_limits.setdefault(key, Allowance()).update(target, now_ms)

    def ensure_limits(
        self, entry: Entry, get_share: Callable[[str, int], int], now_ms: int
    ) -> None:
        """Compute the limits of an entry that are not in use yet."""
        for key in (entry.owner, entry_key(entry.name)):
            total = self._fleet_limits.get(key)
            if key not in self._local_limits and total is not None:
                self._local_limits[key] = Allowance()
                self._local_limits[key].update(get_share(key, total), now_ms)

    def get_limit(self, key: str) -> int | None:
        """Return this entry host's share of a limit; None if it is not in use."""
        allowance = self._local_limits.get(key)
        return None if allowance is None else allowance.value

    def guaranteed_rate(self, entry: Entry) -> float:
        """Return the slots guaranteed to an entry while its owner is at its limit."""
        share = entry.weight / max(self._weights[entry.owner], entry.weight)
        owner_limit = self.get_limit(entry.owner)
        entry_limit = self.get_limit(entry_key(entry.name))
        rate = math.inf if owner_limit is None else owner_limit * share
        return rate if entry_limit is None else min(rate, entry_limit)

    def find_full_limit(self, entry: Entry) -> str | None:
        """Return the key of the limit that prevents another task of the entry."""
        for key in (entry.owner, entry_key(entry.name)):
            allowance = self._local_limits.get(key)
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
        """Add `change` to the number of queued requests."""
        for key in (entry.owner, entry_key(entry.name)):
            self.queued[key] += change
            if self.queued[key] <= 0:
                del self.queued[key]

    def block(self, key: str, queue: PoolQueue, flow: Flow) -> None:
        """Block a flow until the limit with the given key has a slot left."""
        queue.block(flow)
        blocked = (queue, flow)
        self._blocks_by_flow[flow] = (key, blocked)
        heap = self._blocked_by_key.setdefault(key, KeyedHeap())
        heap.set(blocked, flow.running / flow.entry.weight)

    def pop_blocked(self, key: str) -> BlockedFlow | None:
        """Remove and return the blocked flow with the fewest running per weight."""
        heap = self._blocked_by_key.get(key)
        first = heap.first() if heap is not None else None
        if heap is None or first is None:
            return None
        heap.remove(first[1])
        del self._blocks_by_flow[first[1][1]]
        return first[1]

    def update_blocked(self, flow: Flow) -> None:
        """Reorder a blocked flow after its number of running tasks has changed."""
        block = self._blocks_by_flow.get(flow)
        if block is not None:
            key, blocked = block
            self._blocked_by_key[key].set(blocked, flow.running / flow.entry.weight)

    def list_blocked_keys(self) -> list[str]:
        """Return the keys of the limits that block flows."""
        return [key for key, heap in self._blocked_by_key.items() if heap]


def divide_shares(catalogue: Catalogue) -> dict[tuple[str, str], float]:
    """Return each entry's share of its pool, by pool and entry.

    Owners share a pool in proportion to their quotas, and an owner's entries share its
    part in proportion to their weights. An owner therefore gains nothing from splitting
    its work into many entries.
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
