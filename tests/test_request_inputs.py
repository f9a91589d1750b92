"""Invalid input from callers is answered by a clear error."""

import asyncio
import json

import pytest

from bergamotgap.domain.records import CataloguePublished
from tests.request_harness import DOCUMENT, RequestPath, ScriptedWorker, fold


@pytest.mark.parametrize(
    ("entry", "headers", "status", "code"),
    [
        ("nothing", {}, 404, "unknown_entry"),
        ("report", {"Authorization": "Bearer wrong"}, 401, "unknown_key"),
        ("report", {"Authorization": "Basic key"}, 401, "unknown_key"),
        ("report", {"Authorization": "Bearer \udcff"}, 401, "unknown_key"),
        ("report", {"Deadline_Ms": "soon"}, 400, "invalid_deadline"),
        ("report", {"Deadline_Ms": "-5"}, 400, "invalid_deadline"),
        ("report", {"Deadline_Ms": "0"}, 400, "invalid_deadline"),
        ("report", {"Deadline_Ms": "9" * 5000}, 400, "invalid_deadline"),
        ("report", {"Deadline_Ms": "²"}, 400, "invalid_deadline"),
        ("report", {"Request_Id": "a b"}, 400, "invalid_request_id"),
        ("report", {"Request_Id": "a" * 129}, 400, "invalid_request_id"),
        ("bill", {"Request_Id": "bill-1"}, 501, "not_supported"),
        ("bill", {}, 400, "missing_request_id"),
        ("huge", {}, 422, "does_not_fit"),
        ("report/more", {}, 404, "not_found"),
    ],
)
async def test_wrong_input_is_a_clear_error(
    entry: str, headers: dict[str, str], status: int, code: str
) -> None:
    """Guards against tracebacks in answers, and runs of malformed requests."""
    worker = ScriptedWorker()
    async with (
        RequestPath(worker) as path,
        path.open(b"q", entry, **headers) as response,
    ):
        assert response.status == status
        assert response.content_type == "application/problem+json"
        assert (await response.json())["code"] == code
        assert response.headers["Outcome"] == "not_run"
        assert not worker.transports


@pytest.mark.parametrize("is_chunked", [True, False])
async def test_body_above_bound_is_refused(is_chunked: bool) -> None:
    """Guards against bodies that exhaust the memory."""

    async def parts() -> object:
        for _ in range(40):
            yield b"x" * (1 << 16)

    body = parts() if is_chunked else b"x" * (2 << 20)
    async with RequestPath(ScriptedWorker()) as path, path.open(body) as response:
        assert response.status == 413
        assert (await response.json())["code"] == "body_too_large"


async def test_too_many_or_too_long_headers_are_refused() -> None:
    """Guards against headers of unlimited number or size."""
    async with RequestPath(ScriptedWorker()) as path:
        for lines in (["A: " + "x" * 20_000], [f"A{n}: x" for n in range(500)]):
            reader, writer = await asyncio.open_connection(path.host, path.port)
            head = "\r\n".join(["POST /v1/requests/report HTTP/1.1", *lines])
            writer.write((head + "\r\n\r\n").encode())
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.0 400") or b" 400 " in answer[:20]
            assert b"Traceback" not in answer
            writer.close()


async def test_request_without_body_in_time_is_refused() -> None:
    """Guards against callers that keep a request open without sending its body."""
    async with RequestPath(ScriptedWorker()) as path:
        reader, writer = await asyncio.open_connection(path.host, path.port)
        writer.write(
            b"POST /v1/requests/report HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 50\r\n"
            b"Authorization: Bearer key\r\nContent-Length: 5\r\n\r\nab"
        )
        assert b" 408 " in (await reader.readline())
        writer.close()


async def test_answers_name_the_request_but_not_the_task() -> None:
    """Guards against answers without the request id or with internal task ids."""
    async with RequestPath(ScriptedWorker()) as path:
        async with path.open(Request_Id="r-17") as response:
            assert response.headers["Request-Id"] == "r-17"
            assert response.headers["Outcome"] == "done"
            assert "Task-Id" not in response.headers
        async with path.open(entry="nothing", Request_Id="r-18") as response:
            assert response.headers["Request-Id"] == "r-18"


async def test_key_of_new_catalogue_is_known_at_once() -> None:
    """Guards against use of the former catalogue revision after a publication."""
    async with RequestPath(ScriptedWorker()) as path:
        assert (await path.request())[0] == 200
        document = DOCUMENT.replace('"report", "bill"', '"bill"')
        fold(path.control, CataloguePublished(2, 1, document, "operator"))
        status, _, body = await path.request()
        assert (status, json.loads(body)["code"]) == (404, "unknown_entry")
