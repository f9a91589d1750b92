"""State dump of one entry host: its current view and how old each part of it is."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from bergamotgap.adapters.fleet_views import describe_hosts, describe_nodes
from bergamotgap.adapters.operator_http import OperatorSources
from bergamotgap.domain.clock import Clock
from bergamotgap.node.following import StreamFollower
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.recent_jobs import RecentJobs
from bergamotgap.node.stream_components import StreamComponents
from bergamotgap.node.work_components import WorkComponents
from bergamotgap.node.workers import Workers
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.worker import WorkerStatus


@dataclass(frozen=True, slots=True)
class DumpSources:
    """The components whose state goes into the dump."""

    clock: Clock
    streams: StreamComponents
    workers: Workers
    admission: Any
    work: WorkComponents
    is_ready: Callable[[], bool]


def build_operator_sources(
    sources: DumpSources, writer: StreamWriter
) -> OperatorSources:
    """Return the data sources of the operator API."""
    return OperatorSources(
        control=sources.streams.control,
        writer=writer,
        clock=sources.clock,
        dump=lambda: build_dump(sources),
        is_ready=sources.is_ready,
        list_nodes=lambda: _list_nodes(sources),
        read_status=lambda host: _read_status(sources.workers, host),
        list_jobs=RecentJobs(sources.streams.work).describe,
    )


def build_dump(sources: DumpSources) -> dict[str, Any]:
    """Return the state dump; all ages are in milliseconds."""
    now_ms = sources.clock.monotonic_ms()
    streams = sources.streams
    state = streams.control.state
    own, *peers = _list_nodes(sources)
    return {
        **own,
        "wall_ms": sources.clock.wall_ms(),
        "is_ready": sources.is_ready(),
        "is_planner": streams.is_planner(),
        "platform": _dump_platform(streams.platform, now_ms),
        "streams": {f.stream.name: _dump_stream(f) for f in streams.followers},
        "peers": peers,
        "plan_revision": state.plan_revision,
        "hosts": describe_hosts(
            state, lambda host: _read_status(sources.workers, host), now_ms
        ),
        "work": {
            "jobs_owned": sources.work.jobs.owned_count,
            **streams.work.state.counts,
        },
        "admission": _dump_admission(sources.admission),
    }


def _list_nodes(sources: DumpSources) -> list[dict[str, Any]]:
    """Return the description of this entry host, followed by those of its peers."""
    streams = sources.streams
    own: Mapping[str, Any] = {
        "catalogue_revision": streams.control.state.revision,
        "control_offset": streams.control.next_offset,
        "work_offset": streams.work.next_offset,
        "is_platform_reachable": streams.platform.is_reachable,
    }
    return describe_nodes(streams.membership, own, sources.clock.monotonic_ms())


def _read_status(workers: Workers, host: str) -> WorkerStatus | None:
    return workers.view(host).status


def _dump_platform(platform: PlatformHealth, now_ms: int) -> dict[str, Any]:
    return {
        "is_reachable": platform.is_reachable,
        "age_ms": now_ms - platform.changed_ms,
    }


def _dump_stream(follower: StreamFollower[Any]) -> dict[str, Any]:
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
    """Return the admission's description of its queues, or else only the demand."""
    describe = getattr(admission, "describe", None)
    if describe is not None:
        return describe()
    return {
        "pool_demand": dict(admission.pool_demand()),
        "owner_demand": dict(admission.owner_demand()),
    }
