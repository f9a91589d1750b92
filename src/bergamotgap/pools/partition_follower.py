"""Follow the newest value of each key of a partition."""

from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.ports.fleet import (
    HistoryGoneError,
    KeyedRecord,
    LogPage,
    Store,
    StoreError,
)

# Waiting reads end this often, so that a connection that went silent is noticed before
# a configuration must be in force.
READ_WAIT_MS = 1500
RETRY_MS = 250

log = get_logger(__name__)


class PartitionFollower:
    """Keep a copy of a keyed partition; `poll_ms` above 0 reads at an interval.

    `on_record` gets each change in order, `on_batch` is called after each read that
    brought changes. `synced_ms` is when the copy was last known to be complete.
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
                    await self._read_newest()
                else:
                    await self._read_changes(self.next_offset)
            except HistoryGoneError as error:
                log.warning("history gone", topic=self._topic, first=error.first_offset)
                self.next_offset = None
            except StoreError as error:
                if not self._is_failing:
                    log.warning("store lost", topic=self._topic, error=str(error))
                self._is_failing = True
                await self._clock.sleep_ms(RETRY_MS)

    async def refresh(self) -> None:
        """Read what came since, without waiting; raises StoreError."""
        if self.next_offset is None:
            await self._read_newest()
        else:
            self._take(
                await self._store.read(self._topic, self._part, self.next_offset, 0)
            )

    async def _read_newest(self) -> None:
        newest = await self._store.read_newest_values(self._topic, self._part)
        gone = self._keys - set(newest.values)
        records = [KeyedRecord(key, None) for key in gone]
        records += [KeyedRecord(key, value) for key, value in newest.values.items()]
        for record in records:
            self._apply(record)
        self.next_offset = newest.end_offset
        self._note_synced()
        self._on_batch()

    async def _read_changes(self, start: int) -> None:
        if self._poll_ms:
            await self._clock.sleep_ms(self._poll_ms)
        wait_ms = 0 if self._poll_ms else READ_WAIT_MS
        page = await self._store.read(self._topic, self._part, start, wait_ms)
        self._take(page)

    def _take(self, page: LogPage) -> None:
        self._note_synced()
        # A read that overlaps another one brings records that are known already.
        known = max(0, (self.next_offset or 0) - page.start_offset)
        for record in page.records[known:]:
            self._apply(record)
        self.next_offset = max(
            self.next_offset or 0, page.start_offset + len(page.records)
        )
        if page.records[known:]:
            self._on_batch()

    def _apply(self, record: KeyedRecord) -> None:
        if record.value is None:
            self._keys.discard(record.key)
        else:
            self._keys.add(record.key)
        self._on_record(record)

    def _note_synced(self) -> None:
        self.synced_ms = self._clock.monotonic_ms()
        if self._is_failing:
            log.info("store regained", topic=self._topic, end=self.next_offset)
        self._is_failing = False
