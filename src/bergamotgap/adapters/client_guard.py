"""Bounds what all clients of a process make it hold, over all of its addresses."""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Protocol, Self

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.client_limits import (
    EVICTED_PART,
    ClientBudget,
    ClientLimits,
    CloseReason,
    ConnectionState,
    Phase,
    choose_for_connections,
    choose_for_memory,
    find_overdue,
    fit_limits,
)
from bergamotgap.domain.clock import Clock
from bergamotgap.node.supervision import supervise

SWEEP_INTERVAL_MS = 500
# A sweep that is later than this was held up by the process itself, or its host was
# suspended. Bytes of clients may wait unread then, so their time stands still.
MAX_SWEEP_STEP_MS = 2 * SWEEP_INTERVAL_MS
# A wait may have begun a sweep later than it is counted from, and its end may be on its
# way: no client that keeps the limits is closed.
SLACK_MS = 2 * SWEEP_INTERVAL_MS
LOG_INTERVAL_MS = 5000
# How long the loop parses what arrived before it serves its other work.
PARSE_SLICE_MS = 4

log = get_logger(__name__)


class GuardedConnection(Protocol):
    """One client's connection, as the guard sees it."""

    def get_state(self) -> ConnectionState:
        """Return what the connection waits for and what it holds."""

    def end(self) -> None:
        """Close the connection at once and give back what it holds."""

    def shed(self) -> None:
        """Drop what came after the request at work, and close after its answer."""

    def parse_piece(self) -> bool:
        """Parse a piece of what has arrived; return whether there is more."""


