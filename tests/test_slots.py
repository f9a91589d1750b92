"""Division of slots among entry hosts."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotgap.domain.slots import (
    GRANT_HOLD_MS,
    Allowance,
    SmoothedDemand,
    divide_slots,
)

NODES = tuple(f"entry-{number}" for number in range(7))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    total=st.integers(0, 100),
    demands=st.lists(st.floats(0, 1000), min_size=1, max_size=7),
    rotation=st.integers(0, 50),
)
def test_parts_add_up_to_the_slots(
    total: int, demands: list[float], rotation: int
) -> None:
    """Guards against a division of more or fewer slots than the pool has."""
    view = dict(zip(NODES, demands, strict=False))
    parts = [divide_slots(total, node, view, list(view), rotation) for node in view]
    assert sum(parts) == total


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    total=st.integers(0, 100),
    demands=st.lists(st.floats(0, 1000), min_size=7, max_size=7),
    first_side=st.integers(1, 6),
)
@pytest.mark.fault("cut_between_data_centres", "queue")
def test_cut_leaves_no_slot_to_both_sides(
    total: int, demands: list[float], first_side: int
) -> None:
    """Guards against both sides of a network partition using all slots."""
    used = 0
    for side in (NODES[:first_side], NODES[first_side:]):
        view = {node: demands[NODES.index(node)] for node in side}
        used += sum(divide_slots(total, node, view, NODES) for node in side)
    assert used <= total


@pytest.mark.fault("crash", "queue")
def test_silent_host_does_not_idle_the_others() -> None:
    """Guards against a fallback to equal shares if one host of seven is silent."""
    view = dict.fromkeys(NODES[:6], 0.0) | {NODES[0]: 100.0}
    assert divide_slots(48, NODES[0], view, NODES) > 48 // 7 + 10


def test_flood_at_one_host_leaves_others_their_demand() -> None:
    """Guards against a division in proportion to demand, which a flood would win."""
    view = dict.fromkeys(NODES, 5.0) | {NODES[0]: 10_000.0}
    assert all(divide_slots(48, node, view, NODES) >= 5 for node in NODES)


def test_hosts_without_demand_can_start_at_once() -> None:
    """Guards against a first request that must wait for the next division."""
    view = dict.fromkeys(NODES, 1000.0) | {NODES[3]: 0.0}
    assert divide_slots(48, NODES[3], view, NODES) >= 1


def test_fewer_slots_than_hosts_reach_every_host() -> None:
    """Guards against hosts that never get one of very few slots."""
    view = dict.fromkeys(NODES, 10.0)
    for node in NODES:
        parts = [divide_slots(2, node, view, NODES, rotation) for rotation in range(7)]
        assert sum(parts) == 2


def test_allowance_shrinks_at_once_and_grows_after_the_hold() -> None:
    """Guards against using slots before their former user has given them up."""
    allowance = Allowance()
    assert allowance.update(5, 0) == 5
    assert allowance.update(2, 100) == 2
    for now_ms in range(200, 200 + GRANT_HOLD_MS, 100):
        assert allowance.update(9, now_ms) == 2
    assert allowance.update(9, 200 + GRANT_HOLD_MS) == 9


def test_demand_rises_at_once_and_falls_slowly() -> None:
    """Guards against slots that move between nodes at each gap between requests."""
    demand = SmoothedDemand(decay_ms=1000)
    assert demand.update({"main": 8.0}, 0)["main"] == 8.0
    assert 2.0 < demand.update({}, 1000)["main"] < 4.0
    assert demand.update({"main": 9.0}, 1001)["main"] == 9.0
    assert "main" not in demand.update({}, 60_000)
