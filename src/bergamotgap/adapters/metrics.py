"""OpenTelemetry metrics, exposed in the Prometheus text format."""

import time
from collections.abc import Awaitable, Callable, Iterable, Mapping

from aiohttp import web
from aiohttp.typedefs import Middleware
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

REQUEST_BUCKETS_MS = (
    *(1, 2, 5, 10, 20, 50, 100, 200, 500),
    *(1000, 1100, 2000, 5000, 10_000, 30_000, 60_000),
)
PREFIX = "bergamotgap_"
UNKNOWN_ENTRY_STATUSES = frozenset({401, 404})
Reading = tuple[float, Mapping[str, str]]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Metrics:
    """Own the instruments of one process; names end with their unit."""

    def __init__(self) -> None:
        self._provider = MeterProvider(
            metric_readers=[PrometheusMetricReader()],
            views=[
                View(
                    instrument_name=f"{PREFIX}request_duration_ms",
                    aggregation=ExplicitBucketHistogramAggregation(REQUEST_BUCKETS_MS),
                )
            ],
        )
        self._meter = self._provider.get_meter("bergamotgap")
        self._durations = self._meter.create_histogram(
            f"{PREFIX}request_duration_ms",
            description="Time from request to whole answer",
        )

    def record_request(self, entry: str, outcome: str, duration_ms: float) -> None:
        """Count a finished request of a caller.

        One histogram also counts the requests: a counter beside it would double the
        cost, which is a noticeable part of a request.
        """
        self._durations.record(duration_ms, {"entry": entry, "outcome": outcome})

    def observe_gauge(
        self, name: str, description: str, read: Callable[[], Iterable[Reading]]
    ) -> None:
        """Expose values that are read when the metrics are collected."""

        def collect(options: CallbackOptions) -> list[Observation]:
            return [Observation(value, dict(labels)) for value, labels in read()]

        self._meter.create_observable_gauge(
            PREFIX + name, callbacks=[collect], description=description
        )

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


async def serve_metrics(request: web.Request) -> web.Response:
    """Answer with all metrics in the Prometheus text format."""
    body = generate_latest(REGISTRY)
    return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


def build_request_middleware(
    metrics: Metrics,
) -> Middleware:
    """Return a middleware that counts each caller request by its outcome."""

    @web.middleware
    async def count_request(
        request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        started_ns = time.monotonic_ns()
        outcome, is_known = "caller_gone", True
        try:
            response = await handler(request)
            outcome = response.headers.get("Outcome", "none")
            is_known = response.status not in UNKNOWN_ENTRY_STATUSES
            return response
        except web.HTTPException as error:
            outcome, is_known = f"http_{error.status}", False
            raise
        finally:
            # Only entries of the catalogue become labels, so that a caller can't
            # create series at will.
            name = request.match_info.get("entry", "") if is_known else ""
            duration_ms = (time.monotonic_ns() - started_ns) / 1e6
            metrics.record_request(name or "other", outcome, duration_ms)

    return count_request
