"""Types shared by the deterministic folds over the platform's streams."""

from dataclasses import dataclass
from typing import Protocol

from bergamotgap.domain.records import Record


@dataclass(frozen=True, slots=True)
class Stamp:
    """Offset and time at which a record was appended, by the log's clock."""

    offset: int
    appended_ms: int


@dataclass(frozen=True, slots=True)
class Applied:
    """The record changed the state."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The record did not change the state.

    `code` is stable and machine-readable, `detail` is a message for operators.
    """

    code: str
    detail: str = ""


Effect = Applied | Rejected


class FoldedState(Protocol):
    """State that depends only on the records of a stream."""

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Apply one record; records must be applied in offset order."""

    def encode(self) -> bytes:
        """Encode the whole state; equal states encode to equal bytes."""
