"""Tests of the stand-ins, on whose behaviour the other tests rely."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from stand_ins.bodies import OrderBody, build_result
from stand_ins.link import Link
from stand_ins.tasks import Task, TaskTable
from tests.stand_in_api import HOST, LONG_TASK, ORDER, Api, open_platform, open_worker

CONNECTION_ERRORS = (aiohttp.ClientError, ConnectionError)


async def append(api: Api, record_id: str, body: str = "x") -> tuple[int, Any, Any]:
    record = {"id": record_id, "body": body}
    return await api.call("POST", "/streams/work/records", record)


async def read(api: Api, query: str) -> tuple[int, Any]:
    return (await api.call("GET", f"/streams/work/records?{query}"))[:2]


async def test_log_keeps_order_and_wakes_waiting_readers() -> None:
    """Guards against lost or reordered records, and against reads that never return."""
    async with open_platform() as api:
        waiting = asyncio.create_task(read(api, "from=0&wait_ms=30000"))
        await asyncio.sleep(0.1)
        assert [(await append(api, name))[1]["offset"] for name in "abc"] == [0, 1, 2]
        assert (await waiting)[1]["records"][0]["id"] == "a"
        page = (await read(api, "from=1&max=1"))[1]
        assert [record["id"] for record in page["records"]] == ["b"]
        assert page["next_offset"] == 3
        assert (await read(api, "from=3&wait_ms=1"))[1]["records"] == []


async def test_log_refuses_above_its_rate_without_effect() -> None:
    """Guards against a stand-in that accepts more appends than the platform does."""
    async with open_platform(append_rate=2) as api:
        answers = [await append(api, name) for name in "abc"]
        assert [status for status, _, _ in answers] == [200, 200, 429]
        assert int(answers[2][2]["Retry-After"]) >= 1
        assert (await read(api, "from=0"))[1]["next_offset"] == 2


async def test_log_drops_records_after_their_retention() -> None:
    """Guards against a stand-in that keeps all records, unlike the platform."""
    async with open_platform() as api:
        await append(api, "a")
        await api.call("PUT", "/fakes/settings", {"retention_ms": 0})
        await asyncio.sleep(0.005)
        status, body = await read(api, "from=0")
        assert (status, body["first_offset"]) == (410, 1)
        assert (await append(api, "b"))[1]["offset"] == 1


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/streams/work/records", b"{", 400),
        ("POST", "/streams/work/records", {"id": "a"}, 400),
        ("POST", "/streams/work/records", {"id": "a", "body": 1}, 400),
        ("POST", "/streams/work/records", {"id": "a", "body": "x" * 1048577}, 413),
        ("POST", "/streams/No%20Name/records", {"id": "a", "body": "x"}, 400),
        ("GET", "/streams/work/records", None, 400),
        ("GET", "/streams/work/records?from=-1", None, 400),
        ("PUT", "/hosts/audits-1", {"host": "audits-1"}, 400),
        ("PUT", "/hosts/audits-2", HOST, 400),
        ("PUT", "/faults", {"unknown": True}, 400),
    ],
)
async def test_platform_refuses_malformed_calls(
    method: str, path: str, body: Any, status: int
) -> None:
    """Guards against malformed input that causes a server error or takes effect."""
    async with open_platform() as api:
        answer, problem, _ = await api.call(method, path, body)
        assert answer == status
        assert problem["code"]
        assert (await read(api, "from=0"))[1]["next_offset"] == 0


async def test_host_list_lags() -> None:
    """Guards against a host list that is more current than the platform's."""
    async with open_platform(hosts_lag_ms=3_600_000) as api:
        await api.call("PUT", "/hosts/audits-1", HOST | {"state": "leaving"})
        await api.call("PUT", "/hosts/audits-2", HOST | {"host": "audits-2"})
        listing = (await api.call("GET", "/hosts"))[1]
        assert listing["hosts"] == [HOST]
        await api.call("PUT", "/fakes/settings", {"hosts_lag_ms": 0})
        listing = (await api.call("GET", "/hosts"))[1]
        assert [host["state"] for host in listing["hosts"]] == ["leaving", "live"]
        await api.call("DELETE", "/hosts/audits-1")
        listing = (await api.call("GET", "/hosts"))[1]
        assert [host["host"] for host in listing["hosts"]] == ["audits-2"]


