"""Limits of the log, which everything that is stored has to keep."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RecordLimits:
    """The log's limits of one record, with its key, and of one call, in bytes."""

    record_bytes: int
    call_bytes: int

    @property
    def spec_bytes(self) -> int:
        """The longest specification of a job, which leaves room for its progress."""
        return self.record_bytes * 3 // 4


USUAL_RECORD_LIMITS = RecordLimits(record_bytes=256 << 10, call_bytes=2 << 20)
