"""Append records to a stream in batches and return the effect of each."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Effect
from bergamotgap.domain.records import Envelope, Record, encode_batch, wrap_record
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
    new_record_id,
)
from bergamotgap.ports.peer import (
    PeerUnreachableError,
    RelayedAppendRefusedError,
    RelayedAppendUnknownError,
)
from bergamotgap.ports.platform import (
    PlatformBusyError,
    PlatformLog,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

MAX_BATCH_BYTES = 512 * 1024
MAX_APPENDS_IN_FLIGHT = 4
BUSY_RETRY_DELAY_MS = 50
# If an append gets no answer, its records are appended again under the same ids after
# this time, unless they have appeared in the stream by then.
RESEND_DELAY_MS = 1000

RelayAppend = Callable[[str, str, str], Awaitable[int]]

log = get_logger(__name__)


class StreamWriter:
    """Appends records to a stream in batches and returns their effects in the fold.

    `relay` appends through a peer; it is used if the platform is unreachable.
    """

    def __init__(
        self,
        stream: Stream[Any],
        platform: PlatformLog,
        clock: Clock,
        batch_ms: int,
        relay: RelayAppend | None = None,
    ) -> None:
        self._stream = stream
        self._platform = platform
        self._clock = clock
        self._batch_ms = batch_ms
        self._relay = relay
        self._pending: list[tuple[Envelope, int]] = []
        self._batch_task: asyncio.Task[None] | None = None
        self._send_tasks: set[asyncio.Task[None]] = set()
        self.append_count = 0
        self.record_count = 0

    async def append(self, record: Record, timeout_ms: int) -> Effect:
        """Append a record and return its effect.

        Raises AppendRefusedError if the record can't have been appended, and
        AppendUnknownError if it may have been.
        """
        envelope = wrap_record(new_record_id(), record)
        effect = self._stream.expect_record(envelope.id)
        size = len(encode_batch([envelope]))
        self._pending.append((envelope, size))
        if self._batch_task is None or self._batch_task.done():
            self._batch_task = asyncio.create_task(self._send_batches())
        try:
            return await asyncio.wait_for(effect, timeout_ms / 1000)
        except TimeoutError:
            raise AppendUnknownError("no outcome before the timeout") from None
        finally:
            self._stream.stop_expecting_record(envelope.id)

    async def _send_batches(self) -> None:
        while self._pending:
            await self._clock.sleep_ms(self._batch_ms)
            while len(self._send_tasks) >= MAX_APPENDS_IN_FLIGHT:
                await asyncio.wait(
                    self._send_tasks, return_when=asyncio.FIRST_COMPLETED
                )
            batch = self._pop_batch()
            task = asyncio.create_task(self._send_batch(batch))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    def _pop_batch(self) -> list[Envelope]:
        batch: list[Envelope] = []
        total = 0
        while self._pending and (not batch or total < MAX_BATCH_BYTES):
            envelope, size = self._pending.pop(0)
            batch.append(envelope)
            total += size
        return batch

    async def _send_batch(self, batch: list[Envelope]) -> None:
        # A record that is no longer expected is not resent: it has been folded, or its
        # caller stopped waiting and got an AppendUnknownError.
        may_be_appended = False
        while batch := [e for e in batch if self._stream.is_record_expected(e.id)]:
            try:
                await self._append_batch(batch)
                return
            except PlatformBusyError:
                await self._clock.sleep_ms(BUSY_RETRY_DELAY_MS)
            except PlatformUnavailableError as error:
                if not may_be_appended:
                    self._fail_batch(batch, AppendRefusedError(str(error)))
                    return
                await self._clock.sleep_ms(RESEND_DELAY_MS)
            except PlatformOutcomeUnknownError as error:
                log.warning(
                    "append got no answer", stream=self._stream.name, error=str(error)
                )
                may_be_appended = True
                await self._clock.sleep_ms(RESEND_DELAY_MS)

    async def _append_batch(self, batch: list[Envelope]) -> None:
        body = encode_batch(batch)
        append_id = new_record_id()
        self.append_count += 1
        self.record_count += len(batch)
        try:
            await self._platform.append(self._stream.name, append_id, body)
        except PlatformBusyError:
            raise
        except PlatformUnavailableError:
            if self._relay is None:
                raise
            await self._append_through_peer(append_id, body)

    async def _append_through_peer(self, append_id: str, body: str) -> None:
        assert self._relay is not None
        try:
            await self._relay(self._stream.name, append_id, body)
        except (RelayedAppendRefusedError, PeerUnreachableError) as error:
            raise PlatformUnavailableError(str(error)) from error
        except RelayedAppendUnknownError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error

    def _fail_batch(self, batch: list[Envelope], error: Exception) -> None:
        for envelope in batch:
            self._stream.fail_record(envelope.id, error)
