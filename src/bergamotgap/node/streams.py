"""Folded streams: the state, the offset up to which it is folded, recent records."""

import asyncio
import os
from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

import xxhash

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Effect, FoldedState, Stamp
from bergamotgap.domain.records import (
    Envelope,
    Record,
    UnknownRecordError,
    decode_batch,
    unwrap_record,
)
from bergamotgap.domain.work_memory import MAX_TAIL_BYTES
from bergamotgap.ports.peer import Checkpoint, StateCopy
from bergamotgap.ports.platform import LogRecord

MAX_TAIL_RECORDS = 2000
# All entry hosts compute digests at the same offsets, so that they can compare their
# states without transferring them.
CHECKPOINT_INTERVAL = 256
MAX_CHECKPOINTS = 8

S = TypeVar("S", bound=FoldedState)
Observer = Callable[[Stamp, Record, Effect], None]

log = get_logger(__name__)


class AppendRefusedError(Exception):
    """The record is not in the stream and will not be appended."""


class AppendUnknownError(Exception):
    """The record may be in the stream, or may still be appended."""


def new_record_id() -> str:
    """Return a unique record id."""
    return os.urandom(12).hex()


class Stream(Generic[S]):
    """The folded state of one stream and the offset up to which it is folded.

    Also keeps the recent records, digests of the state at fixed offsets, and the
    futures of writers that wait for the effect of their records.
    """

    def __init__(
        self,
        name: str,
        state: S,
        clock: Clock,
        max_tail_bytes: int = MAX_TAIL_BYTES,
    ) -> None:
        self.name = name
        self._max_tail_bytes = max_tail_bytes
        self._state = state
        self._clock = clock
        self._next_offset = 0
        self._is_loaded = False
        self._halt_reason: str | None = None
        self._last_contact_ms: int | None = None
        self._effect_futures: dict[str, asyncio.Future[Effect]] = {}
        self._new_records_event = asyncio.Event()
        self._observers: list[Observer] = []
        self._tail: deque[LogRecord] = deque()
        self._tail_bytes = 0
        self._checkpoints: dict[int, str] = {}

    @property
    def state(self) -> S:
        """Return the folded state; callers must not modify it."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold; it never decreases."""
        return self._next_offset

    @property
    def is_loaded(self) -> bool:
        """Return whether the state was obtained from the platform or from a peer."""
        return self._is_loaded

    @property
    def halt_reason(self) -> str | None:
        """Return why folding stopped permanently, or None."""
        return self._halt_reason

    @property
    def age_ms(self) -> int | None:
        """Return the time since the last contact with the platform, even by relay."""
        if self._last_contact_ms is None:
            return None
        return self._clock.monotonic_ms() - self._last_contact_ms

    @property
    def first_tail_offset(self) -> int:
        """Return the lowest offset that `list_tail` can return."""
        return self._tail[0].offset if self._tail else self._next_offset

    @property
    def checkpoints(self) -> dict[int, str]:
        """Return digests of the state by offset, newest last."""
        return self._checkpoints

    def add_observer(self, observer: Observer) -> None:
        """Register an observer that is called after each folded record."""
        self._observers.append(observer)

    def record_contact(self, age_ms: int = 0) -> None:
        """Record that the last contact with the platform was `age_ms` ago."""
        contact_ms = self._clock.monotonic_ms() - age_ms
        self._last_contact_ms = max(contact_ms, self._last_contact_ms or contact_ms)
        self._is_loaded = True

    def load_state(self, state: S, next_offset: int) -> bool:
        """Replace the state if the given one is later; return whether it was."""
        if self._is_loaded and next_offset <= self._next_offset:
            return False
        self._state = state
        self._next_offset = next_offset
        self._is_loaded = True
        self._tail.clear()
        self._tail_bytes = 0
        self._notify_new_records()
        return True

    def copy_state(self) -> StateCopy | None:
        """Return the encoded state, or None if none has been loaded yet."""
        if not self._is_loaded:
            return None
        return StateCopy(self._next_offset, self._state.encode())

    def fold_records(self, records: tuple[LogRecord, ...]) -> None:
        """Fold appends in offset order, skipping those already folded.

        An unknown record stops folding permanently: a binary that skipped it would fold
        a different state than one that knows it.
        """
        for record in records:
            if self._halt_reason is not None:
                return
            if record.offset < self._next_offset:
                continue
            if record.offset > self._next_offset:
                log.error(
                    "gap in stream, later records not folded",
                    stream=self.name,
                    expected=self._next_offset,
                    found=record.offset,
                )
                return
            self._fold_record(record)
        if records:
            self._notify_new_records()

    def _fold_record(self, record: LogRecord) -> None:
        stamp = Stamp(record.offset, record.appended_ms)
        try:
            batch = [(item, unwrap_record(item)) for item in decode_batch(record.body)]
        except UnknownRecordError as error:
            self._halt_reason = str(error)
            log.error("stream halted", stream=self.name, reason=str(error))
            return
        self._next_offset = record.offset + 1
        self._append_to_tail(record)
        for envelope, content in batch:
            self._apply_record(stamp, envelope, content)
        if self._next_offset % CHECKPOINT_INTERVAL == 0:
            self._record_checkpoint()

    def _apply_record(self, stamp: Stamp, envelope: Envelope, content: Record) -> None:
        effect = self._state.apply(stamp, content)
        waiter = self._effect_futures.pop(envelope.id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect)
        for observer in self._observers:
            observer(stamp, content, effect)

    def _append_to_tail(self, record: LogRecord) -> None:
        self._tail.append(record)
        self._tail_bytes += len(record.body)
        while (
            len(self._tail) > MAX_TAIL_RECORDS
            or self._tail_bytes > self._max_tail_bytes
        ):
            self._tail_bytes -= len(self._tail.popleft().body)

    def _record_checkpoint(self) -> None:
        digest = xxhash.xxh3_128_hexdigest(self._state.encode())
        self._checkpoints[self._next_offset] = digest
        while len(self._checkpoints) > MAX_CHECKPOINTS:
            del self._checkpoints[min(self._checkpoints)]

    def matches_checkpoint(self, checkpoint: Checkpoint) -> bool:
        """Return whether a peer's digest matches ours; True if we have none there."""
        own = self._checkpoints.get(checkpoint.next_offset)
        return own is None or own == checkpoint.digest

    def list_tail(self, offset: int) -> tuple[LogRecord, ...]:
        """Return the records kept in memory, starting at an offset."""
        skipped = max(0, offset - self.first_tail_offset)
        return tuple(self._tail)[skipped:]

    def _notify_new_records(self) -> None:
        self._new_records_event.set()
        self._new_records_event = asyncio.Event()

    async def wait_for_records(self, timeout_ms: int) -> bool:
        """Wait until more records are folded; return False on timeout."""
        try:
            await asyncio.wait_for(self._new_records_event.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True

    def expect_record(self, record_id: str) -> "asyncio.Future[Effect]":
        """Return a future that gets a record's effect once it is folded."""
        future = self._effect_futures.get(record_id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._effect_futures[record_id] = future
        return future

    def fail_record(self, record_id: str, error: Exception) -> None:
        """Fail the future of a record, if it is still expected."""
        future = self._effect_futures.pop(record_id, None)
        if future is not None and not future.done():
            future.set_exception(error)

    def is_record_expected(self, record_id: str) -> bool:
        """Return whether a caller still waits for a record's effect."""
        return record_id in self._effect_futures

    def stop_expecting_record(self, record_id: str) -> None:
        """Drop the future of a record that is no longer waited for."""
        self._effect_futures.pop(record_id, None)
