"""Journal, ownership registry and outage detector: who may act, what is durable."""

import asyncio

import pytest

from bergamotgap.pools.journal import Journal
from bergamotgap.pools.outage_detector import OutageDetector
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.pool_claims import Claim, Member, choose_claimant
from bergamotgap.ports.fleet import Fence, KeyedRecord
from bergamotgap.ports.pool_peer import (
    LogContactCall,
    LogContactReply,
    PeerCallError,
    PoolCall,
    PoolReply,
)
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock, run_virtual

TOPIC = "keyed.jobs"


def build_journal(store: FakeStore, epoch: int, lost: list[str]) -> Journal:
    fence = Fence("pool/previews", epoch, 0)
    return Journal(store, TOPIC, 0, fence, LoopClock(), lambda: lost.append("fenced"))


def test_an_append_without_an_answer_takes_effect_once() -> None:
    """Guards against a record lost or duplicated because its answer was lost."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store, 1, [])
        task = asyncio.create_task(journal.run())
        store.lose_answers = 2
        await journal.wait_committed(journal.put("a", lambda: b"1"))
        await journal.wait_committed(journal.put("b", lambda: b"2"))
        records = store.get(TOPIC, 0).records
        assert records == [KeyedRecord("a", b"1"), KeyedRecord("b", b"2")]
        task.cancel()

    run_virtual(main())


def test_a_change_is_committed_only_when_its_value_was_appended() -> None:
    """Guards against an acknowledgement of a change that an outage holds back."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store, 1, [])
        task = asyncio.create_task(journal.run())
        store.is_down = True
        change = journal.put("a", lambda: b"1")
        await asyncio.sleep(3)
        assert not journal.is_committed(change)
        assert journal.is_failing
        store.is_down = False
        await journal.wait_committed(change)
        assert store.get(TOPIC, 0).records == [KeyedRecord("a", b"1")]
        task.cancel()

    run_virtual(main())


def test_a_fenced_owner_is_notified_and_appends_nothing() -> None:
    """Guards against interleaved records of two owners."""

    async def main() -> None:
        store, lost = FakeStore(), list[str]()
        old, new = build_journal(store, 1, lost), build_journal(store, 2, [])
        tasks = [asyncio.create_task(journal.run()) for journal in (old, new)]
        await new.wait_committed(new.put("a", lambda: b"new"))
        old.put("a", lambda: b"old")
        await asyncio.sleep(0.1)
        assert lost == ["fenced"]
        assert store.get(TOPIC, 0).records == [KeyedRecord("a", b"new")]
        for task in tasks:
            task.cancel()

    run_virtual(main())


def build_registry(
    store: FakeStore, number: int, incarnation: str = "1"
) -> OwnershipRegistry:
    registry = OwnershipRegistry(
        store, Member(f"10.0.0.{number}:7000", incarnation), SETTINGS, LoopClock()
    )
    registry.set_claimable_pools(frozenset({"previews", "audits"}))
    return registry


def start_registry(registry: OwnershipRegistry) -> list[asyncio.Task[None]]:
    return [
        asyncio.create_task(run())
        for run in (registry.follower.run, registry.run_membership, registry.run_claims)
    ]


def test_each_pool_has_one_owner_and_a_dead_owner_gets_a_successor() -> None:
    """Guards against a pool with no owner or two owners after a member's death."""

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2, 3)]
        tasks = [start_registry(registry) for registry in registries]
        await asyncio.sleep(3)
        claims = dict(registries[0].claims)
        assert set(claims) == {"previews", "audits"}
        assert all(registry.claims == claims for registry in registries)
        dead_owner = next(r for r in registries if r.is_own_claim(claims["previews"]))
        for task in tasks[registries.index(dead_owner)]:
            task.cancel()
        store.members.discard(claims["previews"].member)
        await asyncio.sleep(3)
        successor = next(r for r in registries if r is not dead_owner).claims[
            "previews"
        ]
        assert successor.token > claims["previews"].token
        assert successor.term == 2
        assert not successor.is_former_owner_stopped

    run_virtual(main())


