"""Membership: heartbeats with the other entry hosts, and which of them are live."""

import asyncio
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.node.supervision import supervise
from bergamotgap.ports.peer import Digest, PeerClient, PeerError, PeerInfo

PEER_TIMEOUT_MS = 3000
LOCAL_HEARTBEAT_INTERVAL_MS = 500
REMOTE_HEARTBEAT_INTERVAL_MS = 1000
# Limits the heartbeats that one entry host sends to other data centres per second, so
# that their cost doesn't grow with the number of entry hosts.
MAX_REMOTE_HEARTBEATS_PER_SECOND = 12
FORGET_PEER_AFTER_MS = 60_000
# The list of known peers is resent after this time, in case the digest that carried it
# was lost.
KNOWN_PEERS_RESEND_MS = 10_000
HEARTBEAT_JITTER = 0.2

log = get_logger(__name__)


@dataclass(frozen=True, slots=True)
class PeerView:
    """A peer's last digest; `last_contact_ms` is our monotonic time of arrival.

    `contact_address` is the address to call: the one in our settings if the peer
    answered there, otherwise the one that the peer reports.
    """

    node_id: str
    incarnation_ms: int
    peer_address: str
    operator_address: str
    data_centre: str
    last_contact_ms: int
    contact_address: str = ""
    control_offset: int = 0
    work_offset: int = 0
    catalogue_revision: int = 0
    is_leaving: bool = False
    is_platform_reachable: bool = False
    pool_demand: Mapping[str, float] = field(default_factory=dict)
    owner_demand: Mapping[str, float] = field(default_factory=dict)

    def get_offset(self, stream: str) -> int:
        """Return the next offset that the peer reported for a stream."""
        return self.control_offset if stream == "control" else self.work_offset

    @property
    def info(self) -> PeerInfo:
        """Return the peer's identity and addresses."""
        return PeerInfo(
            self.node_id,
            self.incarnation_ms,
            self.peer_address,
            self.operator_address,
            self.data_centre,
        )


