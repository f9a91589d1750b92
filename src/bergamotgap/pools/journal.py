"""Durable state of a pool: keyed records that its owner appends in batches."""

import asyncio
from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import (
    Fence,
    FencedError,
    KeyedRecord,
    SequenceError,
    Store,
    StoreError,
)

# A batch is closed at this size, a quarter of the log's limit for one call.
MAX_BATCH_BYTES = 512 * 1024
# The delay between attempts doubles from the minimum to the maximum while the log
# refuses or does not answer.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 800

log = get_logger(__name__)
Encoder = Callable[[], bytes | None]


class Journal:
    """Append the newest value of each changed key under the owner's fence.

    An append without an answer is repeated with the same sequence number, so that it
    takes effect once. `on_fenced` is called when a newer owner has appended. Changes
    are numbered from 1; `last_append_ms` is when the last successful append was sent.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        part: int,
        fence: Fence,
        clock: Clock,
        on_fenced: Callable[[], None],
    ) -> None:
        self._store = store
        self._topic, self._part = topic, part
        self._producer, self._epoch = fence.producer, fence.epoch
        self._sequence = fence.sequence
        self._clock = clock
        self._on_fenced = on_fenced
        # Number and encoder of the newest change of each key that is not appended yet.
        self._dirty_keys: dict[str, tuple[int, Encoder]] = {}
        self._unencodable_changes: set[int] = set()
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
        is_past = change <= self._committed_change
        return is_past and change not in self._unencodable_changes

    def put(self, key: str, encode: Encoder) -> int:
        """Queue a change of a key and return its number.

        `encode` is called when the batch is built; None deletes the key.
        """
        self._last_change += 1
        self._dirty_keys.pop(key, None)
        self._dirty_keys[key] = (self._last_change, encode)
        self._wake.set()
        return self._last_change

    async def wait_committed(self, change: int) -> None:
        """Return once a change is committed."""
        if self.is_committed(change):
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((change, future))
        await future

    async def wait_committed_within(self, change: int, timeout_ms: int) -> bool:
        """Wait a bounded time for a change; return whether it is committed."""
        if self.is_committed(change):
            return True
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self.wait_committed(change)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Append changes until a newer owner fences this one."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._dirty_keys:
                taken, records, change = self._take_batch()
                try:
                    is_appended = not records or await self._append(records)
                except Exception:
                    # The changes stay queued for the next run, behind newer ones.
                    self._dirty_keys = taken | self._dirty_keys
                    self._wake.set()
                    raise
                if not is_appended:
                    self._on_fenced()
                    return
                self._committed_change = change
                self._release_waiters()

    def _take_batch(
        self,
    ) -> tuple[dict[str, tuple[int, Encoder]], list[KeyedRecord], int]:
        """Return the batch's changes, their records and the number of the last one."""
        taken: dict[str, tuple[int, Encoder]] = {}
        records: list[KeyedRecord] = []
        size = 0
        # `_dirty_keys` is ordered by the last change of each key, and an earlier change
        # of a key may have been superseded by a later one that is still queued. So
        # changes count as committed only with a batch that takes all keys.
        for key in list(self._dirty_keys):
            number, encode = self._dirty_keys.pop(key)
            try:
                value = encode()
            except Exception:
                # It is left out, or it would hold up all others; it never counts as
                # committed.
                log.exception("change not encoded", part=self._part, key=key)
                self._unencodable_changes.add(number)
                continue
            taken[key] = (number, encode)
            records.append(KeyedRecord(key, value))
            size += len(key) + len(value or b"")
            if size >= MAX_BATCH_BYTES:
                break
        change = self._last_change if not self._dirty_keys else self._committed_change
        return taken, records, change

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
            if self.is_committed(change) and not future.done():
                future.set_result(None)
            elif not future.done():
                waiting.append((change, future))
        self._waiters = waiting
