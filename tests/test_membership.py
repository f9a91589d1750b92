"""Tests of membership: which peers count as live, and what digests contain."""

from dataclasses import replace

from bergamotgap.domain.clock import ManualClock
from bergamotgap.node.membership import (
    KNOWN_PEERS_RESEND_MS,
    MAX_REMOTE_HEARTBEATS_PER_SECOND,
    PEER_TIMEOUT_MS,
    Membership,
)
from bergamotgap.ports.peer import Digest, PeerInfo
from tests.fakes_platform import FakePeers

REMOTE_PEERS = 5 * MAX_REMOTE_HEARTBEATS_PER_SECOND


def build_info(name: str, data_centre: str) -> PeerInfo:
    return PeerInfo(name, 1, f"{name}:1", f"{name}:2", data_centre)


def build_digest(info: PeerInfo) -> Digest:
    return Digest(info, 0, 0, 0, False, True)


def build_membership(clock: ManualClock) -> Membership:
    info = build_info("own", "dc-1")
    return Membership(
        info,
        ("seed:1",),
        FakePeers(),
        clock,
        lambda known: replace(build_digest(info), known=known),
        lambda digest: None,
    )


def test_peer_is_live_for_its_own_heartbeat_interval() -> None:
    """Guards against counting hosts of a large fleet as gone between heartbeats.

    With many remote peers, the heartbeat interval is longer than the usual time limit.
    """
    clock = ManualClock()
    membership = build_membership(clock)
    for index in range(REMOTE_PEERS):
        membership.answer_digest(build_digest(build_info(f"remote-{index}", "dc-2")))
    membership.answer_digest(build_digest(build_info("local", "dc-1")))
    clock.advance_ms(PEER_TIMEOUT_MS + 1000)
    remote, local = membership.find_peer("remote-0"), membership.find_peer("local")
    assert remote is not None
    assert local is not None
    assert membership.has_recent_digest(remote)
    assert not membership.has_recent_digest(local)


def test_digest_of_a_former_incarnation_is_ignored() -> None:
    """Guards against a delayed digest of a process that has been restarted since."""
    membership = build_membership(ManualClock())
    membership.answer_digest(build_digest(PeerInfo("a", 2, "a:1", "a:2", "dc-1")))
    membership.answer_digest(build_digest(PeerInfo("a", 1, "old:1", "old:2", "dc-1")))
    peer = membership.find_peer("a")
    assert peer is not None
    assert peer.peer_address == "a:1"


def test_leaving_peer_is_not_live() -> None:
    """Guards against work sent to a peer that announced its shutdown."""
    membership = build_membership(ManualClock())
    info = build_info("a", "dc-1")
    membership.answer_digest(Digest(info, 0, 0, 0, True, True))
    assert membership.list_live() == []
    assert membership.list_expected() == []


def test_known_peers_are_sent_when_they_change_and_periodically() -> None:
    """Guards against the list of peers in every heartbeat, and against a lost list."""
    clock = ManualClock()
    membership = build_membership(clock)
    first, second = (build_digest(build_info(name, "dc-1")) for name in "ab")
    membership.answer_digest(second)

    def fetch_known_peers(digest: Digest) -> list[str]:
        membership.answer_digest(second)
        return [info.node_id for info in membership.answer_digest(digest).known]

    assert fetch_known_peers(first) == ["a", "b"]
    assert fetch_known_peers(first) == []
    restarted = replace(first, sender=replace(first.sender, incarnation_ms=2))
    assert fetch_known_peers(restarted) == ["a", "b"]
    clock.advance_ms(KNOWN_PEERS_RESEND_MS)
    assert fetch_known_peers(restarted) == ["a", "b"]
