"""Simulate floods with the admission policy and with first come, first served.

The policy does no I/O, so entry hosts are policy objects in this process and time is a
counter of milliseconds. Each entry requests `STEADY_LOAD_FRACTION` of its guaranteed
part of pool and quota; one entry also floods with several times what all slots together
can run. True run times differ from the declared ones by a factor of up to 2.5 in either
direction.
"""

import heapq
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import numpy as np

from bench.figures import Figure, print_figures
from bench.flood_catalogues import build_all
from bergamotgap.domain.admission import AdmissionPolicy
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry, Urgency
from bergamotgap.domain.quotas import divide_shares
from bergamotgap.domain.scheduler import GUARANTEED_FRACTION, Ticket

NODES = 7
POOL_SLOTS = 48
STEADY_LOAD_FRACTION = 0.5
FACTORS = (5, 10)
POLICY_CHOICES = (True, False)
# Simulated time is a counter, so parallel simulations don't affect each other.
PROCESSES = 6
WARM_UP_MS = 3000
END_MS = 10_000
DRAIN_MS = 60_000
DIGEST_INTERVAL_MS = 250
SWEEP_INTERVAL_MS = 50
REFRESH_INTERVAL_MS = 200
RUN_SPREAD = 0.5
TRUE_RUN_FACTORS = (0.4, 1.0, 2.5)
SEED = 20_261_204

MIN_KEPT = 0.95
MIN_URGENT_ON_TIME = 0.99
MAX_URGENT_START_MS = 1100


@dataclass(frozen=True)
class Snapshot:
    """The demand that a peer announces in its digest."""

    node_id: str
    pool_demand: Mapping[str, float]
    owner_demand: Mapping[str, float]


@dataclass
class SimulatedRequest:
    """A request and its progress; `ticket` is that of the admission policy."""

    entry: Entry
    arrived_ms: int
    run_ms: int
    node: int
    pool: str
    ticket: Ticket | None = None
    is_ended: bool = False


@dataclass
class RequestCounts:
    """Counts by entry of the requests that arrived after the warm-up."""

    offered: Counter[str] = field(default_factory=Counter)
    on_time: Counter[str] = field(default_factory=Counter)
    preempted: Counter[str] = field(default_factory=Counter)
    waits_ms: defaultdict[str, list[int]] = field(
        default_factory=lambda: defaultdict(list)
    )
    overshoot: Counter[str] = field(default_factory=Counter)
    slot_ms: int = 0
    measured_ms: int = END_MS - WARM_UP_MS

    def compute_on_time_ratio(self, name: str) -> float:
        """Return the fraction of an entry's requests that ended on time."""
        return self.on_time[name] / max(1, self.offered[name])


class FirstComeQueues:
    """Baseline: a FIFO queue for each pool, without admission control."""

    def __init__(
        self, catalogue: Catalogue, start: Callable[[SimulatedRequest, int], None]
    ) -> None:
        self._start = start
        self._free = {pool.name: POOL_SLOTS for pool in catalogue.pools}
        self._waiting: dict[str, deque[SimulatedRequest]] = defaultdict(deque)

    def submit(self, job: SimulatedRequest, now_ms: int) -> None:
        """Queue a request and start it once a slot is free."""
        self._waiting[job.pool].append(job)
        self._start_waiting(job.pool, now_ms)

    def release(self, job: SimulatedRequest, now_ms: int) -> None:
        """Free a slot."""
        self._free[job.pool] += 1
        self._start_waiting(job.pool, now_ms)

    def _start_waiting(self, pool: str, now_ms: int) -> None:
        waiting = self._waiting[pool]
        while waiting and self._free[pool] > 0:
            self._free[pool] -= 1
            self._start(waiting.popleft(), now_ms)

    def tick(self, now_ms: int) -> None:
        """Do nothing: a FIFO queue has no periodic work."""


