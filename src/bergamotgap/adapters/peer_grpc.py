"""gRPC client and server for calls between entry hosts."""

from collections.abc import AsyncIterator
from typing import Any, Protocol, Self

import grpc

from bergamotgap.adapters.proto import peer_pb2 as pb
from bergamotgap.adapters.proto import peer_pb2_grpc as services
from bergamotgap.ports.peer import (
    Checkpoint,
    Digest,
    PeerInfo,
    PeerUnreachableError,
    RelayBatch,
    RelayedAppendRefusedError,
    RelayedAppendUnknownError,
    StateCopy,
)
from bergamotgap.ports.platform import (
    LogRecord,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

EXCHANGE_TIMEOUT_S = 1.0
STATE_TIMEOUT_S = 5.0
APPEND_TIMEOUT_S = 4.0
MAX_MESSAGE_BYTES = 64 << 20

_CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # Bounded, so that the end of a partition is noticed within seconds. Otherwise an
    # exchange would wait for gRPC's growing reconnect delay, not for its own timeout.
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.so_reuseport", 0),
]


class PeerHandler(Protocol):
    """Handles the calls of peers."""

    def answer_digest(self, digest: Digest) -> Digest:
        """Process a peer's digest and return this entry host's digest."""

    def follow(self, stream: str, offset: int) -> AsyncIterator[RelayBatch]:
        """Yield records of a stream from an offset on."""

    def copy_state(self, stream: str) -> StateCopy | None:
        """Return the encoded state of a stream, or None if there is none yet."""

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append to the platform on behalf of a peer."""

    def preempt(self, pool: str, count: int) -> None:
        """Preempt up to `count` tasks of a pool for urgent work of a peer."""


class _Servicer(services.PeerServicer):  # type: ignore[misc]
    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def Exchange(self, request: Any, context: Any) -> Any:  # noqa: N802
        answer = self._handler.answer_digest(_parse_digest(request))
        return _build_digest(answer)

    async def Follow(self, request: Any, context: Any) -> Any:  # noqa: N802
        async for batch in self._handler.follow(request.stream, request.from_offset):
            yield pb.RecordBatch(
                records=[_build_record(record) for record in batch.records],
                age_ms=batch.age_ms,
                first_offset=batch.first_offset,
            )

    async def FetchState(self, request: Any, context: Any) -> Any:  # noqa: N802
        copy = self._handler.copy_state(request.stream)
        if copy is None:
            return pb.StateReply(available=False)
        return pb.StateReply(
            next_offset=copy.next_offset, state=copy.state, available=True
        )

    async def Append(self, request: Any, context: Any) -> Any:  # noqa: N802
        try:
            offset = await self._handler.append(
                request.stream, request.id, request.body
            )
        except PlatformUnavailableError:
            return pb.AppendReply(error="unavailable")
        except PlatformOutcomeUnknownError:
            return pb.AppendReply(error="outcome_unknown")
        return pb.AppendReply(offset=offset)

    async def GiveWay(self, request: Any, context: Any) -> Any:  # noqa: N802
        self._handler.preempt(request.pool, request.count)
        return pb.GiveWayReply()


class PeerServer:
    """Serves peers on an address while the context is open."""

    def __init__(self, handler: PeerHandler, address: str) -> None:
        self._handler = handler
        self._address = address

    async def __aenter__(self) -> Self:
        """Start listening."""
        self._server = grpc.aio.server(options=_CHANNEL_OPTIONS)
        services.add_PeerServicer_to_server(_Servicer(self._handler), self._server)
        if self._server.add_insecure_port(self._address) == 0:
            raise OSError(f"can't listen on {self._address}")
        await self._server.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop listening and end open calls."""
        await self._server.stop(grace=0.2)


