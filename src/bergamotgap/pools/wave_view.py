"""The hosts of the fleet in one round of the host controller."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bergamotgap.domain.fleet import HostInfo
from bergamotgap.domain.maintenance_plan import (
    UNKNOWN_EMPTY_MS,
    UP,
    PendingHost,
    WorkerLoad,
)


@dataclass(frozen=True)
class HostsView:
    """The hosts of a round, as asked for at `listed_ms`, and what is known of them.

    `loads` holds the recent reports of the owners by worker. No order is given for
    hosts in `busy`, which move or are in maintenance of another wave. Hosts of the
    pools in `spare` need no drain.
    """

    hosts: Mapping[str, HostInfo]
    listed_ms: int
    loads: Mapping[str, WorkerLoad]
    busy: Collection[str]
    spare: Collection[str]

    def is_load_known(self, info: HostInfo) -> bool:
        """Return whether it is known what must end before a host is empty."""
        is_free = info.pool in self.spare or not info.worker_id
        return is_free or info.worker_id in self.loads

    def describe_host(
        self, info: HostInfo, drained_ms: int | None, was_away: bool
    ) -> PendingHost:
        """Describe a host that is up for the plan.

        `drained_ms` is how long it has been drained: None if not, 0 if it is empty.
        """
        is_draining = drained_ms is not None
        is_empty = info.pool in self.spare or not info.worker_id or drained_ms == 0
        if is_empty:
            return PendingHost(info.host, 0, (), is_draining, was_away)
        load = self.loads.get(info.worker_id)
        if load is None:
            # The longer a drain takes the longer it may still take; others go first.
            unknown_ms = 0 if was_away else UNKNOWN_EMPTY_MS
            short_ms = max(unknown_ms, (drained_ms or 0) // 2)
            return PendingHost(info.host, short_ms, (), is_draining, was_away)
        return PendingHost(
            info.host, load.short_ms, load.long_tasks, is_draining, was_away
        )


def list_absent_hosts(hosts: Mapping[str, HostInfo], pool: str) -> tuple[str, ...]:
    """Return the hosts of a pool that are not up."""
    return tuple(
        info.host for info in hosts.values() if info.pool == pool and info.state != UP
    )
