"""Connections to workers, each of which leads to one life of a worker.

A connection ends with the life that accepted it. So a call on a connection on which a
life has answered reaches no later life, whatever its address and id.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any
from weakref import WeakKeyDictionary

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from bergamotgap.adapters.logs import get_logger

log = get_logger(__name__)


class OtherLifeError(Exception):
    """The connection is not known to lead to the life of a call; nothing was sent."""


@dataclass
class LifeCall:
    """A call for the life `life_ms` only, or for any if it is 0, and its connection."""

    life_ms: int
    protocol: ResponseHandler | None = None

    @property
    def is_connected(self) -> bool:
        """Whether the connection of the call is open."""
        return self.protocol is not None and self.protocol.is_connected()


_current_call: ContextVar[LifeCall | None] = ContextVar("current_call", default=None)


@contextmanager
def limit_to_life(life_ms: int) -> Iterator[LifeCall]:
    """Let the calls made in the context reach one life only, or any if it is 0."""
    call = LifeCall(life_ms)
    token = _current_call.set(call)
    try:
        yield call
    finally:
        _current_call.reset(token)


class LifeConnector(aiohttp.TCPConnector):
    """Remember which life answered on each connection, and hold calls for others back.

    Raises OtherLifeError for a call whose life has answered on no free connection.
    """

    def __init__(self, max_connections: int, keep_alive_s: float = 15) -> None:
        # A total limit of 0 means no limit.
        super().__init__(
            limit=0, limit_per_host=max_connections, keepalive_timeout=keep_alive_s
        )
        self._lives: WeakKeyDictionary[ResponseHandler, int] = WeakKeyDictionary()

    def record_life(self, call: LifeCall, worker_id: str, life_ms: int) -> None:
        """Record the life of a worker that answered a call."""
        if call.protocol is None:
            return
        known_ms = self._lives.setdefault(call.protocol, life_ms)
        if known_ms != life_ms:
            log.error(
                "connection outlived its life",
                worker=worker_id,
                life=known_ms,
                successor=life_ms,
            )
            self._lives[call.protocol] = life_ms

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: Any
    ) -> Connection:
        """Return a connection for the current call."""
        call = _current_call.get() or LifeCall(0)
        # Released connections are handed out in turn, so this tries each free one.
        for _ in range(max(1, self.limit_per_host)):
            connection = await super().connect(req, traces, timeout)
            if self._is_usable(connection, call):
                return connection
        raise OtherLifeError

    def _is_usable(self, connection: Connection, call: LifeCall) -> bool:
        """Return whether a connection is that of a call; release it otherwise."""
        protocol = call.protocol = connection.protocol
        life_ms = 0 if protocol is None else self._lives.get(protocol, 0)
        if call.life_ms in (0, life_ms):
            return True
        if life_ms:
            connection.close()
        else:
            connection.release()
        return False
