"""What the node needs from the platform: an append-only log and a host list."""

from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.hosts import HostFacts


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One append as read from a stream; `appended_ms` is the log's wall clock."""

    offset: int
    appended_ms: int
    id: str
    body: str


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records from an offset on, with the bounds of what the log still keeps."""

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class HostListing:
    """The platform's lagging list of hosts."""

    as_of_ms: int
    hosts: tuple[HostFacts, ...]


class PlatformError(Exception):
    """Base of the platform port's errors."""


class PlatformUnavailableError(PlatformError):
    """The call did not take effect: nothing was sent, or the platform refused it."""


class PlatformBusyError(PlatformUnavailableError):
    """The platform refused the call for its rate; it may be repeated later."""


class PlatformOutcomeUnknownError(PlatformError):
    """The call may have taken effect; the answer is missing."""


class OffsetDroppedError(PlatformError):
    """The stream no longer keeps the offset; `first_offset` is the oldest kept."""

    def __init__(self, first_offset: int) -> None:
        super().__init__(f"oldest kept offset is {first_offset}")
        self.first_offset = first_offset


class PlatformLog(Protocol):
    """Append to and read from streams."""

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append one record and return its offset."""

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> LogPage:
        """Read from an offset on, waiting for the first record up to `wait_ms`."""


class HostDirectory(Protocol):
    """List live and leaving hosts."""

    async def list_hosts(self) -> HostListing:
        """Return the platform's list; it lags behind the truth."""
