"""Malformed messages and unexpected errors: each has a bounded effect and an outcome.

Guards against the failure that operators reported: one malformed message or unexpected
error takes a whole process down, or makes it forget accepted work.
"""

import asyncio
import dataclasses
import json
import struct

import pytest

from bergamotgap.adapters.pool_grpc import GrpcPoolPeerClient, GrpcPoolServer
from bergamotgap.domain.fleet import JobPhase, StepSpec, TaskId
from bergamotgap.platform.documents import (
    decode_job,
    decode_worker,
)
from bergamotgap.platform.machines import MachineServiceClient
from bergamotgap.platform.store import StoreClient, decode_page, encode_records
from bergamotgap.platform.workers import AdviceServiceClient, WorkerOrderClient
from bergamotgap.pools.fleet_view import UnreadableDocumentError
from bergamotgap.pools.journal import Journal
from bergamotgap.ports.fleet import (
    Fence,
    KeyedRecord,
    Lease,
    MachineServiceUnavailableError,
    StartOrder,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    Unanswered,
)
from bergamotgap.ports.pool_peer import LogContactCall, PeerCallError
from stand_ins.pool_store import FakeStore
from stand_ins.pools import FakeOrders, build_job, build_worker
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import Scene
from tests.test_platform_adapter import JOB_ID, abort_connection, respond_with, serve
from tools.fleet_plan import pick_ports


async def test_an_append_with_an_unreadable_answer_may_have_taken_effect() -> None:
    """Guards against "not accepted" for a job that the log holds."""
    async with serve(respond_with(200, ["odd"])) as (session, address):
        store = StoreClient(session, address, 1000)
        with pytest.raises(StoreOutcomeUnknownError):
            await store.append("t", 0, [KeyedRecord("k", b"v")])


def test_a_page_with_a_cut_record_is_refused() -> None:
    """Guards against a record that loses its end, with the next offset behind it."""
    body = struct.pack(">QQ", 1, 0) + encode_records([KeyedRecord("key", b"value")])
    for cut in (1, 5, 7):
        with pytest.raises(StoreUnavailableError):
            decode_page(0, body[:-cut])
    key_beyond_record = struct.pack(">QQIB", 1, 0, 3, 9) + b"ab"
    with pytest.raises(StoreUnavailableError):
        decode_page(0, key_beyond_record)


@pytest.mark.parametrize(
    "page",
    [
        {"items": [{"key": "k", "value": "%%%", "offset": 1}], "more": False, "end": 2},
        {"items": [{"key": "k"}], "more": False, "end": 2},
        [],
    ],
)
async def test_unreadable_newest_values_are_a_failed_read(page: object) -> None:
    """Guards against a follower that ends at a value that is no base64."""
    async with serve(respond_with(200, page)) as (session, address):
        with pytest.raises(StoreUnavailableError):
            await StoreClient(session, address, 1000).read_newest_values("t", 0)


async def test_members_are_read_beside_fields_of_other_kinds() -> None:
    """Guards against a strict check that rejects the list that the log really sends."""
    rows = [["nodes.0", 0, "a/1/500", 0], ["nodes.0", 1, None, 0], ["nodes.1", 0, ""]]
    answer = {"generation": 4, "owners": rows}
    async with serve(respond_with(200, answer)) as (session, address):
        members = await StoreClient(session, address, 1000).list_members()
    assert members == {"a/1/500"}


@pytest.mark.parametrize("answer", [[], {"rows": [3, None]}, {"rows": [[1]]}, "x"])
async def test_an_unreadable_list_of_members_is_a_failed_read(answer: object) -> None:
    """Guards against a renewal that stops, so that the node loses its pools."""
    async with serve(respond_with(200, answer)) as (session, address):
        with pytest.raises(StoreUnavailableError):
            await StoreClient(session, address, 1000).list_members()