class GrpcPeerClient:
    """Calls other entry hosts over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, Any] = {}

    async def __aenter__(self) -> Self:
        """Return the client; channels open on first use."""
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()

    def _get_stub(self, address: str) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
            self._channels[address] = channel
        return services.PeerStub(channel)

    async def close_channel(self, address: str) -> None:
        """Close the channel to an address that is no longer used."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def exchange(self, address: str, digest: Digest) -> Digest:
        """Send this entry host's digest and return the peer's digest."""
        call = self._get_stub(address).Exchange
        try:
            reply = await call(_build_digest(digest), timeout=EXCHANGE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise PeerUnreachableError(_format_error(error)) from error
        return _parse_digest(reply)

    async def follow(
        self, address: str, stream: str, offset: int
    ) -> AsyncIterator[RelayBatch]:
        """Yield records from an offset on, with empty batches as heartbeats."""
        request = pb.FollowRequest(stream=stream, from_offset=offset)
        call = self._get_stub(address).Follow(request)
        try:
            async for batch in call:
                yield RelayBatch(
                    records=tuple(_parse_record(item) for item in batch.records),
                    age_ms=batch.age_ms,
                    first_offset=batch.first_offset,
                )
        except grpc.aio.AioRpcError as error:
            raise PeerUnreachableError(_format_error(error)) from error
        finally:
            call.cancel()

    async def fetch_state(self, address: str, stream: str) -> StateCopy | None:
        """Return the peer's state of a stream, or None if the peer has none."""
        call = self._get_stub(address).FetchState
        try:
            reply = await call(pb.StateRequest(stream=stream), timeout=STATE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise PeerUnreachableError(_format_error(error)) from error
        if not reply.available:
            return None
        return StateCopy(reply.next_offset, reply.state)

    async def append(self, address: str, stream: str, record_id: str, body: str) -> int:
        """Append to the platform through the peer."""
        request = pb.AppendRequest(stream=stream, id=record_id, body=body)
        try:
            reply = await self._get_stub(address).Append(
                request, timeout=APPEND_TIMEOUT_S
            )
        except grpc.aio.AioRpcError as error:
            raise RelayedAppendUnknownError(_format_error(error)) from error
        if reply.error == "unavailable":
            raise RelayedAppendRefusedError("the peer can't reach the platform")
        if reply.error:
            raise RelayedAppendUnknownError(reply.error)
        return int(reply.offset)

    async def preempt(self, address: str, pool: str, count: int) -> None:
        """Request that the peer preempt up to `count` of its tasks in a pool."""
        request = pb.GiveWayRequest(pool=pool, count=count)
        try:
            await self._get_stub(address).GiveWay(request, timeout=EXCHANGE_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            raise PeerUnreachableError(_format_error(error)) from error


def _format_error(error: grpc.aio.AioRpcError) -> str:
    return f"{error.code().name}: {error.details()}"


def _build_record(record: LogRecord) -> Any:
    return pb.Record(
        offset=record.offset,
        appended_ms=record.appended_ms,
        id=record.id,
        body=record.body,
    )


def _parse_record(item: Any) -> LogRecord:
    return LogRecord(item.offset, item.appended_ms, item.id, item.body)


def _build_info(info: PeerInfo) -> Any:
    return pb.PeerInfo(
        node_id=info.node_id,
        incarnation_ms=info.incarnation_ms,
        peer_address=info.peer_address,
        operator_address=info.operator_address,
        data_centre=info.data_centre,
    )


def _parse_info(item: Any) -> PeerInfo:
    return PeerInfo(
        node_id=item.node_id,
        incarnation_ms=item.incarnation_ms,
        peer_address=item.peer_address,
        operator_address=item.operator_address,
        data_centre=item.data_centre,
    )


def _build_digest(digest: Digest) -> Any:
    return pb.Digest(
        sender=_build_info(digest.sender),
        control_offset=digest.control_offset,
        work_offset=digest.work_offset,
        catalogue_revision=digest.catalogue_revision,
        leaving=digest.is_leaving,
        platform_reachable=digest.is_platform_reachable,
        pools=_build_demand(digest.pool_demand),
        owners=_build_demand(digest.owner_demand),
        known=[_build_info(info) for info in digest.known],
        checkpoints=[
            pb.Checkpoint(
                stream=item.stream, next_offset=item.next_offset, digest=item.digest
            )
            for item in digest.checkpoints
        ],
    )


def _build_demand(demand: Any) -> list[Any]:
    return [
        pb.Demand(name=name, slots=slots) for name, slots in demand.items() if slots
    ]


def _parse_digest(item: Any) -> Digest:
    return Digest(
        sender=_parse_info(item.sender),
        control_offset=item.control_offset,
        work_offset=item.work_offset,
        catalogue_revision=item.catalogue_revision,
        is_leaving=item.leaving,
        is_platform_reachable=item.platform_reachable,
        pool_demand={entry.name: entry.slots for entry in item.pools},
        owner_demand={entry.name: entry.slots for entry in item.owners},
        known=tuple(_parse_info(info) for info in item.known),
        checkpoints=tuple(
            Checkpoint(entry.stream, entry.next_offset, entry.digest)
            for entry in item.checkpoints
        ),
    )
