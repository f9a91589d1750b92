"""HTTP interface for the jobs of callers."""

import base64
import binascii
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
from aiohttp import web

from bergamotgap.adapters.caller_auth import (
    CatalogueSource,
    build_problem_response,
    find_caller,
    find_permitted_entry,
)
from bergamotgap.adapters.caller_http import send_answer
from bergamotgap.domain.catalogue import Caller
from bergamotgap.domain.work_items import Job
from bergamotgap.node.dispatch import Answer
from bergamotgap.node.jobs import Jobs
from bergamotgap.node.requests import ResultReader
from bergamotgap.node.work_errors import RequestRefusedError

MAX_REQUEST_ID_CHARS = 128
# Allowance for the JSON around the body; base64 adds a third to the body itself.
JSON_OVERHEAD_BYTES = 4096

Handler = Callable[[web.Request, Caller], Awaitable[web.StreamResponse]]


class JobSubmission(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a job submission; `deadline_ms` is relative to its arrival."""

    entry: Annotated[str, msgspec.Meta(max_length=63)]
    request_id: Annotated[
        str, msgspec.Meta(min_length=1, max_length=MAX_REQUEST_ID_CHARS)
    ]
    body_base64: str = ""
    deadline_ms: Annotated[int, msgspec.Meta(ge=1)] | None = None


class JobApi:
    """Serves jobs to callers; each caller has access only to its own jobs."""

    def __init__(
        self,
        catalogue: CatalogueSource,
        jobs: Jobs,
        results: ResultReader,
        max_body_bytes: int,
    ) -> None:
        self._catalogue = catalogue
        self._jobs = jobs
        self._results = results
        self._max_body_bytes = max_body_bytes

    def add_routes(self, app: web.Application) -> None:
        """Register the routes of this interface."""
        app.router.add_post("/v1/jobs", self._authenticate(self._submit))
        app.router.add_get("/v1/jobs/{job}", self._authenticate(self._get_job))
        app.router.add_get(
            "/v1/jobs/{job}/result", self._authenticate(self._get_result)
        )
        app.router.add_delete("/v1/jobs/{job}", self._authenticate(self._cancel))

    def _authenticate(
        self, handle: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle_authenticated(request: web.Request) -> web.StreamResponse:
            caller = find_caller(request, self._catalogue())
            if caller is None:
                return build_problem_response(401, "unknown_key", "not_run")
            try:
                return await handle(request, caller)
            except RequestRefusedError as error:
                return build_problem_response(
                    error.status,
                    error.code,
                    error.outcome,
                    error.detail,
                    error.retry_after_ms,
                )

        return handle_authenticated

    async def _submit(self, request: web.Request, caller: Caller) -> web.StreamResponse:
        submission = _parse_submission(await self._read_limited_body(request))
        entry = find_permitted_entry(caller, self._catalogue(), submission.entry)
        if entry is None:
            raise RequestRefusedError(404, "unknown_entry")
        body = _decode_body(submission.body_base64)
        if len(body) > self._max_body_bytes:
            raise RequestRefusedError(413, "body_too_large")
        deadline_ms = submission.deadline_ms or entry.deadline_ms
        if deadline_ms > entry.deadline_ms:
            detail = f"deadline_ms is above the entry's {entry.deadline_ms}"
            raise RequestRefusedError(400, "deadline_too_long", detail=detail)
        job = await self._jobs.accept(
            caller.name, submission.request_id, entry, body, deadline_ms
        )
        return web.json_response(
            {"job": job},
            status=202,
            headers={"Outcome": "unknown", "Location": f"/v1/jobs/{job}"},
        )

    async def _read_limited_body(self, request: web.Request) -> bytes:
        limit = self._max_body_bytes * 4 // 3 + JSON_OVERHEAD_BYTES
        if (request.content_length or 0) > limit:
            raise RequestRefusedError(413, "body_too_large")
        body = await request.read()
        if len(body) > limit:
            raise RequestRefusedError(413, "body_too_large")
        return body

    def _find_job(self, request: web.Request, caller: Caller) -> Job:
        job = self._jobs.find(caller.name, request.match_info["job"])
        if job is None:
            # Unknown, expired and other callers' jobs get the same response, so that it
            # reveals nothing about them. An expired job may have run, so the outcome
            # is not "not_run".
            raise RequestRefusedError(404, "unknown_job", "unknown")
        return job

    async def _get_job(
        self, request: web.Request, caller: Caller
    ) -> web.StreamResponse:
        return _build_job_response(self._find_job(request, caller))

    async def _cancel(self, request: web.Request, caller: Caller) -> web.StreamResponse:
        job = await self._jobs.cancel(self._find_job(request, caller))
        return _build_job_response(job, status=202 if job.ended is None else 200)

    async def _get_result(
        self, request: web.Request, caller: Caller
    ) -> web.StreamResponse:
        job = self._find_job(request, caller)
        if job.ended is None:
            raise RequestRefusedError(409, "not_ended", "unknown")
        if job.ended.outcome == "failed":
            raise RequestRefusedError(502, "work_failed", "failed", job.ended.reason)
        async with self._results.open(job.ended) as answer:
            streamed = Answer(answer.size, b"", answer.chunks())
            return await send_answer(request, streamed, None)


def _parse_submission(body: bytes) -> JobSubmission:
    try:
        return msgspec.json.decode(body, type=JobSubmission)
    except msgspec.DecodeError as error:
        raise RequestRefusedError(400, "malformed_job", detail=str(error)) from error


def _decode_body(encoded: str) -> bytes:
    try:
        return base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as error:
        detail = f"body_base64: {error}"
        raise RequestRefusedError(400, "malformed_job", detail=detail) from error


def _build_job_response(job: Job, status: int = 200) -> web.Response:
    ended = job.ended
    payload = {
        "job": job.job,
        "entry": job.entry,
        "state": "running" if ended is None else "ended",
        "is_cancel_requested": job.is_cancel_requested,
        "outcome": ended.outcome if ended else None,
        "reason": ended.reason if ended else "",
        "result_size": ended.result_size if ended else None,
    }
    outcome = ended.outcome if ended else "unknown"
    return web.json_response(payload, status=status, headers={"Outcome": outcome})
