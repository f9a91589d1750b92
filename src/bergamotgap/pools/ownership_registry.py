"""Which node owns which pool: claims on the log, and the members that may claim."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import msgspec
import xxhash

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.pools.partition_follower import PartitionFollower
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import (
    AppendConflictError,
    KeyedRecord,
    Store,
    StoreError,
    StoreOutcomeUnknownError,
)

OWNERS_TOPIC = "keyed.owners"
# Members that start together are all known before the first claim.
CLAIM_DELAY_MS = 1000
CLAIM_CHECK_INTERVAL_MS = 100
# Longer than the interval of a member's renewals, so that one of them has failed.
LOG_SILENT_MS = 600
# When most members are missing at once, they are late to renew rather than dead. They
# are waited for, about two renewals with a log that answers sixty times slower.
MAJORITY_WAIT_MS = 2000
# A member that was listed within this time may come back or have taken over a duty; it
# is longer than the outages and cuts that a node survives.
RECENT_MEMBER_MS = 30_000
# Of a member that does not tell its cores, in 1/1000.
DEFAULT_CPU = 1000

log = get_logger(__name__)


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Ownership of a pool; no owner if `member` is empty. `token` is unique, rises.

    `is_clean` tells that the former owner was known not to act any more.
    """

    member: str
    token: int
    term: int
    is_former_owner_stopped: bool = False


@dataclass(frozen=True)
class Member:
    """One life of a node, by the address that its peers call; `cpu` in 1/1000 cores."""

    address: str
    incarnation: str
    cpu: int = DEFAULT_CPU

    @property
    def name(self) -> str:
        """Return the member's name in the group, from which others read its cores."""
        return f"{self.address}/{self.incarnation}/{self.cpu}"


def parse_member_cpu(member: str) -> int:
    """Return the cores of a member in 1/1000."""
    cpu = member.rpartition("/")[2]
    return int(cpu) if cpu.isdecimal() and int(cpu) else DEFAULT_CPU


def choose_claimant(
    pool: str, members: Iterable[str], claims: Mapping[str, Claim]
) -> str | None:
    """Return the member with the fewest pools for its cores; a hash decides ties."""
    loads = Counter(claim.member for claim in claims.values())

    def rank(member: str) -> tuple[float, int]:
        load = (loads[member] + 1) / parse_member_cpu(member)
        return (load, xxhash.xxh64_intdigest(f"{pool}|{member}".encode()))

    return min(members, key=rank, default=None)