class ClientGuard:
    """Count what the clients of a process make it hold, and close connections.

    `get_limits` returns the limits that are configured now, None before any are.
    """

    def __init__(
        self,
        budget: ClientBudget,
        get_limits: Callable[[], ClientLimits | None],
        clock: Clock,
    ) -> None:
        self.budget = budget
        self._get_limits = get_limits
        self._clock = clock
        self._connections: dict[GuardedConnection, None] = {}
        self._held_bytes = 0
        self._reserved_bytes = 0
        # Room is made again beyond this, so that passes which free nothing are rare.
        self._next_pass_bytes = budget.held_bytes
        self._now_ms = 0
        self._swept_ms = 0
        self._sweep_task: asyncio.Task[None] | None = None
        self._to_parse: deque[GuardedConnection] = deque()
        self._is_parsing = False
        self._limits = ClientLimits()
        self._closed: Counter[CloseReason] = Counter()
        self._logged: Counter[CloseReason] = Counter()
        self._logged_ms = 0

    async def __aenter__(self) -> Self:
        """Start to look for clients that keep the process waiting."""
        self._swept_ms = self._clock.monotonic_ms()
        self._refresh_limits()
        sweeps = supervise("sweeps of client connections", self._run_sweeps)
        self._sweep_task = asyncio.create_task(sweeps)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop looking."""
        if self._sweep_task is not None:
            self._sweep_task.cancel()

    @property
    def limits(self) -> ClientLimits:
        """The limits in force, as of the last sweep."""
        return self._limits

    @property
    def now_ms(self) -> int:
        """Time as of the last sweep, without the time that the process stood still."""
        return self._now_ms

    @property
    def connection_count(self) -> int:
        """The number of open connections of clients."""
        return len(self._connections)

    @property
    def held_bytes(self) -> int:
        """The bytes that clients make the process hold."""
        return self._held_bytes

    @property
    def closed(self) -> Mapping[CloseReason, int]:
        """How many connections were closed, by reason."""
        return self._closed

    def admit(self, connection: GuardedConnection) -> bool:
        """Register a new connection; return False if there is no room for it."""
        if len(self._connections) >= self.budget.connections:
            self._make_room()
        if len(self._connections) >= self.budget.connections:
            self.record_close(CloseReason.CONNECTIONS)
            return False
        self._connections[connection] = None
        return True

    def remove(self, connection: GuardedConnection) -> None:
        """Forget a connection that is closed or about to be."""
        self._connections.pop(connection, None)

    def charge(self, byte_count: int) -> None:
        """Count bytes that a connection holds; a negative number gives them back."""
        self._held_bytes += byte_count
        if self._held_bytes <= self.budget.held_bytes:
            self._next_pass_bytes = self.budget.held_bytes
        elif byte_count > 0 and self._held_bytes > self._next_pass_bytes:
            self._free_memory()

    @contextmanager
    def reserve(self, byte_count: int) -> Iterator[None]:
        """Count bytes that a request at work holds besides what arrived."""
        self._reserved_bytes += byte_count
        self.charge(byte_count)
        try:
            yield
        finally:
            self._reserved_bytes -= byte_count
            self.charge(-byte_count)

    def has_room(self, byte_count: int) -> bool:
        """Return whether so many bytes fit beside the requests at work.

        What other connections hold doesn't count, as it gives way.
        """
        if self._held_bytes + byte_count <= self.budget.held_bytes:
            return True
        at_work = sum(
            state.held_bytes
            for _, state in self._list_states()
            if state.phase == Phase.WORKING
        )
        taken = at_work + self._reserved_bytes
        return taken + byte_count <= self.budget.held_bytes

    def record_close(self, reason: CloseReason) -> None:
        """Count a connection that is closed before its client closes it."""
        self._closed[reason] += 1

    def schedule_parse(self, connection: GuardedConnection) -> None:
        """Let a connection parse what has arrived, in turn with the others."""
        self._to_parse.append(connection)
        if not self._is_parsing:
            self._is_parsing = True
            asyncio.get_running_loop().call_soon(self._parse_in_turn)

    def _parse_in_turn(self) -> None:
        until_ms = self._clock.monotonic_ms() + PARSE_SLICE_MS
        while self._to_parse:
            connection = self._to_parse.popleft()
            if self._parse_piece(connection):
                self._to_parse.append(connection)
            if self._clock.monotonic_ms() >= until_ms:
                break
        self._is_parsing = bool(self._to_parse)
        if self._is_parsing:
            asyncio.get_running_loop().call_soon(self._parse_in_turn)

    def _parse_piece(self, connection: GuardedConnection) -> bool:
        try:
            return connection.parse_piece()
        except Exception as error:
            # The others still get their turn.
            log.error("client connection failed", error=repr(error), exc_info=error)
            connection.end()
            return False

    def _list_states(self) -> Iterator[tuple[GuardedConnection, ConnectionState]]:
        return (
            (connection, connection.get_state()) for connection in self._connections
        )

    def _make_room(self) -> None:
        count = max(1, self.budget.connections // EVICTED_PART)
        for connection in choose_for_connections(self._list_states(), count):
            self._end(connection, CloseReason.CONNECTIONS)

    def _free_memory(self) -> None:
        target = self.budget.held_bytes - self.budget.held_bytes // EVICTED_PART
        states = list(self._list_states())
        excess = self._held_bytes - target
        for connection in choose_for_memory(states, excess, self._now_ms):
            self._end(connection, CloseReason.MEMORY)
        if self._held_bytes > self.budget.held_bytes:
            for connection in list(self._connections):
                connection.shed()
        step = self.budget.held_bytes // EVICTED_PART
        self._next_pass_bytes = max(self.budget.held_bytes, self._held_bytes + step)

    def _end(self, connection: GuardedConnection, reason: CloseReason) -> None:
        self.record_close(reason)
        connection.end()

    async def _run_sweeps(self) -> None:
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self._sweep()

    def _sweep(self) -> None:
        clock_ms = self._clock.monotonic_ms()
        self._now_ms += min(clock_ms - self._swept_ms, MAX_SWEEP_STEP_MS)
        self._swept_ms = clock_ms
        self._refresh_limits()
        for connection, state in list(self._list_states()):
            reason = find_overdue(state, self._limits, self._now_ms - SLACK_MS)
            if reason is not None:
                self._end(connection, reason)
        if clock_ms - self._logged_ms >= LOG_INTERVAL_MS:
            self._log_closed()
            self._logged_ms = clock_ms

    def _refresh_limits(self) -> None:
        limits = fit_limits(self._get_limits() or ClientLimits(), self.budget)
        if limits != self._limits:
            log.info(
                "client limits",
                max_head_bytes=limits.max_head_bytes,
                max_body_bytes=limits.max_body_bytes,
                head_timeout_ms=limits.head_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            )
        self._limits = limits

    def _log_closed(self) -> None:
        new = self._closed - self._logged
        if not new:
            return
        self._logged = self._closed.copy()
        log.warning(
            "client connections closed",
            reasons=dict(new),
            interval_ms=LOG_INTERVAL_MS,
            connections=len(self._connections),
            held_kb=self._held_bytes // 1024,
            budget_kb=self.budget.held_bytes // 1024,
        )
