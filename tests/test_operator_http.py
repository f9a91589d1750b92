"""Test the HTTP interface for operators."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiohttp
import pytest

from bergamotgap.adapters import operator_appends
from bergamotgap.adapters.wave_views import describe_wave
from bergamotgap.domain.control_data import HostState, Wave
from tests.fakes_platform import FakePlatform
from tests.operator_hosts import DOCUMENT, OperatorHost, host_seen


@dataclass(frozen=True)
class Reply:
    status: int
    outcome: str | None
    content_type: str
    payload: Any


async def call(
    host: OperatorHost, method: str, path: str, body: Any = None, data: Any = None
) -> Reply:
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"http://{host.address}{path}", json=body, data=data
        ) as answer,
    ):
        payload = await answer.json(content_type=None)
        outcome = answer.headers.get("Outcome")
        return Reply(answer.status, outcome, answer.content_type, payload)


async def publish(
    host: OperatorHost, document: str, base: int, operator: str = "ilze"
) -> Reply:
    body = {"base_revision": base, "document": document, "operator": operator}
    return await call(host, "POST", "/v1/catalogue", body)


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


def edit_weight(weight: int) -> str:
    return DOCUMENT.replace("weight = 4", f"weight = {weight}", 1)


@pytest.mark.fault("operator_race", "publish")
async def test_of_two_racing_edits_one_is_refused_with_a_diff() -> None:
    """Guards against an edit that overwrites another one or is merged into it."""
    platform = FakePlatform()
    async with OperatorHost(platform) as one, OperatorHost(platform) as other:
        assert (await publish(one, DOCUMENT, 0)).status == 200
        await wait_for(lambda: other.stream.state.revision == 1)
        # Neither host may have read the other's record when it appends its own.
        one.is_reading = other.is_reading = False
        racing = asyncio.gather(
            publish(one, edit_weight(5), 1, "ilze"),
            publish(other, edit_weight(6), 1, "janis"),
        )
        await wait_for(lambda: len(platform.streams["control"]) == 3)
        one.is_reading = other.is_reading = True
        replies = await racing
        won = next(r for r in replies if r.status == 200)
        lost = next(r for r in replies if r.status == 409)
        weights = {0: 5, 1: 6}
        winner, loser = replies.index(won), replies.index(lost)
        assert won.payload == {"revision": 2}
        assert (lost.outcome, lost.content_type) == (
            "not_run",
            "application/problem+json",
        )
        assert lost.payload["code"] == "revision_conflict"
        assert lost.payload["revision_in_force"] == 2
        assert lost.payload["operator_in_force"] == ("ilze", "janis")[winner]
        lines = lost.payload["diff"].splitlines()
        assert f"-weight = {weights[winner]}" in lines
        assert f"+weight = {weights[loser]}" in lines
        for host in (one, other):
            shown = await call(host, "GET", "/v1/catalogue")
            assert shown.payload["document"] == edit_weight(weights[winner])
            history = await call(host, "GET", "/v1/history")
            assert [r["revision"] for r in history.payload["revisions"]] == [2, 1]


async def test_an_edit_of_an_old_revision_is_refused_without_an_append() -> None:
    """Guards against stale edits that consume the shared append rate."""
    async with OperatorHost() as host:
        await publish(host, DOCUMENT, 0)
        appended = len(host.platform.streams["control"])
        assert (await publish(host, edit_weight(5), 0)).status == 409
        assert len(host.platform.streams["control"]) == appended


@pytest.mark.fault("platform_down", "publish")
async def test_without_the_platform_a_publication_is_refused() -> None:
    """Guards against a publication that is accepted but not durable."""
    async with OperatorHost() as host:
        host.platform.is_down = True
        reply = await publish(host, DOCUMENT, 0)
        assert (reply.status, reply.outcome) == (503, "not_run")
        assert reply.payload["code"] == "platform_unavailable"
        assert (await call(host, "GET", "/v1/catalogue")).payload["revision"] == 0


@pytest.mark.fault("answer_lost", "publish")
async def test_an_unanswered_append_is_reported_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting a publication as refused that then takes effect."""
    monkeypatch.setattr(operator_appends, "APPEND_TIMEOUT_MS", 50)
    async with OperatorHost() as host:
        host.platform.lost_answers = 1
        host.is_reading = False
        reply = await publish(host, DOCUMENT, 0)
        assert (reply.status, reply.outcome) == (504, "unknown")
        assert reply.payload["code"] == "outcome_unknown"


async def test_all_problems_of_a_document_are_answered() -> None:
    """Guards against an invalid catalogue in the log, and unexplained refusals."""
    document = edit_weight(0).replace('pool = "audits"', 'pool = "attic"')
    async with OperatorHost() as host:
        reply = await publish(host, document, 0)
        assert (reply.status, reply.payload["code"]) == (422, "invalid_catalogue")
        assert len(reply.payload["problems"]) == 2
        too_long = DOCUMENT + "#" + "\\" * 400_000
        reply = await publish(host, too_long, 0)
        assert reply.status == 422
        assert "bytes as a record" in reply.payload["detail"]
        assert not host.platform.streams["control"]