async def test_lost_answers_come_after_the_effect() -> None:
    """Guards against a lost answer whose call had no effect, or a fault without end."""
    async with open_platform() as api:
        faults = {"lose_answers": 1, "paths": ["POST /streams/work"]}
        await api.call("PUT", "/faults", faults)
        assert (await read(api, "from=0"))[0] == 200
        with pytest.raises(CONNECTION_ERRORS):
            await append(api, "a")
        assert (await append(api, "b"))[1]["offset"] == 1


async def test_down_and_failing_stand_ins_have_no_effect() -> None:
    """Guards against appends that take effect during a simulated outage."""
    async with open_platform() as api:
        await api.call("PUT", "/faults", {"down": True})
        with pytest.raises(CONNECTION_ERRORS):
            await append(api, "a")
        await api.call("PUT", "/faults", {"fail": True})
        assert (await append(api, "a"))[0] == 500
        await api.call("PUT", "/faults", {})
        assert (await append(api, "a"))[1]["offset"] == 0


async def test_slow_calls_wait_before_and_late_answers_after_the_effect() -> None:
    """Guards against `delay_ms` after the effect of a call, or `late_ms` before it."""
    async with open_platform() as api:
        paths = ["POST /streams"]
        await api.call("PUT", "/faults", {"delay_ms": 3_600_000, "paths": paths})
        slow = asyncio.create_task(append(api, "slow"))
        for _ in range(20):
            assert (await read(api, "from=0"))[1]["next_offset"] == 0
        await api.call("PUT", "/faults", {"late_ms": 3_600_000, "paths": paths})
        late = asyncio.create_task(append(api, "late"))
        page = (await read(api, "from=0&wait_ms=30000"))[1]
        assert [record["id"] for record in page["records"]] == ["late"]
        assert not slow.done()
        assert not late.done()
        slow.cancel()
        late.cancel()


async def test_hanging_connections_stay_silent_while_new_ones_work() -> None:
    """Guards against a hang that ends, or that also affects new connections."""
    async with open_platform() as api, aiohttp.ClientSession() as kept:
        url = f"http://{api.address}/hosts"
        async with kept.get(url) as answer:
            await answer.read()
        await api.call("PUT", "/faults", {"hang": True})
        await api.call("PUT", "/faults", {})
        hung = asyncio.create_task(kept.get(url))
        for _ in range(20):
            assert (await api.call("GET", "/hosts"))[0] == 200
        assert not hung.done()
        hung.cancel()


@pytest.mark.parametrize("size", [10, 300_000])
async def test_truncated_answers_end_early(size: int) -> None:
    """Guards against a truncated response that a client takes for a complete one."""
    async with open_worker() as api:
        await api.call("PUT", "/faults", {"truncate": 1})
        body = {"result_bytes": size}
        with pytest.raises(aiohttp.ClientPayloadError):
            await api.run_task("t", body)
        result = (await api.call("GET", "/v1/tasks/t/result"))[1]
        assert result == build_result(json.dumps(body).encode())
        assert len(result) == size


async def test_worker_runs_an_order_as_its_body_specifies() -> None:
    """Guards against results, failures and usage other than the order's body sets."""
    async with open_worker(usage_lag_ms=0) as api:
        status, result, headers = await api.run_task("echo", b"\x00raw")
        assert (status, result) == (200, b"\x00raw")
        assert (headers["Task-Id"], headers["Worker-Busy"]) == ("echo", "0")
        status, body, headers = await api.run_task("fail", {"fail": True})
        assert (status, body["code"]) == (500, "task_failed")
        assert headers["Task-Id"] == "fail"
        running = asyncio.create_task(api.run_task("long", LONG_TASK | {"cpus": 3.5}))
        await api.wait_for("/v1/status", busy=1)
        status_body = (await api.call("GET", "/v1/status"))[1]
        assert status_body["usage"]["cpus"] == 3.5
        await api.send_verb("long", "throttle")
        status_body = (await api.call("GET", "/v1/status"))[1]
        assert status_body["usage"]["cpus"] == 1.75
        assert (await api.send_verb("long", "stop"))["state"] == "stopped"
        assert (await running)[1]["code"] == "task_stopped"


