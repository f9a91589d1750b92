"""Division of customers' caps, and what owners and coordinators count as granted."""

import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotgap.domain.cap_grants import GrantLedger, HeldGrants, Sent
from bergamotgap.domain.customer_caps import (
    BASE_SETTLE_MS,
    BASE_SHARE,
    PERMIT_WAIT_MS,
    BaseShare,
    CustomerUse,
    count_fitting,
    divide_cap,
    fits_share,
    list_caps,
    list_pools,
    measure_base_share,
)
from bergamotgap.domain.customers import Customer, build_customers
from bergamotgap.domain.fleet import FleetConfig, Size

Message = TypeVar("Message")
POOLS = ("p1", "p2", "p3", "p4")
BASE = BASE_SHARE / len(POOLS)
BASES = dict.fromkeys(POOLS, BASE)
BUDGET = 1 - BASE_SHARE


def demand(wanted: float, **changes: float) -> CustomerUse:
    use = CustomerUse(ready=wanted, wanted=wanted)
    return msgspec.structs.replace(use, **changes)


def divide(**uses: CustomerUse) -> dict[str, float]:
    return divide_cap(uses, {pool: BASES[pool] for pool in uses}, BUDGET).targets


def test_the_only_pool_with_demand_gets_all_that_is_granted() -> None:
    """Guards against a customer that can use a quarter of its cap in one of 4 pools."""
    assert divide(p1=demand(5.0)) == {"p1": pytest.approx(BUDGET)}
    assert divide(p1=demand(0.5)) == {"p1": pytest.approx(0.5 - BASE)}


def test_equal_demand_gets_equal_parts_and_small_demand_all() -> None:
    """Guards against a pool whose large demand leaves nothing to the others."""
    targets = divide(p1=demand(9.0), p2=demand(9.0), p3=demand(BASE + 0.05))
    assert targets["p3"] == pytest.approx(0.05)
    assert targets["p1"] == targets["p2"] == pytest.approx((BUDGET - 0.05) / 2)


def test_what_can_start_goes_before_what_has_no_room() -> None:
    """Guards against a grant kept by a pool that has no room to use it."""
    full = CustomerUse(used=BASE, ready=BASE, wanted=4.0)
    targets = divide(p1=full, p2=demand(0.6))
    assert targets["p2"] == pytest.approx(0.6 - BASE)
    assert targets["p1"] == pytest.approx(BUDGET - targets["p2"])


def test_a_part_too_small_for_a_task_goes_to_the_pool_that_waits_longest() -> None:
    """Guards against three parts of a cap none of which is enough for one task."""
    size = 0.6
    waiting = {
        pool: demand(3 * size, least=size, waits_ms=waits_ms)
        for pool, waits_ms in (("p1", 10), ("p2", 300), ("p3", 200))
    }
    targets = divide(**waiting)
    assert targets["p2"] >= size - BASE
    assert targets["p1"] + targets["p3"] < 0.5
    assert sum(targets.values()) <= BUDGET + 1e-9


@pytest.mark.parametrize("size", [0.9, 1.0, 3.0])
def test_a_task_larger_than_all_grants_gets_a_permit(size: float) -> None:
    """Guards against a task that never starts because no pool can be given enough."""
    large = demand(size, least=size, waits_ms=500)
    other = demand(0.5, least=0.1, waits_ms=100)
    uses = {"p1": other, "p2": large}
    division = divide_cap(uses, BASES, BUDGET)
    assert division.permit == "p2"
    assert division.targets == {"p2": pytest.approx(BUDGET), "p1": 0.0}


def test_a_long_wait_below_half_of_the_cap_gets_a_permit() -> None:
    """Guards against idle capacity beside a customer that uses less than half."""
    running = CustomerUse(held=0.4, used=0.45, ready=0.45, wanted=0.45)
    for waits_ms, used, permit in (
        (PERMIT_WAIT_MS, 0.45, "p2"),
        (PERMIT_WAIT_MS - 1, 0.45, ""),
        (PERMIT_WAIT_MS, 0.55, ""),
    ):
        uses = {
            "p1": msgspec.structs.replace(running, used=used),
            "p2": demand(0.5, least=0.5, waits_ms=waits_ms),
        }
        assert divide_cap(uses, BASES, BUDGET).permit == permit


def test_unneeded_grants_stay_only_where_the_customer_is_active() -> None:
    """Guards against grants that move back and forth without need."""
    kept = CustomerUse(held=0.3, used=0.1, ready=0.1, wanted=0.1)
    targets = divide(p1=kept, p2=CustomerUse(held=0.3))
    assert targets == {"p1": pytest.approx(0.3), "p2": 0.0}