class Membership:
    """Exchanges digests with the peers and keeps the last one of each.

    `build_digest` returns this node's digest; its argument is the list of known peers
    to include.
    """

    def __init__(
        self,
        info: PeerInfo,
        seeds: tuple[str, ...],
        client: PeerClient,
        clock: Clock,
        build_digest: Callable[[tuple[PeerInfo, ...]], Digest],
        handle_digest: Callable[[Digest], None],
    ) -> None:
        self._info = info
        self._seeds = seeds
        self._client = client
        self._clock = clock
        self._build_digest = build_digest
        self._handle_digest = handle_digest
        self._peers: dict[str, PeerView] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._contact_addresses: dict[str, str] = {}
        self._sent_known_peers: dict[str, tuple[frozenset[PeerInfo], int]] = {}
        self._is_leaving = False
        self._created_ms = clock.monotonic_ms()
        self._random = random.Random()

    async def __aenter__(self) -> Self:
        """Start a heartbeat task for each seed."""
        for address in self._seeds:
            self._start_heartbeat(address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Cancel the heartbeat tasks."""
        await cancel_tasks(self._tasks.values())

    @property
    def node_id(self) -> str:
        """Return this node's own id."""
        return self._info.node_id

    @property
    def data_centre(self) -> str:
        """Return this node's data centre."""
        return self._info.data_centre

    @property
    def info(self) -> PeerInfo:
        """Return this node's identity and addresses."""
        return self._info

    @property
    def is_leaving(self) -> bool:
        """Return whether this node has announced that it is shutting down."""
        return self._is_leaving

    def list_known(self) -> list[PeerView]:
        """Return all known peers, live or not, excluding this node."""
        return list(self._peers.values())

    def list_expected(self) -> list[str]:
        """Return the peers that may serve: all known ones that are not leaving.

        Until the first contact with a peer, the addresses in the settings stand for the
        peers.
        """
        if not self._peers:
            return list(self._seeds)
        return [peer.node_id for peer in self._peers.values() if not peer.is_leaving]

    def list_live(self) -> list[PeerView]:
        """Return live peers that are not leaving, excluding this node."""
        return [
            peer
            for peer in self._peers.values()
            if self.has_recent_digest(peer) and not peer.is_leaving
        ]

    def has_recent_digest(self, peer: PeerView) -> bool:
        """Return whether a peer's last digest is recent, given its heartbeat interval.

        The interval for peers in other data centres grows with their number.
        """
        interval_ms = self._heartbeat_interval_ms(peer.data_centre)
        limit_ms = max(PEER_TIMEOUT_MS, 3 * interval_ms)
        return self._clock.monotonic_ms() - peer.last_contact_ms <= limit_ms

    def is_live(self, node_id: str) -> bool:
        """Return whether a node is this one or a live peer."""
        if node_id == self.node_id:
            return not self._is_leaving
        return any(peer.node_id == node_id for peer in self.list_live())

    def find_peer(self, node_id: str) -> PeerView | None:
        """Return the view of a peer, or None if it is not known."""
        return self._peers.get(node_id)

    def list_addresses(self) -> list[str]:
        """Return the addresses to call to reach all peers."""
        return list(self._tasks) or list(self._seeds)

    def announce_leaving(self) -> None:
        """Announce in all further digests that this node is shutting down."""
        self._is_leaving = True

    def answer_digest(self, digest: Digest) -> Digest:
        """Record the digest of a peer that called, and return our own."""
        sender = digest.sender
        self._record_digest(digest, self._contact_addresses.get(sender.node_id))
        return self._build_digest_for(f"{sender.node_id}/{sender.incarnation_ms}")

    def _build_digest_for(self, receiver: str) -> Digest:
        return self._build_digest(self._list_peers_to_send(receiver))

    def _list_peers_to_send(self, receiver: str) -> tuple[PeerInfo, ...]:
        """Return the peers with a recent digest, unless the receiver knows the list.

        A receiver that was sent the same list recently gets none: with the list in
        every digest, heartbeats alone exceeded an entry host's budget of 20 KB/s with
        7 entry hosts.
        """
        known = frozenset(
            p.info for p in self._peers.values() if self.has_recent_digest(p)
        )
        last_sent = self._sent_known_peers.get(receiver)
        now_ms = self._clock.monotonic_ms()
        if (
            last_sent is not None
            and last_sent[0] == known
            and now_ms - last_sent[1] < KNOWN_PEERS_RESEND_MS
        ):
            return ()
        self._sent_known_peers[receiver] = (known, now_ms)
        return tuple(sorted(known, key=lambda info: info.node_id))

    def _record_digest(self, digest: Digest, contact_address: str | None) -> None:
        sender = digest.sender
        if sender.node_id == self.node_id:
            return
        known = self._peers.get(sender.node_id)
        if known is not None and sender.incarnation_ms < known.incarnation_ms:
            return
        self._peers[sender.node_id] = PeerView(
            node_id=sender.node_id,
            incarnation_ms=sender.incarnation_ms,
            peer_address=sender.peer_address,
            operator_address=sender.operator_address,
            data_centre=sender.data_centre,
            last_contact_ms=self._clock.monotonic_ms(),
            contact_address=contact_address or sender.peer_address,
            control_offset=digest.control_offset,
            work_offset=digest.work_offset,
            catalogue_revision=digest.catalogue_revision,
            is_leaving=digest.is_leaving,
            is_platform_reachable=digest.is_platform_reachable,
            pool_demand=digest.pool_demand,
            owner_demand=digest.owner_demand,
        )
        self._handle_digest(digest)
        self._start_new_heartbeats((sender, *digest.known))

    def _start_new_heartbeats(self, infos: tuple[PeerInfo, ...]) -> None:
        """Start heartbeats with peers that were learned from digests."""
        for info in infos:
            if info.node_id == self.node_id or info.node_id in self._contact_addresses:
                continue
            if info.peer_address in self._tasks:
                continue
            if self._has_unanswered_seed():
                # This peer may be a seed that has not answered yet.
                continue
            self._contact_addresses[info.node_id] = info.peer_address
            self._start_heartbeat(info.peer_address)

    def _has_unanswered_seed(self) -> bool:
        if self._clock.monotonic_ms() - self._created_ms > FORGET_PEER_AFTER_MS:
            return False
        answered = set(self._contact_addresses.values())
        return any(seed not in answered for seed in self._seeds)

    def _start_heartbeat(self, address: str) -> None:
        if address not in self._tasks:
            self._tasks[address] = asyncio.create_task(
                supervise(
                    f"heartbeat {address}", lambda: self._exchange_digests(address)
                )
            )

    async def _exchange_digests(self, address: str) -> None:
        """Exchange digests with one address.

        Ends when an address that is not in the settings has not answered for long.
        """
        data_centre = self.data_centre
        answered_ms = self._clock.monotonic_ms()
        while True:
            try:
                digest = await self._client.exchange(
                    address, self._build_digest_for(address)
                )
                answered_ms = self._clock.monotonic_ms()
                self._contact_addresses[digest.sender.node_id] = address
                self._record_digest(digest, address)
                data_centre = digest.sender.data_centre
            except PeerError as error:
                log.debug("heartbeat failed", address=address, error=str(error))
            silent_ms = self._clock.monotonic_ms() - answered_ms
            if silent_ms > FORGET_PEER_AFTER_MS:
                self._forget_address(address)
                if address not in self._seeds:
                    del self._tasks[address]
                    return
            jitter = self._random.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
            await self._clock.sleep_ms(
                self._heartbeat_interval_ms(data_centre) * jitter
            )

    def _heartbeat_interval_ms(self, data_centre: str) -> float:
        if data_centre == self.data_centre:
            return LOCAL_HEARTBEAT_INTERVAL_MS
        remote = sum(p.data_centre != self.data_centre for p in self._peers.values())
        return max(
            REMOTE_HEARTBEAT_INTERVAL_MS,
            1000 * remote / MAX_REMOTE_HEARTBEATS_PER_SECOND,
        )

    def _forget_address(self, address: str) -> None:
        self._sent_known_peers.pop(address, None)
        gone = [name for name, at in self._contact_addresses.items() if at == address]
        for name in gone:
            del self._contact_addresses[name]
            peer = self._peers.get(name)
            # A peer that still calls us is alive; only our calls to it fail.
            if peer is not None and not self.has_recent_digest(peer):
                del self._peers[name]
                self._sent_known_peers.pop(f"{name}/{peer.incarnation_ms}", None)