@pytest.mark.parametrize(
    ("method", "path", "data", "status", "code"),
    [
        ("POST", "/v1/catalogue", b"{", 400, "malformed_body"),
        ("POST", "/v1/catalogue", b"[]", 400, "malformed_body"),
        ("POST", "/v1/catalogue", b"\xff\xfe", 400, "malformed_body"),
        ("POST", "/v1/catalogue", b'{"base_revision": "1"}', 400, "malformed_body"),
        ("POST", "/v1/catalogue", b"x" * 2_000_000, 413, "request_entity_too_large"),
        ("POST", "/v1/waves", b'{"wave": "w", "operator": "o"}', 400, "malformed_body"),
        (
            *("POST", "/v1/waves"),
            b'{"wave": "w", "operator": "o", "hosts": ["nothing"]}',
            *(422, "unknown_host"),
        ),
        (
            *("POST", "/v1/waves"),
            b'{"wave": "w", "operator": "o", "pool": "nothing"}',
            *(422, "unknown_pool"),
        ),
        ("GET", "/v1/catalogue/minus-one", None, 400, "malformed_number"),
        ("GET", "/v1/catalogue/7", None, 404, "unknown_revision"),
        ("GET", "/v1/history?limit=0", None, 400, "malformed_number"),
        ("GET", "/v1/jobs?limit=1e9", None, 400, "malformed_number"),
        ("GET", "/v1/waves/nothing", None, 404, "unknown_wave"),
        ("DELETE", "/v1/waves/No%20wave", None, 404, "unknown_wave"),
        ("GET", "/v1/nothing", None, 404, "not_found"),
        ("PUT", "/v1/pools", b"{}", 405, "method_not_allowed"),
    ],
)
async def test_malformed_calls_get_a_problem(
    method: str, path: str, data: bytes | None, status: int, code: str
) -> None:
    """Guards against tracebacks and answers that programs can't parse."""
    async with OperatorHost() as host:
        reply = await call(host, method, path, data=data)
        assert (reply.status, reply.payload["code"]) == (status, code)
        assert (reply.outcome, reply.content_type) == (
            "not_run",
            "application/problem+json",
        )
        assert not host.platform.streams["control"]


async def test_an_unexpected_error_is_reported_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting a failed change as not run."""
    async with OperatorHost() as host:

        async def fail(*arguments: object) -> None:
            raise KeyError("x")

        monkeypatch.setattr(host.writer, "append", fail)
        reply = await publish(host, DOCUMENT, 0)
        assert (reply.status, reply.outcome) == (500, "unknown")
        assert reply.payload["code"] == "internal_error"


async def test_pools_and_hosts_are_shown() -> None:
    """Guards against views that include hosts of other pools."""
    async with OperatorHost() as host:
        await publish(host, DOCUMENT, 0)
        seen = [host_seen(f"previews-{n}") for n in range(1, 4)]
        await host.append(*seen, host_seen("audits-1", "audits"))
        pools = (await call(host, "GET", "/v1/pools")).payload["pools"]
        counts = {p["pool"]: (p["hosts"], p["serving"], p["must_serve"]) for p in pools}
        assert counts["previews"] == (3, 3, 2)
        assert counts["audits"][0] == 1
        shown = (await call(host, "GET", "/v1/hosts?pool=audits")).payload["hosts"]
        assert [(h["host"], h["epoch"], h["state"]) for h in shown] == [
            ("audits-1", 1, "serving")
        ]
        jobs = (await call(host, "GET", "/v1/jobs")).payload
        assert jobs == {"counts": {}, "recent": []}
        assert (await call(host, "GET", "/readyz")).status == 200


async def test_a_wave_has_the_hosts_of_its_pool_and_is_cancelled() -> None:
    """Guards against waves that include hosts of another pool or can't be cancelled."""
    async with OperatorHost() as host:
        await publish(host, DOCUMENT, 0)
        await host.append(host_seen("previews-1"), host_seen("audits-1", "audits"))
        body = {"wave": "wave-1", "operator": "ilze", "pool": "previews"}
        assert (await call(host, "POST", "/v1/waves", body)).status == 201
        again = await call(host, "POST", "/v1/waves", body)
        assert (again.status, again.payload["code"]) == (409, "known_wave")
        shown = (await call(host, "GET", "/v1/waves/wave-1")).payload
        assert shown["hosts"] == {"previews-1": "waiting"}
        assert shown["state"] == "open"
        assert (await call(host, "DELETE", "/v1/waves/wave-1")).status == 200
        [listed] = (await call(host, "GET", "/v1/waves")).payload["waves"]
        assert listed["state"] == "cancelled"
        missing = await call(host, "DELETE", "/v1/waves/wave-2")
        assert (missing.status, missing.payload["code"]) == (404, "unknown_wave")


def test_the_progress_of_a_wave_is_shown() -> None:
    """Guards against a progress that omits hosts still to be maintained."""
    hosts = {
        "a": HostState(host_seen("a"), "previews", 1),
        "b": HostState(host_seen("b"), "previews", 1, draining_in="wave-1"),
        "c": HostState(host_seen("c"), "previews", 1, draining_in="wave-2"),
    }
    wave = Wave("wave-1", ("a", "b", "c", "d"), "ilze", 0, 0, done=("a",))
    shown = describe_wave(wave, hosts)
    assert shown["hosts"] == {
        "a": "done",
        "b": "draining",
        "c": "waiting",
        "d": "removed",
    }
    assert shown["counts"] == {
        **{"hosts": 4, "done": 1, "draining": 1},
        **{"waiting": 1, "removed": 1},
    }


async def test_a_lagging_host_does_not_refuse_a_newer_base() -> None:
    """Guards against a refusal by a host that has not read the newest revision."""
    platform = FakePlatform()
    async with OperatorHost(platform) as one, OperatorHost(platform) as other:
        other.is_reading = False
        await publish(one, DOCUMENT, 0)
        publishing = asyncio.create_task(publish(other, edit_weight(5), 1))
        await wait_for(lambda: len(platform.streams["control"]) == 2)
        other.is_reading = True
        assert (await publishing).payload == {"revision": 2}