class OwnershipRegistry:
    """Own this node's membership and its claims.

    A claim is appended on the condition that no claim came in between, so that its
    offset orders all owners.
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
        self._first_seen_ms: dict[str, int] = {}
        self._last_seen_ms: dict[str, int] = {}
        # Since when most of the members of a short time ago are missing.
        self._few_since_ms: int | None = None
        self._generation = 0
        self._joined_since_ms: int | None = None
        self._steady_since_ms = clock.monotonic_ms()
        self.last_renewal_ms = 0
        self._is_leaving = False
        self._pools: frozenset[str] = frozenset()
        self._listeners: list[Callable[[], None]] = []
        self.changed = asyncio.Event()
        self.follower = PartitionFollower(
            store, OWNERS_TOPIC, clock, self._apply, self._notify
        )

    @property
    def claims(self) -> Mapping[str, Claim]:
        """Return the newest claim of each pool."""
        return self._claims

    @property
    def members(self) -> frozenset[str]:
        """Return the live members as of the last look."""
        return self._members

    def list_recent_members(self, period_ms: int) -> frozenset[str]:
        """Return the members that were live within a time before now."""
        since_ms = self._clock.monotonic_ms() - period_ms
        recent = {member for member, at in self._last_seen_ms.items() if at >= since_ms}
        return self._members | recent

    def get_owner_address(self, pool: str) -> str | None:
        """Return the peer address of a pool's owner."""
        claim = self._claims.get(pool)
        return claim.member.partition("/")[0] if claim and claim.member else None

    def is_own_claim(self, claim: Claim | None) -> bool:
        """Tell whether a claim is this life's."""
        return claim is not None and claim.member == self._member.name

    def is_membership_confirmed(self) -> bool:
        """Tell whether the log has heard of this member within its time to live."""
        silent_ms = self._clock.monotonic_ms() - self.last_renewal_ms
        return silent_ms < self._settings.member_ttl_ms

    def is_log_steady(self) -> bool:
        """Tell whether the log was there as long as leases of former owners last.

        Owners start work without a record only while the log is away for all.
        """
        steady_ms = self._clock.monotonic_ms() - self._steady_since_ms
        return steady_ms >= self._settings.former_lease_ms

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call the listener after each change of claims."""
        self._listeners.append(listener)

    def set_claimable_pools(self, pools: frozenset[str]) -> None:
        """Claim only these pools."""
        self._pools = pools

    def _apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._claims.pop(record.key, None)
            return
        try:
            claim = msgspec.msgpack.decode(record.value, type=Claim)
        except msgspec.MsgspecError as error:
            log.error("claim can't be read", pool=record.key, error=str(error))
            return
        self._claims[record.key] = claim
        log.info(
            "owner",
            pool=record.key,
            member=claim.member,
            token=claim.token,
            term=claim.term,
        )

    def _notify(self) -> None:
        self.changed.set()
        for listener in self._listeners:
            listener()

    async def run_membership(self) -> None:
        """Stay a member of the group; three renewals fit into its time to live."""
        while not self._is_leaving:
            sent_ms = self._clock.monotonic_ms()
            try:
                generation = await self._store.join(self._member.name, self._generation)
                if generation != self._generation or self._has_dead_owner():
                    self._note_members(await self._store.list_members())
                self._generation = generation
                # A renewal alone says nothing about claims that came meanwhile.
                await self.follower.refresh()
                if sent_ms - self.last_renewal_ms > LOG_SILENT_MS:
                    self._steady_since_ms = sent_ms
                self.last_renewal_ms = sent_ms
                if self._joined_since_ms is None:
                    self._joined_since_ms = self.last_renewal_ms
            except StoreError as error:
                self._note_join_failed(error)
            await self._clock.sleep_ms(self._settings.member_ttl_ms / 3)

    def _note_members(self, members: frozenset[str]) -> None:
        if members == self._members:
            return
        now_ms = self._clock.monotonic_ms()
        self._first_seen_ms = {
            member: self._first_seen_ms.get(member, now_ms) for member in members
        }
        for member in sorted(members ^ self._members):
            log.info("member", member=member, is_live=member in members)
        for member in members | self._members:
            self._last_seen_ms[member] = now_ms
        self._members = members
        # Lives of one node count once.
        recent = {
            name.partition("/")[0]
            for name in self.list_recent_members(RECENT_MEMBER_MS)
        }
        if 2 * len(members) >= len(recent):
            self._few_since_ms = None
        elif self._few_since_ms is None:
            self._few_since_ms = now_ms

    def _note_join_failed(self, error: StoreError) -> None:
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
            if pool in self._pools
        )

    async def run_claims(self) -> None:
        """Claim the pools that have no live owner and fall to this node."""
        while True:
            await self._clock.sleep_ms(CLAIM_CHECK_INTERVAL_MS)
            for pool in sorted(self._pools):
                if self._may_claim(pool):
                    await self._claim(pool)

    def _may_claim(self, pool: str) -> bool:
        now_ms = self._clock.monotonic_ms()
        if self._is_leaving or self._joined_since_ms is None:
            return False
        claim = self._claims.get(pool)
        if claim is not None and self._is_former_life(claim):
            return self.is_membership_confirmed()
        # After the log was away, all members join again before any is taken for dead.
        if now_ms - self._joined_since_ms < CLAIM_DELAY_MS:
            return False
        if not self.is_membership_confirmed() or self._is_waiting_for_most(now_ms):
            return False
        if claim is not None and claim.member in self._members:
            return False
        # A member that just joined is not known to all others yet. Nobody waits for a
        # pool that never had an owner, so that one waits until all are known.
        known = [
            member
            for member, seen_ms in self._first_seen_ms.items()
            if now_ms - seen_ms >= CLAIM_DELAY_MS
        ]
        if claim is None and len(known) < len(self._members):
            return False
        claimant = choose_claimant(pool, known, self._claims)
        return claimant == self._member.name

    def _is_waiting_for_most(self, now_ms: int) -> bool:
        """Tell whether most members may still come back, as after an outage."""
        since_ms = self._few_since_ms
        return since_ms is not None and now_ms - since_ms < MAJORITY_WAIT_MS

    def _is_former_life(self, claim: Claim) -> bool:
        """Tell whether this node owned the pool in a former life, which has ended."""
        address, _, _ = claim.member.partition("/")
        return address == self._member.address and not self.is_own_claim(claim)

    async def _claim(self, pool: str) -> None:
        try:
            await self.follower.refresh()
        except StoreError as error:
            log.warning("claim not tried", pool=pool, error=str(error))
            return
        if self._may_claim(pool):
            await self._append(pool, self._member.name)

    async def _append(self, pool: str, member: str) -> None:
        end = self.follower.next_offset or 0
        before = self._claims.get(pool)
        term = (before.term if before else 0) + 1
        claim = Claim(member, end + 1, term, self._is_gone(before))
        record = KeyedRecord(pool, msgspec.msgpack.encode(claim))
        try:
            await self._store.append(OWNERS_TOPIC, 0, [record], expected_end=end)
        except AppendConflictError:
            log.info("claim lost", pool=pool, at=end)
        except StoreOutcomeUnknownError as error:
            # The follower tells whether it took effect.
            log.warning("claim unanswered", pool=pool, at=end, error=str(error))
        except StoreError as error:
            log.warning("claim refused", pool=pool, at=end, error=str(error))

    def _is_gone(self, claim: Claim | None) -> bool:
        if claim is None or not claim.member:
            return True
        address = claim.member.partition("/")[0]
        # Another life at its address proves that the former one has ended.
        return any(
            member != claim.member and member.partition("/")[0] == address
            for member in self._members
        )

    async def leave(self) -> None:
        """Leave the group and release all pools, so that others claim at once."""
        self._is_leaving = True
        try:
            await self._store.leave(self._member.name)
            for pool, claim in list(self._claims.items()):
                if self.is_own_claim(claim):
                    await self.follower.refresh()
                    await self._append(pool, "")
        except StoreError as error:
            log.warning("pools not released", error=str(error))
