"""In-memory fake of the log that pool owners use, with faults."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from bergamotgap.domain.record_limits import USUAL_RECORD_LIMITS
from bergamotgap.ports.fleet import (
    AppendConflictError,
    AppendRejectedError,
    Fence,
    FencedError,
    KeyedLogPage,
    KeyedRecord,
    NewestValues,
    SequenceError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from stand_ins.outages import Outages

CALL_LATENCY_S = 0.005


@dataclass
class Partition:
    """Records of a partition, and epoch, sequence and offset of each producer."""

    records: list[KeyedRecord] = field(default_factory=list)
    fences: dict[str, tuple[int, int, int]] = field(default_factory=dict)


class FakeStore(Outages):
    """In-memory `Store`: log partitions with conditional and fenced appends.

    Each call takes `latency_s`. An append with a larger record than `max_record_bytes`,
    or with a key in `rejected_keys`, is rejected. Faults: `is_down` and `refuses_reads`
    refuse calls, and the next `lose_answers` appends take effect without an answer.
    """

    def __init__(self) -> None:
        super().__init__()
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.members: set[str] = set()
        self.latency_s = CALL_LATENCY_S
        self.max_record_bytes = USUAL_RECORD_LIMITS.record_bytes
        self.rejected_keys: set[str] = set()
        self.refuses_reads = False
        self.lose_answers = 0
        self.appends = 0

    def get(self, topic: str, part: int) -> Partition:
        """Return a partition, created on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    async def _simulate_call(self) -> None:
        await asyncio.sleep(self.latency_s)
        if self.is_down:
            raise StoreUnavailableError("the store is down")

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[KeyedRecord],
        *,
        expected_end: int | None = None,
        fence: Fence | None = None,
    ) -> int:
        """Append records, as specified by `Store`."""
        await self._simulate_call()
        self._check_records(records)
        partition = self.get(topic, part)
        if fence is not None:
            repeat = self._check_fence(partition, fence)
            if repeat is not None:
                return repeat
        offset = len(partition.records)
        if expected_end is not None and expected_end != offset:
            raise AppendConflictError(offset)
        partition.records += records
        self.appends += 1
        if fence is not None:
            partition.fences[fence.producer] = (fence.epoch, fence.sequence, offset)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("the answer to the append was lost")
        return offset

    def _check_records(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            size = 1 + len(record.key.encode()) + len(record.value or b"")
            if size > self.max_record_bytes or record.key in self.rejected_keys:
                raise AppendRejectedError(f"{record.key} has {size} bytes")

    def _check_fence(self, partition: Partition, fence: Fence) -> int | None:
        epoch, sequence, offset = partition.fences.get(fence.producer, (-1, -1, 0))
        if fence.epoch < epoch:
            raise FencedError(f"epoch {fence.epoch} is older than {epoch}")
        if fence.epoch == epoch and fence.sequence == sequence:
            return offset
        if fence.epoch == epoch and fence.sequence != sequence + 1:
            raise SequenceError(sequence + 1)
        return None

    async def read(
        self, topic: str, part: int, start_offset: int, wait_ms: int
    ) -> KeyedLogPage:
        """Read a page, as specified by `Store`."""
        await self._simulate_call()
        if self.refuses_reads:
            raise StoreUnavailableError("the store refuses reads")
        partition = self.get(topic, part)
        for _ in range(wait_ms // 10):
            if len(partition.records) > start_offset:
                break
            await asyncio.sleep(0.01)
        records = tuple(partition.records[start_offset:])
        return KeyedLogPage(start_offset, len(partition.records), records)

    async def read_newest_values(self, topic: str, part: int) -> NewestValues:
        """Return the newest value of each key, as specified by `Store`."""
        await self._simulate_call()
        records = self.get(topic, part).records
        newest = {record.key: record.value for record in records}
        values = {key: value for key, value in newest.items() if value is not None}
        return NewestValues(values, len(records))

    async def join(self, member: str, generation: int) -> int:
        """Join the group."""
        await self._simulate_call()
        self.members.add(member)
        return hash(frozenset(self.members))

    async def list_members(self) -> frozenset[str]:
        """Return the members."""
        await self._simulate_call()
        return frozenset(self.members)

    async def leave(self, member: str) -> None:
        """Leave the group."""
        await self._simulate_call()
        self.members.discard(member)
