"""Routes of the operators' interface for maintenance waves."""

import re
from typing import Annotated, Any, Self

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, model_validator

from bergamotgap.adapters.operator_appends import append_and_check
from bergamotgap.adapters.operator_catalogue import OperatorName
from bergamotgap.adapters.operator_problems import ProblemError, read_body
from bergamotgap.adapters.wave_views import describe_wave
from bergamotgap.domain.control_data import Wave
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.records import WaveCancelled, WaveDeclared
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter

MAX_WAVE_HOSTS = 2000

WAVE_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

WaveId = Annotated[str, Field(pattern=WAVE_PATTERN)]
HostName = Annotated[str, Field(min_length=1, max_length=253)]


class WaveBody(BaseModel):
    """A declaration of maintenance for all hosts of a pool or for single hosts."""

    model_config = ConfigDict(extra="forbid", strict=True)

    wave: WaveId
    operator: OperatorName
    pool: str | None = None
    hosts: Annotated[list[HostName], Field(max_length=MAX_WAVE_HOSTS)] | None = None

    @model_validator(mode="after")
    def _check_target(self) -> Self:
        if (self.pool is None) == (not self.hosts):
            raise ValueError("name either a pool or at least one host")
        return self


class WaveRoutes:
    """Declares, lists and cancels maintenance waves."""

    def __init__(self, control: Stream[ControlState], writer: StreamWriter) -> None:
        self._control = control
        self._writer = writer

    def add_routes(self, app: web.Application) -> None:
        """Register the routes."""
        app.router.add_get("/v1/waves", self._list)
        app.router.add_post("/v1/waves", self._declare)
        app.router.add_get("/v1/waves/{wave}", self._get)
        app.router.add_delete("/v1/waves/{wave}", self._cancel)

    async def _list(self, request: web.Request) -> web.Response:
        waves = self._control.state.waves.values()
        described = [self._describe(wave) for wave in waves]
        return web.json_response({"waves": described})

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["wave"]
        wave = self._control.state.waves.get(name)
        if wave is None:
            raise ProblemError(404, "unknown_wave", name[:80])
        return web.json_response(self._describe(wave))

    def _describe(self, wave: Wave) -> dict[str, Any]:
        return describe_wave(wave, self._control.state.hosts)

    async def _declare(self, request: web.Request) -> web.Response:
        body = await read_body(request, WaveBody)
        hosts = self._resolve_hosts(body)
        await append_and_check(
            self._writer, WaveDeclared(body.wave, hosts, body.operator)
        )
        return web.json_response({"wave": body.wave, "hosts": hosts}, status=201)

    def _resolve_hosts(self, body: WaveBody) -> tuple[str, ...]:
        known = self._control.state.hosts
        if body.pool is None:
            hosts = tuple(dict.fromkeys(body.hosts or ()))
            unknown = [host for host in hosts if host not in known]
            if unknown:
                detail = f"not in the fleet: {', '.join(unknown)}"
                raise ProblemError(422, "unknown_host", detail, hosts=unknown)
            return hosts
        catalogue = self._control.state.catalogue
        if catalogue is None or catalogue.find_pool(body.pool) is None:
            raise ProblemError(422, "unknown_pool", body.pool[:80])
        hosts = tuple(sorted(name for name, h in known.items() if h.pool == body.pool))
        if not hosts:
            raise ProblemError(422, "empty_pool", f"no host is in pool {body.pool}")
        return hosts

    async def _cancel(self, request: web.Request) -> web.Response:
        wave = request.match_info["wave"]
        if re.match(WAVE_PATTERN, wave) is None:
            raise ProblemError(404, "unknown_wave", wave[:80])
        await append_and_check(self._writer, WaveCancelled(wave))
        return web.json_response({"wave": wave, "is_cancelled": True})
