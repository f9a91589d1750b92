"""Distinguishes an outage of the log for all nodes from one for this node alone."""

import asyncio
import random
from collections.abc import Callable

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.pools.ownership_registry import (
    LOG_SILENT_MS,
    RECENT_MEMBER_MS,
    OwnershipRegistry,
)
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.pool_peer import (
    LogContactCall,
    LogContactReply,
    PeerCallError,
    PoolPeerClient,
)

CHECK_INTERVAL_MS = 200
CALL_TIMEOUT_MS = 300
# Queries per second by one node; each takes a fraction of a millisecond of a core.
MAX_QUERIES_PER_S = 200
# With a round of queries at this interval, an outage is seen again before the last
# observation of it expires.
MAX_CHECK_INTERVAL_MS = 500
# Members that a node without pools queries: it decides nothing but whether callers are
# better served elsewhere, and a majority of so many shows that.
SAMPLED_MEMBERS = 12

log = get_logger(__name__)


class OutageDetector:
    """Query the other members about the log while this node does not reach it.

    While no member reaches the log, none can succeed an owner. An owner may therefore
    act on such an observation for as long as on an answer of the log.
    """

    def __init__(
        self,
        registry: OwnershipRegistry,
        peers: PoolPeerClient,
        own_address: str,
        has_pools: Callable[[], bool],
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._has_pools = has_pools
        self._registry = registry
        self._peers = peers
        self._own_address = own_address
        self._settings = settings
        self._clock = clock
        self._outage_seen_ms: int | None = None
        self._is_outage = False
        self._has_asked_others = False
        self._is_cut_off = False

    def measure_log_age_ms(self) -> int:
        """Return the age of the last membership renewal that the log answered."""
        return self._clock.monotonic_ms() - self._registry.last_renewal_ms

    def may_act(self) -> bool:
        """Return whether no other node can have taken over what this node owns."""
        return (
            self.measure_log_age_ms() < self._settings.confirmation_ttl_ms
            or self.is_log_down_for_all()
        )

    def is_log_down_for_all(self) -> bool:
        """Return whether it was seen recently that no member reaches the log."""
        if self._outage_seen_ms is None:
            return False
        age_ms = self._clock.monotonic_ms() - self._outage_seen_ms
        return age_ms < self._settings.confirmation_ttl_ms

    @property
    def is_cut_off(self) -> bool:
        """Whether callers are better served by other nodes.

        This node reaches neither the log nor a node that does, and most members do not
        answer it at all, though callers may still reach them.
        """
        return self._is_cut_off

    async def is_log_steady(self) -> bool:
        """Return whether no outage for all can have left runs without a record.

        A node that does not know asks members that may have seen the log for longer.
        """
        if self._registry.is_log_steady():
            return True
        others = self._list_others()
        queries = [
            asyncio.create_task(self._query_member(address))
            for address in random.sample(others, min(SAMPLED_MEMBERS, len(others)))
        ]
        try:
            for query in asyncio.as_completed(queries):
                reply = await query
                if reply is not None:
                    self._registry.record_steady_peer(reply.steady_ms)
                if self._registry.is_log_steady():
                    return True
        finally:
            await cancel_tasks(queries)
        return False

    async def run(self) -> None:
        """Query the members at an interval while the log does not answer."""
        while True:
            await self._clock.sleep_ms(self._choose_interval_ms())
            if self.measure_log_age_ms() < LOG_SILENT_MS:
                self._set_outage(is_outage=False)
                self._set_cut_off(is_cut_off=False)
                if not self._has_asked_others:
                    # The members that know may be gone when a pool is taken over.
                    self._has_asked_others = True
                    await self.is_log_steady()
                continue
            sent_ms = self._clock.monotonic_ms()
            others = self._list_others()
            # Only an owner acts on an outage, and only an answer of each member that
            # could succeed it shows one.
            is_complete = self._has_pools()
            if not is_complete:
                others = random.sample(others, min(SAMPLED_MEMBERS, len(others)))
            replies = await asyncio.gather(*map(self._query_member, others))
            ages = [reply.age_ms if reply else None for reply in replies]
            have_all_lost_log = all(
                age is not None and age >= LOG_SILENT_MS for age in ages
            )
            if ages and is_complete and have_all_lost_log:
                self._outage_seen_ms = sent_ms
                self._set_outage(is_outage=True)
            is_log_reached = any(
                age is not None and age < LOG_SILENT_MS for age in ages
            )
            are_most_silent = 2 * ages.count(None) > len(ages)
            self._set_cut_off(are_most_silent and not is_log_reached)

    def _choose_interval_ms(self) -> float:
        queries = len(self._registry.members) if self._has_pools() else SAMPLED_MEMBERS
        interval_ms = queries * MS_PER_SECOND / MAX_QUERIES_PER_S
        return min(MAX_CHECK_INTERVAL_MS, max(CHECK_INTERVAL_MS, interval_ms))

    def _list_others(self) -> list[str]:
        """Return the addresses of the other members."""
        # Members that the log no longer lists may be alive behind a network partition.
        members = self._registry.list_recent_members(RECENT_MEMBER_MS)
        addresses = {member.partition("/")[0] for member in members}
        return sorted(addresses - {self._own_address})

    async def _query_member(self, address: str) -> LogContactReply | None:
        try:
            reply = await self._peers.call(address, LogContactCall(), CALL_TIMEOUT_MS)
        except PeerCallError as error:
            log.debug("peer did not answer", peer=address, error=str(error))
            return None
        return reply if isinstance(reply, LogContactReply) else None

    def _set_cut_off(self, is_cut_off: bool) -> None:
        if is_cut_off is not self._is_cut_off:
            self._is_cut_off = is_cut_off
            log.warning(
                "cut-off state changed",
                is_cut_off=is_cut_off,
                log_age_ms=self.measure_log_age_ms(),
            )

    def _set_outage(self, is_outage: bool) -> None:
        if is_outage is not self._is_outage:
            self._is_outage = is_outage
            log.warning("outage of the log for all", is_outage=is_outage)
