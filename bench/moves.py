"""Compare policies that size pools on one demand trace.

Five services peak in turn. Work without a free slot is queued and counts as missed if
it is not served within the deadline. A host that moves is out of service for one tick.
"""

import math
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import numpy as np

from bench.figures import Figure, print_figures
from bergamotgap.domain.moves import (
    PoolLoad,
    ShortageTimer,
    choose_transfers,
)

SEED = 20261204
TICK_MS = 1000
SERVICES = 5
SPARE_SERVICE = "service-4"
MEAN_SLOTS = 15.0
PEAK_FACTOR = 5.0
LULL_FACTOR = 0.05
PEAK_TICKS = 20
# Cycle length for which the mean of the two factors above over a cycle is one.
CYCLE_TICKS = round(PEAK_TICKS * (PEAK_FACTOR - LULL_FACTOR) / (1 - LULL_FACTOR))
CYCLES = 10
SLOTS_PER_HOST = 8
# The deployments have 30 hosts; the other sizes show how many hosts a policy needs.
FLEET_SIZES = (28, 29, 30)
DEPLOYED_HOSTS = 30
HOSTS_PER_SERVICE = 5
MIN_HOSTS = 3
MAX_HOSTS = 12
DEADLINE_TICKS = 2
# Targets: less than half the spare host-seconds of static pools sized for the peak, and
# less than a quarter of the greedy mover's moves, without more missed work.
MAX_SPARE_RATIO = 0.5
MAX_MOVES_RATIO = 0.25

Trace = list[dict[str, float]]
Sizes = dict[str, int]
# Maps tick, demand and pool sizes to moves, as pairs of donor and receiver.
Policy = Callable[[int, Mapping[str, float], Sizes], list[tuple[str, str]]]


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one policy on the trace."""

    policy: str
    hosts: int
    moves: int
    spare_host_seconds: float
    missed: float
    offered: float


def build_trace(seed: int = SEED) -> Trace:
    """Return the slot-seconds of new work by service, for each tick."""
    random = np.random.default_rng(seed)
    trace: Trace = []
    for tick in range(CYCLE_TICKS * CYCLES):
        arrivals = {}
        for index in range(SERVICES):
            start = index * CYCLE_TICKS // SERVICES
            is_peak = (tick - start) % CYCLE_TICKS < PEAK_TICKS
            factor = PEAK_FACTOR if is_peak else LULL_FACTOR
            arrivals[f"service-{index}"] = float(random.poisson(MEAN_SLOTS * factor))
        trace.append(arrivals)
    return trace


class _Queue:
    """FIFO queue of the work of one service."""

    def __init__(self) -> None:
        self._waiting: deque[tuple[int, float]] = deque()

    @property
    def size(self) -> float:
        return sum(work for _, work in self._waiting)

    def add(self, tick: int, work: float) -> None:
        self._waiting.append((tick, work))

    def serve(self, capacity: float) -> float:
        served = 0.0
        while self._waiting and served < capacity:
            tick, work = self._waiting.popleft()
            part = min(work, capacity - served)
            served += part
            if part < work:
                self._waiting.appendleft((tick, work - part))
        return served

    def drop_late(self, tick: int) -> float:
        missed = 0.0
        while self._waiting and tick - self._waiting[0][0] >= DEADLINE_TICKS:
            missed += self._waiting.popleft()[1]
        return missed


def replay(name: str, trace: Trace, sizes: Sizes, policy: Policy) -> Result:
    """Simulate one policy on the trace."""
    queues = {service: _Queue() for service in sizes}
    hosts = sum(sizes.values())
    moves, spare, missed = 0, 0.0, 0.0
    arriving: list[str] = []
    for tick, arrivals in enumerate(trace):
        for service in arriving:
            sizes[service] += 1
        for service, work in arrivals.items():
            queues[service].add(tick, work)
        demand = {service: queue.size for service, queue in queues.items()}
        chosen = policy(tick, demand, sizes)
        for donor, _ in chosen:
            sizes[donor] -= 1
        arriving = [receiver for _, receiver in chosen]
        moves += len(chosen)
        served = 0.0
        for service, queue in queues.items():
            served += queue.serve(sizes[service] * SLOTS_PER_HOST)
            missed += queue.drop_late(tick)
        spare += (hosts - served / SLOTS_PER_HOST) * TICK_MS / 1000
    offered = sum(sum(arrivals.values()) for arrivals in trace)
    return Result(name, hosts, moves, spare, missed, offered)


def _keep_sizes(
    tick: int, demand: Mapping[str, float], sizes: Sizes
) -> list[tuple[str, str]]:
    return []


def _count_needed_hosts(demand: float) -> int:
    return min(MAX_HOSTS, max(MIN_HOSTS, math.ceil(demand / SLOTS_PER_HOST)))


def _move_greedily(
    tick: int, demand: Mapping[str, float], sizes: Sizes
) -> list[tuple[str, str]]:
    """Move every pool to the size that its demand needs at this tick."""
    gaps = {
        service: _count_needed_hosts(demand[service]) - size
        for service, size in sizes.items()
        if service != SPARE_SERVICE
    }
    donors = [name for name, gap in gaps.items() for _ in range(-gap)]
    receivers = [name for name, gap in gaps.items() for _ in range(gap)]
    free = max(0, sizes[SPARE_SERVICE] - _count_needed_hosts(demand[SPARE_SERVICE]))
    donors += [SPARE_SERVICE] * free
    pairs = list(zip(donors, receivers, strict=False))
    left = [name for name in donors[len(pairs) :] if name != SPARE_SERVICE]
    return pairs + [(name, SPARE_SERVICE) for name in left]


def _borrow_spare_hosts(
    tick: int, demand: Mapping[str, float], sizes: Sizes
) -> list[tuple[str, str]]:
    """Lend spare hosts to pools that are short, and return those no longer needed."""
    pairs: list[tuple[str, str]] = []
    free = sizes[SPARE_SERVICE] - _count_needed_hosts(demand[SPARE_SERVICE])
    for service, size in sizes.items():
        gap = _count_needed_hosts(demand[service]) - size
        if service == SPARE_SERVICE or gap == 0:
            continue
        if gap > 0:
            lent = min(gap, max(0, free))
            pairs += [(SPARE_SERVICE, service)] * lent
            free -= lent
        else:
            returned = min(-gap, size - HOSTS_PER_SERVICE)
            pairs += [(service, SPARE_SERVICE)] * max(0, returned)
    return pairs


def build_policy() -> Policy:
    """Return the product's policy; it keeps state between ticks."""
    received: dict[str, float] = {}
    timer = ShortageTimer()

    def decide(
        tick: int, demand: Mapping[str, float], sizes: Sizes
    ) -> list[tuple[str, str]]:
        now_ms = tick * TICK_MS
        in_hosts = {name: slots / SLOTS_PER_HOST for name, slots in demand.items()}
        loads = [
            PoolLoad(
                name=name,
                serving=size,
                min_serving=MIN_HOSTS,
                addable_hosts=MAX_HOSTS - size,
                demand=in_hosts[name],
                is_spare=name == SPARE_SERVICE,
                received_ms_ago=now_ms - received.get(name, -math.inf),
            )
            for name, size in sizes.items()
        ]
        pairs = choose_transfers(timer.measure(now_ms, loads), 0)
        for _, receiver in pairs:
            received[receiver] = now_ms + TICK_MS
        return pairs

    return decide


