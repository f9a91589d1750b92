"""Stops of the stand-in of a worker take as long as the users' pages allow."""

import pytest

from bergamotgap.domain.fleet import TaskId
from bergamotgap.ports.fleet import Accepted, Lease, PollReply, Refused, StartOrder
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import FakeOrders, build_worker
from stand_ins.virtual_time import run_virtual


@pytest.mark.parametrize("number", range(1, 9))
def test_a_stop_takes_time_and_bars_the_run_at_once(number: int) -> None:
    """Guards against a stand-in that ends a stopped run before its answer is sent."""

    async def main() -> None:
        info = build_worker(number)
        worker = FakeWorker(info, run_s=1000)
        orders = FakeOrders({info.worker_id: worker})
        task, lease = TaskId("job", 0, 0, 0), Lease(1, 10_000_000)
        order = StartOrder(task, 1, "payload", "")
        assert isinstance(await orders.start(info, order, lease), Accepted)
        draw = worker.choose_stop_s
        worker.choose_stop_s = lambda: 0.1
        assert isinstance(await orders.stop(info, task, 1, 1), Accepted)
        reply = await orders.poll(info, lease, 0, 0)
        assert isinstance(reply, PollReply)
        assert [row.task for row in reply.running] == [task]
        assert not reply.ended
        refusal = await orders.start(info, order, lease)
        assert isinstance(refusal, Refused)
        assert refusal.reason == "old"
        # A second stop doesn't lengthen the first one.
        await orders.stop(info, task, 1, 1)
        reply = await orders.poll(info, lease, 0, SETTINGS.stop_timeout_ms)
        assert isinstance(reply, PollReply)
        assert [row.outcome for row in reply.ended] == ["stopped"]
        assert not reply.running
        stops_s = [draw() for _ in range(100)]
        assert 0 <= min(stops_s) < max(stops_s) <= SETTINGS.stop_timeout_ms / 1000

    run_virtual(main())