def test_a_restarted_node_claims_its_pools_again_at_once() -> None:
    """Guards against pools that wait until the TTL of a restarted owner expires."""

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2, 3)]
        tasks = [start_registry(registry) for registry in registries]
        await asyncio.sleep(3)
        claim = registries[0].claims["previews"]
        dead_owner = next(r for r in registries if r.is_own_claim(claim))
        for task in tasks[registries.index(dead_owner)]:
            task.cancel()
        successor = build_registry(store, registries.index(dead_owner) + 1, "2")
        start_registry(successor)
        # The membership of the former incarnation has not expired yet.
        assert claim.member in store.members
        await asyncio.sleep(0.5)
        assert successor.is_own_claim(successor.claims["previews"])
        assert successor.claims["previews"].is_former_owner_stopped

    run_virtual(main())


def test_a_single_member_does_not_claim_all_pools_after_an_outage() -> None:
    """Guards against one node that claims all pools because it renewed first."""

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2, 3)]
        tasks = [start_registry(registry) for registry in registries]
        await asyncio.sleep(3)
        before = dict(registries[0].claims)
        loser = next(
            r for r in registries if not any(map(r.is_own_claim, before.values()))
        )
        # All members but one are late to renew after an outage.
        for registry, own in zip(registries, tasks, strict=True):
            if registry is not loser:
                own[1].cancel()
        store.members = {loser._member.name}
        await asyncio.sleep(1.5)
        assert loser.claims == before
        for registry in registries:
            if registry is not loser:
                start_registry(registry)
        await asyncio.sleep(3)
        assert loser.claims == before

    run_virtual(main())


def test_a_leaving_node_stays_out_of_the_group() -> None:
    """Guards against a leaving node that joins the group again and keeps its pools."""

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2)]
        for registry in registries:
            start_registry(registry)
        await asyncio.sleep(3)
        owner = next(
            r for r in registries if r.is_own_claim(registries[0].claims["previews"])
        )
        await owner.leave()
        await asyncio.sleep(2)
        assert len(store.members) == 1
        other = next(r for r in registries if r is not owner)
        assert all(other.is_own_claim(claim) for claim in other.claims.values())
        assert other.claims["previews"].is_former_owner_stopped

    run_virtual(main())


def test_a_new_incarnation_at_an_address_proves_the_former_one_dead() -> None:
    """Guards against a wait for an owner whose node has restarted."""

    async def main() -> None:
        store = FakeStore()
        first = build_registry(store, 1)
        tasks = start_registry(first)
        await asyncio.sleep(3)
        for task in tasks:
            task.cancel()
        store.members.clear()
        second = build_registry(store, 1, incarnation="2")
        start_registry(second)
        await asyncio.sleep(3)
        assert second.is_own_claim(second.claims["previews"])
        assert second.claims["previews"].is_former_owner_stopped

    run_virtual(main())


def test_a_renewal_confirms_only_with_the_claims_read() -> None:
    """Guards against an owner that acts before it has read its successor's claim.

    After a network partition, renewals succeed while reads of the claims still fail.
    """

    async def main() -> None:
        store = FakeStore()
        registry = build_registry(store, 1)
        start_registry(registry)
        await asyncio.sleep(2)
        assert registry.is_membership_confirmed()
        store.refuses_reads = True
        await asyncio.sleep(3)
        assert not registry.is_membership_confirmed()

    run_virtual(main())


def test_the_member_with_the_fewest_pools_claims() -> None:
    """Guards against one node that claims all pools."""
    claims = {"a": Claim("m1", 1, 1), "b": Claim("m2", 2, 1)}
    assert choose_claimant("c", ["m1", "m2", "m3"], claims) == "m3"
    assert choose_claimant("c", [], claims) is None


