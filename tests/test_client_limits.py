"""Tests of what clients may make a process hold, and of which connections give way."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotgap.domain.client_limits import (
    BODY_COPIES,
    FIELD_BYTES,
    MIB,
    ClientBudget,
    ClientLimits,
    CloseReason,
    ConnectionState,
    Phase,
    choose_for_connections,
    choose_for_memory,
    divide_memory,
    find_overdue,
    fit_limits,
    measure_body,
    measure_head,
)

LIMITS = ClientLimits(
    head_timeout_ms=3000, idle_timeout_ms=15_000, body_timeout_ms=60_000
)
STATES = st.lists(
    st.builds(
        ConnectionState,
        st.sampled_from(Phase),
        st.integers(0, 1000),
        st.integers(0, 1000),
        st.integers(0, 300_000),
    ),
    max_size=30,
)


@pytest.mark.parametrize("memory_mb", [64, 100, 160, 200, 300, 552, 4096, 24_000])
@pytest.mark.parametrize("descriptors", [64, 300, 4100, 8192, 1 << 20])
def test_budgets_stay_within_memory_and_descriptors(
    memory_mb: int, descriptors: int
) -> None:
    """Guards against budgets that together exceed the memory or the descriptors."""
    budget = divide_memory(memory_mb, descriptors)
    buffers = budget.connections * budget.socket_buffer_bytes * 2
    total = budget.held_bytes + budget.job_bytes + buffers
    divided = max((memory_mb - 80) * MIB, memory_mb * MIB // 4)
    assert total <= divided
    assert budget.connections <= descriptors // 2


def test_a_machine_of_the_sites_bears_what_its_callers_may_send() -> None:
    """Guards against budgets that ordinary callers of the sites reach."""
    budget = divide_memory(300, 4100)
    limits = ClientLimits(16_384, 262_144)
    assert fit_limits(limits, budget) == limits
    assert budget.connections >= 1000
    # A hundred bodies of the largest size, whole and at work.
    assert budget.held_bytes >= 100 * measure_body(262_144, 0)


def test_limits_above_the_budget_are_lowered() -> None:
    """Guards against a single body that takes the whole budget in its copies."""
    budget = ClientBudget(1 << 20, 10, 8192, 0)
    fitted = fit_limits(ClientLimits(max_body_bytes=1 << 30), budget)
    assert measure_body(fitted.max_body_bytes, 0) <= budget.held_bytes // 2
    assert fitted.max_head_bytes <= budget.held_bytes


def test_fields_and_trailers_are_counted_by_what_they_take() -> None:
    """Guards against short fields that take a hundred times their bytes, uncounted."""
    assert measure_head(500, 100) == 500 + 100 * FIELD_BYTES
    # Chunks of one byte have two lines each; a document may have many lines.
    assert measure_body(1000, 2000) == measure_body(1000, 500) == 1000 * BODY_COPIES
    assert measure_body(1, 104) >= 100 * FIELD_BYTES


@pytest.mark.parametrize(
    ("phase", "since_ms", "received_ms", "reason"),
    [
        (Phase.IDLE, 14_000, 0, None),
        (Phase.IDLE, 16_000, 100, CloseReason.IDLE),
        (Phase.HEAD, 2900, 2900, None),
        (Phase.HEAD, 3100, 0, CloseReason.HEAD_TIMEOUT),
        (Phase.BODY, 50_000, 14_000, None),
        (Phase.BODY, 50_000, 16_000, CloseReason.BODY_TIMEOUT),
        (Phase.BODY, 61_000, 0, CloseReason.BODY_TIMEOUT),
        (Phase.WORKING, 10**6, 10**6, None),
        (Phase.WRITING, 16_000, 16_000, CloseReason.UNREAD_ANSWER),
        (Phase.CLOSING, 16_000, 16_000, CloseReason.UNREAD_ANSWER),
    ],
)
def test_each_wait_for_a_client_ends(
    phase: Phase, since_ms: int, received_ms: int, reason: CloseReason | None
) -> None:
    """Guards against waits without end, and against ends while this process works."""
    now_ms = 10**7
    state = ConnectionState(phase, now_ms - since_ms, now_ms - received_ms, 1)
    assert find_overdue(state, LIMITS, now_ms) == reason


def test_stalled_clients_give_way_before_prompt_ones() -> None:
    """Guards against a full budget of stalled clients that turns callers away."""
    states = [
        ("small and new", ConnectionState(Phase.HEAD, 1000, 1000, 600)),
        ("large and new", ConnectionState(Phase.BODY, 1000, 1000, 262_144)),
        ("large and stalled", ConnectionState(Phase.BODY, 0, 0, 262_144)),
        ("dripping", ConnectionState(Phase.BODY, 0, 1000, 200_000)),
        ("at work", ConnectionState(Phase.WORKING, 0, 0, 10**9)),
    ]
    chosen = choose_for_memory(states, 300_000, 1000)
    assert chosen == ["large and stalled", "dripping"]
    assert choose_for_connections(states, 2) == ["large and stalled", "small and new"]


@given(STATES, st.integers(1, 10**6))
def test_enough_is_freed_without_a_request_at_work(
    states: list[ConnectionState], excess_bytes: int
) -> None:
    """Guards against choices that free too little while more could be freed."""
    chosen = choose_for_memory(enumerate(states), excess_bytes, 1000)
    free = [n for n, state in enumerate(states) if state.phase != Phase.WORKING]
    freed = sum(states[n].held_bytes for n in chosen)
    assert set(chosen) <= set(free)
    assert freed >= min(excess_bytes, sum(states[n].held_bytes for n in free))
