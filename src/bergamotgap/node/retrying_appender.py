"""Appends that are retried until their effect is known, also through long outages."""

import asyncio
from dataclasses import replace

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Effect
from bergamotgap.domain.records import AttemptNotRun, Ended, JobTaken
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
)
from bergamotgap.node.writer import StreamWriter

APPEND_TIMEOUT_MS = 5000
RETRY_DELAY_MS = 500
# Limit for the inline results of all pending records; each takes at most 22 KiB as
# base64. Above this total, records are appended without their result, which is then
# fetched from the worker by task id.
MAX_PENDING_RESULT_BYTES = 32 << 20

log = get_logger(__name__)

RetryableRecord = Ended | AttemptNotRun | JobTaken


class RetryingAppender:
    """Appends records and retries until their effect is known.

    Only for records that the fold rejects if they appear twice, since an append without
    an answer is repeated and may then be in the log two times.
    """

    def __init__(self, writer: StreamWriter, clock: Clock) -> None:
        self._writer = writer
        self._clock = clock
        self._tasks: set[asyncio.Task[Effect]] = set()
        self._pending_count = 0
        self._pending_result_bytes = 0

    @property
    def pending_count(self) -> int:
        """Return the number of records whose effect is not known yet."""
        return self._pending_count

    def append_in_background(self, record: RetryableRecord) -> "asyncio.Task[Effect]":
        """Start to append a record; the returned task gives its effect."""
        task = asyncio.create_task(self.append(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def append(self, record: RetryableRecord) -> Effect:
        """Append a record, with retries, and return its effect."""
        record, size = self._drop_large_result(record)
        self._pending_count += 1
        self._pending_result_bytes += size
        try:
            return await self._append_until_known(record)
        finally:
            self._pending_count -= 1
            self._pending_result_bytes -= size

    def _drop_large_result(
        self, record: RetryableRecord
    ) -> tuple[RetryableRecord, int]:
        if not isinstance(record, Ended) or record.result_inline is None:
            return record, 0
        size = len(record.result_inline)
        if self._pending_result_bytes + size > MAX_PENDING_RESULT_BYTES:
            return replace(record, result_inline=None), 0
        return record, size

    async def _append_until_known(self, record: RetryableRecord) -> Effect:
        while True:
            try:
                return await self._writer.append(record, APPEND_TIMEOUT_MS)
            except (AppendRefusedError, AppendUnknownError) as error:
                kind = type(record).__name__
                log.info("append not confirmed, retrying", kind=kind, error=str(error))
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def finish(self, timeout_ms: int) -> None:
        """Wait until the appends in the background end or the timeout passes."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_ms / 1000)

    async def stop(self) -> None:
        """Abandon the appends in the background."""
        await cancel_tasks(self._tasks)