@pytest.mark.parametrize(
    ("running", "ended"),
    [
        ([[JOB_ID]], []),
        ([[7, 1, "", 0]], []),
        ([[f"{JOB_ID}.0.1.x", 1, "", 0]], []),
        ([[f"{JOB_ID}.0.1.1", "x", "", 0]], []),
        ([], [[1, f"{JOB_ID}.0.1.1"]]),
        ([], [["x", f"{JOB_ID}.0.1.1", 1, "done", ""]]),
        ([], [[1, None, 1, "done", ""]]),
        ([], [None]),
    ],
)
async def test_a_poll_reply_with_an_odd_row_is_no_answer(
    running: list[object], ended: list[object]
) -> None:
    """Guards against polls of a worker that end, so that its lease expires."""
    lists = {"clockMs": 5, "born": 1, "running": running, "ended": ended}
    async with serve(respond_with(200, lists)) as (session, address):
        worker = dataclasses.replace(build_worker(1), address=address)
        outcome = await WorkerOrderClient(session).poll(worker, Lease(7, 9), 0, 0)
    assert outcome == Unanswered(was_sent=True)


@pytest.mark.parametrize("answer", [{"good": [["w1"]]}, {"good": [3]}, {"good": 1}, []])
async def test_unreadable_advice_gives_no_tickets(answer: object) -> None:
    """Guards against a request for tickets that ends and is never repeated."""
    async with serve(respond_with(200, answer)) as (session, address):
        client = AdviceServiceClient(session, address)
        tickets = await client.request_tickets(TaskId(JOB_ID, 0, 0, 0), ["w1"])
    assert tickets.by_worker == {}


async def test_an_order_refused_by_the_rate_limit_was_not_executed() -> None:
    """Guards against a host that counts as arriving though its move was refused."""
    async with serve(respond_with(429)) as (session, address):
        with pytest.raises(MachineServiceUnavailableError) as raised:
            await MachineServiceClient(session, address, "n").move("m", "p", 1)
    assert not raised.value.may_have_executed

    async with serve(abort_connection) as (session, address):
        with pytest.raises(MachineServiceUnavailableError) as raised:
            await MachineServiceClient(session, address, "n").move("m", "p", 1)
    assert raised.value.may_have_executed


@pytest.mark.parametrize(
    "job",
    [
        {"steps": [{"count": 1_000_000_000}]},
        {"steps": [{"count": 90_000}, {"count": 90_000}]},
        {"steps": [{"count": 1}], "repetitions": 10**12},
        {"steps": [{"count": 1, "cpu": -5000}]},
        {"steps": [{"count": 1, "requestedMemoryMb": -1}]},
        {"steps": [{"count": 1, "estimatedMs": -1}]},
        {"steps": [{"count": 1, "estimatedMs": 1e300}]},
        {"steps": [{"count": 1, "antiAffinity": -1}]},
        {"steps": [{"count": 1, "after": [0]}]},
        {"steps": [{"count": 1, "after": [1]}, {"count": 1, "after": [0]}]},
    ],
)
def test_a_job_with_impossible_figures_is_refused(job: object) -> None:
    """Guards against a job that fills the memory of each of its owners in turn."""
    with pytest.raises(UnreadableDocumentError):
        decode_job(JOB_ID, "q", json.dumps(job).encode(), 5)


def test_a_deeply_nested_document_is_refused() -> None:
    """Guards against a document that exceeds the decoder's recursion limit."""
    nested = b"[" * 100_000 + b"]" * 100_000
    body = b'{"steps":[{"count":1,"requirements":' + nested + b"}]}"
    with pytest.raises(UnreadableDocumentError):
        decode_job(JOB_ID, "q", body, 5)
    with pytest.raises(UnreadableDocumentError):
        decode_worker("w", b'{"labels":' + nested + b"}")
    with pytest.raises(UnreadableDocumentError):
        decode_worker("w", b'{"service":"\xff\xfe"}')


@pytest.mark.parametrize(
    "row",
    [
        [f"{JOB_ID}.0.1.1", 2**70, "", 0],
        [f"{JOB_ID}.0.1.1", -1, "", 0],
        [f"{JOB_ID}.0.1.{'1' * 5000}", 1, "", 0],
        [f"{JOB_ID}.0.1.-1", 1, "", 0],
        [f"{JOB_ID}.0.1.1", 1, "", 1e300],
    ],
)
async def test_a_poll_reply_with_figures_out_of_range_is_no_answer(
    row: list[object],
) -> None:
    """Guards against figures of a worker that no record of the log can hold."""
    lists = {"clockMs": 5, "born": 1, "running": [row], "ended": []}
    async with serve(respond_with(200, lists)) as (session, address):
        worker = dataclasses.replace(build_worker(1), address=address)
        outcome = await WorkerOrderClient(session).poll(worker, Lease(7, 9), 0, 0)
    assert outcome == Unanswered(was_sent=True)


