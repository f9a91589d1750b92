"""Ownership of pools: claims on the log, and the members that may claim."""

import asyncio
from collections.abc import Callable, Collection, Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.pools.partition_follower import PartitionFollower
from bergamotgap.pools.pool_claims import Claim, Member, choose_claimant
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import (
    AppendConflictError,
    KeyedRecord,
    Store,
    StoreError,
    StoreOutcomeUnknownError,
)

OWNERS_TOPIC = "keyed.owners"
# Delay before a member's first claim, so that members which start together know one
# another by then.
CLAIM_DELAY_MS = 1000
CLAIM_CHECK_INTERVAL_MS = 100
# The log counts as silent after this time without an answer. It is longer than the
# interval between membership renewals, so at least one of them has failed.
LOG_SILENT_MS = 600
# When most members are missing at once, they are probably late to renew rather than
# dead. Claims wait this long for them, about two renewals with a log that answers
# sixty times slower than usual.
MAJORITY_WAIT_MS = 2000
# A member that was listed within this time may come back, or may have taken over
# ownership. It is longer than the outages and network partitions that a node survives.
RECENT_MEMBER_MS = 30_000

log = get_logger(__name__)


class OwnershipRegistry:
    """Keep this node's membership and its claims.

    A claim is appended only if no other claim was appended since the last read, so the
    offsets of claims order all owners.
    """

    def __init__(
        self, store: Store, member: Member, settings: PoolSettings, clock: Clock
    ) -> None:
        self._store = store
        self._member = member
        self._settings = settings
        self._clock = clock
        self._claims: dict[str, Claim] = {}
        self._members: frozenset[str] = frozenset()
        self._member_first_seen_ms: dict[str, int] = {}
        self._member_last_seen_ms: dict[str, int] = {}
        # Since when most of the recent members have been missing.
        self._majority_missing_since_ms: int | None = None
        self._generation = 0
        self._joined_since_ms: int | None = None
        self._log_steady_since_ms = clock.monotonic_ms()
        # When the log answered first after a silence in which entries of workers may
        # have lapsed.
        self.log_returned_ms = clock.monotonic_ms()
        self.last_renewal_ms = 0
        self._is_leaving = False
        self._claimable_pools: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self.changed = asyncio.Event()
        self.follower = PartitionFollower(
            store, OWNERS_TOPIC, clock, self._apply_record, self._notify_listeners
        )

    @property
    def claims(self) -> Mapping[str, Claim]:
        """The newest claim of each pool."""
        return self._claims

    @property
    def members(self) -> frozenset[str]:
        """The members that the log listed last."""
        return self._members

    def list_recent_members(self, period_ms: int) -> frozenset[str]:
        """Return the members that were listed within the last `period_ms`."""
        since_ms = self._clock.monotonic_ms() - period_ms
        recent = {
            member for member, at in self._member_last_seen_ms.items() if at >= since_ms
        }
        return self._members | recent

    def list_settled_members(self) -> list[str]:
        """Return the members that all others know by now."""
        now_ms = self._clock.monotonic_ms()
        return [
            member
            for member, seen_ms in self._member_first_seen_ms.items()
            if now_ms - seen_ms >= CLAIM_DELAY_MS
        ]

    def get_owner_address(self, pool: str) -> str | None:
        """Return the peer address of a pool's owner, or None without an owner."""
        claim = self._claims.get(pool)
        return claim.member.partition("/")[0] if claim and claim.member else None

    def is_own_claim(self, claim: Claim | None) -> bool:
        """Return whether a claim was made by this incarnation of this node."""
        return claim is not None and claim.member == self._member.name

    def is_membership_confirmed(self) -> bool:
        """Return whether the log answered a renewal within the member's TTL."""
        silent_ms = self._clock.monotonic_ms() - self.last_renewal_ms
        return silent_ms < self._settings.member_ttl_ms

    def is_log_steady(self) -> bool:
        """Return whether the log has answered for as long as former leases may last.

        Owners start tasks without a record only during an outage of the log for all
        nodes. Without an outage in that time, every run with a valid lease is recorded.
        """
        return self.measure_steady_ms() >= self._settings.restarted_lease_ms

    def measure_steady_ms(self) -> int:
        """Return for how long the log has answered without a silence; 0 in one.

        No peer was told in that time that this node had lost the log.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms - self.last_renewal_ms >= LOG_SILENT_MS:
            return 0
        return now_ms - self._log_steady_since_ms

    def record_steady_peer(self, steady_ms: int) -> None:
        """Record that another member knows of no outage for all in `steady_ms`.

        In such an outage every member is silent, so one that reached the log
        all the time speaks for the others, also for a process that has just begun.
        """
        since_ms = self._clock.monotonic_ms() - steady_ms
        self._log_steady_since_ms = min(self._log_steady_since_ms, since_ms)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each read that returned claims."""
        self._listeners.append(listener)

    def set_claimable_pools(self, pools: frozenset[str]) -> None:
        """Set the pools that this node may claim."""
        self._claimable_pools = pools

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._claims.pop(record.key, None)
            return
        try:
            claim = msgspec.msgpack.decode(record.value, type=Claim)
        except msgspec.MsgspecError as error:
            log.error("claim not decoded", pool=record.key, error=str(error))
            return
        known = self._claims.get(record.key)
        if known is not None and claim.token <= known.token:
            # The newest values are read in pages, so records behind the first page's
            # end may be read once more.
            return
        self._claims[record.key] = claim
        log.info(
            "owner",
            pool=record.key,
            member=claim.member,
            token=claim.token,
            term=claim.term,
        )

    def _notify_listeners(self) -> None:
        self.changed.set()
        for listener in self._listeners:
            listener()

    async def run_membership(self) -> None:
        """Renew the membership until the node leaves, three times per TTL."""
        while not self._is_leaving:
            sent_ms = self._clock.monotonic_ms()
            try:
                generation = await self._store.join(self._member.name, self._generation)
                if generation != self._generation or self._has_dead_owner():
                    self._update_members(await self._store.list_members())
                self._generation = generation
                # A renewal confirms this node only together with a read of the claims:
                # a successor may have claimed its pools since the last read.
                await self.follower.refresh()
                now_ms = self._clock.monotonic_ms()
                silent_ms = now_ms - self.last_renewal_ms
                if silent_ms >= LOG_SILENT_MS:
                    self._log_steady_since_ms = now_ms
                if silent_ms >= self._settings.heartbeat_interval_ms:
                    self.log_returned_ms = now_ms
                self.last_renewal_ms = sent_ms
                if self._joined_since_ms is None:
                    self._joined_since_ms = self.last_renewal_ms
            except StoreError as error:
                self._handle_join_failed(error)
            await self._clock.sleep_ms(self._settings.member_ttl_ms / 3)

    def _update_members(self, members: frozenset[str]) -> None:
        if members == self._members:
            return
        now_ms = self._clock.monotonic_ms()
        self._member_first_seen_ms = {
            member: self._member_first_seen_ms.get(member, now_ms) for member in members
        }
        for member in sorted(members ^ self._members):
            log.info("membership changed", member=member, is_live=member in members)
        for member in members | self._members:
            self._member_last_seen_ms[member] = now_ms
        self._members = members
        # Several incarnations of one node count once.
        recent = {
            name.partition("/")[0]
            for name in self.list_recent_members(RECENT_MEMBER_MS)
        }
        if 2 * len(members) >= len(recent):
            self._majority_missing_since_ms = None
        elif self._majority_missing_since_ms is None:
            self._majority_missing_since_ms = now_ms

    def _handle_join_failed(self, error: StoreError) -> None:
        silent_ms = self._clock.monotonic_ms() - self.last_renewal_ms
        if self._joined_since_ms is not None and silent_ms > (
            self._settings.member_ttl_ms
        ):
            log.warning("membership lost", error=str(error), silent_ms=silent_ms)
            self._joined_since_ms = None

    def _has_dead_owner(self) -> bool:
        return any(
            claim.member not in self._members
            for pool, claim in self._claims.items()
            if pool in self._claimable_pools
        )

    async def run_claims(self) -> None:
        """Claim pools without a live owner when this node is the chosen claimant."""
        while True:
            await self._clock.sleep_ms(CLAIM_CHECK_INTERVAL_MS)
            for pool in sorted(self._claimable_pools):
                if self._may_claim(pool):
                    await self._claim_pool(pool)

    def _may_claim(self, pool: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        if self._is_leaving or self._joined_since_ms is None:
            return False
        claim = self._claims.get(pool)
        if claim is not None and self._is_former_incarnation(claim):
            return self.is_membership_confirmed()
        # After an outage of the log, wait for all members to join again before taking
        # any of them for dead.
        if now_ms - self._joined_since_ms < CLAIM_DELAY_MS:
            return False
        if not self.is_membership_confirmed() or self._is_waiting_for_majority(now_ms):
            return False
        if claim is not None and claim.member in self._members:
            return False
        # A member that just joined may not be known to all others, so it can't be
        # chosen yet. The first claim of a pool is not urgent and waits until all
        # members can be chosen.
        known_members = self.list_settled_members()
        if claim is None and len(known_members) < len(self._members):
            return False
        claimant = choose_claimant(pool, known_members, self._claims)
        return claimant == self._member.name

    def _is_waiting_for_majority(self, now_ms: int) -> bool:
        """Return whether to wait for most members to come back after an outage."""
        since_ms = self._majority_missing_since_ms
        return since_ms is not None and now_ms - since_ms < MAJORITY_WAIT_MS

    def _is_former_incarnation(self, claim: Claim) -> bool:
        """Return whether an ended incarnation of this node owned the pool."""
        address, _, _ = claim.member.partition("/")
        return address == self._member.address and not self.is_own_claim(claim)

    async def _claim_pool(self, pool: str) -> None:
        try:
            await self.follower.refresh()
        except StoreError as error:
            log.warning("claim not attempted", pool=pool, error=str(error))
            return
        if self._may_claim(pool):
            await self._append_claim(pool, self._member.name)

    async def release(self, pool: str, are_starts_recorded: bool = False) -> None:
        """Release a pool of this node; raises StoreError if its claim can't be read."""
        await self.follower.refresh()
        if self.is_own_claim(self._claims.get(pool)):
            await self._append_claim(pool, "", are_starts_recorded)
            await self.follower.refresh()

    async def _append_claim(
        self, pool: str, member: str, are_starts_recorded: bool = False
    ) -> None:
        end = self.follower.next_offset or 0
        former_claim = self._claims.get(pool)
        if former_claim is not None and not former_claim.member:
            are_starts_recorded = former_claim.are_starts_recorded
        claim = Claim(
            member,
            end + 1,
            (former_claim.term if former_claim else 0) + 1,
            self._is_former_owner_stopped(former_claim),
            are_starts_recorded,
        )
        record = KeyedRecord(pool, msgspec.msgpack.encode(claim))
        try:
            await self._store.append(OWNERS_TOPIC, 0, [record], expected_end=end)
        except AppendConflictError:
            log.info("claim lost to another append", pool=pool, at=end)
        except StoreOutcomeUnknownError as error:
            # The next read of the partition shows whether the claim took effect.
            log.warning("claim unanswered", pool=pool, at=end, error=str(error))
        except StoreError as error:
            log.warning("claim refused", pool=pool, at=end, error=str(error))

    def _is_former_owner_stopped(self, claim: Claim | None) -> bool:
        if claim is None or not claim.member:
            return True
        address = claim.member.partition("/")[0]
        # Another incarnation at the same address proves that the claim's has ended.
        return any(
            member != claim.member and member.partition("/")[0] == address
            for member in self._members
        )

    async def leave(self, recorded_pools: Collection[str] = ()) -> None:
        """Leave the group and release all pools so that others claim them at once.

        The log names the worker of each run of `recorded_pools`.
        """
        self._is_leaving = True
        try:
            await self._store.leave(self._member.name)
            for pool, claim in list(self._claims.items()):
                if self.is_own_claim(claim):
                    await self.follower.refresh()
                    await self._append_claim(pool, "", pool in recorded_pools)
        except StoreError as error:
            log.warning("pools not released", error=str(error))
