"""Protocol for calls between entry hosts (`bergamotgap serve`)."""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from bergamotgap.ports.platform import LogRecord


@dataclass(frozen=True, slots=True)
class PeerInfo:
    """Identity and addresses of an entry host; a restart gives a later incarnation."""

    node_id: str
    incarnation_ms: int
    peer_address: str
    operator_address: str
    data_centre: str


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """Hash of a stream's folded state after all records below `next_offset`."""

    stream: str
    next_offset: int
    digest: str


@dataclass(frozen=True, slots=True)
class Digest:
    """State that an entry host sends to its peers with each heartbeat.

    `control_offset` and `work_offset` are the next offsets that it reads from these
    streams. `pool_demand` and `owner_demand` are in slots, by pool and by owner.
    """

    sender: PeerInfo
    control_offset: int
    work_offset: int
    catalogue_revision: int
    is_leaving: bool
    is_platform_reachable: bool
    pool_demand: Mapping[str, float] = field(default_factory=dict)
    owner_demand: Mapping[str, float] = field(default_factory=dict)
    known: tuple[PeerInfo, ...] = ()
    checkpoints: tuple[Checkpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class RelayBatch:
    """Records relayed by a peer.

    `age_ms` is the time since the last contact with the platform, direct or relayed.
    `first_offset` is the oldest offset that the peer can relay.
    """

    records: tuple[LogRecord, ...]
    age_ms: int
    first_offset: int


@dataclass(frozen=True, slots=True)
class StateCopy:
    """The encoded state of a stream after all records below `next_offset`."""

    next_offset: int
    state: bytes


class PeerError(Exception):
    """Base of the peer port's errors."""


class PeerUnreachableError(PeerError):
    """The peer gave no usable response."""


class RelayedAppendRefusedError(PeerError):
    """The peer did not append, and the record is not in the stream."""


class RelayedAppendUnknownError(PeerError):
    """The peer may have appended the record."""


class PeerClient(Protocol):
    """Client for other entry hosts, by address."""

    async def exchange(self, address: str, digest: Digest) -> Digest:
        """Send this entry host's digest and return the peer's."""

    def follow(
        self, address: str, stream: str, offset: int
    ) -> AsyncIterator[RelayBatch]:
        """Yield records from an offset on, with empty batches as heartbeats."""

    async def fetch_state(self, address: str, stream: str) -> StateCopy | None:
        """Return the peer's folded state of a stream, or None if it has none."""

    async def append(self, address: str, stream: str, record_id: str, body: str) -> int:
        """Append a record to the platform's stream through the peer."""

    async def preempt(self, address: str, pool: str, count: int) -> None:
        """Request that the peer preempt up to `count` of its tasks in a pool."""
