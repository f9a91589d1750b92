"""Terms shared by the deterministic folds over the platform's streams."""

from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.records import Record


@dataclass(frozen=True, slots=True)
class Stamp:
    """Where and when the log took a record; `appended_ms` is the log's clock."""

    offset: int
    appended_ms: int


@dataclass(frozen=True, slots=True)
class Applied:
    """The record took effect."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record had no effect; `code` is stable, `detail` is for people."""

    code: str
    detail: str = ""


Effect = Applied | Rejected


class FoldedState(Protocol):
    """State that is a deterministic function of a stream's records."""

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Fold one record in; records come in offset order."""

    def encode(self) -> bytes:
        """Encode the whole state; equal states give equal bytes."""
