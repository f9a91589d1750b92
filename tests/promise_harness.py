"""Fleets, calls and checks shared by the tests of the promises P1 to P10."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import aiohttp

from bergamotgap.domain.catalogue import Catalogue, parse_catalogue
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied, Effect, Stamp
from bergamotgap.domain.records import (
    Record,
    decode_batch,
    encode_batch,
    unwrap_record,
    wrap_record,
)
from bergamotgap.domain.work_state import WorkState
from tools.fleet import Fleet
from tools.fleet_calls import CallerAnswer

WAIT_TIMEOUT_S = 45
STREAM_PAGE_RECORDS = 1000
State = TypeVar("State", ControlState, WorkState)
FoldStep = tuple[Stamp, Record, Effect]


def build_small_document(fleet: Fleet) -> str:
    """Return the fleet's catalogue with a minimum of one host per pool."""
    return fleet.document.replace("min_hosts = 3", "min_hosts = 1")


@asynccontextmanager
async def run_fleet(
    edit: Callable[[str], str] = str, **options: Any
) -> AsyncIterator[Fleet]:
    """Run a fleet with ready entry hosts and workers that are assigned to pools.

    `edit` changes the catalogue before it is published.
    """
    async with Fleet(**options) as fleet:
        assert await fleet.publish(edit(build_small_document(fleet))) == 200
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        yield fleet


async def wait_until(is_met: Callable[[], Any]) -> None:
    """Wait until a condition is true; it may be a coroutine function."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while True:
            met = is_met()
            if asyncio.iscoroutine(met):
                met = await met
            if met:
                return
            await asyncio.sleep(0.05)


async def wait_until_served(
    fleet: Fleet, entry: str, key: str, nodes: Iterator[int] | range
) -> None:
    """Wait until each of the entry hosts serves an entry."""

    async def is_served(node: int) -> bool:
        return (await send(fleet, entry, b"warm", key, node)).status == 200

    for node in nodes:
        await wait_until(lambda node=node: is_served(node))


async def send(
    fleet: Fleet, entry: str, body: bytes, key: str, node: int, **options: Any
) -> CallerAnswer:
    """Send a request; if the connection breaks, return status 0."""
    try:
        return await fleet.calls.send_request(
            entry, body, key=key, node=node, **options
        )
    except aiohttp.ClientError:
        return CallerAnswer(status=0, outcome=None, body=b"")


async def append_record(fleet: Fleet, record: Record, stream: str = "control") -> None:
    """Append a record to the platform's log, as an entry host does."""
    record_id = secrets.token_hex(8)
    body = encode_batch([wrap_record(record_id, record)])
    url = f"http://{fleet.platform_address}/streams/{stream}/records"
    order = {"id": record_id, "body": body}
    async with aiohttp.request("POST", url, json=order) as response:
        assert response.status == 200


async def read_stream(fleet: Fleet, stream: str) -> list[tuple[Stamp, Record]]:
    """Return all records of a stream."""
    url = f"http://{fleet.platform_address}/streams/{stream}/records"
    records: list[tuple[Stamp, Record]] = []
    start = 0
    while True:
        async with aiohttp.request("GET", f"{url}?from={start}") as response:
            page = (await response.json())["records"]
        for item in page:
            stamp = Stamp(item["offset"], item["appended_ms"])
            batch = decode_batch(item["body"])
            records += [(stamp, unwrap_record(envelope)) for envelope in batch]
        if len(page) < STREAM_PAGE_RECORDS:
            return records
        start += len(page)


async def fold_stream(
    fleet: Fleet,
    state: State,
    check: Callable[[State, FoldStep], None] = lambda state, step: None,
) -> State:
    """Fold a whole stream into `state`; `check` runs after each record."""
    stream = "control" if isinstance(state, ControlState) else "work"
    for stamp, record in await read_stream(fleet, stream):
        effect = state.apply(stamp, record)
        check(state, (stamp, record, effect))
    return state


async def list_applied(fleet: Fleet, kind: type[Any]) -> list[Any]:
    """Return the records of a kind that took effect in the control stream."""
    applied: list[Any] = []

    def check(state: ControlState, step: FoldStep) -> None:
        if isinstance(step[1], kind) and isinstance(step[2], Applied):
            applied.append(step[1])

    await fold_stream(fleet, ControlState(), check)
    return applied


def count_starts(fleet: Fleet, body: str) -> int:
    """Return how often the workers started a task with this body."""
    return sum(start["body"] == body for start in fleet.read_starts())


def read_catalogue(fleet: Fleet) -> Catalogue:
    """Return the catalogue that the fleet uses."""
    return parse_catalogue(build_small_document(fleet))


async def check_pool_membership(fleet: Fleet) -> None:
    """Check that hosts have one pool per epoch, and tasks ran in their entry's pool."""
    pools: dict[tuple[str, int], str | None] = {}

    def check(state: ControlState, step: FoldStep) -> None:
        for name, host in state.hosts.items():
            last_epoch = max(
                (epoch for known, epoch in pools if known == name), default=0
            )
            previous_pool = pools.get((name, last_epoch))
            assert host.epoch >= last_epoch
            if host.epoch > last_epoch and previous_pool is not None:
                assert host.pool is None, "a host changed its pool without a release"
            assert pools.setdefault((name, host.epoch), host.pool) == host.pool

    await fold_stream(fleet, ControlState(), check)
    entries = {entry.name: entry.pool for entry in read_catalogue(fleet).entries}
    for start in fleet.read_starts():
        pool = pools[start["host"], start["epoch"]]
        assert pool == start["pool"] == entries[start["entry"]], start
