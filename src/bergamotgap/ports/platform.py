"""Protocols for the platform that an entry host (`bergamotgap serve`) uses.

It provides an append-only log and a host directory.
"""

from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.hosts import HostFacts


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record of a stream; `appended_ms` is the log's wall clock at the append."""

    offset: int
    appended_ms: int
    id: str
    body: str


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from an offset on, and the bounds of what the log still retains."""

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class HostListing:
    """The platform's list of hosts as of `as_of_ms`, which lags behind their state."""

    as_of_ms: int
    hosts: tuple[HostFacts, ...]


class PlatformError(Exception):
    """Base of the platform port's errors."""


class PlatformUnavailableError(PlatformError):
    """The call had no effect: nothing was sent, or the platform refused it."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform rate-limited the call; it may be retried later."""


class PlatformOutcomeUnknownError(PlatformError):
    """The call may have taken effect; no complete response arrived."""


class OffsetDroppedError(PlatformError):
    """The stream has dropped the offset; `first_offset` is the oldest retained."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"oldest retained offset is {first_offset}")
        self.first_offset = first_offset


class PlatformLog(Protocol):
    """Client of the platform's append-only streams."""

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append one record and return its offset."""

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> LogPage:
        """Return records from an offset on, waiting up to `wait_ms` for the first."""


class HostDirectory(Protocol):
    """Client of the platform's directory of live and leaving hosts."""

    async def list_hosts(self) -> HostListing:
        """Return the platform's list of hosts."""
