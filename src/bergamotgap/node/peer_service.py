"""What this entry host tells and does for its peers."""

from collections.abc import AsyncIterator, Callable, Mapping
from typing import Any

from bergamotgap.adapters.logs import get_logger
from bergamotgap.node.following import relay_stream
from bergamotgap.node.membership import Membership, PeerView
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.streams import Stream
from bergamotgap.ports.peer import (
    Checkpoint,
    Digest,
    PeerClient,
    PeerError,
    PeerInfo,
    PeerUnreachableError,
    RelayBatch,
    RelayedAppendRefusedError,
    StateCopy,
)

MAX_RELAY_ATTEMPTS = 8

DemandSource = Callable[[], Mapping[str, float]]

log = get_logger(__name__)


class PeerService:
    """Build our digests, compare checkpoints, relay streams and appends."""

    def __init__(
        self,
        info: PeerInfo,
        streams: Mapping[str, Stream[Any]],
        platform: PlatformHealth,
        pool_demand: DemandSource,
        owner_demand: DemandSource,
        preempt: Callable[[str, int], None],
    ) -> None:
        self._preempt = preempt
        self._info = info
        self._streams = streams
        self._platform = platform
        self._pool_demand = pool_demand
        self._owner_demand = owner_demand
        self._membership: Membership | None = None
        self._divergences = 0

    @property
    def divergence_count(self) -> int:
        """Return how often a peer's folded state differed from ours."""
        return self._divergences

    def attach_membership(self, membership: Membership) -> None:
        """Give the membership, which itself needs this service's digests."""
        self._membership = membership

    def build_digest(self, known: tuple[PeerInfo, ...]) -> Digest:
        """Return this node's digest."""
        control = self._streams["control"]
        checkpoints = tuple(
            Checkpoint(
                name,
                max(stream.checkpoints),
                stream.checkpoints[max(stream.checkpoints)],
            )
            for name, stream in self._streams.items()
            if stream.checkpoints
        )
        return Digest(
            sender=self._info,
            control_offset=control.next_offset,
            work_offset=self._streams["work"].next_offset,
            catalogue_revision=control.state.revision,
            is_leaving=self._membership is not None and self._membership.is_leaving,
            is_platform_reachable=self._platform.is_reachable,
            pool_demand=self._pool_demand(),
            owner_demand=self._owner_demand(),
            known=known,
            checkpoints=checkpoints,
        )

    def handle_digest(self, digest: Digest) -> None:
        """Compare a peer's checkpoints with ours."""
        for checkpoint in digest.checkpoints:
            stream = self._streams.get(checkpoint.stream)
            if stream is not None and not stream.matches_checkpoint(checkpoint):
                self._divergences += 1
                log.error(
                    "folded state differs from a peer's",
                    peer=digest.sender.node_id,
                    stream=checkpoint.stream,
                    next_offset=checkpoint.next_offset,
                )

    def answer_digest(self, digest: Digest) -> Digest:
        """Take a peer's digest and return our own."""
        if self._membership is None:
            return self.build_digest(())
        return self._membership.answer_digest(digest)

    def follow(self, stream: str, offset: int) -> AsyncIterator[RelayBatch]:
        """Yield records of a stream from an offset on."""
        return relay_stream(self._streams[stream], offset)

    def copy_state(self, stream: str) -> StateCopy | None:
        """Return the encoded state of a stream."""
        return self._streams[stream].copy_state()

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append to the platform for a peer."""
        return await self._platform.append(stream, record_id, body)

    def preempt(self, pool: str, count: int) -> None:
        """Preempt some of our tasks of a pool for a peer's urgent work."""
        self._preempt(pool, count)


def build_relay(
    membership: Membership, client: PeerClient
) -> Callable[[str, str, str], Any]:
    """Return a function that appends through a live peer that reaches the platform."""

    async def append_through_peer(stream: str, record_id: str, body: str) -> int:
        failure: PeerError = PeerUnreachableError("no live peer reaches the platform")
        for peer in _rank_relays(membership):
            try:
                return await client.append(
                    peer.contact_address, stream, record_id, body
                )
            except (RelayedAppendRefusedError, PeerUnreachableError) as error:
                # What a peer last said of the platform may be out of date.
                failure = error
        raise failure

    return append_through_peer


def _rank_relays(membership: Membership) -> list[PeerView]:
    peers = [peer for peer in membership.list_live() if peer.is_platform_reachable]
    peers.sort(
        key=lambda peer: (peer.data_centre != membership.data_centre, peer.node_id)
    )
    return peers[:MAX_RELAY_ATTEMPTS]