shares = st.floats(0, 2, allow_nan=False)
uses_of_pools = st.dictionaries(
    st.sampled_from(POOLS),
    st.builds(
        CustomerUse,
        held=st.floats(0, 0.75),
        used=shares,
        ready=shares,
        wanted=shares,
        least=shares,
        waits_ms=st.integers(0, 5000),
    ),
    min_size=1,
)


@given(uses_of_pools, st.floats(0, 0.75))
def test_any_division_stays_within_the_budget(
    uses: Mapping[str, CustomerUse], budget: float
) -> None:
    """Guards against grants that are negative or larger than the cap in sum."""
    division = divide_cap(uses, BASES, budget)
    assert sum(division.targets.values()) <= budget + 1e-9
    assert all(target >= 0 for target in division.targets.values())
    waiting = [p for p in division.order if uses[p].least > 0]
    can_start = [
        p
        for p in waiting
        if division.targets[p] + BASES[p] >= uses[p].least - 1e-9
        or p == division.permit
    ]
    # With less than the usual budget, a task may need more than what is left.
    permitted = [p for p in waiting if uses[p].least - BASES[p] <= budget]
    assert can_start or not permitted


def test_only_dimensions_with_a_limit_count() -> None:
    """Guards against a cap of 0 that stops a customer instead of not limiting it."""
    cap = Size(cpu=1000, memory_mb=0, gpus=2)
    assert fits_share([0, 9999, 0], Size(500, 9999, 1), 0.5, cap, 1, 0)
    assert not fits_share([0, 0, 1], Size(100, 0, 1), 0.5, cap, 1, 0)
    # A use above the limit in a dimension that the task doesn't need.
    assert fits_share([0, 0, 2], Size(100), 0.5, cap, 1, 0)
    assert fits_share([0, 0, 0], Size(400), 0.5, cap, 1, 0)
    assert not fits_share([0, 0, 0], Size(400), 0.5, cap, 2, 0)
    assert fits_share([0, 0, 0], Size(400), 0.5, cap, 2, 1)
    assert count_fitting([100, 0, 0], Size(200, 5), 0.5, cap, 9) == 2
    assert count_fitting([900, 0, 0], Size(200, 5), 0.5, cap, 9) == 0
    assert count_fitting([900, 0, 0], Size(0, 5), 0.5, cap, 9) == 9


def test_only_customers_with_a_limit_are_capped() -> None:
    """Guards against messages where no customer has a cap."""
    rows = [(Customer("a", cap=Size(gpus=1)), ["k1"]), (Customer("b"), ["k2"])]
    config = FleetConfig(
        1, (), ("p1", "p2", "spare"), frozenset({"spare"}), build_customers(rows)
    )
    assert list_caps(config) == {"a": Size(gpus=1)}
    assert list_caps(None) == list_caps(FleetConfig(1, (), ())) == {}
    assert list_pools(config) == {"p1", "p2"}
    assert measure_base_share(config, "p1") == BASE_SHARE / 2
    assert measure_base_share(config, "spare") == 0


def test_a_base_share_falls_at_once_and_rises_later() -> None:
    """Guards against base shares of two configurations that exceed a quarter in sum."""
    base = BaseShare()
    base.record(0, 0.1)
    assert base.measure(0) == 0.1
    base.record(10, 0.05)
    assert base.measure(10) == 0.05
    base.record(20, 0.2)
    assert base.measure(20) == base.measure(19 + BASE_SETTLE_MS) == 0.05
    assert base.measure(20 + BASE_SETTLE_MS) == 0.2


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


@pytest.mark.parametrize(("pools", "customers"), [(4, 20), (58, 86)])
def test_a_round_is_cheap(pools: int, customers: int) -> None:
    """Guards against a coordinator that takes a core in a large fleet."""
    names = [f"c{n}" for n in range(customers)]
    bases = {f"p{n}": BASE_SHARE / pools for n in range(pools)}
    ledger = GrantLedger(1, {})
    ledger.update_pools(bases)
    for number, pool in enumerate(bases):
        # A customer has jobs in four pools at a time.
        uses = {
            name: demand(0.4, used=0.1, held=0.1, least=0.01, waits_ms=n % 7)
            for n, name in enumerate(names)
            if (n + number) % pools < 4
        }
        ledger.record_reply(pool, 1, 1, 0, bases[pool], uses)
    started_s = time.process_time()
    rounds = 10
    for _ in range(rounds):
        grants, permits = ledger.plan(bases, names)
        for pool, by_customer in grants.items():
            ledger.build_call(pool, by_customer, permits[pool])
            ledger.views[pool].sent.clear()
    taken_ms = 1000 * (time.process_time() - started_s) / rounds
    print(f"{pools} pools, {customers} customers: {taken_ms:.2f} ms")
    assert taken_ms < 25
