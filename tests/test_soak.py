"""Tests of the soak test and of its stand-in for the users' platform."""

import asyncio
import random

import aiohttp
import pytest

from bergamotgap.domain.fleet import TaskId
from bergamotgap.platform.store import StoreClient
from bergamotgap.ports.fleet import (
    AppendConflictError,
    Fence,
    FencedError,
    KeyedRecord,
    SequenceError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from stand_ins.pool_workers import FakeWorker
from stand_ins.pools import build_worker
from stand_ins.users_log import HttpServer, UsersLog
from tools.soak import Soak

TOPIC = "keyed.t"


async def test_the_stand_in_of_the_log_answers_as_the_adapter_expects() -> None:
    """Guards against a log stand-in that differs from the log in fencing or order."""
    log = UsersLog(random.Random(1))
    async with HttpServer(log.handle) as server, aiohttp.ClientSession() as session:
        store = StoreClient(session, server.address, 1000)
        records = [KeyedRecord("a", b"1"), KeyedRecord("b", None)]
        assert await store.append(TOPIC, 0, records, fence=Fence("p", 2, 0)) == 0
        assert await store.append(TOPIC, 0, records, fence=Fence("p", 2, 0)) == 0
        with pytest.raises(FencedError):
            await store.append(TOPIC, 0, records, fence=Fence("p", 1, 0))
        with pytest.raises(SequenceError) as wrong:
            await store.append(TOPIC, 0, records, fence=Fence("p", 2, 5))
        assert wrong.value.expected == 1
        with pytest.raises(AppendConflictError):
            await store.append(TOPIC, 0, records, expected_end=1)
        page = await store.read(TOPIC, 0, 0, 0)
        assert (page.records, page.end_offset) == (tuple(records), 2)
        assert (await store.read_newest_values(TOPIC, 0)).values == {"a": b"1"}
        generation = await store.join("m", 0)
        assert await store.join("m", generation) == generation
        assert await store.list_members() == {"m"}
        await store.leave("m")
        assert await store.list_members() == frozenset()
        log.is_down = True
        with pytest.raises(StoreUnavailableError):
            await store.append(TOPIC, 0, records)
        log.is_down, log.answer_loss_rate = False, 1.0
        with pytest.raises(StoreOutcomeUnknownError):
            await store.append(TOPIC, 0, records)
        # The append took effect although its answer was lost.
        assert len(log.store.get(TOPIC, 0).records) == 4


def test_the_soak_finds_what_ran_twice_or_was_lost() -> None:
    """Guards against a soak test that passes whatever happens."""
    soak = Soak(1, 1)
    worker, other = FakeWorker(build_worker(1)), FakeWorker(build_worker(2))
    task, denied = TaskId("job", 0, 0, 0), TaskId("denied", 0, 0, 0)
    worker.run_intervals = [(task, 1.0, 2.0), (denied, 1.0, 2.0)]
    other.run_intervals = [(task, 1.5, 2.5)]
    other.most_running = 99
    soak._platform.workers = [worker, other]
    soak.record.refused = {"denied"}
    found = " ".join(soak._find_violations({"p/lost": 202, "p/done": 200}))
    for finding in ("lost: p/lost", "twice at once: job", "refused but ran: denied"):
        assert finding in found
    assert "above capacity: w2" in found
    assert "p/done" not in found


@pytest.mark.processes
def test_a_short_soak_finds_nothing() -> None:
    """Guards against lost or repeated work, with real processes and random faults."""
    soak = Soak(1, 4)
    assert asyncio.run(soak.run()) == []
    assert soak.record.accepted
