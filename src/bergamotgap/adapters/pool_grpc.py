"""Calls between fleet nodes about their pools, over gRPC with MessagePack bodies."""

from collections.abc import Awaitable, Callable
from typing import Any, Self

import grpc
import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.ports.pool_peer import PeerCallError, PoolCall, PoolReply

SERVICE_NAME = "bergamotgap.pools.v1.Pools"
METHOD_NAME = "Call"
# A connection without a reply to a keepalive ping in this time is closed, so that a
# silent connection is replaced.
KEEPALIVE_MS = 1000
KEEPALIVE_TIMEOUT_MS = 1000
_CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.so_reuseport", 0),
]
_CONNECT_FAILURE_CODES = frozenset({grpc.StatusCode.UNAVAILABLE})

log = get_logger(__name__)
Handler = Callable[[PoolCall], Awaitable[PoolReply]]


class GrpcPoolPeerClient:
    """Calls peers over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, Any] = {}

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        """Send a call to a peer; raises PeerCallError."""
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, _CHANNEL_OPTIONS
            )
        method = self._channels[address].unary_unary(f"/{SERVICE_NAME}/{METHOD_NAME}")
        try:
            body = await method(msgspec.msgpack.encode(call), timeout=timeout_ms / 1000)
        except grpc.aio.AioRpcError as error:
            # UNAVAILABLE may also mean that the transport broke after the peer read the
            # call; only a failed connection proves that the call was not sent.
            details = error.details() or ""
            was_sent = (
                error.code() not in _CONNECT_FAILURE_CODES
                or "failed to connect" not in details
            )
            raise PeerCallError(f"{error.code().name}: {details}", was_sent) from error
        try:
            return msgspec.msgpack.decode(body, type=PoolReply)
        except msgspec.MsgspecError as error:
            raise PeerCallError(f"malformed reply: {error}", was_sent=True) from error

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()


class GrpcPoolServer:
    """Serves calls of peers while the context is open."""

    def __init__(self, address: str, handle: Handler) -> None:
        self._address = address
        self._handle_call = handle
        self._server = grpc.aio.server(options=_CHANNEL_OPTIONS)

    async def __aenter__(self) -> Self:
        """Start listening."""
        handler = grpc.unary_unary_rpc_method_handler(self._serve_call)
        self._server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    SERVICE_NAME, {METHOD_NAME: handler}
                ),
            )
        )
        self._server.add_insecure_port(self._address)
        await self._server.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop, waiting at most 1 s for calls in progress."""
        await self._server.stop(1.0)

    async def _serve_call(self, body: bytes, context: Any) -> bytes:
        try:
            call = msgspec.msgpack.decode(body, type=PoolCall)
        except msgspec.MsgspecError as error:
            log.error("call of a peer could not be decoded", error=str(error))
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
            raise
        return msgspec.msgpack.encode(await self._handle_call(call))
