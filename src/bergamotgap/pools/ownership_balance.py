"""Hands pools of weak nodes over to nodes with much more of a core."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.pool import Pool
from bergamotgap.pools.pool_claims import Claim, parse_member_cpu
from bergamotgap.ports.fleet import StoreError

# A pool changes its owner for a node with more than this many times as much of a core
# for each of its pools: from a node with two pools to an equal one with none, which two
# hand-overs at one time can leave behind, but not for a difference of one pool.
STRONGER_FACTOR = 1.5
CHECK_INTERVAL_MS = 500
# A pool is kept for this long, so that pools don't change hands again and again.
MIN_OWNED_MS = 2000
FLUSH_TIMEOUT_MS = 400

log = get_logger(__name__)


class OwnershipBalancer:
    """Release pools of this node that a much stronger member should own.

    After an outage or a loss of many nodes, the members that are back first claim the
    pools, and these can be the weakest. `is_owned` tells whether this node still owns a
    pool by the claim with a token.
    """

    def __init__(
        self,
        own_member: str,
        registry: OwnershipRegistry,
        pools: dict[str, Pool],
        is_owned: Callable[[str, int], bool],
        clock: Clock,
    ) -> None:
        self._own_member = own_member
        self._registry = registry
        self._pools = pools
        self._is_owned = is_owned
        self._clock = clock

    async def run(self) -> None:
        """Check the pools until cancelled."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            if not self._registry.is_membership_confirmed():
                continue
            now_ms = self._clock.monotonic_ms()
            movable = [
                name
                for name, pool in self._pools.items()
                if now_ms - pool.run_tracker.ownership.started_ms >= MIN_OWNED_MS
                and pool.run_tracker.ownership.are_runs_recorded()
            ]
            name = choose_pool_to_hand_over(
                self._own_member,
                self._registry.list_settled_members(),
                self._registry.claims,
                movable,
            )
            if name is not None:
                await self._hand_over(name)

    async def _hand_over(self, name: str) -> None:
        """Release a pool, so that the strongest member claims it."""
        pool = self._pools.pop(name)
        log.info("pool handed over", pool=name, reason="stronger_member")
        are_starts_recorded = await stop_pool(pool)
        try:
            await self._registry.release(name, are_starts_recorded)
        except StoreError as error:
            log.warning("pool not handed over", pool=name, error=str(error))
        # The claims that were read then end the ownership, unless it goes on.
        if self._is_owned(name, pool.term.token):
            self._pools[name] = pool
            pool.resume_placement()


def choose_pool_to_hand_over(
    own_member: str,
    members: Iterable[str],
    claims: Mapping[str, Claim],
    movable_pools: Iterable[str],
) -> str | None:
    """Return a pool of this node that a much stronger member should own."""
    loads = Counter(claim.member for claim in claims.values())
    others = [member for member in members if member != own_member]
    if not others:
        return None
    best_pools_per_cpu = min(
        (loads[member] + 1) / parse_member_cpu(member) for member in others
    )
    own_pools_per_cpu = loads[own_member] / parse_member_cpu(own_member)
    if own_pools_per_cpu <= STRONGER_FACTOR * best_pools_per_cpu:
        return None
    own = (pool for pool in movable_pools if claims[pool].member == own_member)
    return min(own, default=None)


async def stop_pool(pool: Pool) -> bool:
    """Start no more tasks of a pool, and write what has changed.

    Returns whether the log names the worker of each run that may exist.
    """
    pool.stop_placement()
    journal = pool.journal
    if not await journal.wait_committed_within(journal.last_change, FLUSH_TIMEOUT_MS):
        log.warning("journal not flushed before hand-over", pool=pool.name)
        return False
    return pool.run_tracker.ownership.are_runs_recorded()
