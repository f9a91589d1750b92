"""How many hosts each pool holds, and which hosts move; pure decisions."""

from collections import Counter, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

# Tasks don't fill a worker to its last core, so a pool gets a tenth more than it asks.
HEADROOM = 1.1
# Two moves cost about as much as two seconds of a host in a pool, so a host that idles
# for less is not worth returning.
RETURN_IDLE_MS = 1500
# Growth of demand is measured over this time.
GROWTH_MS = 600
# A growth that this many jobs make up is trusted by half.
HALF_TRUST_ARRIVALS = 1


@dataclass(frozen=True)
class IdleHost:
    """A host whose worker has run nothing for `idle_ms`."""

    host: str
    worker_id: str
    cpu: int
    idle_ms: int


@dataclass(frozen=True)
class PoolDemand:
    """What a pool asks for and has, in 1/1000 cores; hosts on their way count."""

    pool: str
    wanted_cpu: int
    capacity_cpu: int
    arriving_cpu: int
    workers: int
    idle: tuple[IdleHost, ...]

    @property
    def missing_cpu(self) -> float:
        """Return what the pool lacks; below 0 is what it can give."""
        held = self.capacity_cpu + self.arriving_cpu
        return self.wanted_cpu * HEADROOM - held


class DemandHistory:
    """Recent demand of one pool, and the demand that follows if it goes on growing."""

    def __init__(self) -> None:
        self._points: deque[tuple[int, int]] = deque()

    def forecast(
        self, now_ms: int, wanted_cpu: int, arrivals: int, lead_ms: int
    ) -> int:
        """Return the demand in `lead_ms`, at least the present one.

        The growth counts by the share to which it is trusted: that of one large job
        says little about what follows, that of many small ones does.
        """
        points = self._points
        points.append((now_ms, wanted_cpu))
        while len(points) > 2 and points[1][0] <= now_ms - GROWTH_MS:
            points.popleft()
        start_ms, start_cpu = points[0]
        passed_ms = max(1, now_ms - start_ms)
        growth = max(0, wanted_cpu - start_cpu) / max(passed_ms, GROWTH_MS / 2)
        trust = arrivals / (arrivals + HALF_TRUST_ARRIVALS)
        return wanted_cpu + int(growth * lead_ms * trust)


@dataclass(frozen=True)
class SpareHost:
    """A host of a spare pool that may be used."""

    host: str
    pool: str
    cpu: int


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
        missing = demand.missing_cpu
        for giver in givers:
            if missing <= 0:
                break
            if giver.host in taken or giver.source == demand.pool:
                continue
            taken.add(giver.host)
            moves.append(Move(giver.host, giver.worker_id, giver.source, demand.pool))
            missing -= giver.cpu
    if spare_pool:
        moves += _return_idle(givers, taken, spare_pool)
    return moves


def list_short(demands: Iterable[PoolDemand], moves: Iterable[Move]) -> set[str]:
    """Return the pools that lack a host beyond those that the moves bring."""
    coming = Counter(move.target for move in moves)
    return {
        demand.pool
        for demand in demands
        if demand.missing_cpu > 0
        and not coming[demand.pool]
        and demand.arriving_cpu == 0
    }


@dataclass(frozen=True)
class _Giver:
    host: str
    worker_id: str
    source: str
    cpu: int
    idle_ms: int
    is_spare: bool


def _rank_need(demand: PoolDemand) -> float:
    held = demand.capacity_cpu + demand.arriving_cpu
    return -demand.wanted_cpu / max(1, held)


def _list_spare(spare: Iterable[SpareHost]) -> list[_Giver]:
    return [_Giver(host.host, "", host.pool, host.cpu, 0, True) for host in spare]


def _list_idle(demands: Iterable[PoolDemand]) -> list[_Giver]:
    givers: list[_Giver] = []
    for demand in demands:
        left = -demand.missing_cpu
        keeps = demand.workers
        for idle in sorted(demand.idle, key=lambda idle: -idle.idle_ms):
            # The last worker stays, so that a pool never answers with nothing.
            if left < idle.cpu or keeps <= 1:
                break
            left -= idle.cpu
            keeps -= 1
            givers.append(
                _Giver(
                    idle.host,
                    idle.worker_id,
                    demand.pool,
                    idle.cpu,
                    idle.idle_ms,
                    False,
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
        and giver.idle_ms >= RETURN_IDLE_MS
    ]
