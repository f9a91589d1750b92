"""Data kept by the fold of the `control` stream; snapshots encode it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Literal

from bergamotgap.domain.records import HostSeen

WaveStatus = Literal["open", "cancelled", "completed"]


@dataclass(frozen=True, slots=True)
class HostState:
    """One host: its facts, its pool (None between pools) and its epoch.

    `draining_in` names the wave that the host drains for. `boot_id` is the last
    recorded boot id; while the host drains it stays at its value from the start of the
    drain. `changed_ms` is the log's time of the last release or start of a drain,
    `assigned_ms` that of the last assignment.
    """

    facts: HostSeen
    pool: str | None
    epoch: int
    is_down: bool = False
    draining_in: str | None = None
    boot_id: str | None = None
    changed_ms: int = 0
    assigned_ms: int = 0

    @property
    def is_serving(self) -> bool:
        """Return whether the host is in a pool and neither down nor draining."""
        return self.pool is not None and not self.is_down and self.draining_in is None


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted revision of the catalogue."""

    revision: int
    document: str
    operator: str
    appended_ms: int


@dataclass(frozen=True, slots=True)
class Wave:
    """One maintenance wave; `done` hosts rebooted, `removed` hosts left the fleet."""

    wave: str
    hosts: tuple[str, ...]
    operator: str
    declared_ms: int
    declared_offset: int
    status: WaveStatus = "open"
    done: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()

    @property
    def pending(self) -> tuple[str, ...]:
        """Return the hosts still awaiting maintenance, in declared order."""
        finished = {*self.done, *self.removed}
        return tuple(host for host in self.hosts if host not in finished)


@dataclass(slots=True)
class ControlData:
    """The complete state of the fold.

    `older_revisions` and `older_waves` count items dropped from the history.
    `epoch_floor` is the highest epoch of any removed host. A host that returns starts
    above it, so that its worker never sees a lower epoch than before.
    """

    revisions: list[Revision] = field(default_factory=list)
    older_revisions: int = 0
    hosts: dict[str, HostState] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    older_waves: int = 0
    plan_revision: int = 0
    epoch_floor: int = 0


def list_pool_hosts(hosts: Mapping[str, HostState], pool: str) -> list[HostState]:
    """Return the hosts of a pool, sorted by name."""
    # Filters before sorting: each planner round and each record of a move or drain
    # calls this with the whole fleet.
    found = [host for host in hosts.values() if host.pool == pool]
    return sorted(found, key=lambda host: host.facts.host)


def count_serving_hosts(hosts: Iterable[HostState]) -> int:
    """Return how many of the hosts are serving."""
    return sum(host.is_serving for host in hosts)
