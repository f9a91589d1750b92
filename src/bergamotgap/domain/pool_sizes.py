"""Decides how many hosts each pool needs and which move; all functions are pure."""

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from bergamotgap.domain.amounts import NOTHING, Amount, measure_share
from bergamotgap.domain.fleet import NO_SIZE, Size

# Tasks rarely fill a worker completely, so a pool gets a tenth more than it asks for.
HEADROOM_FACTOR = 1.1
# A host that has been idle for less is not returned to the spare pool, because moving
# it away and back costs about as much as two seconds of a host in a pool.
MIN_IDLE_MS = 1000
# A pool is sized to clear its backlog within this time, which is about what remains of
# a latency objective after a move.
BACKLOG_CLEAR_MS = 1500


class HostNeed(msgspec.Struct, frozen=True, array_like=True):
    """Hosts for tasks that can start on no worker of their pool.

    Each has at least this size, and the label, if any.
    """

    hosts: int
    size: Size = NO_SIZE
    label: str = ""


@dataclass(frozen=True)
class IdleHost:
    """A host that its pool may release: its worker has been idle for `idle_ms`.

    Also used for hosts that run only late work; `idle_ms` is 0 for these.
    """

    host: str
    worker_id: str
    size: Size
    idle_ms: int
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PoolDemand:
    """What a pool needs and has; arriving hosts are on their way.

    `on_time` is the part of the need for short work that comes from work which can
    still be on time. `lasting` is what long-running tasks take, without headroom.
    """

    pool: str
    wanted: Amount
    on_time: Amount
    capacity: Amount
    arriving: Amount
    workers: int
    idle: tuple[IdleHost, ...]
    arriving_workers: int = 0
    # Workers that the pool keeps.
    least_workers: int = 0
    # Hosts that run only work which can no longer be on time.
    late: tuple[IdleHost, ...] = ()
    lasting: Amount = NOTHING
    # Hosts that waiting tasks fill which fit whole on no worker, and the size of the
    # largest such task.
    whole_hosts: int = 0
    whole_size: Size = NO_SIZE
    # Hosts for tasks that can start on no worker, without those that arriving hosts
    # cover.
    needs: tuple[HostNeed, ...] = ()

    @property
    def missing(self) -> Amount:
        """Return what the pool lacks; negative for what it can spare."""
        return self._subtract_held(self.wanted)

    @property
    def on_time_missing(self) -> Amount:
        """Return what is missing for work that can be on time; negative if enough."""
        return self._subtract_held(self.on_time)

    def _subtract_held(self, wanted: Amount) -> Amount:
        held = self.capacity + self.arriving
        return wanted.scale(HEADROOM_FACTOR) + self.lasting - held

    @property
    def missing_whole_hosts(self) -> int:
        """Return how many more hosts are needed for tasks that fit on no worker."""
        return self.whole_hosts - self.arriving_workers


def forecast_demand(
    used_cpu: float,
    waiting_work: float,
    offered_cpu: float,
    held_cpu: float,
    lead_ms: int,
) -> int:
    """Return the 1/1000 cores that a pool needs once a move ordered now completes.

    `offered_cpu` is the offered load, the CPU that a pool uses when it keeps up with
    arriving work. The backlog, which is `waiting_work` in 1/1000 core-ms and what
    accumulates until then, must be cleared within BACKLOG_CLEAR_MS, so that most of it
    is on time. `held_cpu` is negative if long-running tasks need more than there is.
    """
    backlog = waiting_work + max(0.0, offered_cpu - max(0, held_cpu)) * lead_ms
    return int(max(offered_cpu, used_cpu) + backlog / BACKLOG_CLEAR_MS)


def forecast_need(
    used: Amount, waiting_work: Amount, offered: Amount, held: Amount, lead_ms: int
) -> Amount:
    """Return what a pool needs in each dimension, as `forecast_demand` does for one."""
    return Amount(
        forecast_demand(used.cpu, waiting_work.cpu, offered.cpu, held.cpu, lead_ms),
        forecast_demand(
            used.memory_mb,
            waiting_work.memory_mb,
            offered.memory_mb,
            held.memory_mb,
            lead_ms,
        ),
        forecast_demand(used.gpus, waiting_work.gpus, offered.gpus, held.gpus, lead_ms),
    )


@dataclass(frozen=True)
class SpareHost:
    """An available host of a spare pool."""

    host: str
    pool: str
    size: Size
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Move:
    """A host to move between pools; `worker_id` is empty for hosts of a spare pool."""

    host: str
    worker_id: str
    source: str
    target: str


def cover_need(
    needs: tuple[HostNeed, ...], size: Amount, labels: Collection[str]
) -> tuple[HostNeed, ...]:
    """Return what remains of needs once a host has come; it covers one at most."""
    for index, need in enumerate(needs):
        has_label = not need.label or need.label in labels
        if has_label and size.covers(Amount(*need.size)):
            left = msgspec.structs.replace(need, hosts=need.hosts - 1)
            rest = (left,) if left.hosts > 0 else ()
            return (*needs[:index], *rest, *needs[index + 1 :])
    return needs