async def test_an_odd_row_in_the_list_of_hosts_leaves_the_others() -> None:
    """Guards against hosts that are not moved or maintained for one odd row."""
    row = {"machine": "m-1", "pool": "p", "state": "up", "zone": "z", "id": "w"}
    rows = [row, {"machine": 7}, 3, {**row, "capacity": {"cpu": -5}}, None]
    answer = {"machines": rows, "nextPageToken": None}
    async with serve(respond_with(200, answer)) as (session, address):
        hosts = await MachineServiceClient(session, address, "n").list_hosts()
    assert [host.host for host in hosts] == ["m-1"]


async def test_an_unreadable_reply_of_a_peer_is_a_failed_call() -> None:
    """Guards against a round of the host controller that ends at one peer's reply."""
    address = f"127.0.0.1:{pick_ports(1)[0]}"

    async def answer(call: object) -> object:
        return {"type": "of another version"}

    async with GrpcPoolServer(address, answer):  # type: ignore[arg-type]
        client = GrpcPoolPeerClient()
        with pytest.raises(PeerCallError) as raised:
            await client.call(address, LogContactCall(), 1000)
        await client.close()
    assert raised.value.was_sent


def test_a_change_is_not_lost_when_its_append_raises() -> None:
    """Guards against an accepted job that a restarted journal counts as durable."""

    class RaisingStore(FakeStore):
        """Raise an error that no caller expects, once."""

        has_raised = False

        async def append(self, *args: object, **options: object) -> int:
            if not self.has_raised:
                self.has_raised = True
                raise ValueError("unexpected")
            return await super().append(*args, **options)  # type: ignore[arg-type]

    async def main() -> None:
        store = RaisingStore()
        journal = Journal(store, "t", 0, Fence("p", 1, 0), LoopClock(), lambda: None)
        change = journal.put("key", lambda: b"value")
        with pytest.raises(ValueError, match="unexpected"):
            await journal.run()
        assert not journal.is_committed(change)
        again = asyncio.create_task(journal.run())
        await journal.wait_committed(change)
        again.cancel()
        assert store.get("t", 0).records == [KeyedRecord("key", b"value")]

    run_virtual(main())


def test_a_change_that_cannot_be_encoded_is_not_durable_and_holds_up_no_other() -> None:
    """Guards against one job that stops a pool's journal, or is lost silently."""

    def raise_error() -> bytes:
        raise OverflowError("unexpected")

    async def main() -> None:
        store = FakeStore()
        journal = Journal(store, "t", 0, Fence("p", 1, 0), LoopClock(), lambda: None)
        running = asyncio.create_task(journal.run())
        broken = journal.put("broken", raise_error)
        await asyncio.sleep(1)
        assert store.appends == 0
        await journal.wait_committed(journal.put("key", lambda: b"value"))
        assert not journal.is_committed(broken)
        assert not await journal.wait_committed_within(broken, 1000)
        running.cancel()

    run_virtual(main())


def test_a_task_whose_start_raises_runs_all_the_same() -> None:
    """Guards against a task that waits forever for an order that ended in an error."""

    class RaisingOrders(FakeOrders):
        """Raise an error that no caller expects, at the first start."""

        has_raised = False

        async def start(
            self, worker: object, order: StartOrder, lease: Lease
        ) -> object:
            if not RaisingOrders.has_raised:
                RaisingOrders.has_raised = True
                raise RuntimeError("unexpected")
            return await super().start(worker, order, lease)  # type: ignore[arg-type]

    async def main() -> None:
        scene = Scene(workers=1)
        scene.orders_class = RaisingOrders  # type: ignore[assignment]
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job(steps=(StepSpec(count=3, cpu=100),)))
            await asyncio.sleep(10)
            assert pool.job_table.get_durable_phase("job-1") is JobPhase.COMPLETED

    run_virtual(main())