class SimulatedEntryHosts:
    """The admission policies of all entry hosts, which exchange digests."""

    def __init__(
        self,
        catalogue: Catalogue,
        start: Callable[[SimulatedRequest, int], None],
        counts: RequestCounts,
        limits: AdmissionLimits,
    ) -> None:
        self._start = start
        self._counts = counts
        self._now_ms = 0
        self._digests: list[Snapshot] = []
        self.running: list[dict[int, SimulatedRequest]] = [{} for _ in range(NODES)]
        self._quotas = {owner.name: owner.quota_slots for owner in catalogue.owners}
        self.names = [f"entry-{number}" for number in range(NODES)]
        self.nodes = [
            AdmissionPolicy(name, limits, self._handle_start) for name in self.names
        ]
        for node in self.nodes:
            node.use_catalogue(catalogue)
        self.tick(0)

    def _handle_start(self, ticket: Ticket) -> None:
        if ticket.outcome is None and isinstance(ticket.waiter, SimulatedRequest):
            self._start_request(ticket.waiter, ticket)

    def _start_request(self, job: SimulatedRequest, ticket: Ticket) -> None:
        job.ticket = ticket
        job.pool = ticket.pool
        self.running[job.node][id(job)] = job
        self._start(job, self._now_ms)

    def submit(self, job: SimulatedRequest, now_ms: int) -> None:
        """Submit a request to its entry host."""
        self._now_ms = now_ms
        deadline_ms = now_ms + job.entry.deadline_ms
        ticket = self.nodes[job.node].admit(job.entry, deadline_ms, now_ms)
        if not isinstance(ticket, Ticket):
            return
        ticket.waiter = job
        if ticket.started_ms is not None:
            self._start_request(job, ticket)

    def release(self, job: SimulatedRequest, now_ms: int) -> None:
        """End a task at its entry host."""
        self._now_ms = now_ms
        assert job.ticket is not None and job.ticket.started_ms is not None
        del self.running[job.node][id(job)]
        node = self.nodes[job.node]
        node.record_run(job.entry, now_ms - job.ticket.started_ms, now_ms)
        node.release(job.ticket, now_ms)

    def tick(self, now_ms: int) -> None:
        """Exchange digests, divide slots, drop late requests and preempt tasks."""
        self._now_ms = now_ms
        if now_ms % DIGEST_INTERVAL_MS == 0:
            self._digests = [
                Snapshot(name, dict(node.pool_demand), dict(node.owner_demand))
                for name, node in zip(self.names, self.nodes, strict=True)
            ]
        for number, node in enumerate(self.nodes):
            # Entry hosts act at different times.
            local_ms = now_ms + 7 * number
            if local_ms % REFRESH_INTERVAL_MS == 0 or now_ms == 0:
                peers = [d for d in self._digests if d.node_id != self.names[number]]
                node.refresh_allowances(
                    now_ms, now_ms, peers, self.names, lambda _: POOL_SLOTS
                )
            if local_ms % SWEEP_INTERVAL_MS == 0:
                node.drop_late_tickets(now_ms)
                for pool, count in node.list_preemptions(now_ms):
                    self._preempt(number, pool, count, now_ms)
        self._record_usage(now_ms)

    def _preempt(self, number: int, pool: str, count: int, now_ms: int) -> None:
        victims = [
            job
            for job in self.running[number].values()
            if job.pool == pool
            and job.entry.urgency is not Urgency.URGENT
            and job.ticket is not None
            and job.ticket.is_lent
        ]
        for job in victims[-count:]:
            # Counts as lost, although a checkpointed task would resume later.
            job.is_ended = True
            self._counts.preempted[job.entry.name] += 1
            self.release(job, now_ms)

    def _record_usage(self, now_ms: int) -> None:
        if not WARM_UP_MS <= now_ms < END_MS:
            return
        self._counts.slot_ms += sum(len(running) for running in self.running)
        nodes = self.nodes
        for pool in nodes[0].queues:
            queues = [node.queues[pool] for node in nodes]
            self._record_overshoot(
                "allowances", sum(q.allowance for q in queues) - POOL_SLOTS
            )
            self._record_overshoot(
                "running", sum(q.running for q in queues) - POOL_SLOTS
            )
        for owner, quota in self._quotas.items():
            self._record_overshoot(
                "quota", sum(n.quotas.running[owner] for n in nodes) - quota
            )

    def _record_overshoot(self, name: str, excess: int) -> None:
        overshoot = self._counts.overshoot
        overshoot[name] = max(overshoot[name], excess)


