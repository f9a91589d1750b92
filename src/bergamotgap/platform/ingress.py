"""HTTP servers of a fleet node for callers, readiness checks and metrics."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from typing import Self

import msgspec
from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.web_protocol import RequestHandler

from bergamotgap.adapters.client_guard import ClientGuard
from bergamotgap.adapters.client_listener import ClientListener
from bergamotgap.adapters.logs import get_logger
from bergamotgap.adapters.metrics import Metrics, serve_metrics
from bergamotgap.domain.client_limits import (
    BODY_COPIES,
    ClientBudget,
    ClientLimits,
)
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.early_refusal import RefusalReason
from bergamotgap.domain.fleet import FleetConfig, JobSpec, Queue
from bergamotgap.domain.job_memory import is_too_large, measure_job, measure_spec
from bergamotgap.domain.job_records import measure_spec_record
from bergamotgap.domain.record_limits import RecordLimits
from bergamotgap.platform.callers import Caller, identify_caller
from bergamotgap.platform.documents import decode_job
from bergamotgap.platform.explain import (
    EXPLAIN_PATH,
    JOB_ID_PATTERN,
    Handler,
    build_explain_handler,
)
from bergamotgap.pools.fleet_view import UnreadableDocumentError
from bergamotgap.pools.request_outcomes import (
    RETRY_AFTER_MS,
    JobAccepted,
    JobCancelled,
    JobState,
    KeyRejected,
    NoSuchJob,
    NotAccepted,
    OutcomeUnknown,
    RequestOutcome,
    WaitingCount,
)
from bergamotgap.pools.requests import JobRequests
from bergamotgap.pools.settings import PoolSettings

KEY_HEADER = "X-Key"
DEADLINE_HEADER = "X-Request-Deadline"
# Used when a request states no deadline.
DEFAULT_WAIT_MS = 3000
# Longer deadlines are cut to this one, so that the wait for an owner ends.
MAX_WAIT_MS = 120_000
CLOSE_TIMEOUT_S = 1.0
# When callers with an unknown key are told to return to a node that has lost the log;
# the platform sends them to another node by then.
STALE_RETRY_MS = 1000

log = get_logger(__name__)


class Ingress:
    """Serve callers' requests, readiness checks and metrics over HTTP.

    `addresses` are those for callers, for readiness checks and for metrics.
    `is_config_current` tells whether the configuration is known to be the newest.
    """

    def __init__(
        self,
        requests: JobRequests,
        get_config: Callable[[], FleetConfig | None],
        is_config_current: Callable[[], bool],
        is_ready: Callable[[], bool],
        addresses: tuple[str, str, str],
        metrics: Metrics,
        clock: Clock,
        budget: ClientBudget = PoolSettings.client_budget,
        record_limits: RecordLimits = PoolSettings.record_limits,
    ) -> None:
        self._requests = requests
        self._get_config = get_config
        self._is_config_current = is_config_current
        self._is_ready = is_ready
        self._addresses = addresses
        self._metrics = metrics
        self._clock = clock
        self._max_spec_bytes = record_limits.spec_bytes
        self._guard = ClientGuard(budget, self._get_limits, clock)
        self._stack = AsyncExitStack()
        self.requests_in_progress = 0
        self.is_closing = False

    @property
    def client_guard(self) -> ClientGuard:
        """The guard of all addresses."""
        return self._guard

    async def __aenter__(self) -> Self:
        """Start the servers."""
        await self._stack.enter_async_context(self._guard)
        callers, ready, metrics = self._addresses
        # They stop in reverse order, so that callers don't wait for the others.
        await self._start_server(metrics, self.build_operator_handler())
        await self._start_server(ready, self._handle_readiness)
        await self._start_server(callers, self._handle_request)
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop the servers."""
        await self._stack.aclose()

    def _get_limits(self) -> ClientLimits | None:
        config = self._get_config()
        return config.client_limits if config else None

    def build_operator_handler(self) -> Handler:
        """Return the handler of the address for operators."""
        explain = build_explain_handler(
            self._requests,
            self._get_config,
            self._is_config_current,
            self._guard,
            self._clock,
        )

        async def handle(request: web.BaseRequest) -> web.Response:
            if request.path == EXPLAIN_PATH:
                return await explain(request)
            return await serve_metrics(request)

        return handle

    async def _start_server(self, address: str, handler: Callable[..., object]) -> None:
        server = web.Server(
            handler,  # type: ignore[arg-type]
            request_factory=self._make_request,
        )
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        listener = ClientListener(runner, address, self._guard)
        await self._stack.enter_async_context(listener)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Build a request whose body may be as long as the configuration allows."""
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._guard.limits.max_body_bytes,
        )

    async def _handle_readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)

    async def _handle_request(self, request: web.BaseRequest) -> web.Response:
        self.requests_in_progress += 1
        started_ms = self._clock.monotonic_ms()
        try:
            response = await self._route(request)
        finally:
            self.requests_in_progress -= 1
        duration_ms = self._clock.monotonic_ms() - started_ms
        self._metrics.record_request(request.method, str(response.status), duration_ms)
        if self.is_closing:
            response.force_close()
        return response

    async def _route(self, request: web.BaseRequest) -> web.Response:
        config = self._get_config()
        routed = self._find_route(request, config)
        if isinstance(routed, web.Response):
            return routed
        refusal = self._refuse_body(request)
        if refusal is not None:
            return refusal
        body = await request.read()
        newest = self._get_config()
        if newest is not config:
            routed = self._find_route(request, newest)
            if isinstance(routed, web.Response):
                return routed
        return await self._answer(request, body, *routed)

    def _find_route(
        self, request: web.BaseRequest, config: FleetConfig | None
    ) -> tuple[Queue, Caller] | web.Response:
        """Return the queue and the caller of a request, or its refusal."""
        if config is None:
            return _build_retry_response(503, "no_configuration", 1000)
        host = request.headers.get("Host", "").partition(":")[0]
        queue = config.find_queue(host, request.path)
        if queue is None:
            return web.Response(status=404)
        caller = self._identify_caller(request, config, queue)
        return caller if isinstance(caller, web.Response) else (queue, caller)

    def _refuse_body(self, request: web.BaseRequest) -> web.Response | None:
        """Return the refusal of a body that is too long, or has no room now."""
        size = request.content_length or 0
        if size > self._guard.limits.max_body_bytes:
            return web.Response(status=413)
        if not self._guard.has_room(size * BODY_COPIES):
            return _build_retry_response(503, "memory", RETRY_AFTER_MS)
        return None

    def _identify_caller(
        self, request: web.BaseRequest, config: FleetConfig, queue: Queue
    ) -> Caller | web.Response:
        """Return the caller, or the response to a caller without a valid key."""
        caller = identify_caller(config, queue, request.headers.get(KEY_HEADER, ""))
        if caller is not None:
            return caller
        is_current = self._is_config_current()
        log.warning(
            "key rejected",
            queue=queue.name,
            version=config.version,
            reason="unknown" if is_current else "stale_configuration",
        )
        if is_current:
            return _build_unauthorized_response()
        # A newer configuration, which this node can't read, may have the key.
        return _build_retry_response(503, "stale_configuration", STALE_RETRY_MS)

    async def _answer(
        self, request: web.BaseRequest, body: bytes, queue: Queue, caller: Caller
    ) -> web.Response:
        wait_ms = _read_wait_ms(request)
        job_id = request.path[len(queue.path_prefix) :]
        if not job_id and request.method == "GET":
            outcome = await self._requests.count_waiting_jobs(queue, wait_ms)
            return _build_response(outcome, is_read=True)
        if not JOB_ID_PATTERN.fullmatch(job_id):
            return web.Response(status=404)
        match request.method:
            case "POST":
                try:
                    spec = decode_job(
                        job_id, queue.name, body, self._clock.wall_ms(), caller.customer
                    )
                except UnreadableDocumentError as error:
                    log.warning("malformed job rejected", job=job_id, reason=str(error))
                    return web.Response(status=400)
                return await self._submit(spec, queue, wait_ms, caller)
            case "GET":
                outcome = await self._requests.get_state(
                    job_id, queue, wait_ms, caller.key
                )
                return _build_response(outcome, is_read=True)
            case "DELETE":
                return _build_response(
                    await self._requests.cancel(job_id, queue, wait_ms, caller.key)
                )
        return web.Response(status=405)

    async def _submit(
        self, spec: JobSpec, queue: Queue, wait_ms: int, caller: Caller
    ) -> web.Response:
        if is_too_large(spec, self._guard.budget.job_bytes):
            needed_kb = measure_job(spec) // 1024
            log.warning("job too large", job=spec.job_id, needed_kb=needed_kb)
            return web.Response(status=413)
        record_bytes = measure_spec_record(spec)
        if record_bytes > self._max_spec_bytes:
            log.warning(
                "specification too large",
                job=spec.job_id,
                record_bytes=record_bytes,
                max_bytes=self._max_spec_bytes,
            )
            return web.json_response({"reason": "specification_too_large"}, status=413)
        size = measure_spec(spec)
        if not self._guard.has_room(size):
            return _build_retry_response(503, "memory", RETRY_AFTER_MS)
        with self._guard.reserve(size):
            outcome = await self._requests.submit(spec, queue, wait_ms, caller.key)
        return _build_response(outcome)


def _read_wait_ms(request: web.BaseRequest) -> int:
    text = request.headers.get(DEADLINE_HEADER, "")
    if not text.isdecimal():
        return DEFAULT_WAIT_MS
    is_short = len(text) <= len(str(MAX_WAIT_MS))
    return min(int(text), MAX_WAIT_MS) if is_short else MAX_WAIT_MS


def _build_response(outcome: RequestOutcome, is_read: bool = False) -> web.Response:
    match outcome:
        case JobAccepted() | JobCancelled():
            return web.Response(status=200)
        case JobState():
            return _build_json_response({"state": outcome.phase.value})
        case WaitingCount():
            return _build_json_response({"waiting": outcome.count})
        case NoSuchJob():
            return web.Response(status=410)
        case KeyRejected():
            return _build_unauthorized_response()
        case NotAccepted():
            status = 429 if outcome.reason == RefusalReason.OVER_SHARE else 503
            return _build_retry_response(status, outcome.reason, outcome.retry_ms)
        case OutcomeUnknown():
            # 503 lets callers retry: a read changes nothing, so repeating it is safe.
            status = 503 if is_read else 504
            return _build_retry_response(status, outcome.reason, outcome.retry_ms)


def _build_unauthorized_response() -> web.Response:
    return web.Response(status=401, headers={"WWW-Authenticate": KEY_HEADER})


def _build_json_response(content: Mapping[str, str | int]) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(content), content_type="application/json"
    )


def _build_retry_response(status: int, reason: str, retry_ms: int) -> web.Response:
    response = _build_json_response({"reason": reason})
    response.set_status(status)
    response.headers["Retry-After"] = str(max(1, round(retry_ms / 1000)))
    return response
