"""Customers' caps under lost, late and repeated calls, new owners and coordinators."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotgap.domain.cap_grants import GrantLedger, HeldGrants, Sent
from bergamotgap.domain.customer_caps import BASE_SHARE, CustomerUse

Message = TypeVar("Message")
POOLS = ("p1", "p2", "p3", "p4")
BASE = BASE_SHARE / len(POOLS)
BASES = dict.fromkeys(POOLS, BASE)
BUDGET = 1 - BASE_SHARE


def test_late_and_repeated_calls_change_nothing() -> None:
    """Guards against a grant that an overtaken or repeated call brings back."""
    held = HeldGrants(7)
    assert held.apply(1, 2, 7, {"a": 0.5}, ())
    assert not held.apply(1, 1, 7, {"a": 0.7}, ())
    assert held.apply(1, 3, 7, {}, ("a",))
    assert not held.apply(1, 2, 7, {"a": 0.5}, ())
    assert not held.apply(1, 4, 6, {"a": 0.5}, ())
    assert (held.grants, held.permits) == ({}, {"a"})
    # A later coordinator begins its own sequence; the former one is refused then.
    assert not held.apply(2, 1, 7, None, ())
    assert not held.apply(1, 9, 7, {"a": 0.5}, ())
    held.require_token(5)
    assert not held.apply(4, 1, 7, {"a": 0.5}, ())
    assert (held.grants, held.permits) == ({}, {"a"})


@dataclass
class Owner:
    """An owner of a pool in the model; `used` is passed on to its successor."""

    held: HeldGrants
    base: float
    used: float = 0.0
    wanted: float = 0.0
    least: float = 0.0
    waits_ms: int = 0

    @property
    def share(self) -> float:
        return self.base + self.held.grants.get("c", 0.0)

    def answer(self, token: int, sent: Sent) -> "Reply":
        self.held.apply(
            token, sent.sequence, sent.owner_token, sent.grants, sent.permits
        )
        use = CustomerUse(
            self.held.grants.get("c", 0.0),
            self.used,
            self.wanted,
            self.wanted,
            self.least,
            self.waits_ms,
            "c" in self.held.permits,
        )
        uses = {} if use == CustomerUse() else {"c": use}
        held = self.held
        return Reply(held.owner_token, held.token, held.sequence, self.base, uses)

    def start(self, size: float) -> None:
        has_permit = "c" in self.held.permits
        if self.used + (0 if has_permit else size) <= self.share + 1e-9:
            self.used += size


@dataclass(frozen=True)
class Reply:
    owner_token: int
    token: int
    sequence: int
    base: float
    uses: Mapping[str, CustomerUse]


@dataclass
class Model:
    """Owners, all coordinators that ever were, and messages in any order.

    Former coordinators go on. Each message may be delivered never, late, or repeatedly,
    to the owner that the pool has by then.
    """

    random: Random = field(default_factory=lambda: Random(0))
    token: int = 10
    owners: dict[str, Owner] = field(default_factory=dict)
    coordinators: list[GrantLedger] = field(default_factory=list)
    late_calls: list[tuple[GrantLedger, str, Sent]] = field(default_factory=list)
    late_replies: list[tuple[GrantLedger, str, Reply]] = field(default_factory=list)

    def __post_init__(self) -> None:
        for pool in POOLS:
            self.replace_owner(pool)
        self.replace_coordinator()
        # How many calls and replies are late or lost in this run.
        self.late_share = self.random.choice((0.2, 0.5, 0.8))

    def replace_owner(self, pool: str) -> None:
        self.token += 1
        former = self.owners.get(pool)
        owner = Owner(HeldGrants(self.token), BASE, former.used if former else 0.0)
        if self.coordinators:
            owner.held.require_token(self.coordinators[-1].token)
        self.owners[pool] = owner

    def replace_coordinator(self) -> None:
        self.token += 1
        claims = {pool: owner.held.owner_token for pool, owner in self.owners.items()}
        ledger = GrantLedger(self.token, claims)
        ledger.update_pools(POOLS)
        self.coordinators.append(ledger)

    def run_round(self, ledger: GrantLedger, is_faulty: bool) -> None:
        if ledger.is_superseded:
            return
        grants, permits = ledger.plan(BASES, ["c"])
        for pool in POOLS:
            sent = ledger.build_call(pool, grants[pool], permits[pool])
            if is_faulty and self.random.random() < self.late_share:
                self.late_calls.append((ledger, pool, sent))
                if self.random.random() < 0.7:
                    continue
            self.deliver_call(ledger, pool, sent, is_faulty)

    def deliver_call(
        self, ledger: GrantLedger, pool: str, sent: Sent, is_faulty: bool = True
    ) -> None:
        reply = self.owners[pool].answer(ledger.token, sent)
        if is_faulty and self.random.random() < self.late_share:
            self.late_replies.append((ledger, pool, reply))
            if self.random.random() < 0.7:
                return
        record_reply(ledger, pool, reply)

    def deliver_late(self) -> None:
        """Deliver messages out of order, some again, and lose some."""
        for _ in range(self.random.randrange(6)):
            if self.late_calls:
                self.deliver_call(*self.take(self.late_calls))
            if self.late_replies:
                record_reply(*self.take(self.late_replies))

    def take(self, late: list[Message]) -> Message:
        """Return one of the last messages; half of them come again."""
        index = self.random.randrange(max(0, len(late) - 12), len(late))
        return late[index] if self.random.random() < 0.5 else late.pop(index)

    def change_jobs(self) -> None:
        """Let jobs of the customer arrive, start and end in some pool."""
        pool = self.random.choice(POOLS)
        owner, size = self.owners[pool], self.random.choice(SIZES)
        match self.random.randrange(5):
            case 0:
                owner.wanted, owner.least = owner.used + 2 * size, size
                owner.waits_ms = self.random.randrange(2000)
            case 1:
                owner.wanted, owner.least, owner.waits_ms = owner.used, 0.0, 0
            case 2:
                owner.used = max(0.0, owner.used - size)
            case 3:
                owner.used = 0.0
        for _ in range(8):
            self.owners[self.random.choice(POOLS)].start(self.random.choice(SIZES))

    def exchange_all(self) -> None:
        """Run a round of the newest coordinator without faults."""
        self.run_round(self.coordinators[-1], is_faulty=False)

    def check(self) -> None:
        owners = self.owners.values()
        assert sum(owner.share for owner in owners) <= 1 + 1e-6
        assert sum("c" in owner.held.permits for owner in owners) <= 1
        assert sum(owner.used for owner in owners) <= 1 + max(SIZES) + 1e-6


def record_reply(ledger: GrantLedger, pool: str, reply: Reply) -> None:
    ledger.record_reply(
        pool, reply.owner_token, reply.token, reply.sequence, reply.base, reply.uses
    )


SIZES = (0.05, 0.2, 0.5, 0.9, 1.5)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 2**32))
def test_use_never_exceeds_the_cap_and_one_task(seed: int) -> None:
    """Guards against a cap exceeded under lost, late and repeated messages.

    Owners and coordinators change at any time, and former coordinators go on.
    """
    model = Model(Random(seed))
    for _ in range(200):
        chance = model.random.random()
        if chance < 0.04:
            model.replace_owner(model.random.choice(POOLS))
        elif chance < 0.06:
            model.replace_coordinator()
        elif chance < 0.3:
            # One of the last coordinators goes on as if it were the only one.
            model.run_round(model.random.choice(model.coordinators[-3:]), True)
        elif chance < 0.6:
            model.run_round(model.coordinators[-1], model.random.random() < 0.5)
        elif chance < 0.75:
            model.deliver_late()
        else:
            model.change_jobs()
        model.check()


def test_a_new_coordinator_raises_nothing_before_all_owners_have_answered() -> None:
    """Guards against a successor that grants what it hasn't heard of."""
    model = Model()
    model.owners["p1"].wanted = 1.0
    model.exchange_all()
    model.exchange_all()
    assert model.owners["p1"].share == pytest.approx(1 - BASE_SHARE + BASE)
    model.replace_coordinator()
    ledger = model.coordinators[-1]
    model.owners["p2"].wanted = 1.0
    for pool in POOLS[1:]:
        sent = ledger.build_call(pool, {})
        record_reply(ledger, pool, model.owners[pool].answer(ledger.token, sent))
    assert ledger.plan(BASES, ["c"])[0]["p2"] == {}
    # Meanwhile the former coordinator can't raise the grants of those that answered.
    former = model.coordinators[0]
    for sequence in range(50, 60):
        sent = Sent(sequence, model.owners["p2"].held.owner_token, {"c": 0.5})
        model.owners["p2"].answer(former.token, sent)
    assert model.owners["p2"].share == BASE


def test_a_call_without_a_reply_counts_as_granted() -> None:
    """Guards against a share granted twice because the first call arrives late."""
    model = Model()
    ledger = model.coordinators[-1]
    model.owners["p1"].wanted = 1.0
    model.exchange_all()
    late_reply = model.owners["p1"].answer(ledger.token, ledger.build_call("p1", None))
    grants, _ = ledger.plan(BASES, ["c"])
    late_call = ledger.build_call("p1", grants["p1"])
    # The reply to an earlier call doesn't show whether the later one has arrived.
    record_reply(ledger, "p1", late_reply)
    model.owners["p2"].wanted = 1.0
    for _ in range(3):
        sent = ledger.build_call("p2", ledger.plan(BASES, ["c"])[0]["p2"])
        record_reply(ledger, "p2", model.owners["p2"].answer(ledger.token, sent))
    assert model.owners["p2"].share == BASE
    model.owners["p1"].answer(ledger.token, late_call)
    model.check()
    assert model.owners["p1"].share == BASE + BUDGET


def test_an_owner_that_is_long_unreachable_costs_no_memory() -> None:
    """Guards against calls without a reply that are kept for ever, or forgotten."""
    model = Model()
    ledger = model.coordinators[-1]
    model.owners["p1"].wanted = 1.0
    model.exchange_all()
    for number in range(1000):
        ledger.build_call("p1", {"c": 0.5 if number == 3 else 0.1}, ("c",))
    view = ledger.views["p1"]
    assert len(view.sent) < 20
    assert view.measure_claim("c") == 0.5
    assert view.may_have_permit("c")
    model.exchange_all()
    assert view.sent == []