async def test_usage_report_lags() -> None:
    """Guards against usage reported without a lag, unlike by real workers."""
    async with open_worker(usage_lag_ms=3_600_000) as api:
        running = asyncio.create_task(api.run_task("long", LONG_TASK | {"cpus": 3.5}))
        await api.wait_for("/v1/status", busy=1, usage={"cpus": 0.0, "memory_mb": 0})
        await api.send_verb("long", "stop")
        await running


async def test_refusals_come_before_the_start() -> None:
    """Guards against a task that starts although it was refused (P4, P5)."""
    async with open_worker(slots=1) as api:

        async def refusal(task: str, **headers: Any) -> str:
            status, _, answer = await api.run_task(task, **headers)
            assert status == 409
            return str(answer["Task-Refused"])

        assert await refusal("a", Pool_Epoch=0) == "stale_epoch"
        assert await refusal("b", Boot_Id="other") == "wrong_boot"
        assert await refusal("c", Start_Before_Ms=1) == "too_late"
        assert (await api.send_verb("d", "cancel"))["started"] is False
        assert await refusal("d") == "cancelled"
        assert (await api.run_task("e"))[0] == 200
        assert await refusal("e") == "duplicate"
        running = asyncio.create_task(api.run_task("f", LONG_TASK))
        await api.wait_for("/v1/status", busy=1)
        assert await refusal("g") == "busy"
        assert (await api.send_verb("f", "cancel"))["started"] is True
        await api.call("POST", "/v1/drain")
        assert await refusal("g") == "draining"
        await api.call("PUT", "/fakes/settings", {"state": "leaving"})
        assert await refusal("g") == "leaving"
        starts = (await api.call("GET", "/fakes/starts"))[1]
        assert [start["task"] for start in starts] == ["e", "f"]
        await api.send_verb("f", "stop")
        await running


async def test_the_start_limit_is_on_the_workers_own_clock() -> None:
    """Guards against tests in which all clocks agree: checks use the worker's clock."""
    async with open_worker(clock_offset_ms=3_600_000) as api:
        now_ms = time.time_ns() // 1_000_000
        answer = await api.run_task("t", Start_Before_Ms=now_ms + 600_000)
        assert answer[2]["Task-Refused"] == "too_late"
        status = (await api.call("GET", "/v1/status"))[1]
        answer = await api.run_task("t", Start_Before_Ms=status["time_ms"] + 600_000)
        assert answer[0] == 200


async def test_checks_come_after_the_body_has_arrived() -> None:
    """Guards against a start under an epoch that ended while the body was sent."""
    async with open_worker() as api:
        begun, changed = asyncio.Event(), asyncio.Event()

        async def send_body() -> AsyncIterator[bytes]:
            yield b"first"
            begun.set()
            await changed.wait()
            yield b"last"

        url = f"http://{api.address}/v1/tasks/t"
        sending = asyncio.create_task(
            api.session.post(url, data=send_body(), headers=ORDER)
        )
        await begun.wait()
        await api.call("PUT", "/v1/assignment", {"pool": None, "epoch": 2})
        changed.set()
        async with await sending as answer:
            assert answer.headers["Task-Refused"] == "stale_epoch"


async def test_a_task_ends_when_its_lease_expires() -> None:
    """Guards against tasks that outlive their lease, and renewals without effect."""
    async with open_worker() as api:
        assert (await api.run_task("t", LONG_TASK, Lease_Ms=1))[1][
            "code"
        ] == "task_stopped"
    table = TaskTable(results_kept=1)
    task = Task(state="running", remaining_ms=3_600_000, lease_ms=60_000)
    table.start("u", task, OrderBody(), slots=1)
    task.lease_until_ms = 1
    table.renew(task)
    await asyncio.sleep(0)
    assert task.state == "running"
    table.stop(task)


