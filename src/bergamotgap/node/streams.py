"""Folded streams: the state, the offset it holds through, and recent records."""

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
from bergamotgap.ports.peer import Checkpoint, StateCopy
from bergamotgap.ports.platform import LogRecord

MAX_TAIL_RECORDS = 2000
MAX_TAIL_BYTES = 8 << 20
# All entry hosts compute digests at the same offsets, so that two of them can
# compare states without asking for one.
CHECKPOINT_INTERVAL = 256
MAX_CHECKPOINTS = 8

S = TypeVar("S", bound=FoldedState)
Observer = Callable[[Stamp, Record, Effect], None]

log = get_logger(__name__)


class AppendRefusedError(Exception):
    """The record is not in the stream and will not be."""


class AppendUnknownError(Exception):
    """The record may be in the stream, or may yet appear."""


def new_record_id() -> str:
    """Return a unique record id."""
    return os.urandom(12).hex()


class Stream(Generic[S]):
    """Own the folded state of one stream and the offset it holds through."""

    def __init__(self, name: str, state: S, clock: Clock) -> None:
        self.name = name
        self._state = state
        self._clock = clock
        self._next_offset = 0
        self._is_loaded = False
        self._halt_reason: str | None = None
        self._heard_ms: int | None = None
        self._waiting: dict[str, asyncio.Future[Effect]] = {}
        self._grown = asyncio.Event()
        self._observers: list[Observer] = []
        self._tail: deque[LogRecord] = deque()
        self._tail_bytes = 0
        self._checkpoints: dict[int, str] = {}

    @property
    def state(self) -> S:
        """Return the folded state; only this class changes it."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold; never falls."""
        return self._next_offset

    @property
    def is_loaded(self) -> bool:
        """Return whether the state was taken from the platform or from a peer."""
        return self._is_loaded

    @property
    def halt_reason(self) -> str | None:
        """Return why folding stopped for good, if it did."""
        return self._halt_reason

    @property
    def age_ms(self) -> int | None:
        """Return the time since the platform was last heard, through any relays."""
        if self._heard_ms is None:
            return None
        return self._clock.monotonic_ms() - self._heard_ms

    @property
    def tail_offset(self) -> int:
        """Return the first offset that `list_tail` can give."""
        return self._tail[0].offset if self._tail else self._next_offset

    @property
    def checkpoints(self) -> dict[int, str]:
        """Return digests of the state by offset, the newest last."""
        return self._checkpoints

    def add_observer(self, observer: Observer) -> None:
        """Call the observer after each folded record."""
        self._observers.append(observer)

    def record_contact(self, age_ms: int = 0) -> None:
        """Remember that the platform spoke `age_ms` ago."""
        heard_ms = self._clock.monotonic_ms() - age_ms
        self._heard_ms = max(heard_ms, self._heard_ms or heard_ms)
        self._is_loaded = True

    def load_state(self, state: S, next_offset: int) -> bool:
        """Replace the state by a later one; return whether it was later."""
        if self._is_loaded and next_offset <= self._next_offset:
            return False
        self._state = state
        self._next_offset = next_offset
        self._is_loaded = True
        self._tail.clear()
        self._tail_bytes = 0
        self._announce_growth()
        return True

    def copy_state(self) -> StateCopy | None:
        """Return the encoded state, or None before there is one."""
        if not self._is_loaded:
            return None
        return StateCopy(self._next_offset, self._state.encode())

    def fold_records(self, records: tuple[LogRecord, ...]) -> None:
        """Fold appends in offset order; those already folded are passed over.

        An unknown record stops folding for good: a binary that skipped it would
        fold a different state than one that knows it.
        """
        for record in records:
            if self._halt_reason is not None:
                return
            if record.offset < self._next_offset:
                continue
            if record.offset > self._next_offset:
                log.error(
                    "gap in stream",
                    stream=self.name,
                    expected=self._next_offset,
                    found=record.offset,
                )
                return
            self._fold_record(record)
        if records:
            self._announce_growth()

    def _fold_record(self, record: LogRecord) -> None:
        stamp = Stamp(record.offset, record.appended_ms)
        try:
            batch = [(item, unwrap_record(item)) for item in decode_batch(record.body)]
        except UnknownRecordError as error:
            self._halt_reason = str(error)
            log.error("stream halted", stream=self.name, reason=str(error))
            return
        self._next_offset = record.offset + 1
        self._keep(record)
        for envelope, content in batch:
            self._fold_content(stamp, envelope, content)
        if self._next_offset % CHECKPOINT_INTERVAL == 0:
            self._record_checkpoint()

    def _fold_content(self, stamp: Stamp, envelope: Envelope, content: Record) -> None:
        effect = self._state.apply(stamp, content)
        waiter = self._waiting.pop(envelope.id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect)
        for observer in self._observers:
            observer(stamp, content, effect)

    def _keep(self, record: LogRecord) -> None:
        self._tail.append(record)
        self._tail_bytes += len(record.body)
        while len(self._tail) > MAX_TAIL_RECORDS or self._tail_bytes > MAX_TAIL_BYTES:
            self._tail_bytes -= len(self._tail.popleft().body)

    def _record_checkpoint(self) -> None:
        digest = xxhash.xxh3_128_hexdigest(self._state.encode())
        self._checkpoints[self._next_offset] = digest
        while len(self._checkpoints) > MAX_CHECKPOINTS:
            del self._checkpoints[min(self._checkpoints)]

    def matches_checkpoint(self, checkpoint: Checkpoint) -> bool:
        """Return whether a peer's digest agrees with ours, if we have that offset."""
        own = self._checkpoints.get(checkpoint.next_offset)
        return own is None or own == checkpoint.digest

    def list_tail(self, offset: int) -> tuple[LogRecord, ...]:
        """Return the records kept in memory from an offset on."""
        skipped = max(0, offset - self.tail_offset)
        return tuple(self._tail)[skipped:]

    def _announce_growth(self) -> None:
        self._grown.set()
        self._grown = asyncio.Event()

    async def wait_for_records(self, timeout_ms: int) -> bool:
        """Wait until further records are folded; return False at the timeout."""
        try:
            await asyncio.wait_for(self._grown.wait(), timeout_ms / 1000)
        except TimeoutError:
            return False
        return True

    def expect_record(self, record_id: str) -> "asyncio.Future[Effect]":
        """Return a future of the effect that the fold gives to a record."""
        future = self._waiting.get(record_id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._waiting[record_id] = future
        return future

    def fail_record(self, record_id: str, error: Exception) -> None:
        """Give up on a record that somebody still waits for."""
        future = self._waiting.pop(record_id, None)
        if future is not None and not future.done():
            future.set_exception(error)

    def is_record_expected(self, record_id: str) -> bool:
        """Return whether somebody still waits for a record."""
        return record_id in self._waiting

    def stop_expecting_record(self, record_id: str) -> None:
        """Stop waiting for a record."""
        self._waiting.pop(record_id, None)