def test_the_answer_of_a_former_owner_does_not_count() -> None:
    """Guards against raised grants while the present owner holds some unheard of.

    The owner had claimed its pool before the coordinator claimed its duty, so it may
    have been granted shares by a former coordinator.
    """
    model = Model()
    former_owner = model.owners["p1"]
    model.replace_owner("p1")
    model.replace_coordinator()
    ledger = model.coordinators[-1]
    for pool, owner in {**model.owners, "p1": former_owner}.items():
        sent = ledger.build_call(pool, None)
        record_reply(ledger, pool, owner.answer(ledger.token, sent))
    assert not ledger.may_raise()
    model.exchange_all()
    assert ledger.may_raise()


def test_the_grant_of_a_silent_owner_stays_its_claim() -> None:
    """Guards against a share given to a second pool that the first may still use."""
    model = Model()
    model.owners["p1"].wanted = 1.0
    model.exchange_all()
    model.exchange_all()
    model.owners["p1"].wanted = 0.0
    model.owners["p2"].wanted = 1.0
    ledger = model.coordinators[-1]
    for _ in range(3):
        grants, permits = ledger.plan(BASES, ["c"])
        for pool in POOLS:
            sent = ledger.build_call(pool, grants[pool], permits[pool])
            reply = model.owners[pool].answer(ledger.token, sent)
            # The replies of the first pool are lost.
            if pool != "p1":
                record_reply(ledger, pool, reply)
    assert model.owners["p2"].share == pytest.approx(BASE)
    # The first reply shows that the grant isn't used, the second its release.
    for _ in range(3):
        model.exchange_all()
    assert model.owners["p2"].share == pytest.approx(1 - BASE_SHARE + BASE)
