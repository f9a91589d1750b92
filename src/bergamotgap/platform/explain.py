"""Answers operators who ask where a job would go; nothing is sent or changed."""

import re
from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from bergamotgap.adapters.client_guard import ClientGuard
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, Queue
from bergamotgap.domain.job_memory import measure_spec
from bergamotgap.domain.placement_explanation import PlacementExplanation
from bergamotgap.platform.callers import Caller, identify_caller
from bergamotgap.platform.documents import decode_job
from bergamotgap.pools.fleet_view import UnreadableDocumentError
from bergamotgap.pools.request_outcomes import KeyRejected, OutcomeUnknown
from bergamotgap.pools.requests import JobRequests

EXPLAIN_PATH = "/explain/place"
JOB_ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
KEY_HEADER = "Customer-Key"
# Stands for the id of a job that operators give without one; no caller can send it.
NO_JOB_ID = ""
WAIT_MS = 3000

Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]


def build_explain_handler(
    requests: JobRequests,
    get_config: Callable[[], FleetConfig | None],
    is_config_current: Callable[[], bool],
    guard: ClientGuard,
    clock: Clock,
) -> Handler:
    """Return the handler of EXPLAIN_PATH.

    The query names a `queue`, or a `host` and a `path`; the body is a job as callers
    send it, and KEY_HEADER holds a customer's key.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.method != "POST":
            return _build_error(405, "wrong_method", "use POST")
        body = await request.read()
        config = get_config()
        if config is None:
            detail = "the node has no configuration yet"
            return _build_error(503, "no_configuration", detail)
        name, host = request.query.get("queue"), request.query.get("host", "")
        path = request.query.get("path", "/")
        queue = config.get_queue(name) if name else config.find_queue(host, path)
        if queue is None:
            what = f"no queue {name!r}" if name else f"no queue for {host}{path}"
            detail = f"configuration {config.version} has {what}"
            return _build_error(404, "no_such_queue", detail)
        rest = "" if name else path[len(queue.path_prefix) :]
        job_id = rest if JOB_ID_PATTERN.fullmatch(rest) else NO_JOB_ID
        key = request.headers.get(KEY_HEADER, "")
        caller = identify_caller(config, queue, key)
        key_state = _describe_key(caller, key, is_config_current())
        customer = caller.customer if caller else ""
        try:
            spec = decode_job(job_id, queue.name, body, clock.wall_ms(), customer)
        except UnreadableDocumentError as error:
            return _build_error(400, "malformed_job", str(error))
        outcome: PlacementExplanation | KeyRejected | OutcomeUnknown | None = None
        size = measure_spec(spec)
        if not guard.has_room(size):
            return _build_error(503, "memory", "the node has no memory for it now")
        if caller is not None:
            with guard.reserve(size):
                outcome = await requests.explain(spec, queue, WAIT_MS, caller.key)
        return _build_answer(config, queue, key_state, outcome)

    return handle


def _describe_key(caller: Caller | None, key: str, is_current: bool) -> str:
    if caller is not None:
        return "known" if caller.key else "not_needed"
    if not is_current:
        return "not_known_by_stale_configuration"
    return "unknown" if key else "missing"


def _build_answer(
    config: FleetConfig,
    queue: Queue,
    key_state: str,
    outcome: PlacementExplanation | KeyRejected | OutcomeUnknown | None,
) -> web.Response:
    if isinstance(outcome, OutcomeUnknown):
        detail = f"no owner of pool {queue.service} was reached: {outcome.reason}"
        return _build_error(503, "no_owner", detail)
    is_withdrawn = isinstance(outcome, KeyRejected)
    answer = {
        "queue": queue.name,
        "pool": queue.service,
        "configuration": config.version,
        "key": "withdrawn" if is_withdrawn else key_state,
        "placement": outcome if isinstance(outcome, PlacementExplanation) else None,
    }
    return _build_json(200, answer)


def _build_error(status: int, code: str, detail: str) -> web.Response:
    return _build_json(status, {"code": code, "detail": detail})


def _build_json(status: int, content: object) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )
