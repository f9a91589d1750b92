"""State dump: what one entry host believes and how old each belief is."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from bergamotgap.adapters.fleet_views import describe_hosts, describe_nodes
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.node.following import Follower
from bergamotgap.node.membership import Membership
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.streams import Stream
from bergamotgap.node.workers import Workers
from bergamotgap.ports.worker import WorkerStatus


@dataclass(frozen=True, slots=True)
class DumpSources:
    """The parts of a node whose beliefs are dumped."""

    clock: Clock
    control: Stream[ControlState]
    followers: Sequence[Follower[Any]]
    membership: Membership
    platform: PlatformHealth
    workers: Workers
    admission: Any
    is_ready: Callable[[], bool]
    describe_work: Callable[[], Mapping[str, int]]


def build_dump(sources: DumpSources) -> dict[str, Any]:
    """Return the dump; all ages are in milliseconds."""
    now_ms = sources.clock.monotonic_ms()
    state = sources.control.state
    return {
        "node_id": sources.membership.node_id,
        "incarnation_ms": sources.membership.info.incarnation_ms,
        "wall_ms": sources.clock.wall_ms(),
        "is_ready": sources.is_ready(),
        "is_leaving": sources.membership.is_leaving,
        "platform": _dump_platform(sources.platform, now_ms),
        "streams": {f.stream.name: _dump_stream(f) for f in sources.followers},
        "peers": list_nodes(sources)[1:],
        "catalogue_revision": state.revision,
        "plan_revision": state.plan_revision,
        "hosts": describe_hosts(
            state, lambda host: read_status(sources.workers, host), now_ms
        ),
        "work": dict(sources.describe_work()),
        "admission": _dump_admission(sources.admission),
    }


def list_nodes(sources: DumpSources) -> list[dict[str, Any]]:
    """Return this entry host and its peers, as the operators' interface shows them."""
    offsets = {
        f"{follower.stream.name}_offset": follower.stream.next_offset
        for follower in sources.followers
    }
    own = {
        "catalogue_revision": sources.control.state.revision,
        **offsets,
        "is_platform_reachable": sources.platform.is_reachable,
    }
    return describe_nodes(sources.membership, own, sources.clock.monotonic_ms())


def read_status(workers: Workers, host: str) -> WorkerStatus | None:
    """Return the last status that a worker gave."""
    return workers.view(host).status


def _dump_platform(platform: PlatformHealth, now_ms: int) -> dict[str, Any]:
    return {
        "is_reachable": platform.is_reachable,
        "age_ms": now_ms - platform.changed_ms,
    }


def _dump_stream(follower: Follower[Any]) -> dict[str, Any]:
    stream = follower.stream
    return {
        "next_offset": stream.next_offset,
        "age_ms": stream.age_ms,
        "source": follower.source,
        "is_loaded": stream.is_loaded,
        "is_caught_up": follower.is_caught_up,
        "halt_reason": stream.halt_reason,
        "checkpoints": {str(n): digest for n, digest in stream.checkpoints.items()},
    }


def _dump_admission(admission: Any) -> Any:
    """Return what the admission tells of its queues, or just the demand."""
    describe = getattr(admission, "describe", None)
    if describe is not None:
        return describe()
    return {
        "pool_demand": dict(admission.pool_demand()),
        "owner_demand": dict(admission.owner_demand()),
    }