def plan_moves(
    demands: Sequence[PoolDemand], spare: Sequence[SpareHost], spare_pool: str
) -> list[Move]:
    """Return the moves to order now.

    Pools with the highest demand relative to their size are served first, from spare
    hosts before idle hosts of other pools, until no dimension is short. A need that no
    host covers moves none. Idle hosts that no pool needs are returned to the spare pool
    after MIN_IDLE_MS.
    """
    donors = [*_list_spare_donors(spare), *_list_idle_donors(demands)]
    moves: list[Move] = []
    taken: set[str] = set()
    for demand in sorted(demands, key=_rank_by_demand):
        missing, needs = demand.missing, demand.needs
        whole_hosts = demand.missing_whole_hosts
        for donor in _sort_by_labels(donors, {need.label for need in needs}):
            if not (missing.has_shortage() or whole_hosts > 0 or needs):
                break
            if donor.host in taken or donor.source == demand.pool:
                continue
            holds_whole = donor.size.covers(Amount(*demand.whole_size))
            left = cover_need(needs, donor.size, donor.labels)
            is_useful = (
                left != needs
                or (whole_hosts > 0 and holds_whole)
                or missing.is_relieved_by(donor.size)
            )
            if not is_useful:
                continue
            taken.add(donor.host)
            moves.append(Move(donor.host, donor.worker_id, donor.source, demand.pool))
            missing -= donor.size
            whole_hosts -= holds_whole
            needs = left
    if spare_pool:
        moves += _return_idle(donors, taken, spare_pool)
    return moves


def _sort_by_labels(donors: list["_Donor"], labels: set[str]) -> list["_Donor"]:
    """Sort hosts with at least one required label first."""
    return sorted(donors, key=lambda donor: labels.isdisjoint(donor.labels))


def measure_free_cpu(
    demands: Sequence[PoolDemand], spare: Iterable[SpareHost]
) -> dict[str, int]:
    """Return the 1/1000 cores that each pool could get, all free hosts counted.

    A host counts for every pool, since it is not known yet which one gets it.
    """
    idle = {
        demand.pool: sum(host.size.cpu for host in demand.idle) for demand in demands
    }
    free = sum(host.size.cpu for host in spare) + sum(idle.values())
    return {pool: free - own for pool, own in idle.items()}


def list_short_pools(demands: Iterable[PoolDemand], moves: Iterable[Move]) -> set[str]:
    """Return the short pools to which neither a planned move nor a host is coming.

    Only work that can be on time counts. Otherwise two pools with late work could each
    wait for the other.
    """
    incoming = Counter(move.target for move in moves)
    return {
        demand.pool
        for demand in demands
        if demand.on_time_missing.has_shortage()
        and not incoming[demand.pool]
        and demand.arriving == NOTHING
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
        missing = NOTHING if incoming[demand.pool] else demand.on_time_missing
        for donor in [donor for donor in donors if donor.source != demand.pool]:
            if not missing.has_shortage():
                break
            if not missing.is_relieved_by(donor.size):
                continue
            donors.remove(donor)
            missing -= donor.size
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
        surplus = demand.on_time_missing.scale(-1)
        donors += _take_surplus(demand, demand.late, surplus, workers)
    return donors


@dataclass(frozen=True)
class _Donor:
    host: str
    worker_id: str
    source: str
    size: Amount
    idle_ms: int
    is_spare: bool
    labels: frozenset[str]


def _rank_by_demand(demand: PoolDemand) -> float:
    held = demand.capacity + demand.arriving
    return -measure_share(demand.wanted + demand.lasting, held)


def _list_spare_donors(spare: Iterable[SpareHost]) -> list[_Donor]:
    return [
        _Donor(host.host, "", host.pool, Amount(*host.size), 0, True, host.labels)
        for host in spare
    ]


def _list_idle_donors(demands: Iterable[PoolDemand]) -> list[_Donor]:
    donors: list[_Donor] = []
    for demand in demands:
        longest_first = sorted(demand.idle, key=lambda idle: -idle.idle_ms)
        surplus = demand.missing.scale(-1)
        donors += _take_surplus(demand, longest_first, surplus, demand.workers)
    return donors


def _take_surplus(
    demand: PoolDemand, hosts: Iterable[IdleHost], surplus: Amount, workers: int
) -> list[_Donor]:
    """Return the first hosts, in the given order, that the pool can spare.

    None is taken that would leave a dimension short.
    """
    donors: list[_Donor] = []
    for host in hosts:
        size = Amount(*host.size)
        # The last worker stays, so that a pool can always run something.
        if not surplus.can_spare(size) or workers <= max(1, demand.least_workers):
            break
        surplus -= size
        workers -= 1
        donors.append(
            _Donor(
                host.host,
                host.worker_id,
                demand.pool,
                size,
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
