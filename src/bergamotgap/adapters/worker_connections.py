"""Connection pools to workers that are replaced when a connection is silent."""

from dataclasses import dataclass

import aiohttp

DEFAULT_MAX_CONNECTIONS = 64


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """Connections to one worker; a retired pool gets no new requests."""

    address: str
    session: aiohttp.ClientSession
    in_use: int = 0
    is_retired: bool = False


class TooManyConnectionsError(Exception):
    """All connections that this node may open to a worker are in use."""


class WorkerConnections:
    """Keeps a connection pool for each worker.

    Retired pools are kept until their requests have ended. They count against the limit
    of `max_connections` connections in use to a worker.
    """

    def __init__(self, max_connections: int = DEFAULT_MAX_CONNECTIONS) -> None:
        self._max_connections = max_connections
        self._pools_by_address: dict[str, ConnectionPool] = {}
        self._in_use_by_address: dict[str, int] = {}
        self._idle_retired: list[ConnectionPool] = []
        self._retired: list[ConnectionPool] = []

    @property
    def has_idle_retired_pools(self) -> bool:
        """Return whether there are retired pools that can be closed."""
        return bool(self._idle_retired)

    def acquire(self, address: str) -> ConnectionPool:
        """Reserve a connection for one request; raises TooManyConnectionsError."""
        in_use = self._in_use_by_address.get(address, 0)
        if in_use >= self._max_connections:
            raise TooManyConnectionsError(address)
        pool = self._pools_by_address.get(address)
        if pool is None:
            pool = self._pools_by_address[address] = ConnectionPool(
                address, open_session(self._max_connections)
            )
        self._in_use_by_address[address] = in_use + 1
        pool.in_use += 1
        return pool

    def release(self, pool: ConnectionPool) -> None:
        """Release the connection that `acquire` reserved in a pool."""
        pool.in_use -= 1
        self._in_use_by_address[pool.address] -= 1
        if pool.is_retired and pool.in_use == 0:
            self._retired.remove(pool)
            self._idle_retired.append(pool)

    def retire(self, address: str) -> None:
        """Stop using the open connections to a worker for new requests.

        Requests in progress on them continue.
        """
        pool = self._pools_by_address.pop(address, None)
        if pool is None:
            return
        pool.is_retired = True
        (self._retired if pool.in_use else self._idle_retired).append(pool)

    async def close_idle_retired_pools(self) -> None:
        """Close the retired pools without requests in progress."""
        pools, self._idle_retired = self._idle_retired, []
        for pool in pools:
            await pool.session.close()

    async def close(self) -> None:
        """Close all connections."""
        pools = [*self._pools_by_address.values(), *self._retired]
        self._pools_by_address.clear()
        await self.close_idle_retired_pools()
        for pool in pools:
            await pool.session.close()


def open_session(
    max_connections: int, keep_alive: bool = True
) -> aiohttp.ClientSession:
    """Open a session to workers that doesn't decompress answers or keep cookies."""
    connector = aiohttp.TCPConnector(limit=max_connections, force_close=not keep_alive)
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
