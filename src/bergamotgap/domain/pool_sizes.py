"""Decides how many hosts each pool needs and which move; all functions are pure."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Tasks rarely fill a worker completely, so a pool gets a tenth more than it asks for.
HEADROOM_FACTOR = 1.1
# A host that has been idle for less is not returned to the spare pool, because moving
# it away and back costs about as much as two seconds of a host in a pool.
MIN_IDLE_MS = 1000
# A pool is sized to clear its backlog within this time, which is about what remains of
# a latency objective after a move.
BACKLOG_CLEAR_MS = 1500


@dataclass(frozen=True)
class IdleHost:
    """A host that its pool may release: its worker has been idle for `idle_ms`.

    Also used for hosts that run only late work; `idle_ms` is 0 for these.
    """

    host: str
    worker_id: str
    cpu: int
    idle_ms: int
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PoolDemand:
    """What a pool needs and has, in 1/1000 cores; arriving hosts are on their way.

    `on_time_cpu` is the part of the need that comes from work which can still be on
    time.
    """

    pool: str
    wanted_cpu: int
    on_time_cpu: int
    capacity_cpu: int
    arriving_cpu: int
    workers: int
    idle: tuple[IdleHost, ...]
    arriving_workers: int = 0
    # Workers needed to spread the waiting tasks over hosts, and labels that waiting
    # tasks require but no worker of the pool has.
    least_workers: int = 0
    labels: frozenset[str] = frozenset()
    # Hosts that run only work which can no longer be on time.
    late: tuple[IdleHost, ...] = ()

    @property
    def on_time_missing_cpu(self) -> float:
        """Return the CPU missing for work that can be on time; negative if enough."""
        return (
            self.on_time_cpu * HEADROOM_FACTOR - self.capacity_cpu - self.arriving_cpu
        )

    @property
    def missing_workers(self) -> int:
        """Return how many more hosts the spread of tasks needs, whatever their size."""
        return self.least_workers - self.workers - self.arriving_workers

    @property
    def missing_cpu(self) -> float:
        """Return the CPU that the pool lacks; negative for CPU it can spare."""
        held = self.capacity_cpu + self.arriving_cpu
        return self.wanted_cpu * HEADROOM_FACTOR - held


def forecast_demand(
    used_cpu: int, waiting_work: float, offered_cpu: float, held_cpu: int, lead_ms: int
) -> int:
    """Return the 1/1000 cores that a pool needs once a move ordered now completes.

    `offered_cpu` is the offered load, the CPU that a pool uses when it keeps up with
    arriving work. The backlog, which is `waiting_work` in 1/1000 core-ms and what
    accumulates until then, must be cleared within BACKLOG_CLEAR_MS, so that most of it
    is on time.
    """
    backlog = waiting_work + max(0.0, offered_cpu - held_cpu) * lead_ms
    return int(max(offered_cpu, used_cpu) + backlog / BACKLOG_CLEAR_MS)


@dataclass(frozen=True)
class SpareHost:
    """An available host of a spare pool."""

    host: str
    pool: str
    cpu: int
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Move:
    """A host to move between pools; `worker_id` is empty for hosts of a spare pool."""

    host: str
    worker_id: str
    source: str
    target: str


def plan_moves(
    demands: Sequence[PoolDemand], spare: Sequence[SpareHost], spare_pool: str
) -> list[Move]:
    """Return the moves to order now.

    Pools with the highest demand relative to their size are served first, from spare
    hosts before idle hosts of other pools. Idle hosts that no pool needs are returned
    to the spare pool after MIN_IDLE_MS.
    """
    donors = [*_list_spare_donors(spare), *_list_idle_donors(demands)]
    moves: list[Move] = []
    taken: set[str] = set()
    for demand in sorted(demands, key=_rank_by_demand):
        missing, workers = demand.missing_cpu, demand.missing_workers
        labels = set(demand.labels)
        for donor in _sort_by_labels(donors, labels):
            has_label = not labels.isdisjoint(donor.labels)
            if missing <= 0 and workers <= 0 and not has_label:
                break
            if donor.host in taken or donor.source == demand.pool:
                continue
            taken.add(donor.host)
            moves.append(Move(donor.host, donor.worker_id, donor.source, demand.pool))
            missing -= donor.cpu
            workers -= 1
            labels -= donor.labels
    if spare_pool:
        moves += _return_idle(donors, taken, spare_pool)
    return moves


def _sort_by_labels(donors: list["_Donor"], labels: set[str]) -> list["_Donor"]:
    """Sort hosts with at least one required label first."""
    return sorted(donors, key=lambda donor: labels.isdisjoint(donor.labels))


def list_short_pools(demands: Iterable[PoolDemand], moves: Iterable[Move]) -> set[str]:
    """Return the short pools to which neither a planned move nor a host is coming.

    Only work that can be on time counts. Otherwise two pools with late work could each
    wait for the other.
    """
    incoming = Counter(move.target for move in moves)
    return {
        demand.pool
        for demand in demands
        if demand.on_time_missing_cpu > 0
        and not incoming[demand.pool]
        and demand.arriving_cpu == 0
    }


def plan_preemptions(
    demands: Sequence[PoolDemand], moves: Sequence[Move]
) -> list[Move]:
    """Return moves that take hosts from late work for on-time work of other pools.

    Pools that planned moves already supply are skipped. A donor pool keeps the hosts
    that its own on-time work needs, and at least one worker.
    """
    incoming = Counter(move.target for move in moves)
    donors = _list_late_donors(demands, moves)
    planned: list[Move] = []
    for demand in sorted(demands, key=_rank_by_demand):
        missing = 0.0 if incoming[demand.pool] else demand.on_time_missing_cpu
        for donor in [donor for donor in donors if donor.source != demand.pool]:
            if missing <= 0:
                break
            donors.remove(donor)
            missing -= donor.cpu
            move = Move(donor.host, donor.worker_id, donor.source, demand.pool)
            planned.append(move)
    return planned


def _list_late_donors(
    demands: Iterable[PoolDemand], moves: Sequence[Move]
) -> list["_Donor"]:
    """Return the hosts with late work that their pools can spare."""
    leaving = Counter(move.source for move in moves)
    donors: list[_Donor] = []
    for demand in demands:
        workers = demand.workers - leaving[demand.pool]
        surplus_cpu = -demand.on_time_missing_cpu
        donors += _take_surplus(demand, demand.late, surplus_cpu, workers)
    return donors


@dataclass(frozen=True)
class _Donor:
    host: str
    worker_id: str
    source: str
    cpu: int
    idle_ms: int
    is_spare: bool
    labels: frozenset[str]


def _rank_by_demand(demand: PoolDemand) -> float:
    held = demand.capacity_cpu + demand.arriving_cpu
    return -demand.wanted_cpu / max(1, held)


def _list_spare_donors(spare: Iterable[SpareHost]) -> list[_Donor]:
    return [
        _Donor(host.host, "", host.pool, host.cpu, 0, True, host.labels)
        for host in spare
    ]


def _list_idle_donors(demands: Iterable[PoolDemand]) -> list[_Donor]:
    donors: list[_Donor] = []
    for demand in demands:
        longest_first = sorted(demand.idle, key=lambda idle: -idle.idle_ms)
        surplus_cpu = -demand.missing_cpu
        donors += _take_surplus(demand, longest_first, surplus_cpu, demand.workers)
    return donors


def _take_surplus(
    demand: PoolDemand, hosts: Iterable[IdleHost], surplus_cpu: float, workers: int
) -> list[_Donor]:
    """Return the first hosts, in the given order, that the pool can spare."""
    donors: list[_Donor] = []
    for host in hosts:
        # The last worker stays, so that a pool can always run something.
        if surplus_cpu < host.cpu or workers <= max(1, demand.least_workers):
            break
        surplus_cpu -= host.cpu
        workers -= 1
        donors.append(
            _Donor(
                host.host,
                host.worker_id,
                demand.pool,
                host.cpu,
                host.idle_ms,
                False,
                host.labels,
            )
        )
    return donors


def _return_idle(
    donors: Iterable[_Donor], taken: set[str], spare_pool: str
) -> list[Move]:
    return [
        Move(donor.host, donor.worker_id, donor.source, spare_pool)
        for donor in donors
        if not donor.is_spare
        and donor.host not in taken
        and donor.idle_ms >= MIN_IDLE_MS
    ]
