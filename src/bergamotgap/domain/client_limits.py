"""Limits of what clients can make a process hold; performs no I/O."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypeVar

MIB = 1 << 20
# Memory that a process needs without callers and jobs.
OWN_MEMORY_BYTES = 80 * MIB
# The least part of the memory that is divided, however small the machine is.
MIN_DIVIDED_PART = 4
# Parts of the memory that is divided: what clients send, what waits in buffers of the
# kernel, and accepted jobs. The rest is reserve.
CLIENT_PART = 4
KERNEL_PART = 8
JOB_PART = 2
# Clients use this part of the descriptors at most; the others are for the store, the
# other hosts and the workers.
DESCRIPTOR_PART = 2
MIN_CONNECTIONS = 8
SOCKET_BUFFER_RANGE_BYTES = (8 << 10, 256 << 10)
# The kernel reserves twice the size that a socket's buffer is given.
KERNEL_BUFFER_FACTOR = 2
# Objects of one connection: transport, protocol, parser and task.
CONNECTION_BYTES = 8 << 10
# Objects of one header field: its name and value, decoded and raw.
FIELD_BYTES = 512
# A body is held as a growing buffer and, once it is whole, as a copy.
BODY_COPIES = 2
# Room is made for this part of the budget at once, as finding it takes a pass over all
# connections.
EVICTED_PART = 8
# A single body, in all its copies, may take this part of the budget at most.
MAX_BODY_PART = 2
# A head takes many times its size if its fields are short.
MAX_HEAD_PART = 128


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits of one request and of the waits for its client.

    `body_timeout_ms` limits the time from the head to the last byte of the body, and
    `idle_timeout_ms` the time without a request, or without the next bytes of a body.
    """

    max_head_bytes: int = 64 << 10
    max_body_bytes: int = 1 << 20
    head_timeout_ms: int = 10_000
    idle_timeout_ms: int = 60_000
    body_timeout_ms: int = 240_000


@dataclass(frozen=True, slots=True)
class ClientBudget:
    """What all clients of a process may make it hold together."""

    held_bytes: int
    connections: int
    socket_buffer_bytes: int
    job_bytes: int


class Phase(StrEnum):
    """What a connection waits for."""

    # The first byte of a request.
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    # The answer of this process.
    WORKING = "working"
    # The client, which has to read the answer.
    WRITING = "writing"
    # The end of the connection.
    CLOSING = "closing"


class CloseReason(StrEnum):
    """Why a connection was closed before its client closed it."""

    IDLE = "idle"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    UNREAD_ANSWER = "unread_answer"
    HEAD_TOO_LARGE = "head_too_large"
    MALFORMED = "malformed"
    NO_BODY_PROGRESS = "no_body_progress"
    UNSUPPORTED_UPGRADE = "unsupported_upgrade"
    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclass(frozen=True, slots=True)
class ConnectionState:
    """State of a connection; times are those of the guard's clock (ms).

    The phase began at `since_ms`, and `received_ms` is the time of the last bytes.
    """

    phase: Phase
    since_ms: int
    received_ms: int
    held_bytes: int


_OVERDUE_REASONS = {
    Phase.IDLE: CloseReason.IDLE,
    Phase.HEAD: CloseReason.HEAD_TIMEOUT,
    Phase.BODY: CloseReason.BODY_TIMEOUT,
    Phase.WRITING: CloseReason.UNREAD_ANSWER,
    Phase.CLOSING: CloseReason.UNREAD_ANSWER,
}

T = TypeVar("T")


def divide_memory(memory_mb: int, descriptors: int) -> ClientBudget:
    """Return the budget of a process with so much memory and so many descriptors."""
    memory_bytes = memory_mb * MIB
    divided = max(memory_bytes - OWN_MEMORY_BYTES, memory_bytes // MIN_DIVIDED_PART)
    least, most = SOCKET_BUFFER_RANGE_BYTES
    buffers_bytes = divided // KERNEL_PART // KERNEL_BUFFER_FACTOR
    connections = min(descriptors // DESCRIPTOR_PART, buffers_bytes // least)
    connections = max(MIN_CONNECTIONS, connections)
    return ClientBudget(
        divided // CLIENT_PART,
        connections,
        min(most, max(least, buffers_bytes // connections)),
        divided // JOB_PART,
    )


def fit_limits(limits: ClientLimits, budget: ClientBudget) -> ClientLimits:
    """Return the limits with a head and a body that fit into the budget."""
    most_body = budget.held_bytes // MAX_BODY_PART // BODY_COPIES
    most_head = budget.held_bytes // MAX_HEAD_PART
    return replace(
        limits,
        max_head_bytes=min(limits.max_head_bytes, most_head),
        max_body_bytes=min(limits.max_body_bytes, most_body),
    )


def measure_head(size: int, fields: int) -> int:
    """Return the bytes that a head of a size with so many fields takes."""
    return size + fields * FIELD_BYTES


def measure_body(size: int, lines: int) -> int:
    """Return the bytes that a piece of a body takes.

    Each chunk takes two lines at most. Further lines are trailer fields, which are
    held like those of a head.
    """
    return size * BODY_COPIES + max(0, lines - 2 * size - 2) * FIELD_BYTES


def find_overdue(
    state: ConnectionState, limits: ClientLimits, now_ms: int
) -> CloseReason | None:
    """Return why a connection is to be closed; None if its client has time left."""
    waited_ms = now_ms - state.since_ms
    match state.phase:
        case Phase.WORKING:
            return None
        case Phase.HEAD:
            is_overdue = waited_ms > limits.head_timeout_ms
        case Phase.BODY:
            is_overdue = (
                now_ms - state.received_ms > limits.idle_timeout_ms
                or waited_ms > limits.body_timeout_ms
            )
        case _:
            is_overdue = waited_ms > limits.idle_timeout_ms
    return _OVERDUE_REASONS[state.phase] if is_overdue else None


def choose_for_memory(
    states: Iterable[tuple[T, ConnectionState]], excess_bytes: int, now_ms: int
) -> Sequence[T]:
    """Return the connections to close to free some bytes.

    Those go first that hold most for longest, so a client that sends its whole request
    at once outlives those that stall. A request that is whole is never cut.
    """
    ranked = sorted(
        (
            (state.held_bytes * (1 + now_ms - state.since_ms), number, item, state)
            for number, (item, state) in enumerate(states)
            if state.phase != Phase.WORKING and state.held_bytes > 0
        ),
        key=lambda row: (-row[0], row[1]),
    )
    chosen: list[T] = []
    for _, _, item, state in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(item)
        excess_bytes -= state.held_bytes
    return chosen


def choose_for_connections(
    states: Iterable[tuple[T, ConnectionState]], count: int
) -> Sequence[T]:
    """Return the connections to close for new ones: those silent for longest."""
    ranked = sorted(
        (
            (state.received_ms, number, item)
            for number, (item, state) in enumerate(states)
            if state.phase != Phase.WORKING
        ),
        key=lambda row: row[:2],
    )
    return [item for _, _, item in ranked[:count]]
