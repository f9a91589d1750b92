"""HTTP interface for operators."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from bergamotgap.adapters.fleet_views import describe_hosts, describe_pools
from bergamotgap.adapters.operator_catalogue import CatalogueRoutes
from bergamotgap.adapters.operator_problems import convert_errors, parse_limit
from bergamotgap.adapters.operator_waves import WaveRoutes
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.worker import WorkerStatus

# Allows a document of the maximum size in which JSON escapes every character once.
MAX_BODY_BYTES = (1 << 20) + (64 << 10)


def list_no_jobs() -> Mapping[str, Any]:
    """Return the empty list of jobs, for a node that keeps none."""
    return {"counts": {}, "recent": []}


@dataclass(frozen=True, slots=True)
class OperatorSources:
    """Sources of the data that the operators' interface serves.

    `list_nodes` returns this entry host and its peers, `read_status` the last status
    of a worker, and `list_jobs` has `counts` by state and `recent`, newest first.
    """

    control: Stream[ControlState]
    writer: StreamWriter
    clock: Clock
    dump: Callable[[], Mapping[str, Any]]
    is_ready: Callable[[], bool]
    list_nodes: Callable[[], list[dict[str, Any]]]
    read_status: Callable[[str], WorkerStatus | None]
    list_jobs: Callable[[], Mapping[str, Any]] = list_no_jobs


class OperatorApi:
    """Serves the catalogue, waves, views of the fleet, the state dump and health."""

    def __init__(self, sources: OperatorSources) -> None:
        self._sources = sources

    def build_app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[convert_errors]
        )
        sources = self._sources
        CatalogueRoutes(sources.control, sources.writer).add_routes(app)
        WaveRoutes(sources.control, sources.writer).add_routes(app)
        app.router.add_get("/v1/pools", self._get_pools)
        app.router.add_get("/v1/hosts", self._get_hosts)
        app.router.add_get("/v1/nodes", self._get_nodes)
        app.router.add_get("/v1/jobs", self._get_jobs)
        app.router.add_get("/v1/dump", self._get_dump)
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_readiness)
        return app

    async def _get_pools(self, request: web.Request) -> web.Response:
        pools = describe_pools(self._sources.control.state)
        return web.json_response({"pools": pools})

    async def _get_hosts(self, request: web.Request) -> web.Response:
        """Return all hosts, or those of the pool in the query parameter `pool`."""
        hosts = describe_hosts(
            self._sources.control.state,
            self._sources.read_status,
            self._sources.clock.monotonic_ms(),
        )
        pool = request.query.get("pool")
        shown = [host for host in hosts if pool is None or host["pool"] == pool]
        return web.json_response({"hosts": shown})

    async def _get_nodes(self, request: web.Request) -> web.Response:
        return web.json_response({"nodes": self._sources.list_nodes()})

    async def _get_jobs(self, request: web.Request) -> web.Response:
        limit = parse_limit(request)
        jobs = self._sources.list_jobs()
        recent = list(jobs["recent"])[:limit]
        return web.json_response({"counts": dict(jobs["counts"]), "recent": recent})

    async def _get_dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._sources.dump())

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _get_readiness(self, request: web.Request) -> web.Response:
        is_ready = self._sources.is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)
