"""HTTP server of a worker that may begin another life at its address."""

import asyncio
import functools
import socket
from typing import Self

from aiohttp import web

from stand_ins.users_log import Handler

# Handlers of calls to a life that has ended are cancelled after this time.
SHUTDOWN_S = 0.01


class WorkerServer:
    """HTTP server on a free loopback port, for one life of a worker after another.

    Between two lives nothing is answered, and new connections wait for the next life.
    It closes the connections of the former one, so that a call which is under way on
    them reaches no later life.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._life = 0
        self.address = ""

    async def __aenter__(self) -> Self:
        """Start to listen."""
        # Listens as long as the address is in use, whether a life accepts or not.
        self._socket = socket.create_server(("127.0.0.1", 0))
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        await self._accept()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Close the server and all connections."""
        self.end_life()
        self._socket.close()
        await self._web_server.shutdown(SHUTDOWN_S)

    def end_life(self) -> None:
        """Answer and accept nothing more."""
        self._life += 1
        self._listener.close()

    async def begin_life(self) -> None:
        """Close the connections of the former life, and accept those that wait."""
        await self._web_server.shutdown(SHUTDOWN_S)
        await self._accept()

    async def _accept(self) -> None:
        handle = functools.partial(self._handle_in_life, self._life)
        self._web_server = web.Server(
            handle, access_log=None, handler_cancellation=True
        )
        self._listener = await asyncio.get_running_loop().create_server(
            self._web_server, sock=self._socket.dup()
        )

    async def _handle_in_life(
        self, life: int, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle a call, and answer it unless the life has ended."""
        if life == self._life:
            response = await self._handle(request)
            if life == self._life:
                return response
        # Cancelled once the connection is closed.
        answer: asyncio.Future[web.StreamResponse]
        answer = asyncio.get_running_loop().create_future()
        return await answer
