"""Which hosts of a wave begin their upkeep next; pure decisions."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import HostInfo, Wave

UP = "up"
IN_MAINTENANCE = "upkeep"
# Hosts that are emptied while others are in upkeep, so that no time is lost.
DRAIN_AHEAD = 2


@dataclass
class WaveProgress:
    """Hosts of a wave that began their upkeep, by ms of our clock, and those back."""

    begun_ms: dict[str, int] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    # Hosts whose order got no answer: it may be executed now or later.
    unanswered: set[str] = field(default_factory=set)

    def list_in_maintenance(self) -> set[str]:
        """Return the hosts that may be down for their upkeep."""
        return set(self.begun_ms) - self.done


def record_in_maintenance(
    wave: Wave, progress: WaveProgress, hosts: Mapping[str, HostInfo], now_ms: int
) -> None:
    """Count hosts that are in upkeep by an order of a former holder."""
    for host in wave.hosts:
        info = hosts.get(host)
        if info and info.state == IN_MAINTENANCE and host not in progress.begun_ms:
            progress.begun_ms[host] = now_ms


def record_returned(
    progress: WaveProgress,
    hosts: Mapping[str, HostInfo],
    now_ms: int,
    maintenance_ms: int,
) -> None:
    """Note hosts that are up again after the time of an upkeep, or that have left."""
    for host in progress.list_in_maintenance() - progress.unanswered:
        info = hosts.get(host)
        if now_ms - progress.begun_ms[host] < maintenance_ms:
            continue
        if info is None or info.state == UP:
            progress.done.add(host)


def is_wave_completed(
    wave: Wave, progress: WaveProgress, hosts: Mapping[str, HostInfo]
) -> bool:
    """Tell whether each host of a wave that stays has begun and is back."""
    return all(host in progress.done or host not in hosts for host in wave.hosts)


def list_drain_candidates(
    wave: Wave,
    progress: WaveProgress,
    hosts: Mapping[str, HostInfo],
    spare_pools: frozenset[str],
) -> list[HostInfo]:
    """Return the hosts to empty now, those that are easy to empty first."""
    waiting = [
        hosts[host]
        for host in wave.hosts
        if host not in progress.begun_ms and host in hosts and hosts[host].state == UP
    ]
    repeated = [hosts[host] for host in progress.unanswered if host in hosts]
    waiting.sort(key=lambda info: (info.pool not in spare_pools, info.host))
    free = wave.cap - len(progress.list_in_maintenance())
    return repeated + waiting[: max(0, free) + DRAIN_AHEAD]
