"""Distinguishes an outage of the log for all nodes from one for this node alone."""

import asyncio

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
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
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._peers = peers
        self._own_address = own_address
        self._settings = settings
        self._clock = clock
        self._outage_seen_ms: int | None = None
        self._is_outage = False
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

    async def run(self) -> None:
        """Query the members at an interval while the log does not answer."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            if self.measure_log_age_ms() < LOG_SILENT_MS:
                self._set_outage(is_outage=False)
                self._set_cut_off(is_cut_off=False)
                continue
            sent_ms = self._clock.monotonic_ms()
            ages = await self._query_members()
            have_all_lost_log = all(
                age is not None and age >= LOG_SILENT_MS for age in ages
            )
            if ages and have_all_lost_log:
                self._outage_seen_ms = sent_ms
                self._set_outage(is_outage=True)
            is_log_reached = any(
                age is not None and age < LOG_SILENT_MS for age in ages
            )
            are_most_silent = 2 * ages.count(None) > len(ages)
            self._set_cut_off(are_most_silent and not is_log_reached)

    async def _query_members(self) -> list[int | None]:
        # Members that the log no longer lists may be alive behind a network partition.
        members = self._registry.list_recent_members(RECENT_MEMBER_MS)
        addresses = {member.partition("/")[0] for member in members}
        others = sorted(addresses - {self._own_address})
        return await asyncio.gather(
            *(self._query_member(address) for address in others)
        )

    async def _query_member(self, address: str) -> int | None:
        try:
            reply = await self._peers.call(address, LogContactCall(), CALL_TIMEOUT_MS)
        except PeerCallError as error:
            log.debug("peer did not answer", peer=address, error=str(error))
            return None
        return reply.age_ms if isinstance(reply, LogContactReply) else None

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
