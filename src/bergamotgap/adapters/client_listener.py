"""Serve HTTP to clients on one address, within the limits of a guard."""

import asyncio
import socket
from typing import Self

from aiohttp import web

from bergamotgap.adapters.client_connection import ClientConnection
from bergamotgap.adapters.client_guard import ClientGuard

# Connections that wait to be accepted. They are accepted all at once, so there must be
# descriptors for as many beside those that clients use.
MAX_BACKLOG = 128


class ClientListener:
    """Listen on an address (IP:PORT) and serve the requests of a runner's server."""

    def __init__(
        self, runner: web.BaseRunner, address: str, guard: ClientGuard
    ) -> None:
        self._runner = runner
        self._address = address
        self._guard = guard
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        """Start to listen."""
        await self._runner.setup()
        manager = self._runner.server
        assert manager is not None
        loop = asyncio.get_running_loop()
        budget = self._guard.budget
        self._server = await loop.create_server(
            lambda: ClientConnection(manager, loop, self._guard),
            sock=_open_socket(self._address, budget.socket_buffer_bytes),
            backlog=min(MAX_BACKLOG, max(1, budget.connections // 2)),
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop to listen and close the connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()


def _open_socket(address: str, buffer_bytes: int) -> socket.socket:
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the sizes.
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        opened.bind((host, int(port)))
        opened.setblocking(False)
    except BaseException:
        opened.close()
        raise
    return opened
