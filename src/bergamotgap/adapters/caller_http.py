"""The callers' HTTP interface for synchronous requests."""

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
from bergamotgap.ports.worker import TaskFateUnknownError, WorkerError


class CallerApi:
    """Serve synchronous requests of callers."""

    def __init__(
        self, catalogue: CatalogueSource, dispatcher: Dispatcher, clock: Clock
    ) -> None:
        self._catalogue = catalogue
        self._dispatcher = dispatcher
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
        response = web.StreamResponse(headers={"Outcome": "done"})
        try:
            async with self._dispatcher.run(entry, body, deadline_at_ms) as answer:
                await response.prepare(request)
                async for chunk in answer.chunks():
                    await response.write(chunk)
        except NotAdmittedError as error:
            return build_problem(503, "not_admitted", error.outcome.tag)
        except TaskFateUnknownError as error:
            if response.prepared and request.transport is not None:
                request.transport.abort()
                return response
            return build_problem(504, "fate_unknown", "unknown", str(error))
        except WorkerError as error:
            return build_problem(503, "worker_refused", "not_run", str(error))
        await response.write_eof()
        return response
