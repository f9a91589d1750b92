"""Follow the platform's streams and append records to them."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Effect, FoldedState, Stamp
from bergamotgap.domain.records import (
    Envelope,
    Record,
    decode_batch,
    encode_batch,
    unwrap_record,
    wrap_record,
)
from bergamotgap.ports.platform import (
    LogRecord,
    PlatformError,
    PlatformLog,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

PAGE_RECORDS = 500
LONG_POLL_MS = 10_000
RETRY_MS = 250

S = TypeVar("S", bound=FoldedState)

log = get_logger(__name__)


class AppendRefusedError(Exception):
    """The record is not in the stream and will not be."""


class AppendUnknownError(Exception):
    """The record may be in the stream, or may yet appear."""


class Stream(Generic[S]):
    """Own the folded state of one stream and the offset it holds through."""

    def __init__(self, name: str, state: S, clock: Clock) -> None:
        self.name = name
        self._state = state
        self._clock = clock
        self._next_offset = 0
        self._heard_ms: int | None = None
        self._waiting: dict[str, asyncio.Future[Effect]] = {}
        self._grown = asyncio.Event()
        self._observers: list[Callable[[Stamp, Record, Effect], None]] = []

    @property
    def state(self) -> S:
        """Return the folded state; only this class changes it."""
        return self._state

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold; never falls."""
        return self._next_offset

    @property
    def age_ms(self) -> int | None:
        """Return the time since the source was last heard."""
        if self._heard_ms is None:
            return None
        return self._clock.monotonic_ms() - self._heard_ms

    def observe(self, observer: Callable[[Stamp, Record, Effect], None]) -> None:
        """Call the observer after each folded record."""
        self._observers.append(observer)

    def note_heard(self) -> None:
        """Remember that the source answered now."""
        self._heard_ms = self._clock.monotonic_ms()

    def fold_records(self, records: tuple[LogRecord, ...]) -> None:
        """Fold appends in offset order; those already folded are passed over."""
        for record in records:
            if record.offset < self._next_offset:
                continue
            stamp = Stamp(record.offset, record.appended_ms)
            for envelope in decode_batch(record.body):
                self._fold_envelope(stamp, envelope)
            self._next_offset = record.offset + 1
        if records:
            self._grown.set()
            self._grown = asyncio.Event()

    def _fold_envelope(self, stamp: Stamp, envelope: Envelope) -> None:
        record = unwrap_record(envelope)
        effect = self._state.apply(stamp, record)
        waiter = self._waiting.pop(envelope.id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(effect)
        for observer in self._observers:
            observer(stamp, record, effect)

    async def wait_for_growth(self) -> None:
        """Wait until further records are folded."""
        await self._grown.wait()

    def expect(self, record_id: str) -> asyncio.Future[Effect]:
        """Return a future of the effect that the fold gives to a record."""
        return self._waiting.setdefault(
            record_id, asyncio.get_running_loop().create_future()
        )

    def forget(self, record_id: str) -> None:
        """Stop waiting for a record."""
        self._waiting.pop(record_id, None)


async def follow_platform(stream: Stream[Any], platform: PlatformLog) -> None:
    """Read a stream from the platform for good."""
    while True:
        try:
            page = await platform.read(
                stream.name, stream.next_offset, PAGE_RECORDS, LONG_POLL_MS
            )
        except PlatformError as error:
            log.warning("stream read failed", stream=stream.name, error=str(error))
            await asyncio.sleep(RETRY_MS / 1000)
            continue
        stream.note_heard()
        stream.fold_records(page.records)


class StreamWriter:
    """Append records to a stream in batches and tell what the fold made of them."""

    def __init__(
        self, stream: Stream[Any], platform: PlatformLog, clock: Clock, batch_ms: int
    ) -> None:
        self._stream = stream
        self._platform = platform
        self._clock = clock
        self._batch_ms = batch_ms
        self._pending: list[Envelope] = []
        self._failures: dict[str, asyncio.Future[Effect]] = {}
        self._flush_task: asyncio.Task[None] | None = None

    async def append(self, record: Record, timeout_ms: int) -> Effect:
        """Append a record and return its effect.

        Raises AppendRefusedError when the record can't have been appended, and
        AppendUnknownError when it may have been.
        """
        envelope = wrap_record(secrets.token_hex(12), record)
        effect = self._stream.expect(envelope.id)
        self._pending.append(envelope)
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush())
        try:
            return await asyncio.wait_for(effect, timeout_ms / 1000)
        except TimeoutError:
            raise AppendUnknownError("no answer in time") from None
        finally:
            self._stream.forget(envelope.id)

    async def _flush(self) -> None:
        while self._pending:
            await self._clock.sleep_ms(self._batch_ms)
            batch, self._pending = self._pending, []
            await self._send(batch)

    async def _send(self, batch: list[Envelope]) -> None:
        try:
            await self._platform.append(
                self._stream.name, secrets.token_hex(12), encode_batch(batch)
            )
        except PlatformUnavailableError as error:
            self._fail(batch, AppendRefusedError(str(error)))
        except PlatformOutcomeUnknownError as error:
            self._fail(batch, AppendUnknownError(str(error)))

    def _fail(self, batch: list[Envelope], error: Exception) -> None:
        for envelope in batch:
            future = self._stream.expect(envelope.id)
            if not future.done():
                future.set_exception(error)