class Simulation:
    """Simulation of a catalogue's load, with the policy or with the baseline."""

    def __init__(
        self,
        catalogue: Catalogue,
        is_policy: bool,
        flood: Entry | None = None,
        factor: int = 0,
        limits: AdmissionLimits | None = None,
    ) -> None:
        self._catalogue = catalogue
        self._random = np.random.default_rng(SEED)
        self._ends: list[tuple[int, int, SimulatedRequest]] = []
        self._sequence = 0
        self.counts = RequestCounts()
        self._true_ms = pick_run_times(catalogue)
        self._rates = self._list_rates(flood, factor)
        if is_policy:
            limits = limits or AdmissionLimits()
            self._admission: SimulatedEntryHosts | FirstComeQueues = (
                SimulatedEntryHosts(catalogue, self._start, self.counts, limits)
            )
        else:
            self._admission = FirstComeQueues(catalogue, self._start)

    def _list_rates(self, flood: Entry | None, factor: int) -> dict[str, float]:
        """Return the requests per millisecond by entry."""
        catalogue = self._catalogue
        shares = divide_shares(catalogue)
        quotas = {owner.name: owner.quota_slots for owner in catalogue.owners}
        weights: Counter[str] = Counter()
        for entry in catalogue.entries:
            weights[entry.owner] += entry.weight
        rates = {}
        for entry in catalogue.entries:
            of_pool = GUARANTEED_FRACTION * POOL_SLOTS * shares[entry.pool, entry.name]
            of_quota = quotas[entry.owner] * entry.weight / weights[entry.owner]
            slots = STEADY_LOAD_FRACTION * min(of_pool, of_quota)
            rates[entry.name] = slots / self._true_ms[entry.name]
        if flood is not None:
            fleet = POOL_SLOTS * len(self._catalogue.pools)
            rates[flood.name] += factor * fleet / self._true_ms[flood.name]
        return rates

    def _start(self, job: SimulatedRequest, now_ms: int) -> None:
        if job.arrived_ms >= WARM_UP_MS:
            self.counts.waits_ms[job.entry.name].append(now_ms - job.arrived_ms)
        self._sequence += 1
        heapq.heappush(self._ends, (now_ms + job.run_ms, self._sequence, job))

    def run(self) -> RequestCounts:
        """Run the simulation to its end and return the counts."""
        for now_ms in range(1, END_MS):
            while self._ends and self._ends[0][0] <= now_ms:
                self._end(heapq.heappop(self._ends)[2], now_ms)
            self._admission.tick(now_ms)
            is_counted = now_ms >= WARM_UP_MS
            for entry in self._catalogue.entries:
                count = int(self._random.poisson(self._rates[entry.name]))
                if is_counted:
                    self.counts.offered[entry.name] += count
                for _ in range(count):
                    self._admission.submit(self._build_request(entry, now_ms), now_ms)
        # Run on without new requests, so that unfinished ones don't count as lost.
        now_ms = END_MS
        while self._ends and now_ms < END_MS + DRAIN_MS:
            while self._ends and self._ends[0][0] <= now_ms:
                self._end(heapq.heappop(self._ends)[2], now_ms)
            self._admission.tick(now_ms)
            now_ms += 1
        return self.counts

    def _build_request(self, entry: Entry, now_ms: int) -> SimulatedRequest:
        spread = self._random.lognormal(-(RUN_SPREAD**2) / 2, RUN_SPREAD)
        run_ms = max(1, round(self._true_ms[entry.name] * spread))
        node = int(self._random.integers(NODES))
        return SimulatedRequest(entry, now_ms, run_ms, node, entry.pool)

    def _end(self, job: SimulatedRequest, now_ms: int) -> None:
        if job.is_ended:
            return
        job.is_ended = True
        self._admission.release(job, now_ms)
        is_late = now_ms > job.arrived_ms + job.entry.deadline_ms
        if job.arrived_ms >= WARM_UP_MS and not is_late:
            self.counts.on_time[job.entry.name] += 1


