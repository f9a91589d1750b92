"""The operators' HTTP interface."""

from typing import Any

from aiohttp import web

from bergamotgap.adapters.caller_auth import build_problem
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Rejected
from bergamotgap.domain.records import CataloguePublished
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.writer import StreamWriter

APPEND_TIMEOUT_MS = 10_000


class OperatorApi:
    """Serve operators: catalogue, state dump, health."""

    def __init__(
        self,
        control: Stream[ControlState],
        control_writer: StreamWriter,
        dump: Any,
        is_ready: Any,
    ) -> None:
        self._control = control
        self._writer = control_writer
        self._dump = dump
        self._is_ready = is_ready

    def build_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=1 << 20)
        app.router.add_get("/v1/catalogue", self._get_catalogue)
        app.router.add_post("/v1/catalogue", self._publish)
        app.router.add_get("/v1/dump", self._get_dump)
        app.router.add_get("/healthz", self._live)
        app.router.add_get("/readyz", self._ready)
        return app

    async def _get_catalogue(self, request: web.Request) -> web.Response:
        state = self._control.state
        revision = state.revisions.get(state.revision)
        document = revision.document if revision else ""
        return web.json_response({"revision": state.revision, "document": document})

    async def _publish(self, request: web.Request) -> web.Response:
        payload = await request.json()
        base = int(payload["base_revision"])
        record = CataloguePublished(
            base + 1, base, payload["document"], payload["operator"]
        )
        try:
            effect = await self._writer.append(record, APPEND_TIMEOUT_MS)
        except AppendRefusedError as error:
            return build_problem(503, "platform_unavailable", "not_run", str(error))
        except AppendUnknownError as error:
            return build_problem(504, "publish_unknown", "unknown", str(error))
        if isinstance(effect, Rejected):
            return build_problem(409, effect.code, "not_run", effect.detail)
        return web.json_response({"revision": base + 1})

    async def _get_dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._dump())

    async def _live(self, request: web.Request) -> web.Response:
        return web.json_response({"live": True})

    async def _ready(self, request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)
