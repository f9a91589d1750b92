"""Fault injection for the HTTP stand-ins: `PUT /faults` and `GET /faults`."""

import asyncio
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Annotated

from aiohttp import web
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from stand_ins.bodies import read_first_half

CONTROL_PATH_PREFIXES = ("/faults", "/fakes/")
SILENCE_CHECK_INTERVAL_S = 0.05
# SO_LINGER with a timeout of 0: closing the socket sends a TCP reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def _check_pattern(value: str) -> str:
    try:
        re.compile(value)
    except re.error as error:
        raise ValueError(f"is no regular expression: {error}") from error
    return value


class FaultSwitches(BaseModel):
    """The body of `PUT /faults`, which replaces all switches; `{}` turns all off.

    - `down` resets the connection before the call takes effect.
    - `fail` answers with status 500, by default without effect.
    - `delay_ms` waits before the call takes effect, `late_ms` after it.
    - `lose_answers` resets the connection after the effect, instead of answering.
    - `truncate` sends half of the response body and closes the connection.
    - `hang` acts once, at the PUT: connections that are open then stay silent for
      good, later ones work.

    `lose_answers` and `truncate` are true, or the number of calls that they affect.
    `paths` restricts all switches but `hang` to calls whose `METHOD /path` matches one
    of these regular expressions anywhere.
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


class FaultInjector:
    """Middleware that applies the fault switches of one stand-in to its calls.

    With `handles_fail_switch`, the stand-in implements `fail` itself; otherwise every
    call is answered with status 500 and has no effect.
    """

    def __init__(self, handles_fail_switch: bool = False) -> None:
        self._handles_fail_switch = handles_fail_switch
        self._switches = FaultSwitches()
        self._remaining_calls = {"lose_answers": 0, "truncate": 0}
        self._server: web.Server | None = None
        self._silent_connections: set[web.RequestHandler] = set()

    def add_to(self, app: web.Application) -> None:
        """Add the middleware and the `/faults` routes to an application."""
        app.middlewares.append(self._build_middleware())
        app.router.add_get("/faults", self._get_switches)
        app.router.add_put("/faults", self._put_switches)
        app[FAULTS] = self

    def attach_server(self, server: web.Server) -> None:
        """Set the server whose open connections `hang` silences."""
        self._server = server

    def is_failing(self, request: web.Request) -> bool:
        """Return whether the `fail` switch applies to a call."""
        return self._switches.fail and self._matches_paths(request)

    async def wait_while_silent(self, request: web.Request) -> None:
        """Block while the connection is silenced; raise once the caller closes it."""
        while request.protocol in self._silent_connections:
            if request.transport is None or request.transport.is_closing():
                raise ConnectionResetError("the caller closed a silenced connection")
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)

    async def _get_switches(self, request: web.Request) -> web.Response:
        return web.json_response(self._switches.model_dump())

    async def _put_switches(self, request: web.Request) -> web.Response:
        try:
            self._switches = FaultSwitches.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_faults", str(error))
        for name in self._remaining_calls:
            value = getattr(self._switches, name)
            self._remaining_calls[name] = 0 if isinstance(value, bool) else value
        if self._switches.hang and self._server is not None:
            # The connection of this PUT stays usable.
            self._silent_connections = {*self._server.connections} - {request.protocol}
        return web.json_response(self._switches.model_dump())

    def _matches_paths(self, request: web.Request) -> bool:
        target = f"{request.method} {request.path}"
        paths = self._switches.paths
        return not paths or any(re.search(pattern, target) for pattern in paths)

    def _consume_switch(self, name: str, request: web.Request) -> bool:
        if not self._matches_paths(request):
            return False
        if getattr(self._switches, name) is True:
            return True
        if self._remaining_calls[name] == 0:
            return False
        self._remaining_calls[name] -= 1
        return True

    def _build_middleware(self) -> Callable[..., Awaitable[web.StreamResponse]]:
        @web.middleware
        async def apply_faults(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if request.path.startswith(CONTROL_PATH_PREFIXES):
                return await handler(request)
            return await self._handle_call(request, handler)

        return apply_faults

    async def _handle_call(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        await self.wait_while_silent(request)
        switches = self._switches
        if self._matches_paths(request):
            if switches.down:
                return reset_connection(request)
            await asyncio.sleep(switches.delay_ms / 1000)
            if switches.fail and not self._handles_fail_switch:
                return web.json_response({"code": "failing"}, status=500)
        response = await handler(request)
        await self.wait_while_silent(request)
        if self._matches_paths(request):
            await asyncio.sleep(self._switches.late_ms / 1000)
        if self._consume_switch("lose_answers", request):
            return reset_connection(request)
        if self._consume_switch("truncate", request):
            return await _send_truncated(request, response)
        return response


FAULTS = web.AppKey("faults", FaultInjector)


def reject(code: str, detail: str, status: int = 400) -> web.Response:
    """Return an error response with a code and a detail."""
    return web.json_response({"code": code, "detail": detail}, status=status)


def reset_connection(request: web.Request) -> web.Response:
    """Reset the connection; the returned response is never sent."""
    transport = request.transport
    if transport is not None:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()
    return web.Response(status=500)


async def _send_truncated(
    request: web.Request, response: web.StreamResponse
) -> web.StreamResponse:
    size, half = read_first_half(getattr(response, "body", None))
    cut = web.StreamResponse(status=response.status, headers=response.headers)
    cut.content_length = size
    await cut.prepare(request)
    for chunk in half:
        await cut.write(chunk)
    if request.transport is not None:
        request.transport.close()
    return cut
