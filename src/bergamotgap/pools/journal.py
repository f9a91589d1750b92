"""Durable state of a pool: keyed records that its owner appends in batches."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.record_limits import RecordLimits
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.ports.fleet import (
    AppendRejectedError,
    Fence,
    FencedError,
    KeyedRecord,
    SequenceError,
    Store,
    StoreError,
)

# A batch is closed at this size, a quarter of the log's usual limit for one call.
MAX_BATCH_BYTES = 512 * 1024
MAX_KEY_BYTES = 255
# Bytes of a record beside its key and its value: two lengths.
RECORD_OVERHEAD_BYTES = 5
# Never has a value.
PROBE_KEY = "probe"
# The delay between attempts doubles from the minimum to the maximum while the log
# refuses or does not answer.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 800

log = get_logger(__name__)
Encoder = Callable[[], bytes | None]


@dataclass
class QueuedKey:
    """A key whose newest value is not appended yet, and the numbers of its changes."""

    encode: Encoder
    changes: list[int] = field(default_factory=list)


class Journal:
    """Append the newest value of each changed key under the owner's fence.

    Keys are appended in the order of their first change that is not appended yet. An
    append without an answer is repeated with the same sequence number, so that it takes
    effect once. `on_fenced` is called when a newer owner has appended. Changes are
    numbered from 1; `last_append_ms` is when the last successful append was sent.

    A value that the log can't take never counts as committed; `on_rejected` is called
    with its key, and the other keys go on.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        part: int,
        fence: Fence,
        clock: Clock,
        on_fenced: Callable[[], None],
        limits: RecordLimits = PoolSettings.record_limits,
    ) -> None:
        self._store = store
        self._topic, self._part = topic, part
        self._producer, self._epoch = fence.producer, fence.epoch
        self._sequence = fence.sequence
        self._clock = clock
        self._on_fenced = on_fenced
        self._limits = limits
        self.on_rejected: Callable[[str], None] = lambda key: None
        self._queued: dict[str, QueuedKey] = {}
        # Changes whose values could not be encoded or were rejected.
        self._failed_changes: set[int] = set()
        self.rejected_records = 0
        self._wake = asyncio.Event()
        self._last_change = 0
        self._committed_change = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.last_append_ms = clock.monotonic_ms()
        self.is_failing = False

    @property
    def last_change(self) -> int:
        """The number of the last change that was put."""
        return self._last_change

    def is_committed(self, change: int) -> bool:
        """Return whether a change is durable in the log."""
        return change <= self._committed_change and not self.has_failed(change)

    def has_failed(self, change: int) -> bool:
        """Return whether a change will never be durable."""
        return change in self._failed_changes

    def put(self, key: str, encode: Encoder) -> int:
        """Queue a change of a key and return its number.

        `encode` is called when the batch is built; None deletes the key.
        """
        self._last_change += 1
        queued = self._queued.setdefault(key, QueuedKey(encode))
        queued.encode = encode
        queued.changes.append(self._last_change)
        self._wake.set()
        return self._last_change

    async def wait_committed(self, change: int) -> bool:
        """Return once a change is committed, or False once it has failed."""
        if not self.is_committed(change) and not self.has_failed(change):
            future = asyncio.get_running_loop().create_future()
            self._waiters.append((change, future))
            await future
        return self.is_committed(change)

    async def wait_committed_within(self, change: int, timeout_ms: int) -> bool:
        """Wait a bounded time for a change; return whether it is committed."""
        if self.is_committed(change):
            return True
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self.wait_committed(change)
        except TimeoutError:
            return False

    async def run(self) -> None:
        """Append changes until a newer owner fences this one."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._queued:
                taken, records = self._take_batch()
                # All changes before the first one that is still queued are in the
                # batch or in former ones.
                first_queued = next(iter(self._queued.values()), None)
                change = self._last_change
                if first_queued is not None:
                    change = first_queued.changes[0] - 1
                try:
                    is_appended = await self._append_apart(taken, records)
                except Exception:
                    self._put_back(taken)
                    raise
                if not is_appended:
                    self._on_fenced()
                    return
                self._committed_change = change
                self._release_waiters()

    def _put_back(self, taken: dict[str, QueuedKey]) -> None:
        """Queue changes again for the next run, before newer ones."""
        for key, queued in taken.items():
            newer = self._queued.pop(key, None)
            if newer is not None:
                queued.encode = newer.encode
                queued.changes += newer.changes
        self._queued = taken | self._queued
        self._wake.set()

    def _take_batch(self) -> tuple[dict[str, QueuedKey], list[KeyedRecord]]:
        """Return the batch's changes and their records."""
        taken: dict[str, QueuedKey] = {}
        records: list[KeyedRecord] = []
        max_bytes = min(MAX_BATCH_BYTES, self._limits.call_bytes)
        size = 0
        for key, queued in list(self._queued.items()):
            record = self._encode(key, queued)
            if record is not None:
                record_bytes = _measure_record(record)
                if records and size + record_bytes > max_bytes:
                    break
                size += record_bytes
                taken[key] = queued
                records.append(record)
            del self._queued[key]
        return taken, records

    def _encode(self, key: str, queued: QueuedKey) -> KeyedRecord | None:
        """Return a key's record, or None if the log can't take it.

        It is left out then, or it would hold up all others.
        """
        try:
            record = KeyedRecord(key, queued.encode())
        except Exception:
            log.exception("change not encoded", part=self._part, key=key)
            self._failed_changes.update(queued.changes)
            return None
        record_bytes = _measure_record(record)
        if len(key.encode()) > MAX_KEY_BYTES or (
            record_bytes > self._limits.record_bytes
        ):
            self._reject(key, queued, record_bytes, "above_limit")
            return None
        return record

    def _reject(
        self, key: str, queued: QueuedKey, record_bytes: int, reason: str
    ) -> None:
        log.error(
            "record rejected",
            part=self._part,
            key=key,
            record_bytes=record_bytes,
            max_bytes=self._limits.record_bytes,
            reason=reason,
        )
        self.rejected_records += 1
        self._failed_changes.update(queued.changes)
        self.on_rejected(key)

    async def _append_apart(
        self, taken: dict[str, QueuedKey], records: list[KeyedRecord]
    ) -> bool:
        """Append a batch, record by record if the log rejects it as a whole."""
        if not records:
            return True
        try:
            return await self._append(records)
        except AppendRejectedError as error:
            log.warning(
                "batch rejected",
                part=self._part,
                records=len(records),
                error=str(error),
            )
        for record in records:
            try:
                if not await self._append_unless_rejected(record):
                    return False
            except AppendRejectedError as error:
                queued = taken[record.key]
                self._reject(record.key, queued, _measure_record(record), str(error))
        return True

    async def _append_unless_rejected(self, record: KeyedRecord) -> bool:
        """Append a record; raises AppendRejectedError if the log takes others.

        A log that takes no record at all is in trouble, so the append is repeated.
        """
        while True:
            try:
                return await self._append([record])
            except AppendRejectedError as error:
                try:
                    if not await self._append([KeyedRecord(PROBE_KEY, None)]):
                        return False
                except AppendRejectedError:
                    self.is_failing = True
                    await self._clock.sleep_ms(RETRY_MAX_MS)
                else:
                    raise error from None

    async def _append(self, records: list[KeyedRecord]) -> bool:
        delay_ms = RETRY_MIN_MS
        fence = Fence(self._producer, self._epoch, self._sequence)
        while True:
            sent_ms = self._clock.monotonic_ms()
            try:
                await self._store.append(self._topic, self._part, records, fence=fence)
            except FencedError:
                return False
            except SequenceError as error:
                # Only this owner uses the epoch, and it has one append in flight at a
                # time, so the expected number is that of this append.
                log.warning(
                    "append repeated with the expected sequence",
                    expected=error.expected,
                )
                fence = Fence(self._producer, self._epoch, error.expected)
            except AppendRejectedError:
                raise
            except StoreError as error:
                if not self.is_failing:
                    log.warning("log lost", part=self._part, error=str(error))
                self.is_failing = True
            else:
                if self.is_failing:
                    log.info("log regained", part=self._part)
                self.is_failing = False
                self._sequence = fence.sequence + 1
                self.last_append_ms = sent_ms
                return True
            await self._clock.sleep_ms(delay_ms)
            delay_ms = min(2 * delay_ms, RETRY_MAX_MS)

    def _release_waiters(self) -> None:
        waiting = []
        for change, future in self._waiters:
            is_settled = self.is_committed(change) or self.has_failed(change)
            if is_settled and not future.done():
                future.set_result(None)
            elif not future.done():
                waiting.append((change, future))
        self._waiters = waiting


def _measure_record(record: KeyedRecord) -> int:
    """Return the bytes that a record takes in a call."""
    key_bytes = len(record.key.encode())
    return key_bytes + len(record.value or b"") + RECORD_OVERHEAD_BYTES
