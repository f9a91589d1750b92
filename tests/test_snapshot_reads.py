"""Tests of the search for the newest complete snapshot at the end of its stream."""

import os

import pytest

from bergamotgap.node.snapshots import (
    FIRST_READ_PARTS,
    MAX_PART_BYTES,
    MAX_PARTS,
    build_snapshot_stream_name,
    read_newest_snapshot,
    split_snapshot,
)
from bergamotgap.ports.peer import StateCopy
from tests.fakes_platform import FakePlatform

WORK = build_snapshot_stream_name("work")


async def append(platform: FakePlatform, copy: StateCopy, parts: int | None) -> None:
    for number, body in enumerate(split_snapshot(copy)[:parts]):
        await platform.append(WORK, f"{copy.next_offset}-{number}", body)


@pytest.mark.parametrize("size", [100, FIRST_READ_PARTS * MAX_PART_BYTES + 1])
async def test_newest_whole_snapshot_is_found(size: int) -> None:
    """Guards against a search that stops before the first part of a large snapshot."""
    platform = FakePlatform()
    state = os.urandom(size)
    await append(platform, StateCopy(5, b"old"), None)
    await append(platform, StateCopy(9, state), None)
    seen = await read_newest_snapshot(platform, "work")
    assert seen is not None
    assert (seen.copy.next_offset, seen.copy.state) == (9, state)


@pytest.mark.parametrize("cut", [1, FIRST_READ_PARTS, 2 * MAX_PARTS - 1])
async def test_snapshots_cut_short_hide_no_whole_one(cut: int) -> None:
    """Guards against a reader that finds nothing after writers that stopped midway."""
    platform = FakePlatform()
    await append(platform, StateCopy(5, b"whole"), None)
    state = os.urandom(MAX_PART_BYTES + 1)
    for number in range(cut):
        await append(platform, StateCopy(10 + number, state), 1)
    seen = await read_newest_snapshot(platform, "work")
    assert seen is not None
    assert seen.copy.state == b"whole"


async def test_stream_without_a_whole_snapshot_gives_none() -> None:
    """Guards against a search that never ends."""
    platform = FakePlatform()
    assert await read_newest_snapshot(platform, "work") is None
    await append(platform, StateCopy(9, os.urandom(MAX_PART_BYTES + 1)), 1)
    assert await read_newest_snapshot(platform, "work") is None
