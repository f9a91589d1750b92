"""Append records that must reach the log, however long the platform is down."""

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
# Inline results of kept records are at most 22 KiB each as base64. Above this total
# they are left out, and the result is fetched from the worker by task id.
MAX_PENDING_RESULT_BYTES = 32 << 20

log = get_logger(__name__)

RetryableRecord = Ended | AttemptNotRun | JobTaken


class RetryingAppender:
    """Own the records whose effect is not known yet.

    Only for records that the fold refuses the second time: an append whose fate is
    unknown is simply made again.
    """

    def __init__(self, writer: StreamWriter, clock: Clock) -> None:
        self._writer = writer
        self._clock = clock
        self._tasks: set[asyncio.Task[Effect]] = set()
        self._kept = 0
        self._kept_result_bytes = 0

    @property
    def pending_count(self) -> int:
        """Return the number of records without a known effect."""
        return self._kept

    def append_in_background(self, record: RetryableRecord) -> "asyncio.Task[Effect]":
        """Append in the background; the task returns the effect."""
        task = asyncio.create_task(self.append(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def append(self, record: RetryableRecord) -> Effect:
        """Append until the effect is known."""
        record, size = self._shrink(record)
        self._kept += 1
        self._kept_result_bytes += size
        try:
            return await self._append(record)
        finally:
            self._kept -= 1
            self._kept_result_bytes -= size

    def _shrink(self, record: RetryableRecord) -> tuple[RetryableRecord, int]:
        if not isinstance(record, Ended) or record.result_inline is None:
            return record, 0
        size = len(record.result_inline)
        if self._kept_result_bytes + size > MAX_PENDING_RESULT_BYTES:
            return replace(record, result_inline=None), 0
        return record, size

    async def _append(self, record: RetryableRecord) -> Effect:
        while True:
            try:
                return await self._writer.append(record, APPEND_TIMEOUT_MS)
            except (AppendRefusedError, AppendUnknownError) as error:
                kind = type(record).__name__
                log.info("append will be repeated", kind=kind, error=str(error))
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def finish(self, timeout_ms: int) -> None:
        """Wait for the effects of the kept records."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_ms / 1000)

    async def stop(self) -> None:
        """Give up the records that are still kept."""
        await cancel_tasks(self._tasks)
