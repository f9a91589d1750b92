"""HTTP interface for the synchronous requests of callers."""

import asyncio
import re
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, suppress
from typing import Protocol

from aiohttp import web
from aiohttp.typedefs import Handler, Middleware

from bergamotgap.adapters.caller_auth import (
    CatalogueSource,
    build_problem_response,
    find_caller,
    find_permitted_entry,
)
from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import MAX_DEADLINE_MS, Caller, Entry
from bergamotgap.domain.client_limits import BODY_COPIES
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.outcomes import (
    Cancelled,
    Done,
    Expired,
    Failed,
    NotRun,
    Outcome,
    Unknown,
)
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.dispatch import (
    MAX_REASON_CHARS,
    Answer,
    Dispatcher,
    RequestEndedError,
)
from bergamotgap.node.shutdown import RequestGate
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.ports.worker import TaskAnswer, WorkerError

REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
MAX_DEADLINE_DIGITS = 9
# Time limit for sending one chunk. A caller that doesn't read its response would
# otherwise occupy a slot and a worker.
CALLER_PROGRESS_TIMEOUT_MS = 10_000
# Refusals of non-idempotent work that apply to every attempt under the request id:
# `worker_refused` is recorded in the log, `does_not_fit` depends only on the entry.
PERMANENT_REFUSAL_CODES = frozenset({"worker_refused", "does_not_fit"})
RETRY_AFTER_MS = 1000
# SO_LINGER value (on, 0 s): closing the socket sends RST instead of FIN.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Set on a request once its response headers may have been sent.
IS_RESPONSE_STARTED = web.RequestKey("is_started", bool)

log = get_logger(__name__)


class NonIdempotentRunner(Protocol):
    """Runs requests that must be executed at most once."""

    def run(
        self,
        caller_name: str,
        request_id: str,
        entry: Entry,
        body: bytes,
        deadline_at_ms: int,
    ) -> AbstractAsyncContextManager[TaskAnswer]:
        """Run a request and yield its answer; `deadline_at_ms` is monotonic.

        Raises NotAdmittedError, RequestRefusedError or TaskFateUnknownError. It is
        cancelled when the caller disconnects.
        """


