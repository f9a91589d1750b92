"""Decides which hosts of a wave start maintenance next; performs no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import HostInfo, Wave

UP = "up"
IN_MAINTENANCE = "upkeep"
# How many hosts to drain ahead, while others are in maintenance, to save time.
DRAIN_AHEAD = 2


@dataclass
class WaveProgress:
    """Hosts of a wave that have begun maintenance and those that have returned.

    `begun_ms` holds the start of each host's maintenance by this process's clock.
    """

    begun_ms: dict[str, int] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    # Hosts whose maintenance order got no answer; it may still be executed.
    unanswered: set[str] = field(default_factory=set)

    def list_hosts_in_maintenance(self) -> set[str]:
        """Return the hosts that may be down for maintenance."""
        return set(self.begun_ms) - self.done


def record_hosts_in_maintenance(
    wave: Wave, progress: WaveProgress, hosts: Mapping[str, HostInfo], now_ms: int
) -> None:
    """Record hosts that are in maintenance by order of a former controller."""
    for host in wave.hosts:
        info = hosts.get(host)
        if info and info.state == IN_MAINTENANCE and host not in progress.begun_ms:
            progress.begun_ms[host] = now_ms


def record_returned_hosts(
    progress: WaveProgress,
    hosts: Mapping[str, HostInfo],
    now_ms: int,
    maintenance_ms: int,
) -> None:
    """Record hosts that are up again after `maintenance_ms`, or that have left."""
    for host in progress.list_hosts_in_maintenance() - progress.unanswered:
        info = hosts.get(host)
        if now_ms - progress.begun_ms[host] < maintenance_ms:
            continue
        if info is None or info.state == UP:
            progress.done.add(host)


def is_wave_completed(
    wave: Wave, progress: WaveProgress, hosts: Mapping[str, HostInfo]
) -> bool:
    """Return whether all hosts of a wave have returned from maintenance or left."""
    return all(host in progress.done or host not in hosts for host in wave.hosts)


def list_drain_candidates(
    wave: Wave,
    progress: WaveProgress,
    hosts: Mapping[str, HostInfo],
    spare_pools: frozenset[str],
) -> list[HostInfo]:
    """Return the hosts to drain now.

    Hosts whose order got no answer come first, then hosts of spare pools, which are the
    easiest to drain.
    """
    waiting = [
        hosts[host]
        for host in wave.hosts
        if host not in progress.begun_ms and host in hosts and hosts[host].state == UP
    ]
    repeated = [hosts[host] for host in progress.unanswered if host in hosts]
    waiting.sort(key=lambda info: (info.pool not in spare_pools, info.host))
    free = wave.cap - len(progress.list_hosts_in_maintenance())
    return repeated + waiting[: max(0, free) + DRAIN_AHEAD]


@dataclass(frozen=True)
class LongTasks:
    """Tasks of one long-running step on a worker; `max_away` may be away at once."""

    step: str
    count: int
    max_away: int


@dataclass(frozen=True)
class WorkerLoad:
    """What a worker has to finish, or to give away, before it is empty.

    `short_ms` is the expected time until its last task that ends by itself has ended.
    """

    worker_id: str
    short_ms: int
    long_tasks: tuple[LongTasks, ...] = ()
