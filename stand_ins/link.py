"""TCP proxy between two processes that can inject network faults."""

import asyncio
import socket
from typing import Self

from stand_ins.faults import RESET_ON_CLOSE

BUFFER_BYTES = 64 * 1024
BACKLOG = 128


class Link:
    """Proxy that forwards connections from its own address to `target` (`ip:port`).

    `delay_ms` delays each chunk of data, in both directions.
    """

    def __init__(self, target: str, delay_ms: int = 0) -> None:
        self.delay_ms = delay_ms
        self._target = target
        self._port = 0
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None
        self._connections: dict[asyncio.Task[None], list[socket.socket]] = {}
        self._silent_connections: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        """Start forwarding."""
        self.restore()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Reset all connections and stop listening."""
        connections = list(self._connections)
        self.cut()
        await asyncio.gather(*connections, return_exceptions=True)

    @property
    def address(self) -> str:
        """Return the `ip:port` to connect to; it stays the same after a cut."""
        return f"127.0.0.1:{self._port}"

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._accept_task is not None:
            self._accept_task.cancel()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for connection in self._connections:
            connection.cancel()

    def restore(self) -> None:
        """Accept new connections again; silenced ones stay silent."""
        if self._listener is not None:
            return
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", self._port))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self._port = self._listener.getsockname()[1]
        self._accept_task = asyncio.create_task(self._accept(self._listener))

    def silence(self) -> None:
        """Drop all further data of the connections that are open now."""
        self._silent_connections.update(self._connections)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(listener)
            sockets = [accepted, socket.socket()]
            connection = asyncio.create_task(self._forward(*sockets))
            self._connections[connection] = sockets
            connection.add_done_callback(self._close_connection)

    def _close_connection(self, connection: asyncio.Task[None]) -> None:
        for sock in self._connections.pop(connection):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()
        self._silent_connections.discard(connection)

    async def _forward(self, accepted: socket.socket, opened: socket.socket) -> None:
        connection = asyncio.current_task()
        assert connection is not None
        opened.setblocking(False)
        host, _, port = self._target.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(opened, (host, int(port)))
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy_data(connection, accepted, opened))
                group.create_task(self._copy_data(connection, opened, accepted))
        except* OSError:
            # One end reset its connection; closing both sockets resets the other end.
            pass

    async def _copy_data(
        self,
        connection: asyncio.Task[None],
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, BUFFER_BYTES):
            if self.delay_ms:
                await asyncio.sleep(self.delay_ms / 1000)
            if connection not in self._silent_connections:
                await loop.sock_sendall(sink, data)
        if connection not in self._silent_connections:
            sink.shutdown(socket.SHUT_WR)