class _RequestRejectedError(Exception):
    def __init__(self, status: int, code: str, detail: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.detail = detail


class CallerApi:
    """Serves synchronous requests of callers."""

    def __init__(
        self,
        catalogue: CatalogueSource,
        dispatcher: Dispatcher,
        non_idempotent_runner: NonIdempotentRunner,
        clock: Clock,
    ) -> None:
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._clock = clock
        self._non_idempotent_runner = non_idempotent_runner

    def add_routes(self, app: web.Application) -> None:
        """Register the route of this interface."""
        app.router.add_post("/v1/requests/{entry}", self._run_request)

    async def _run_request(self, request: web.Request) -> web.StreamResponse:
        try:
            caller, entry = self._authorize(request)
            request_id = _parse_request_id(request)
            duration_ms = min(_parse_deadline_ms(request, entry), entry.deadline_ms)
            # The deadline starts with the headers, so that a slow body can't extend it.
            deadline_at_ms = self._clock.monotonic_ms() + duration_ms
            body = await _read_body(request, duration_ms)
            response = await self._run(
                request, caller, entry, request_id, body, deadline_at_ms
            )
        except _RequestRejectedError as error:
            response = build_problem_response(
                error.status,
                error.code,
                _get_rejection_outcome(request, error.status),
                error.detail,
                RETRY_AFTER_MS if error.status == 503 else None,
            )
            request_id = _find_valid_request_id(request)
        if request_id is not None and not response.prepared:
            response.headers["Request-Id"] = request_id
        return response

    def _authorize(self, request: web.Request) -> tuple[Caller, Entry]:
        catalogue = self._catalogue()
        if catalogue is None:
            raise _RequestRejectedError(
                503, "not_ready", "no catalogue is in force yet"
            )
        caller = find_caller(request, catalogue)
        if caller is None:
            raise _RequestRejectedError(
                401, "unknown_key", "the key is missing or wrong"
            )
        entry = find_permitted_entry(caller, catalogue, request.match_info["entry"])
        if entry is None:
            raise _RequestRejectedError(
                404, "unknown_entry", "the key permits no such entry"
            )
        return caller, entry

    async def _run(
        self,
        request: web.Request,
        caller: Caller,
        entry: Entry,
        request_id: str | None,
        body: bytes,
        deadline_at_ms: int,
    ) -> web.StreamResponse:
        if not entry.idempotent:
            if request_id is None:
                raise _RequestRejectedError(
                    400, "missing_request_id", "the entry needs a Request-Id"
                )
            run = self._non_idempotent_runner.run(
                caller.name, request_id, entry, body, deadline_at_ms
            )
            return await _run_non_idempotent(request, run, request_id)
        try:
            return await self._dispatcher.run(
                entry,
                body,
                deadline_at_ms,
                lambda answer: send_answer(request, answer, request_id),
            )
        except RequestEndedError as error:
            return build_outcome_response(error.outcome)


def _parse_request_id(request: web.Request) -> str | None:
    value = request.headers.get("Request-Id")
    if value is not None and REQUEST_ID_PATTERN.fullmatch(value) is None:
        detail = "Request-Id must match " + REQUEST_ID_PATTERN.pattern
        raise _RequestRejectedError(400, "invalid_request_id", detail)
    return value


def _find_valid_request_id(request: web.Request) -> str | None:
    with suppress(_RequestRejectedError):
        return _parse_request_id(request)
    return None


def _parse_deadline_ms(request: web.Request, entry: Entry) -> int:
    value = request.headers.get("Deadline-Ms")
    if value is None:
        return entry.deadline_ms
    is_number = (
        value.isascii() and value.isdigit() and len(value) <= MAX_DEADLINE_DIGITS
    )
    if not is_number or not 0 < int(value) <= MAX_DEADLINE_MS:
        detail = f"Deadline-Ms must be a whole number from 1 to {MAX_DEADLINE_MS}"
        raise _RequestRejectedError(400, "invalid_deadline", detail)
    return int(value)


async def _read_body(request: web.Request, limit_ms: int) -> bytes:
    if not request.can_read_body:
        return b""
    if (request.content_length or 0) > request.client_max_size:
        raise _RequestRejectedError(413, "body_too_large", "")
    try:
        if request.content.is_eof():
            return await request.read()
        async with asyncio.timeout(limit_ms / 1000):
            return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise _RequestRejectedError(413, "body_too_large", error.text or "") from error
    except TimeoutError as error:
        detail = "the body did not arrive before the deadline"
        raise _RequestRejectedError(408, "body_too_late", detail) from error


def build_outcome_response(outcome: Outcome) -> web.Response:
    """Return the error response for an outcome without a result."""
    match outcome:
        case NotRun(code="does_not_fit"):
            return build_problem_response(
                422, outcome.code, outcome.tag, outcome.detail
            )
        case NotRun():
            retry_ms = outcome.retry_after_ms or RETRY_AFTER_MS
            return build_problem_response(
                503, outcome.code, outcome.tag, outcome.detail, retry_ms
            )
        case Expired():
            return build_problem_response(504, "expired", outcome.tag)
        case Failed():
            return build_problem_response(
                502, "task_failed", outcome.tag, outcome.reason
            )
        case Cancelled():
            return build_problem_response(409, "cancelled", outcome.tag)
        case Unknown():
            return build_problem_response(
                504, "outcome_unknown", outcome.tag, outcome.reason
            )
        case Done():
            return build_problem_response(410, "result_gone", outcome.tag)


def _build_not_started_response(outcome: NotRun | Expired | Cancelled) -> web.Response:
    """Return the response for an attempt under a request id that did not start.

    The outcome is "unknown", because another attempt under the same id may have run,
    or may still run, through another entry host. Only a refusal with one of
    PERMANENT_REFUSAL_CODES rules that out.
    """
    if isinstance(outcome, NotRun) and outcome.code not in PERMANENT_REFUSAL_CODES:
        retry_ms = outcome.retry_after_ms or RETRY_AFTER_MS
        return build_problem_response(
            503, outcome.code, Unknown.tag, outcome.detail, retry_ms
        )
    return build_outcome_response(outcome)


def _get_rejection_outcome(request: web.Request, status: int) -> str:
    """Return the outcome of a request that is rejected before its id is looked up."""
    # A 503 with an id says "unknown", as an earlier attempt under the id may have run.
    is_unavailable = status == web.HTTPServiceUnavailable.status_code
    has_id = request.headers.get("Request-Id") is not None
    return Unknown.tag if is_unavailable and has_id else "not_run"


async def _run_non_idempotent(
    request: web.Request,
    run: AbstractAsyncContextManager[TaskAnswer],
    request_id: str,
) -> web.StreamResponse:
    try:
        async with run as answer:
            if answer.is_failure:
                head = await anext(answer.chunks(), b"")
                reason = head.decode(errors="replace")[:MAX_REASON_CHARS]
                return build_outcome_response(Failed(reason))
            streamed = Answer(answer.size, b"", answer.chunks())
            return await send_answer(request, streamed, request_id)
    except NotAdmittedError as error:
        return _build_not_started_response(error.outcome)
    except RequestRefusedError as error:
        return build_problem_response(
            error.status, error.code, error.outcome, error.detail
        )
    except WorkerError as error:
        if request.get(IS_RESPONSE_STARTED):
            raise
        return build_outcome_response(Unknown(str(error)))


async def send_answer(
    request: web.Request, answer: Answer, request_id: str | None
) -> web.StreamResponse:
    """Send the complete answer, or abort the caller's connection."""
    headers = {"Outcome": Done.tag, "Content-Type": "application/octet-stream"}
    if request_id is not None:
        headers["Request-Id"] = request_id
    if answer.rest is None:
        return web.Response(body=answer.head, headers=headers)
    response = web.StreamResponse(headers=headers)
    response.content_length = answer.size
    if answer.size is None and request.version < (1, 1):
        # HTTP/1.0 has no chunked encoding; closing the connection ends the body.
        response.force_close()
    request[IS_RESPONSE_STARTED] = True
    try:
        await response.prepare(request)
        if answer.head:
            await _write_chunk(response, answer.head)
        await _write_chunks(response, answer.rest)
        await response.write_eof()
    except BaseException as error:
        log.warning("incomplete response aborted", path=request.path, error=repr(error))
        abort_connection(request)
        raise
    return response


async def _write_chunks(
    response: web.StreamResponse, chunks: AsyncIterator[bytes]
) -> None:
    async for chunk in chunks:
        await _write_chunk(response, chunk)


async def _write_chunk(response: web.StreamResponse, chunk: bytes) -> None:
    async with asyncio.timeout(CALLER_PROGRESS_TIMEOUT_MS / 1000):
        await response.write(chunk)


def abort_connection(request: web.Request) -> None:
    """Reset the connection, so that a partial response can't pass as complete."""
    transport = request.transport
    if transport is None:
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


def build_gate_middleware(gate: RequestGate) -> Middleware:
    """Return middleware that applies the request gate and converts errors."""

    @web.middleware
    async def handle_gated(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if not gate.is_open:
            outcome = _get_rejection_outcome(request, 503)
            response: web.StreamResponse = build_problem_response(
                503, "shutting_down", outcome, "", RETRY_AFTER_MS
            )
            response.force_close()
            return response
        gate.begin_request()
        try:
            response = await handler(request)
        except web.HTTPException as error:
            code = _get_error_code(error.status)
            response = build_problem_response(error.status, code, "not_run")
        except Exception as error:
            response = _handle_unexpected_error(request, error)
        finally:
            gate.end_request()
        if gate.is_leaving and not response.prepared:
            response.force_close()
        return response

    return handle_gated


def build_room_middleware(has_room: Callable[[int], bool]) -> Middleware:
    """Return middleware that refuses a body for which there is no memory now."""

    @web.middleware
    async def handle_with_room(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        if has_room((request.content_length or 0) * BODY_COPIES):
            return await handler(request)
        outcome = _get_rejection_outcome(request, 503)
        return build_problem_response(503, "no_memory", outcome, "", RETRY_AFTER_MS)

    return handle_with_room


def _get_error_code(status: int) -> str:
    codes = {404: "not_found", 405: "method_not_allowed", 413: "body_too_large"}
    return codes.get(status, "bad_request")


def _handle_unexpected_error(
    request: web.Request, error: Exception
) -> web.StreamResponse:
    transport = request.transport
    if transport is None or transport.is_closing():
        # The connection was lost or reset, so this response can't be delivered.
        return web.Response(status=500, headers={"Outcome": Unknown.tag})
    if request.get(IS_RESPONSE_STARTED):
        abort_connection(request)
        return web.Response(status=500, headers={"Outcome": Unknown.tag})
    log.error(
        "unexpected error in caller request",
        path=request.path,
        exc_info=error,
    )
    return build_problem_response(500, "internal", Unknown.tag)
