"""Snapshots of folded streams, so that retention may drop old records."""

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
# Parts at the end of the stream that are read first, and four times as many when they
# hold no whole snapshot. Reading all that the newest could take, 2 * MAX_PARTS, was up
# to 87 MB for each reader and each check.
FIRST_READ_PARTS = 4
CHECK_INTERVAL_MS = 5000
CHECK_JITTER = 0.5

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of a compressed snapshot; `data` is base64."""

    version: int
    snapshot: str
    part: int
    parts: int
    next_offset: int
    digest: str
    data: str


@dataclass(frozen=True, slots=True)
class SnapshotSeen:
    """The newest whole snapshot in the log and when the log took it."""

    copy: StateCopy
    appended_ms: int


def format_snapshot_stream(stream: str) -> str:
    """Return the name of the stream that holds a stream's snapshots."""
    return f"{stream}-snapshots"


def split_snapshot(copy: StateCopy) -> list[str]:
    """Return the bodies of the appends that carry a snapshot."""
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


def find_newest_snapshot(records: tuple[LogRecord, ...]) -> SnapshotSeen | None:
    """Return the newest snapshot of which every part is among the records."""
    parts: dict[str, dict[int, SnapshotPart]] = {}
    newest: SnapshotSeen | None = None
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
            newest = SnapshotSeen(copy, record.appended_ms)
    return newest


def _decode_part(record: LogRecord) -> SnapshotPart | None:
    try:
        part = msgspec.json.decode(record.body, type=SnapshotPart)
    except msgspec.DecodeError as error:
        log.error("malformed snapshot", offset=record.offset, error=str(error))
        return None
    if part.version != SNAPSHOT_VERSION:
        log.error("unknown snapshot version", version=part.version)
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
) -> SnapshotSeen | None:
    """Read the newest whole snapshot of a stream; raises PlatformError."""
    name = format_snapshot_stream(stream)
    bounds = await _read_bounds(platform, name)
    count = FIRST_READ_PARTS
    while True:
        start = max(bounds.first_offset, bounds.next_offset - count)
        seen = find_newest_snapshot(await _read_parts(platform, name, start, bounds))
        if seen is not None or count >= 2 * MAX_PARTS or start == bounds.first_offset:
            return seen
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
    """Write a snapshot of a stream when the newest is old or far behind.

    Any entry host may do it. They check at random times, and one that finds a recent
    snapshot writes none, so that duplicates are rare; they are harmless.
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
        self._covered_offset = 0
        self._covered_ms: int | None = None
        self._random = random.Random()

    async def run(self) -> None:
        """Check at intervals for good."""
        while True:
            jitter = self._random.uniform(-CHECK_JITTER, CHECK_JITTER)
            await self._clock.sleep_ms(CHECK_INTERVAL_MS * (1 + jitter))
            try:
                await self.write_if_due()
            except PlatformError as error:
                log.warning(
                    "snapshot failed", stream=self._stream.name, error=str(error)
                )

    def _is_due(self) -> bool:
        behind = self._stream.next_offset - self._covered_offset
        if not self._stream.is_loaded or behind == 0:
            return False
        if behind >= self._max_records or self._covered_ms is None:
            return True
        return self._clock.monotonic_ms() - self._covered_ms >= self._max_age_ms

    async def write_if_due(self) -> bool:
        """Write a snapshot unless a recent one exists; return whether it did."""
        if not self._is_due():
            return False
        seen = await read_newest_snapshot(self._platform, self._stream.name)
        if seen is not None and seen.copy.next_offset > self._covered_offset:
            age_ms = max(0, self._clock.wall_ms() - seen.appended_ms)
            self._covered_offset = seen.copy.next_offset
            self._covered_ms = self._clock.monotonic_ms() - age_ms
            if not self._is_due():
                return False
        copy = self._stream.copy_state()
        if copy is None or self._stream.halt_reason is not None:
            return False
        await self._write(copy)
        return True

    async def _write(self, copy: StateCopy) -> None:
        name = format_snapshot_stream(self._stream.name)
        bodies = split_snapshot(copy)
        if len(bodies) > MAX_PARTS:
            log.error("snapshot too large", stream=name, parts=len(bodies))
            return
        for body in bodies:
            await self._platform.append(name, new_record_id(), body)
        self._covered_offset = copy.next_offset
        self._covered_ms = self._clock.monotonic_ms()
        log.info(
            "snapshot written",
            stream=name,
            next_offset=copy.next_offset,
            bytes=sum(len(body) for body in bodies),
        )