async def test_checkpoint_frees_the_slot_and_the_task_resumes_later() -> None:
    """Guards against a checkpoint that loses the task or keeps its slot."""
    async with open_worker(slots=1, pause_ms=3_600_000) as api:
        running = asyncio.create_task(api.run_task("low", LONG_TASK))
        await api.wait_for("/v1/status", busy=1)
        await api.send_verb("low", "throttle")
        await api.send_verb("low", "checkpoint")
        assert (await api.run_task("urgent"))[0] == 200
        assert (await api.get_task("low"))["state"] == "running"
        await api.call("PUT", "/fakes/settings", {"pause_ms": 0})
        await api.send_verb("low", "checkpoint")
        await api.wait_for("/v1/status", busy=1)
        await api.send_verb("low", "stop")
        assert (await running)[1]["code"] == "task_stopped"


async def test_a_paused_task_never_resumes_under_another_epoch() -> None:
    """Guards against tasks of the previous pool on a host that was moved (P2)."""
    async with open_worker(pause_ms=3_600_000) as api:
        running = asyncio.create_task(api.run_task("t", LONG_TASK))
        await api.wait_for("/v1/status", busy=1)
        await api.send_verb("t", "checkpoint")
        await api.call("PUT", "/v1/assignment", {"pool": "previews", "epoch": 2})
        assert (await running)[1]["code"] == "task_stopped"
        status, body, _ = await api.call(
            "PUT", "/v1/assignment", {"pool": "audits", "epoch": 1}
        )
        assert (status, body["code"]) == (409, "stale_epoch")


async def test_reboot_takes_the_set_time_and_forgets_tasks(tmp_path: Path) -> None:
    """Guards against answers about tasks that a rebooted worker can't know."""
    file = tmp_path / "starts"
    async with open_worker(file, reboot_ms=3_600_000) as api:
        before = (await api.call("GET", "/v1/status"))[1]
        running = asyncio.create_task(api.run_task("t", LONG_TASK | {"key": "k1"}))
        await api.wait_for("/v1/status", busy=1)
        await api.call("POST", "/v1/reboot")
        with pytest.raises(CONNECTION_ERRORS):
            await running
        after = (await api.call("GET", "/v1/status"))[1]
        assert after["state"] == "rebooting"
        assert after["boot_id"] != before["boot_id"]
        assert (await api.get_task("t"))["state"] == "unknown"
        assert (await api.run_task("t"))[2]["Task-Refused"] == "draining"
    async with open_worker(file, reboot_ms=0) as api:
        await api.call("POST", "/v1/reboot")
        await api.wait_for("/v1/status", state="serving")
        await api.run_task("t")
        starts = (await api.call("GET", "/fakes/starts"))[1]
        assert [(s["count"], s["key"]) for s in starts] == [(1, "k1"), (2, None)]


async def test_a_dropped_result_is_reported_as_missing() -> None:
    """Guards against an empty response instead of an error for a dropped result."""
    async with open_worker(results_kept=1) as api:
        await api.run_task("a", b"one")
        await api.run_task("b", b"two")
        assert (await api.call("GET", "/v1/tasks/a/result"))[0] == 404
        assert (await api.get_task("a"))["state"] == "done"
        assert (await api.call("GET", "/v1/tasks/b/result"))[1] == b"two"


async def test_a_worker_that_fails_everything_reports_which_task_failed() -> None:
    """Guards against failures that an entry host can't match to the task."""
    async with open_worker() as api:
        await api.call("PUT", "/faults", {"fail": True})
        status, _, headers = await api.run_task("t", LONG_TASK)
        assert (status, headers["Task-Id"]) == (500, "t")
        assert (await api.get_task("t"))["state"] == "failed"
        assert (await api.call("GET", "/v1/status"))[0] == 200


async def test_link_cuts_silences_and_restores() -> None:
    """Guards against cut or silenced links that still forward calls."""
    async with open_platform() as api, Link(api.address) as link:
        url = f"http://{link.address}/hosts"
        async with aiohttp.ClientSession() as kept:
            async with kept.get(url) as answer:
                assert answer.status == 200
            link.silence()
            hung = asyncio.create_task(kept.get(url))
            async with api.session.get(url) as answer:
                assert answer.status == 200
            assert not hung.done()
            link.cut()
            with pytest.raises(CONNECTION_ERRORS):
                await hung
            with pytest.raises(aiohttp.ClientConnectorError):
                await api.session.get(url)
            link.restore()
            async with kept.get(url) as answer:
                assert answer.status == 200
