"""Local copy of a keyed log partition: the newest value of each key."""

from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import (
    HistoryGoneError,
    KeyedLogPage,
    KeyedRecord,
    Store,
    StoreError,
)

# Longest time that a read waits for new records. Reads end this often so that a dead
# connection is noticed before a configuration must be in force.
READ_WAIT_MS = 1500
RETRY_MS = 250

log = get_logger(__name__)


class PartitionFollower:
    """Keep a copy of a keyed partition up to date.

    `on_record` is called with each change in order, `on_batch` after each read that
    returned changes. With `poll_ms` above 0, the partition is read at that interval
    instead of by waiting reads. `synced_ms` is when the copy was last complete.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        clock: Clock,
        on_record: Callable[[KeyedRecord], None],
        on_batch: Callable[[], None] = lambda: None,
        poll_ms: int = 0,
        part: int = 0,
    ) -> None:
        self._store = store
        self._topic, self._part = topic, part
        self._clock = clock
        self._on_record = on_record
        self._on_batch = on_batch
        self._poll_ms = poll_ms
        self._keys: set[str] = set()
        self._is_failing = False
        self.next_offset: int | None = None
        self.synced_ms = 0

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                if self.next_offset is None:
                    await self._read_newest_values()
                else:
                    await self._read_changes(self.next_offset)
            except HistoryGoneError as error:
                self._handle_history_gone(error)
            except StoreError as error:
                if not self._is_failing:
                    log.warning(
                        "log partition not readable",
                        topic=self._topic,
                        error=str(error),
                    )
                self._is_failing = True
                await self._clock.sleep_ms(RETRY_MS)

    async def refresh(self) -> None:
        """Read the records appended since the last read; raises StoreError.

        Where the log has deleted some of them, the newest values are read, so that keys
        which were deleted meanwhile are dropped.
        """
        if self.next_offset is not None:
            try:
                page = await self._store.read(
                    self._topic, self._part, self.next_offset, 0
                )
            except HistoryGoneError as error:
                self._handle_history_gone(error)
            else:
                self._apply_page(page)
                return
        await self._read_newest_values()

    def _handle_history_gone(self, error: HistoryGoneError) -> None:
        log.warning(
            "log records deleted before they were read",
            topic=self._topic,
            first=error.first_offset,
        )
        self.next_offset = None

    async def _read_newest_values(self) -> None:
        newest = await self._store.read_newest_values(self._topic, self._part)
        gone = self._keys - set(newest.values)
        records = [KeyedRecord(key, None) for key in gone]
        records += [KeyedRecord(key, value) for key, value in newest.values.items()]
        for record in records:
            self._apply_record(record)
        self.next_offset = newest.end_offset
        self._record_synced()
        self._on_batch()

    async def _read_changes(self, start: int) -> None:
        if self._poll_ms:
            await self._clock.sleep_ms(self._poll_ms)
        wait_ms = 0 if self._poll_ms else READ_WAIT_MS
        page = await self._store.read(self._topic, self._part, start, wait_ms)
        self._apply_page(page)

    def _apply_page(self, page: KeyedLogPage) -> None:
        self._record_synced()
        # `run` and `refresh` may read the same records concurrently; skip the ones
        # that were applied already.
        already_applied = max(0, (self.next_offset or 0) - page.start_offset)
        for record in page.records[already_applied:]:
            self._apply_record(record)
        self.next_offset = max(
            self.next_offset or 0, page.start_offset + len(page.records)
        )
        if page.records[already_applied:]:
            self._on_batch()

    def _apply_record(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._keys.discard(record.key)
        else:
            self._keys.add(record.key)
        self._on_record(record)

    def _record_synced(self) -> None:
        self.synced_ms = self._clock.monotonic_ms()
        if self._is_failing:
            log.info(
                "log partition readable again", topic=self._topic, end=self.next_offset
            )
        self._is_failing = False
