"""Cost of admission decisions, cancellations and refusals by queue length."""

import random
import time
from collections.abc import Callable

from bench.figures import Figure, list_figures, print_figures
from bergamotgap.domain.admission import AdmissionPolicy
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry, Owner, Pool, Urgency
from bergamotgap.domain.scheduler import Ticket

HOUR_MS = 3_600_000
ENTRIES = 40
SLOTS = 8
QUEUE_LENGTHS = (100, 1000, 10_000, 30_000)
REFUSAL_COUNT = 100_000
SEED = 7


def build_catalogue() -> Catalogue:
    """Return entries of all urgencies in one pool, with high limits on queue length."""
    entries = tuple(
        Entry(
            name=f"e{number}",
            owner="o",
            pool="p",
            urgency=list(Urgency)[number % 3],
            idempotent=True,
            deadline_ms=HOUR_MS,
            run_ms=10,
            cpus=1,
            memory_mb=1,
            availability=0,
            weight=1 + number % 5,
            max_queued=100_000,
            max_running=100_000,
        )
        for number in range(ENTRIES)
    )
    return Catalogue(
        pools=(Pool(name="p", min_hosts=1, max_hosts=9),),
        owners=(Owner(name="o", quota_slots=100_000),),
        callers=(),
        entries=entries,
    )


def build_policy(
    catalogue: Catalogue, limits: AdmissionLimits, notify: Callable[[Ticket], None]
) -> AdmissionPolicy:
    """Return the admission policy of a single entry host."""
    policy = AdmissionPolicy("entry-1", limits, notify)
    policy.use_catalogue(catalogue)
    policy.refresh_allowances(0, 0, [], [], lambda _: SLOTS)
    return policy


def measure(length: int) -> dict[str, float]:
    """Return the microseconds per operation with `length` queued requests."""
    catalogue = build_catalogue()
    started: list[Ticket] = []
    limits = AdmissionLimits(max_queue_ms=HOUR_MS, urgent_queue_ms=HOUR_MS)
    policy = build_policy(catalogue, limits, started.append)
    source = random.Random(SEED)
    begin = time.perf_counter()
    tickets = []
    for _ in range(length):
        entry = catalogue.entries[source.randrange(ENTRIES)]
        deadline_ms = source.randrange(HOUR_MS // 2, HOUR_MS)
        ticket = policy.admit(entry, deadline_ms, 0)
        assert isinstance(ticket, Ticket)
        tickets.append(ticket)
    offered = time.perf_counter()
    running = [ticket for ticket in tickets if ticket.started_ms is not None]
    started.clear()
    decisions = min(2000, length // 4)
    for now_ms in range(1, decisions + 1):
        policy.release(running.pop(0), now_ms)
        running += started
        started.clear()
    decided = time.perf_counter()
    waiting = [ticket for ticket in tickets if ticket.started_ms is None]
    source.shuffle(waiting)
    before = time.perf_counter()
    for ticket in waiting:
        policy.cancel(ticket)
    cancelled = time.perf_counter()
    return {
        "offer_us": (offered - begin) / length * 1e6,
        "decision_us": (decided - offered) / decisions * 1e6,
        "cancel_us": (cancelled - before) / len(waiting) * 1e6,
    }


def measure_refusals() -> float:
    """Return the refusals per second while the queue is full."""
    catalogue = build_catalogue()
    policy = build_policy(catalogue, AdmissionLimits(), lambda _: None)
    entry = catalogue.entries[0]
    while isinstance(policy.admit(entry, 1000, 0), Ticket):
        pass
    begin = time.perf_counter()
    for _ in range(REFUSAL_COUNT):
        policy.admit(entry, 1000, 0)
    return REFUSAL_COUNT / (time.perf_counter() - begin)


def main() -> list[Figure]:
    """Return the cost of each operation by queue length."""
    figures = []
    for length in QUEUE_LENGTHS:
        figures += list_figures(f"admission, {length} queued", measure(length))
    return [*figures, Figure("admission: refusals", measure_refusals(), "1/s")]


if __name__ == "__main__":
    print_figures(main())
