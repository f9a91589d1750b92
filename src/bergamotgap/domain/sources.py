"""Chooses the sources from which an entry host reads a stream."""

from collections.abc import Iterable
from dataclasses import dataclass

PLATFORM = "platform"


@dataclass(frozen=True, slots=True)
class SourceCandidate:
    """A live entry host that could relay a stream."""

    node_id: str
    data_centre: str
    is_platform_reachable: bool
    next_offset: int


def rank_sources(
    own: SourceCandidate, peers: Iterable[SourceCandidate]
) -> tuple[str, ...]:
    """Return the sources in order of preference; each is PLATFORM or a node id.

    In each data centre, the entry host with the lowest node id that can reach the
    platform reads from it, and the others follow that host. All hosts apply the same
    rule, so they agree on the reader without exchanging messages.
    """
    known = tuple(peers)
    local = [peer for peer in known if peer.data_centre == own.data_centre]
    remote = [peer for peer in known if peer.data_centre != own.data_centre]
    readers = [item for item in (own, *local) if item.is_platform_reachable]
    reader = min((item.node_id for item in readers), default=None)
    order: list[str] = []
    if reader is not None and reader != own.node_id:
        order.append(reader)
    if own.is_platform_reachable:
        order.append(PLATFORM)
    others = sorted(
        (*local, *remote),
        key=lambda peer: (
            not peer.is_platform_reachable,
            peer.data_centre != own.data_centre,
            -peer.next_offset,
            peer.node_id,
        ),
    )
    order += [peer.node_id for peer in others if peer.node_id not in order]
    if PLATFORM not in order:
        order.append(PLATFORM)
    return tuple(order)