def size_static(trace: Trace) -> Result:
    """Return the result of the smallest equal static pools that miss no work."""
    size = MIN_HOSTS
    while True:
        sizes = {f"service-{index}": size for index in range(SERVICES)}
        result = replay("static", trace, sizes, _keep_sizes)
        if result.missed == 0:
            return result
        size += 1


def compare(seed: int = SEED) -> list[Result]:
    """Return the results of all policies and fleet sizes on the same trace."""
    trace = build_trace(seed)
    results = [size_static(trace)]
    for hosts in FLEET_SIZES:
        policies: dict[str, Policy] = {
            "greedy mover": _move_greedily,
            "borrowing": _borrow_spare_hosts,
            "bergamotgap": build_policy(),
        }
        for name, policy in policies.items():
            results.append(replay(name, trace, _split_evenly(hosts), policy))
    return results


def _split_evenly(hosts: int) -> Sizes:
    return {
        f"service-{index}": hosts // SERVICES + (index < hosts % SERVICES)
        for index in range(SERVICES)
    }


def compare_hosts(static: Result, greedy: Result, ours: Result) -> list[Figure]:
    """Return the ratios for a fleet size; those for the deployed size have targets."""
    is_bound = ours.hosts == DEPLOYED_HOSTS
    spare = ours.spare_host_seconds / static.spare_host_seconds
    moves = ours.moves / max(1, greedy.moves)
    bounds = (MAX_SPARE_RATIO, MAX_MOVES_RATIO, greedy.missed)
    spare_bound, moves_bound, missed_bound = bounds if is_bound else (None, None, None)
    # All policies that miss no work leave the same number of hosts idle: spare capacity
    # follows from the fleet size.
    name = f"{ours.hosts} hosts"
    return [
        Figure(f"{name}: spare, to static pools", spare, "ratio", spare_bound),
        Figure(f"{name}: moves, to the greedy mover's", moves, "ratio", moves_bound),
        Figure(f"{name}: missed work", ours.missed, "slot-s", missed_bound),
    ]


def main() -> list[Figure]:
    """Return the figures of all policies; those for the deployed size have targets."""
    static, *results = compare()
    figures = [Figure("static: spare", static.spare_host_seconds, "host-s")]
    for item in results:
        name = f"{item.policy}, {item.hosts} hosts"
        figures += [
            Figure(f"{name}: moves", item.moves, "moves"),
            Figure(f"{name}: missed", item.missed / item.offered, "ratio"),
            Figure(f"{name}: spare", item.spare_host_seconds, "host-s"),
        ]
    for hosts in FLEET_SIZES:
        rows = {item.policy: item for item in results if item.hosts == hosts}
        figures += compare_hosts(static, rows["greedy mover"], rows["bergamotgap"])
    return figures


if __name__ == "__main__":
    print_figures(main())