def pick_run_times(catalogue: Catalogue) -> dict[str, float]:
    """Return the mean true run time of each entry in ms."""
    return {
        entry.name: entry.run_ms * TRUE_RUN_FACTORS[index % len(TRUE_RUN_FACTORS)]
        for index, entry in enumerate(catalogue.entries)
    }


def pick_flood(catalogue: Catalogue, urgency: Urgency) -> Entry:
    """Return the entry of an urgency that shares its pool with most other entries."""
    pools = Counter(entry.pool for entry in catalogue.entries)
    candidates = [entry for entry in catalogue.entries if entry.urgency is urgency]
    return max(candidates, key=lambda entry: pools[entry.pool])


def summarize(
    catalogue: Catalogue,
    flood: Entry,
    without_flood: RequestCounts,
    flooded: RequestCounts,
) -> dict[str, float]:
    """Return goodput kept by the other entries, urgent latency and overshoot."""
    others = [e for e in catalogue.entries if e.name != flood.name]
    urgent = [e.name for e in others if e.urgency is Urgency.URGENT]
    waits = [wait for name in urgent for wait in flooded.waits_ms[name]]
    own_waits = flooded.waits_ms[flood.name]
    offered = sum(flooded.offered[name] for name in urgent)
    in_time = sum(flooded.on_time[name] for name in urgent)
    return {
        "kept": min(
            flooded.compute_on_time_ratio(e.name)
            / without_flood.compute_on_time_ratio(e.name)
            for e in others
        ),
        "urgent_in_time": in_time / max(1, offered),
        "urgent_start_p99_ms": float(np.percentile(waits or [0], 99)),
        "flood_in_time": flooded.compute_on_time_ratio(flood.name),
        "flood_start_p99_ms": float(np.percentile(own_waits or [0], 99)),
        "over_allowance": float(flooded.overshoot["allowances"]),
        "over_running": float(flooded.overshoot["running"]),
        "over_quota": float(flooded.overshoot["quota"]),
        "preempted": float(sum(flooded.preempted.values())),
    }


def measure(
    name: str, catalogue: Catalogue, is_policy: bool
) -> list[dict[str, float | str]]:
    """Return one row per flood, for the policy or for the baseline."""
    rows: list[dict[str, float | str]] = []
    case = {"case": name, "way": "policy" if is_policy else "first-come"}
    without_flood = Simulation(catalogue, is_policy).run()
    for urgency in (Urgency.BATCH, Urgency.URGENT):
        flood = pick_flood(catalogue, urgency)
        for factor in FACTORS:
            flooded = Simulation(catalogue, is_policy, flood, factor).run()
            row = summarize(catalogue, flood, without_flood, flooded)
            rows.append({**case, "flood": f"{flood.name} x{factor}", **row})
    return rows


def measure_all() -> list[dict[str, float | str]]:
    """Return the rows of all catalogues, measured in several processes."""
    cases = [
        (*item, is_policy)
        for item in build_all().items()
        for is_policy in POLICY_CHOICES
    ]
    with ProcessPoolExecutor(PROCESSES) as executor:
        results = executor.map(measure, *zip(*cases, strict=True))
        return [row for rows in results for row in rows]


def build_figures(row: Mapping[str, float | str]) -> list[Figure]:
    """Return the figures of a row; those of the policy have targets."""
    name = f"{row['case']}, {row['way']}, {row['flood']}"
    is_policy = row["way"] == "policy"
    bounds = (MIN_KEPT, MIN_URGENT_ON_TIME, MAX_URGENT_START_MS)
    kept, in_time, start_ms = bounds if is_policy else (None, None, None)
    waits_ms = float(row["urgent_start_p99_ms"])
    done = float(row["urgent_in_time"])
    return [
        Figure(f"{name}: kept", float(row["kept"]), "ratio", kept, "at least"),
        Figure(f"{name}: urgent in time", done, "ratio", in_time, "at least"),
        Figure(f"{name}: urgent start p99", waits_ms, "ms", start_ms),
    ]


def main() -> list[Figure]:
    """Return the figures of all catalogues."""
    return [figure for row in measure_all() for figure in build_figures(row)]


if __name__ == "__main__":
    print_figures(main())
