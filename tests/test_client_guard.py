"""Tests of the guard over all connections, with fake connections and a clock."""

import asyncio
from dataclasses import dataclass, replace

from bergamotgap.adapters.client_guard import SWEEP_INTERVAL_MS, ClientGuard
from bergamotgap.domain.client_limits import (
    ClientBudget,
    ClientLimits,
    CloseReason,
    ConnectionState,
    Phase,
)
from bergamotgap.domain.clock import ManualClock

LIMITS = ClientLimits(16_384, 262_144, 3000, 15_000, 60_000)
BUDGET = ClientBudget(
    held_bytes=1000, connections=4, socket_buffer_bytes=0, job_bytes=0
)


@dataclass(eq=False)
class FakeConnection:
    """A connection that holds what a test says."""

    guard: ClientGuard
    state: ConnectionState
    is_open: bool = True
    sheds: int = 0
    pieces: int = 0
    fails: bool = False

    def get_state(self) -> ConnectionState:
        return self.state

    def end(self) -> None:
        self.is_open = False
        self.guard.remove(self)
        self.guard.charge(-self.state.held_bytes)

    def shed(self) -> None:
        self.sheds += 1

    def parse_piece(self) -> bool:
        self.pieces += 1
        if self.fails:
            raise ValueError("a fault of the parser")
        return self.pieces < 3


def build_guard() -> tuple[ClientGuard, ManualClock]:
    clock = ManualClock()
    return ClientGuard(BUDGET, lambda: LIMITS, clock), clock


def open_connection(guard: ClientGuard, phase: Phase, held: int = 0) -> FakeConnection:
    now_ms = guard.now_ms
    connection = FakeConnection(guard, ConnectionState(phase, now_ms, now_ms, held))
    assert guard.admit(connection)
    guard.charge(held)
    return connection


def sweep(guard: ClientGuard, clock: ManualClock, count: int) -> None:
    for _ in range(count):
        clock.advance_ms(SWEEP_INTERVAL_MS)
        guard._sweep()


def test_a_client_that_keeps_the_limits_is_never_closed() -> None:
    """Guards against idle times that count from before their beginning."""
    guard, clock = build_guard()
    sweep(guard, clock, 3)
    # It begins just before the next sweep, and counts from the last one.
    clock.advance_ms(SWEEP_INTERVAL_MS - 1)
    idle = open_connection(guard, Phase.IDLE)
    clock.advance_ms(1)
    guard._sweep()
    sweep(guard, clock, LIMITS.idle_timeout_ms // SWEEP_INTERVAL_MS)
    assert idle.is_open
    sweep(guard, clock, 3)
    assert not idle.is_open
    assert guard.closed == {CloseReason.IDLE: 1}


def test_time_in_which_the_process_stands_still_does_not_count() -> None:
    """Guards against a wake-up that closes clients whose bytes wait unread."""
    guard, clock = build_guard()
    sending = open_connection(guard, Phase.HEAD)
    clock.advance_ms(600_000)
    guard._sweep()
    sweep(guard, clock, 4)
    assert sending.is_open
    sweep(guard, clock, 10)
    assert guard.closed == {CloseReason.HEAD_TIMEOUT: 1}


def test_connections_beyond_the_budget_replace_the_silent_ones() -> None:
    """Guards against a crowd of silent clients that shuts out all others."""
    guard, _ = build_guard()
    silent = [open_connection(guard, Phase.IDLE) for _ in range(3)]
    working = open_connection(guard, Phase.WORKING)
    newer = open_connection(guard, Phase.IDLE)
    assert guard.connection_count == 4
    assert [c.is_open for c in (*silent, working, newer)] == [False, *[True] * 4]


def test_requests_at_work_are_not_closed_for_new_ones() -> None:
    """Guards against a full house that cuts whole requests."""
    guard, _ = build_guard()
    working = [open_connection(guard, Phase.WORKING, 400) for _ in range(4)]
    fresh = FakeConnection(guard, replace(working[0].state, phase=Phase.IDLE))
    assert not guard.admit(fresh)
    assert all(connection.is_open for connection in working)
    # What is sent ahead of the answer gives way.
    assert all(connection.sheds for connection in working)
    assert not guard.has_room(1)


def test_reserved_bytes_leave_no_room_for_others() -> None:
    """Guards against specifications that are held beside a full budget."""
    guard, _ = build_guard()
    stalled = open_connection(guard, Phase.BODY, 900)
    assert guard.has_room(1000)
    with guard.reserve(800):
        assert not stalled.is_open
        assert not guard.has_room(201)
        assert guard.has_room(200)
    assert guard.held_bytes == 0


def test_a_pass_that_frees_nothing_is_not_repeated_for_each_byte() -> None:
    """Guards against a pass over all connections for each piece that arrives."""
    guard, _ = build_guard()
    working = open_connection(guard, Phase.WORKING, 1001)
    assert working.sheds == 1
    for _ in range(50):
        guard.charge(1)
    assert working.sheds == 1
    guard.charge(200)
    assert working.sheds == 2


async def test_a_connection_that_fails_leaves_the_others_their_turn() -> None:
    """Guards against one failure that stops the parsing of all connections."""
    guard, _ = build_guard()
    failing, other = (open_connection(guard, Phase.BODY) for _ in range(2))
    failing.fails = True
    guard.schedule_parse(failing)
    guard.schedule_parse(other)
    await asyncio.sleep(0.05)
    assert not failing.is_open
    assert other.pieces == 3
    guard.schedule_parse(other)
    await asyncio.sleep(0.05)
    assert other.pieces == 4
