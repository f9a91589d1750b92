"""The callers' HTTP interface for synchronous requests."""

from contextlib import AbstractAsyncContextManager

from aiohttp import web

from bergamotgap.adapters.caller_auth import (
    CatalogueSource,
    build_problem,
    find_caller,
    find_entry,
)
from bergamotgap.domain.clock import Clock
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.requests import Requests
from bergamotgap.node.work_errors import RequestRefusedError
from bergamotgap.ports.worker import TaskAnswer, TaskFateUnknownError, WorkerError

MAX_REQUEST_ID_CHARS = 128


class CallerApi:
    """Serve synchronous requests of callers."""

    def __init__(
        self,
        catalogue: CatalogueSource,
        dispatcher: Dispatcher,
        requests: Requests,
        clock: Clock,
    ) -> None:
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._requests = requests
        self._clock = clock

    def add_routes(self, app: web.Application) -> None:
        """Add this interface's routes."""
        app.router.add_post("/v1/requests/{entry}", self._run_request)

    async def _run_request(self, request: web.Request) -> web.StreamResponse:
        caller = find_caller(request, self._catalogue())
        if caller is None:
            return build_problem(401, "unknown_key", "not_run")
        entry = find_entry(caller, self._catalogue(), request.match_info["entry"])
        if entry is None:
            return build_problem(404, "unknown_entry", "not_run")
        body = await request.read()
        duration_ms = int(request.headers.get("Deadline-Ms", entry.deadline_ms))
        deadline_at_ms = self._clock.monotonic_ms() + duration_ms
        if entry.idempotent:
            run = self._dispatcher.run(entry, body, deadline_at_ms)
            return await _send_answer(request, run)
        request_id = request.headers.get("Request-Id", "")
        if not 0 < len(request_id) <= MAX_REQUEST_ID_CHARS:
            return build_problem(400, "request_id_missing", "not_run")
        run = self._requests.run(caller.name, request_id, entry, body, deadline_at_ms)
        return await _send_answer(request, run)


async def _send_answer(
    request: web.Request, run: AbstractAsyncContextManager[TaskAnswer]
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Outcome": "done"})
    try:
        async with run as answer:
            if answer.is_failure:
                response.headers["Outcome"] = "failed"
                response.set_status(502)
            await response.prepare(request)
            async for chunk in answer.chunks():
                await response.write(chunk)
    except NotAdmittedError as error:
        code = getattr(error.outcome, "code", error.outcome.tag)
        return build_problem(503, code, error.outcome.tag)
    except RequestRefusedError as error:
        return build_problem(error.status, error.code, error.outcome, error.detail)
    except TaskFateUnknownError as error:
        if response.prepared and request.transport is not None:
            request.transport.abort()
            return response
        return build_problem(504, "fate_unknown", "unknown", str(error))
    except WorkerError as error:
        return build_problem(503, "worker_refused", "not_run", str(error))
    await response.write_eof()
    return response
