"""Tell an outage of the log for all nodes from one for this node alone."""

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
    """Ask the other members about the log while this node does not reach it.

    While no member reaches the log, none can take over a duty. The holder of one acts
    on that for as long as on an answer of the log.
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
        self._all_blind_ms: int | None = None
        self._is_outage = False
        self._is_cut_off = False

    def measure_log_age_ms(self) -> int:
        """Return the age of the last renewal that the log answered."""
        return self._clock.monotonic_ms() - self._registry.last_renewal_ms

    def may_act(self) -> bool:
        """Tell whether no other node can have taken over a duty."""
        return (
            self.measure_log_age_ms() < self._settings.confirmation_ttl_ms
            or self.is_outage()
        )

    def is_outage(self) -> bool:
        """Tell whether no member reached the log a short time ago."""
        if self._all_blind_ms is None:
            return False
        age_ms = self._clock.monotonic_ms() - self._all_blind_ms
        return age_ms < self._settings.confirmation_ttl_ms

    @property
    def is_cut_off(self) -> bool:
        """Tell whether callers are better served by nodes elsewhere.

        Neither the log nor a node that reaches it answers here, and most members do not
        answer at all, but may well be in reach of callers.
        """
        return self._is_cut_off

    async def run(self) -> None:
        """Ask while the log is away."""
        while True:
            await self._clock.sleep_ms(CHECK_INTERVAL_MS)
            if self.measure_log_age_ms() < LOG_SILENT_MS:
                self._note_outage(is_outage=False)
                self._note_cut_off(is_cut_off=False)
                continue
            sent_ms = self._clock.monotonic_ms()
            ages = await self._ask_members()
            are_all_blind = all(
                age is not None and age >= LOG_SILENT_MS for age in ages
            )
            if ages and are_all_blind:
                self._all_blind_ms = sent_ms
                self._note_outage(is_outage=True)
            is_any_seeing = any(age is not None and age < LOG_SILENT_MS for age in ages)
            is_alone = 2 * ages.count(None) > len(ages)
            self._note_cut_off(is_alone and not is_any_seeing)

    async def _ask_members(self) -> list[int | None]:
        # Members that the log no longer lists may still be alive behind a cut.
        members = self._registry.list_recent_members(RECENT_MEMBER_MS)
        addresses = {member.partition("/")[0] for member in members}
        others = sorted(addresses - {self._own_address})
        return await asyncio.gather(*(self._ask(address) for address in others))

    async def _ask(self, address: str) -> int | None:
        try:
            reply = await self._peers.call(address, LogContactCall(), CALL_TIMEOUT_MS)
        except PeerCallError as error:
            log.debug("peer silent", peer=address, error=str(error))
            return None
        return reply.age_ms if isinstance(reply, LogContactReply) else None

    def _note_cut_off(self, is_cut_off: bool) -> None:
        if is_cut_off is not self._is_cut_off:
            self._is_cut_off = is_cut_off
            log.warning(
                "cut off", is_cut_off=is_cut_off, log_age_ms=self.measure_log_age_ms()
            )

    def _note_outage(self, is_outage: bool) -> None:
        if is_outage is not self._is_outage:
            self._is_outage = is_outage
            log.warning("outage of the log for all", is_outage=is_outage)
