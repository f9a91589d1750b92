"""Write and read snapshots of folded streams, so that retention can drop old records.

A snapshot is stored in a stream of its own, split into parts.
"""

import base64
import random
import zlib
from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.node.streams import Stream, new_record_id
from bergamotgap.ports.peer import StateCopy
from bergamotgap.ports.platform import (
    LogPage,
    LogRecord,
    OffsetDroppedError,
    PlatformError,
    PlatformLog,
)

SNAPSHOT_VERSION = 1
MAX_PART_BYTES = 512 * 1024
MAX_PARTS = 64
# Number of parts that are read first from the end of the snapshot stream; it is
# multiplied by four as long as they contain no complete snapshot. Always reading
# 2 * MAX_PARTS, the most that may be needed, took up to 87 MB per reader and check.
FIRST_READ_PARTS = 4
CHECK_INTERVAL_MS = 5000
CHECK_JITTER = 0.5

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a compressed snapshot; `data` is base64-encoded."""

    version: int
    snapshot: str
    part: int
    parts: int
    next_offset: int
    digest: str
    data: str


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A complete snapshot in the log, and when its last part was appended."""

    copy: StateCopy
    appended_ms: int


def build_snapshot_stream_name(stream: str) -> str:
    """Return the name of the stream that stores a stream's snapshots."""
    return f"{stream}-snapshots"


def split_snapshot(copy: StateCopy) -> list[str]:
    """Compress a state and return the record bodies of its snapshot's parts."""
    packed = zlib.compress(copy.state)
    pieces = [
        packed[at : at + MAX_PART_BYTES] for at in range(0, len(packed), MAX_PART_BYTES)
    ]
    snapshot = new_record_id()
    digest = xxhash.xxh3_128_hexdigest(copy.state)
    return [
        msgspec.json.encode(
            SnapshotPart(
                version=SNAPSHOT_VERSION,
                snapshot=snapshot,
                part=index,
                parts=len(pieces),
                next_offset=copy.next_offset,
                digest=digest,
                data=base64.b64encode(piece).decode(),
            )
        ).decode()
        for index, piece in enumerate(pieces)
    ]


def find_newest_snapshot(records: tuple[LogRecord, ...]) -> StoredSnapshot | None:
    """Return the newest snapshot all of whose parts are among the records."""
    parts: dict[str, dict[int, SnapshotPart]] = {}
    newest: StoredSnapshot | None = None
    for record in records:
        part = _decode_part(record)
        if part is None:
            continue
        found = parts.setdefault(part.snapshot, {})
        found[part.part] = part
        if len(found) < part.parts:
            continue
        copy = _join_parts(found)
        is_newer = newest is None or (
            copy is not None and copy.next_offset > newest.copy.next_offset
        )
        if copy is not None and is_newer:
            newest = StoredSnapshot(copy, record.appended_ms)
    return newest


def _decode_part(record: LogRecord) -> SnapshotPart | None:
    try:
        part = msgspec.json.decode(record.body, type=SnapshotPart)
    except msgspec.DecodeError as error:
        log.error("malformed snapshot", offset=record.offset, error=str(error))
        return None
    if part.version != SNAPSHOT_VERSION:
        log.error("snapshot version not supported", version=part.version)
        return None
    return part


def _join_parts(found: dict[int, SnapshotPart]) -> StateCopy | None:
    packed = b"".join(base64.b64decode(found[at].data) for at in sorted(found))
    first = found[0]
    try:
        state = zlib.decompress(packed)
    except zlib.error:
        state = b""
    if xxhash.xxh3_128_hexdigest(state) != first.digest:
        log.error("snapshot digest differs", snapshot=first.snapshot)
        return None
    return StateCopy(first.next_offset, state)


