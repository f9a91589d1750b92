"""How many hosts each pool holds, and which hosts move; pure decisions."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Tasks don't fill a worker to its last core, so a pool gets a tenth more than it asks.
HEADROOM_FACTOR = 1.1
# Two moves cost about as much as two seconds of a host in a pool, so a host that idles
# for less is not worth returning.
MIN_IDLE_MS = 1000
# Work that has gathered is done within this time: about what is left of an objective
# after a move.
BACKLOG_CLEAR_MS = 1500
# Numbers of arrivals whose rate is read, and the bounds of their period.
ARRIVAL_COUNTS = (3, 6, 12, 24)
MIN_ARRIVAL_PERIOD_MS = 500
MAX_ARRIVAL_PERIOD_MS = 2500


@dataclass(frozen=True)
class IdleHost:
    """A host whose worker has run nothing for `idle_ms`."""

    host: str
    worker_id: str
    cpu: int
    idle_ms: int
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class PoolDemand:
    """What a pool asks for and has, in 1/1000 cores; hosts on their way count.

    `urgent_cpu` is the part that work asks for which can still be in time.
    """

    pool: str
    wanted_cpu: int
    on_time_cpu: int
    capacity_cpu: int
    arriving_cpu: int
    workers: int
    idle: tuple[IdleHost, ...]
    arriving_workers: int = 0
    # Workers that the spread of waiting tasks needs, and labels that none here has.
    least_workers: int = 0
    labels: frozenset[str] = frozenset()
    # Hosts that run only work which can't be in time any more.
    late: tuple[IdleHost, ...] = ()

    @property
    def on_time_missing_cpu(self) -> float:
        """Return what work lacks that can be in time; below 0 if it lacks nothing."""
        return (
            self.on_time_cpu * HEADROOM_FACTOR - self.capacity_cpu - self.arriving_cpu
        )

    @property
    def missing_workers(self) -> int:
        """Return how many hosts the spread of tasks lacks, whatever their cores."""
        return self.least_workers - self.workers - self.arriving_workers

    @property
    def missing_cpu(self) -> float:
        """Return what the pool lacks; below 0 is what it can give."""
        held = self.capacity_cpu + self.arriving_cpu
        return self.wanted_cpu * HEADROOM_FACTOR - held


def forecast_demand(
    used_cpu: int, waiting_ms: float, offered_cpu: float, held_cpu: int, lead_ms: int
) -> int:
    """Return the cores in 1/1000 that a pool needs when a move ordered now ends.

    `offered_cpu` is the work that arrives in each second, and so what a pool in balance
    uses. What waits, in 1/1000 core-ms, and what gathers until then is to be done
    within a time that keeps most of it in time.
    """
    gathered_ms = waiting_ms + max(0.0, offered_cpu - held_cpu) * lead_ms
    return int(max(offered_cpu, used_cpu) + gathered_ms / BACKLOG_CLEAR_MS)


def estimate_offered_load(arrivals: Sequence[tuple[int, float]], now_ms: int) -> float:
    """Return the work that arrives in each ms, from arrivals of (ms, work).

    The highest rate of the last few arrivals counts, each by how far so many can be
    trusted: a pool with many small jobs follows a turn at once, and one with few large
    jobs does not take one of them for a turn.
    """
    recent = [
        (at, work) for at, work in arrivals if now_ms - at < MAX_ARRIVAL_PERIOD_MS
    ]
    rates = [sum(work for _, work in recent) / MAX_ARRIVAL_PERIOD_MS]
    for count in ARRIVAL_COUNTS:
        if len(recent) < count:
            break
        last = recent[-count:]
        period_ms = max(MIN_ARRIVAL_PERIOD_MS, now_ms - last[0][0])
        trust = 1 - 1 / math.sqrt(count + 1)
        rates.append(trust * sum(work for _, work in last) / period_ms)
    return max(rates)


@dataclass(frozen=True)
class SpareHost:
    """A host of a spare pool that may be used."""

    host: str
    pool: str
    cpu: int
    labels: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Move:
    """Move a host; `worker_id` is empty for a host of a spare pool."""

    host: str
    worker_id: str
    source: str
    target: str


def plan_moves(
    demands: Sequence[PoolDemand], spare: Sequence[SpareHost], spare_pool: str
) -> list[Move]:
    """Return the moves to order now.

    Pools that lack most for their size get hosts first, spare ones before idle ones of
    other pools. Idle hosts that no pool needs go back to the spare pool after a time.
    """
    givers = [*_list_spare(spare), *_list_idle(demands)]
    moves: list[Move] = []
    taken: set[str] = set()
    for demand in sorted(demands, key=_rank_need):
        missing, workers = demand.missing_cpu, demand.missing_workers
        labels = set(demand.labels)
        for giver in _sort_by_labels(givers, labels):
            has_label = not labels.isdisjoint(giver.labels)
            if missing <= 0 and workers <= 0 and not has_label:
                break
            if giver.host in taken or giver.source == demand.pool:
                continue
            taken.add(giver.host)
            moves.append(Move(giver.host, giver.worker_id, giver.source, demand.pool))
            missing -= giver.cpu
            workers -= 1
            labels -= giver.labels
    if spare_pool:
        moves += _return_idle(givers, taken, spare_pool)
    return moves


def _sort_by_labels(givers: list["_Giver"], labels: set[str]) -> list["_Giver"]:
    """Put hosts that have a wanted label first."""
    return sorted(givers, key=lambda giver: labels.isdisjoint(giver.labels))


def list_short_pools(demands: Iterable[PoolDemand], moves: Iterable[Move]) -> set[str]:
    """Return the pools that lack a host beyond those that the moves bring.

    Only work that can be in time counts: two pools with late work must not both wait
    for the other.
    """
    coming = Counter(move.target for move in moves)
    return {
        demand.pool
        for demand in demands
        if demand.on_time_missing_cpu > 0
        and not coming[demand.pool]
        and demand.arriving_cpu == 0
    }


def plan_preemptions(
    demands: Sequence[PoolDemand], moves: Sequence[Move]
) -> list[Move]:
    """Return hosts to take from late work for work of other pools that can be in time.

    What the planned moves bring counts first. A pool keeps what such work of its own
    asks for, and a worker.
    """
    coming = Counter(move.target for move in moves)
    givers = _list_late(demands, moves)
    planned: list[Move] = []
    for demand in sorted(demands, key=_rank_need):
        missing = 0.0 if coming[demand.pool] else demand.on_time_missing_cpu
        for giver in [giver for giver in givers if giver.source != demand.pool]:
            if missing <= 0:
                break
            givers.remove(giver)
            missing -= giver.cpu
            move = Move(giver.host, giver.worker_id, giver.source, demand.pool)
            planned.append(move)
    return planned


def _list_late(demands: Iterable[PoolDemand], moves: Sequence[Move]) -> list["_Giver"]:
    """Return the hosts with late work that their pools can do without."""
    leaving = Counter(move.source for move in moves)
    givers: list[_Giver] = []
    for demand in demands:
        workers = demand.workers - leaving[demand.pool]
        surplus_cpu = -demand.on_time_missing_cpu
        givers += _take_surplus(demand, demand.late, surplus_cpu, workers)
    return givers


@dataclass(frozen=True)
class _Giver:
    host: str
    worker_id: str
    source: str
    cpu: int
    idle_ms: int
    is_spare: bool
    labels: frozenset[str]


def _rank_need(demand: PoolDemand) -> float:
    held = demand.capacity_cpu + demand.arriving_cpu
    return -demand.wanted_cpu / max(1, held)


def _list_spare(spare: Iterable[SpareHost]) -> list[_Giver]:
    return [
        _Giver(host.host, "", host.pool, host.cpu, 0, True, host.labels)
        for host in spare
    ]


def _list_idle(demands: Iterable[PoolDemand]) -> list[_Giver]:
    givers: list[_Giver] = []
    for demand in demands:
        longest_first = sorted(demand.idle, key=lambda idle: -idle.idle_ms)
        surplus_cpu = -demand.missing_cpu
        givers += _take_surplus(demand, longest_first, surplus_cpu, demand.workers)
    return givers


def _take_surplus(
    demand: PoolDemand, hosts: Iterable[IdleHost], surplus_cpu: float, workers: int
) -> list[_Giver]:
    """Return the first hosts of a pool that it can do without."""
    givers: list[_Giver] = []
    for host in hosts:
        # The last worker stays, so that a pool never answers with nothing.
        if surplus_cpu < host.cpu or workers <= max(1, demand.least_workers):
            break
        surplus_cpu -= host.cpu
        workers -= 1
        givers.append(
            _Giver(
                host.host,
                host.worker_id,
                demand.pool,
                host.cpu,
                host.idle_ms,
                False,
                host.labels,
            )
        )
    return givers


def _return_idle(
    givers: Iterable[_Giver], taken: set[str], spare_pool: str
) -> list[Move]:
    return [
        Move(giver.host, giver.worker_id, giver.source, spare_pool)
        for giver in givers
        if not giver.is_spare
        and giver.host not in taken
        and giver.idle_ms >= MIN_IDLE_MS
    ]
