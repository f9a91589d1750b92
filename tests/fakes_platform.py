"""In-memory platform log and peers with fault switches."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from bergamotgap.ports.peer import (
    Digest,
    PeerUnreachableError,
    RelayBatch,
    StateCopy,
)
from bergamotgap.ports.platform import (
    LogPage,
    LogRecord,
    OffsetDroppedError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)


@dataclass
class FakePlatform:
    """Keep streams in memory.

    `lost_answers` appends take effect without an answer; `lost_appends` have neither.
    """

    streams: dict[str, list[LogRecord]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_offsets: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    is_down: bool = False
    lost_answers: int = 0
    lost_appends: int = 0

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append, or fail as switched."""
        if self.is_down:
            raise PlatformUnavailableError("down")
        if self.lost_appends:
            self.lost_appends -= 1
            raise PlatformOutcomeUnknownError("timeout")
        offset = len(self.streams[stream])
        self.streams[stream].append(LogRecord(offset, 1_000 + offset, record_id, body))
        if self.lost_answers:
            self.lost_answers -= 1
            raise PlatformOutcomeUnknownError("timeout")
        return offset

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> LogPage:
        """Read what is kept; waits a moment when there is nothing."""
        if self.is_down:
            raise PlatformUnavailableError("down")
        first_offset = self.first_offsets[stream]
        if offset < first_offset:
            raise OffsetDroppedError(first_offset)
        if wait_ms and offset >= len(self.streams[stream]):
            await asyncio.sleep(0.005)
        records = tuple(self.streams[stream][offset : offset + limit])
        return LogPage(records, first_offset, len(self.streams[stream]))

    def drop_before(self, stream: str, offset: int) -> None:
        """Let retention drop records."""
        self.first_offsets[stream] = offset


@dataclass
class FakePeers:
    """Peers that hold states, relay nothing and remember who was asked to give way."""

    states: dict[str, StateCopy | None] = field(default_factory=dict)
    preempted_addresses: list[str] = field(default_factory=list)

    async def exchange(self, address: str, digest: Digest) -> Digest:
        """Answer nothing."""
        raise PeerUnreachableError(address)

    async def follow(
        self, address: str, stream: str, offset: int
    ) -> AsyncIterator[RelayBatch]:
        """Relay nothing."""
        raise PeerUnreachableError(address)
        yield

    async def fetch_state(self, address: str, stream: str) -> StateCopy | None:
        """Return the state set for the address."""
        if address not in self.states:
            raise PeerUnreachableError(address)
        return self.states[address]

    async def append(self, address: str, stream: str, record_id: str, body: str) -> int:
        """Append nothing."""
        raise PeerUnreachableError(address)

    async def preempt(self, address: str, pool: str, count: int) -> None:
        """Remember the call."""
        self.preempted_addresses.append(address)
