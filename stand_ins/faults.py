"""Fault switches that every stand-in has: `PUT /faults` and `GET /faults`."""

import asyncio
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Annotated

from aiohttp import web
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from stand_ins.bodies import take_half

CONTROL_PATHS = ("/faults", "/fakes/")
SILENT_POLL_S = 0.05
# SO_LINGER with a time of 0 makes closing a socket send a reset.
LINGER_RESET = struct.pack("ii", 1, 0)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _check_pattern(value: str) -> str:
    try:
        re.compile(value)
    except re.error as error:
        raise ValueError(f"is no regular expression: {error}") from error
    return value


class FaultSwitches(BaseModel):
    """The switches; a PUT replaces all of them, so `{}` switches everything off.

    `lose_answers` and `truncate` are true, or the number of calls they apply to.
    `paths` limits all switches but `hang` to calls whose `METHOD /path` contains a
    match of one of these regular expressions. `hang` acts once, at the time of the
    PUT: connections open then stay silent for good, later ones work.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    down: bool = False
    fail: bool = False
    hang: bool = False
    delay_ms: int = Field(default=0, ge=0)
    late_ms: int = Field(default=0, ge=0)
    lose_answers: bool | Annotated[int, Field(ge=0)] = False
    truncate: bool | Annotated[int, Field(ge=0)] = False
    paths: tuple[Annotated[str, AfterValidator(_check_pattern)], ...] = ()


class Faults:
    """Own the switches of one stand-in and apply them to its calls.

    With `fails_itself`, the stand-in gives `fail` its own meaning; otherwise every
    call is answered with status 500 and has no effect.
    """

    def __init__(self, fails_itself: bool = False) -> None:
        self._fails_itself = fails_itself
        self._switches = FaultSwitches()
        self._left = {"lose_answers": 0, "truncate": 0}
        self._server: web.Server | None = None
        self._silent: set[web.RequestHandler] = set()

    def add_to(self, app: web.Application) -> None:
        """Add the middleware and the routes to an application."""
        app.middlewares.append(self._middleware())
        app.router.add_get("/faults", self._get)
        app.router.add_put("/faults", self._put)
        app[FAULTS] = self

    def attach(self, server: web.Server) -> None:
        """Name the server whose open connections `hang` silences."""
        self._server = server

    def is_failing(self, request: web.Request) -> bool:
        """Return whether `fail` applies to a call."""
        return self._switches.fail and self._applies(request)

    async def hold(self, request: web.Request) -> None:
        """Wait for the connection's end if the connection has gone silent."""
        while request.protocol in self._silent:
            if request.transport is None or request.transport.is_closing():
                raise ConnectionResetError("the caller closed a silent connection")
            await asyncio.sleep(SILENT_POLL_S)

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self._switches.model_dump())

    async def _put(self, request: web.Request) -> web.Response:
        try:
            self._switches = FaultSwitches.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_faults", str(error))
        for name in self._left:
            value = getattr(self._switches, name)
            self._left[name] = 0 if isinstance(value, bool) else value
        if self._switches.hang and self._server is not None:
            # The connection that carries the switch stays usable.
            self._silent = {*self._server.connections} - {request.protocol}
        return web.json_response(self._switches.model_dump())

    def _applies(self, request: web.Request) -> bool:
        target = f"{request.method} {request.path}"
        paths = self._switches.paths
        return not paths or any(re.search(pattern, target) for pattern in paths)

    def _take(self, name: str, request: web.Request) -> bool:
        if not self._applies(request):
            return False
        if getattr(self._switches, name) is True:
            return True
        if self._left[name] == 0:
            return False
        self._left[name] -= 1
        return True

    def _middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        @web.middleware
        async def apply_faults(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if request.path.startswith(CONTROL_PATHS):
                return await handler(request)
            return await self._apply(request, handler)

        return apply_faults

    async def _apply(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self.hold(request)
        switches = self._switches
        if self._applies(request):
            if switches.down:
                return reset(request)
            await asyncio.sleep(switches.delay_ms / 1000)
            if switches.fail and not self._fails_itself:
                return web.json_response({"code": "failing"}, status=500)
        response = await handler(request)
        await self.hold(request)
        if self._applies(request):
            await asyncio.sleep(self._switches.late_ms / 1000)
        if self._take("lose_answers", request):
            return reset(request)
        if self._take("truncate", request):
            return await _send_half(request, response)
        return response


FAULTS = web.AppKey("faults", Faults)


def reject(code: str, detail: str, status: int = 400) -> web.Response:
    """Return an answer that refuses a call."""
    return web.json_response({"code": code, "detail": detail}, status=status)


def reset(request: web.Request) -> web.Response:
    """Reset the connection; the returned answer is never sent."""
    transport = request.transport
    if transport is not None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        transport.abort()
    return web.Response(status=500)


async def _send_half(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    size, half = take_half(getattr(response, "body", None))
    cut = web.StreamResponse(status=response.status, headers=response.headers)
    cut.content_length = size
    await cut.prepare(request)
    for chunk in half:
        await cut.write(chunk)
    if request.transport is not None:
        request.transport.close()
    return cut
