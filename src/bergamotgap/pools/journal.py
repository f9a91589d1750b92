"""What of a pool must last: keyed records, appended in groups by its one owner."""

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

# A call to the log takes at most this many bytes of values, a quarter of its limit.
MAX_BATCH_BYTES = 512 * 1024
# Doubles from the first to the last while the log refuses or does not answer.
RETRY_MIN_MS = 100
RETRY_MAX_MS = 800

log = get_logger(__name__)
Encoder = Callable[[], bytes | None]


class Journal:
    """Append the newest value of each changed key under the owner's fence.

    An append without an answer is repeated under its sequence number, so that it takes
    effect once. `on_fenced` is called when a newer owner has appended.
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
        self._dirty: dict[str, Encoder] = {}
        self._wake = asyncio.Event()
        self._requested = 0
        self._committed = 0
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.last_append_ms = clock.monotonic_ms()
        self.is_failing = False

    @property
    def last_change(self) -> int:
        """Return the number of the last change."""
        return self._requested

    def is_committed(self, change: int) -> bool:
        """Tell whether a change lasts."""
        return change <= self._committed

    def put(self, key: str, encode: Encoder) -> int:
        """Note a change of a key; return its number. The value is read when sent."""
        self._dirty.pop(key, None)
        self._dirty[key] = encode
        self._requested += 1
        self._wake.set()
        return self._requested

    async def wait_committed(self, change: int) -> None:
        """Return when a change lasts."""
        if self.is_committed(change):
            return
        future = asyncio.get_running_loop().create_future()
        self._waiters.append((change, future))
        await future

    async def wait_committed_within(self, change: int, limit_ms: int) -> bool:
        """Wait until a change lasts, for a bounded time; tell whether it does."""
        if self.is_committed(change):
            return True
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self.wait_committed(change)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Append changes until a newer owner fences this one."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._dirty:
                records, change = self._take_batch()
                if not await self._append(records):
                    self._on_fenced()
                    return
                self._committed = change
                self._release_waiters()

    def _take_batch(self) -> tuple[list[KeyedRecord], int]:
        records: list[KeyedRecord] = []
        size = 0
        # Keys stand in the order of their last change, so a full batch holds all
        # changes up to the number of its last one only if it takes all keys.
        for key in list(self._dirty):
            value = self._dirty.pop(key)()
            records.append(KeyedRecord(key, value))
            size += len(key) + len(value or b"")
            if size >= MAX_BATCH_BYTES:
                break
        change = self._requested if not self._dirty else self._committed
        return records, change

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
                # Only this owner uses the epoch and one append is under way at a
                # time, so the expected number is that of this append.
                log.warning("append out of order", expected=error.expected)
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
            if change <= self._committed and not future.done():
                future.set_result(None)
            elif not future.done():
                waiting.append((change, future))
        self._waiters = waiting
