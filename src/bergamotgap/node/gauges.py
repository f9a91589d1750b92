"""Gauges of one entry host, read when the metrics are collected."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from bergamotgap.domain.control_state import ControlState
from bergamotgap.node.membership import Membership
from bergamotgap.node.peer_service import PeerService
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter

Reading = tuple[float, Mapping[str, str]]
# Reading of a stream's age before the first contact with the platform.
NO_CONTACT_READING = -1.0


class GaugeRegistry(Protocol):
    """Registers gauges with the metrics exporter."""

    def observe_gauge(
        self, name: str, description: str, read: Callable[[], Iterable[Reading]]
    ) -> None:
        """Register a gauge; `read` is called whenever the metrics are collected."""


def register_stream_gauges(
    registry: GaugeRegistry,
    streams: Iterable[Stream[Any]],
    writers: Iterable[tuple[str, StreamWriter]],
) -> None:
    """Register gauges of the progress and freshness of each stream."""
    streams, writers = tuple(streams), tuple(writers)
    registry.observe_gauge(
        "stream_next_offset",
        "Offset of the next record to fold",
        lambda: [(stream.next_offset, {"stream": stream.name}) for stream in streams],
    )
    registry.observe_gauge(
        "stream_age_ms",
        "Time since the platform was heard, -1 for never",
        lambda: [
            (
                NO_CONTACT_READING if stream.age_ms is None else stream.age_ms,
                {"stream": stream.name},
            )
            for stream in streams
        ],
    )
    registry.observe_gauge(
        "stream_halted",
        "1 when an unknown record stopped the fold",
        lambda: [
            (float(stream.halt_reason is not None), {"stream": stream.name})
            for stream in streams
        ],
    )
    registry.observe_gauge(
        "stream_appends",
        "Appends sent since start",
        lambda: [(writer.append_count, {"stream": name}) for name, writer in writers],
    )
    registry.observe_gauge(
        "stream_records",
        "Records sent since start",
        lambda: [(writer.record_count, {"stream": name}) for name, writer in writers],
    )


def register_fleet_gauges(
    registry: GaugeRegistry,
    control: Stream[ControlState],
    membership: Membership,
    platform: PlatformHealth,
    service: PeerService,
    is_ready: Callable[[], bool],
) -> None:
    """Register gauges of the state of this entry host, its peers and the pools."""

    def read_pools() -> list[Reading]:
        counts = Counter(host.pool or "none" for host in control.state.hosts.values())
        return [(float(count), {"pool": pool}) for pool, count in counts.items()]

    registry.observe_gauge(
        "node_ready", "1 when ready", lambda: [(float(is_ready()), {})]
    )
    registry.observe_gauge(
        "catalogue_revision",
        "Catalogue revision in force on this host",
        lambda: [(control.state.revision, {})],
    )
    registry.observe_gauge("pool_hosts", "Hosts by pool", read_pools)
    registry.observe_gauge(
        "peers_live",
        "Live entry hosts besides this one",
        lambda: [(len(membership.list_live()), {})],
    )
    registry.observe_gauge(
        "platform_reachable",
        "1 when the last call to the platform was answered",
        lambda: [(float(platform.is_reachable), {})],
    )
    registry.observe_gauge(
        "state_divergences",
        "Digests of peers that differed from ours since start",
        lambda: [(service.divergence_count, {})],
    )
