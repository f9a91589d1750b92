"""Division of customers' caps among the pools."""

import time
from collections.abc import Mapping

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotgap.domain.cap_grants import GrantLedger
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
    assert divide(p1=demand(0.5)) == {"p1": pytest.approx(BUDGET)}


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


def test_what_no_pool_needs_is_spread_over_all() -> None:
    """Guards against a turn that begins with waiting for another pool's share.

    Calls that take a share back and give it elsewhere take two rounds and more.
    """
    busy = CustomerUse(held=0.7, used=0.3, ready=0.3, wanted=0.3)
    targets = divide(p1=busy, p2=CustomerUse(), p3=CustomerUse())
    needed = 0.3 - BASE
    rest = (BUDGET - needed) / 3
    assert targets["p1"] == pytest.approx(needed + rest)
    assert targets["p2"] == targets["p3"] == pytest.approx(rest)
    begun = divide(p1=busy, p2=demand(5.0), p3=CustomerUse())
    assert begun["p1"] == pytest.approx(needed)
    assert begun["p2"] == pytest.approx(BUDGET - needed)
    assert begun["p3"] == 0.0


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
