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
GaugeReading = tuple[float, Mapping[str, str]]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Metrics:
    """The instruments of one process; names end with their unit."""

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
        """Record the duration and outcome of a finished request.

        The histogram also serves as the request counter: a separate counter would
        double the cost, which is a noticeable part of handling a request.
        """
        self._durations.record(duration_ms, {"entry": entry, "outcome": outcome})

    def observe_gauge(
        self, name: str, description: str, read: Callable[[], Iterable[GaugeReading]]
    ) -> None:
        """Add a gauge whose values `read` returns when metrics are collected."""

        def collect(options: CallbackOptions) -> list[Observation]:
            return [Observation(value, dict(labels)) for value, labels in read()]

        self._meter.create_observable_gauge(
            PREFIX + name, callbacks=[collect], description=description
        )

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


async def serve_metrics(request: web.BaseRequest) -> web.Response:
    """Answer with all metrics in the Prometheus text format."""
    body = generate_latest(REGISTRY)
    return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})


def build_request_middleware(
    metrics: Metrics,
) -> Middleware:
    """Return middleware that records each caller request with its outcome."""

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
            # Only entries of the catalogue become labels, so that callers can't create
            # an unbounded number of series.
            name = request.match_info.get("entry", "") if is_known else ""
            duration_ms = (time.monotonic_ns() - started_ns) / 1e6
            metrics.record_request(name or "other", outcome, duration_ms)

    return count_request
