"""State of jobs and claims, folded from the `work` stream."""

from dataclasses import dataclass, field
from typing import Self

import msgspec

from bergamotgap.domain.folding import Effect, Rejected, Stamp
from bergamotgap.domain.records import JobAccepted, Record


@dataclass(slots=True)
class _Data:
    jobs: dict[str, JobAccepted] = field(default_factory=dict)


class WorkState:
    """Fold of the `work` stream."""

    def __init__(self, data: _Data | None = None) -> None:
        self._data = data or _Data()

    def encode(self) -> bytes:
        """Encode the whole state; equal states give equal bytes."""
        return msgspec.json.encode(self._data, order="sorted")

    @classmethod
    def decode(cls, encoded: bytes) -> Self:
        """Restore a state from `encode`."""
        return cls(msgspec.json.decode(encoded, type=_Data))

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Fold one record in; records come in offset order."""
        return Rejected("wrong_stream", type(record).__name__)