async def read_newest_snapshot(
    platform: PlatformLog, stream: str
) -> StoredSnapshot | None:
    """Read the newest complete snapshot of a stream; raises PlatformError."""
    name = build_snapshot_stream_name(stream)
    bounds = await _read_bounds(platform, name)
    count = FIRST_READ_PARTS
    while True:
        start = max(bounds.first_offset, bounds.next_offset - count)
        newest = find_newest_snapshot(await _read_parts(platform, name, start, bounds))
        if newest is not None or count >= 2 * MAX_PARTS or start == bounds.first_offset:
            return newest
        count = min(4 * count, 2 * MAX_PARTS)


async def _read_parts(
    platform: PlatformLog, name: str, start: int, bounds: LogPage
) -> tuple[LogRecord, ...]:
    records: list[LogRecord] = []
    while start < bounds.next_offset:
        page = await platform.read(name, start, bounds.next_offset - start, 0)
        if not page.records:
            break
        records += page.records
        start = page.records[-1].offset + 1
    return tuple(records)


async def _read_bounds(platform: PlatformLog, name: str) -> LogPage:
    try:
        return await platform.read(name, 0, 1, 0)
    except OffsetDroppedError as error:
        return await platform.read(name, error.first_offset, 1, 0)


class SnapshotWriter:
    """Writes a snapshot of a stream when the newest one is old or far behind.

    Every entry host runs one. Because they check at random times and skip the write if
    they find a recent snapshot, duplicates are rare; they are harmless.
    """

    def __init__(
        self,
        stream: Stream[Any],
        platform: PlatformLog,
        clock: Clock,
        max_records: int,
        max_age_ms: int,
    ) -> None:
        self._stream = stream
        self._platform = platform
        self._clock = clock
        self._max_records = max_records
        self._max_age_ms = max_age_ms
        self._snapshot_offset = 0
        self._snapshot_ms: int | None = None
        self._random = random.Random()

    async def run(self) -> None:
        """Check at intervals whether a snapshot is due, until cancelled."""
        while True:
            jitter = self._random.uniform(-CHECK_JITTER, CHECK_JITTER)
            await self._clock.sleep_ms(CHECK_INTERVAL_MS * (1 + jitter))
            try:
                await self.write_if_due()
            except PlatformError as error:
                log.warning(
                    "snapshot not written", stream=self._stream.name, error=str(error)
                )

    def _is_snapshot_due(self) -> bool:
        behind = self._stream.next_offset - self._snapshot_offset
        if not self._stream.is_loaded or behind == 0:
            return False
        if behind >= self._max_records or self._snapshot_ms is None:
            return True
        return self._clock.monotonic_ms() - self._snapshot_ms >= self._max_age_ms

    async def write_if_due(self) -> bool:
        """Write a snapshot unless a recent one exists; return whether it tried to."""
        if not self._is_snapshot_due():
            return False
        newest = await read_newest_snapshot(self._platform, self._stream.name)
        if newest is not None and newest.copy.next_offset > self._snapshot_offset:
            age_ms = max(0, self._clock.wall_ms() - newest.appended_ms)
            self._snapshot_offset = newest.copy.next_offset
            self._snapshot_ms = self._clock.monotonic_ms() - age_ms
            if not self._is_snapshot_due():
                return False
        copy = self._stream.copy_state()
        if copy is None or self._stream.halt_reason is not None:
            return False
        await self._write_snapshot(copy)
        return True

    async def _write_snapshot(self, copy: StateCopy) -> None:
        name = build_snapshot_stream_name(self._stream.name)
        bodies = split_snapshot(copy)
        if len(bodies) > MAX_PARTS:
            log.error("snapshot too large", stream=name, parts=len(bodies))
            return
        for body in bodies:
            await self._platform.append(name, new_record_id(), body)
        self._snapshot_offset = copy.next_offset
        self._snapshot_ms = self._clock.monotonic_ms()
        log.info(
            "snapshot written",
            stream=name,
            next_offset=copy.next_offset,
            bytes=sum(len(body) for body in bodies),
        )