def test_a_larger_node_claims_before_a_smaller_one() -> None:
    """Guards against pools that are claimed without regard to the members' cores."""
    members = [
        Member("10.0.0.1:7", "1", 500).name,
        Member("10.0.0.2:7", "1", 2000).name,
    ]
    claims: dict[str, Claim] = {}
    for pool in "abcde":
        owner = choose_claimant(pool, members, claims)
        assert owner is not None
        claims[pool] = Claim(owner, 1, 1)
    assert [claim.member for claim in claims.values()].count(members[1]) == 4


class FakePeers:
    """Answer contact calls with the age by address; None does not answer."""

    def __init__(self, ages: dict[str, int | None]) -> None:
        self.ages = ages

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        assert isinstance(call, LogContactCall)
        await asyncio.sleep(0.005)
        age = self.ages.get(address)
        if age is None:
            raise PeerCallError("silent", was_sent=True)
        return LogContactReply(age)


def build_detector(
    registry: OwnershipRegistry, ages: dict[str, int | None]
) -> OutageDetector:
    """Return the detector of a node with pools, whose peers report `ages`."""
    return OutageDetector(
        registry, FakePeers(ages), "10.0.0.1:7000", lambda: True, SETTINGS, LoopClock()
    )


@pytest.mark.parametrize(
    ("ages", "may_act"),
    [
        ({"10.0.0.2:7000": 2000, "10.0.0.3:7000": 2000}, True),
        ({"10.0.0.2:7000": 2000, "10.0.0.3:7000": 100}, False),
        ({"10.0.0.2:7000": 2000, "10.0.0.3:7000": None}, False),
    ],
)
def test_an_owner_without_the_log_acts_only_in_an_outage_for_all(
    ages: dict[str, int | None], may_act: bool
) -> None:
    """Guards against a host controller that orders hosts beside its successor.

    It may act without the log only if every other member has lost the log too.
    """

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2, 3)]
        for registry in registries:
            start_registry(registry)
        await asyncio.sleep(2)
        detector = build_detector(registries[0], ages)
        running = asyncio.create_task(detector.run())
        assert detector.may_act()
        store.is_down = True
        store.members.clear()
        await asyncio.sleep(3)
        assert detector.may_act() is may_act
        running.cancel()

    run_virtual(main())


def test_an_owner_that_knows_no_other_member_does_not_act() -> None:
    """Guards against a lone node that takes its own lost log for an outage for all."""

    async def main() -> None:
        store = FakeStore()
        registry = build_registry(store, 1)
        start_registry(registry)
        await asyncio.sleep(2)
        detector = build_detector(registry, {})
        running = asyncio.create_task(detector.run())
        store.is_down = True
        await asyncio.sleep(3)
        assert not detector.may_act()
        running.cancel()

    run_virtual(main())


@pytest.mark.parametrize(
    ("ages", "is_cut_off"),
    [
        # The log is down for all, with and without a member that does not answer.
        ({"10.0.0.2:7000": 2000, "10.0.0.3:7000": 2000}, False),
        ({"10.0.0.2:7000": 2000, "10.0.0.3:7000": None}, False),
        # Only this node has lost the log: another member answers and reaches it.
        ({"10.0.0.2:7000": 100, "10.0.0.3:7000": None}, False),
        ({"10.0.0.2:7000": None, "10.0.0.3:7000": None}, True),
    ],
)
def test_a_cut_off_node_sends_callers_elsewhere(
    ages: dict[str, int | None], is_cut_off: bool
) -> None:
    """Guards against a cut-off node that keeps its callers and refuses them."""

    async def main() -> None:
        store = FakeStore()
        registries = [build_registry(store, number) for number in (1, 2, 3)]
        for registry in registries:
            start_registry(registry)
        await asyncio.sleep(2)
        detector = build_detector(registries[0], ages)
        running = asyncio.create_task(detector.run())
        await asyncio.sleep(1)
        assert not detector.is_cut_off
        store.is_down = True
        await asyncio.sleep(2)
        assert detector.is_cut_off is is_cut_off
        store.is_down = False
        await asyncio.sleep(1)
        assert not detector.is_cut_off
        running.cancel()

    run_virtual(main())
