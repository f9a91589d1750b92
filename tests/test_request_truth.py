"""Reported outcomes of refused attempts whose request id may have run elsewhere."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer, make_mocked_request

from bergamotgap.adapters.caller_http import (
    CallerApi,
    _run_non_idempotent,
    build_gate_middleware,
)
from bergamotgap.domain.outcomes import Cancelled, NotRun
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.shutdown import RequestGate
from bergamotgap.ports.worker import TaskAnswer
from stand_ins.virtual_time import LoopClock


@pytest.mark.parametrize("code", ["no_capacity", "platform_unavailable", "leaving"])
async def test_refused_attempt_with_a_request_id_is_reported_as_unknown(
    code: str,
) -> None:
    """Guards against "not run" for an id that another entry host has run."""

    @asynccontextmanager
    async def refuse() -> AsyncIterator[TaskAnswer]:
        raise NotAdmittedError(NotRun(code))
        yield

    request = make_mocked_request("POST", "/v1/requests/a")
    response = await _run_non_idempotent(request, refuse(), "id-1")
    assert (response.status, response.headers["Outcome"]) == (503, "unknown")
    assert int(response.headers["Retry-After"]) > 0


@pytest.mark.parametrize(
    "outcome", [NotRun("worker_refused"), NotRun("does_not_fit"), Cancelled(False)]
)
async def test_proven_outcome_of_a_request_id_is_reported(
    outcome: NotRun | Cancelled,
) -> None:
    """Guards against an unknown outcome where the log proves what happened."""

    @asynccontextmanager
    async def refuse() -> AsyncIterator[TaskAnswer]:
        raise NotAdmittedError(outcome)
        yield

    request = make_mocked_request("POST", "/v1/requests/a")
    response = await _run_non_idempotent(request, refuse(), "id-1")
    assert response.headers["Outcome"] == outcome.tag


@pytest.mark.parametrize(
    ("headers", "expected"), [({}, "not_run"), ({"Request-Id": "a"}, "unknown")]
)
@pytest.mark.parametrize("is_open", [True, False])
async def test_host_that_is_not_serving_reports_request_ids_as_unknown(
    headers: dict[str, str], expected: str, is_open: bool
) -> None:
    """Guards against "not run" from a host that has not looked up the request id."""
    gate = RequestGate()
    if not is_open:
        gate.close()
    app = web.Application(middlewares=[build_gate_middleware(gate)])
    api = CallerApi(lambda: None, None, None, LoopClock())  # type: ignore[arg-type]
    api.add_routes(app)
    async with TestClient(TestServer(app)) as client:
        response = await client.post("/v1/requests/a", headers=headers)
        assert (response.status, response.headers["Outcome"]) == (503, expected)
        assert "Retry-After" in response.headers
