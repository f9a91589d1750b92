"""Cost of folded states: memory, encoding, snapshots, folding and planning."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import xxhash

from bergamotgap.domain.catalogue import parse_catalogue
from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Stamp
from bergamotgap.domain.records import (
    HostAssigned,
    HostReleased,
    Record,
    WaveDeclared,
    encode_batch,
    wrap_record,
)
from bergamotgap.domain.waves import choose_drains
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.host_health import HostList
from bergamotgap.node.planner import Planner
from bergamotgap.node.snapshots import split_snapshot
from bergamotgap.node.streams import Stream
from bergamotgap.node.workers import Workers
from bergamotgap.ports.peer import StateCopy
from bergamotgap.ports.platform import HostListing
from bergamotgap.ports.worker import WorkerStatus
from tools.slope_fit import Slope, fit_slope, measure_bytes, measure_cpu_us
from tools.slopes_inputs import (
    ENTRIES,
    OWNERS,
    POOLS,
    build_document,
    build_facts,
    fold,
    list_claims,
    list_control_records,
    list_ends,
    list_jobs,
)

HOST_COUNTS = (250, 500, 1000, 2000)
REVISION_COUNTS = (1, 10, 25, 50)
JOB_COUNTS = (1000, 2000, 4000, 8000)
KEY_COUNTS = (2500, 5000, 10_000, 20_000)
PLANNER_POOL_COUNTS = (15, 29, 58, 116)
PLANNER_HOST_COUNT = 1700
MOVE_COUNT = 200

Points = list[tuple[float, float]]


def _measure_state(
    name: str, x_unit: str, sizes: tuple[int, ...], build: Callable[[int], Any]
) -> list[Slope]:
    """Return the slopes of memory, encoding, digest and snapshot of a state."""
    memory: Points = []
    encode: Points = []
    digest: Points = []
    size: Points = []
    packed: Points = []
    restore: Points = []
    for count in sizes:
        state = build(count)
        encoded = state.encode()
        memory.append((count, measure_bytes(partial(state.decode, encoded)) / 1024))
        encode.append((count, measure_cpu_us(state.encode) / 1000))
        digest.append(
            (
                count,
                measure_cpu_us(partial(_compute_digest, state)) / 1000,
            )
        )
        restore.append((count, measure_cpu_us(partial(state.decode, encoded)) / 1000))
        size.append((count, len(encoded) / 1024))
        bodies = split_snapshot(StateCopy(count, encoded))
        packed.append((count, sum(len(body) for body in bodies) / 1024))
    return [
        fit_slope(f"{name} memory", x_unit, "KiB", memory),
        fit_slope(f"{name} encode", x_unit, "ms CPU", encode),
        fit_slope(f"{name} checkpoint", x_unit, "ms CPU", digest),
        fit_slope(f"{name} restore", x_unit, "ms CPU", restore),
        fit_slope(f"{name} encoded", x_unit, "KiB", size),
        fit_slope(f"{name} snapshot", x_unit, "KiB", packed),
    ]


def _compute_digest(state: Any) -> str:
    return xxhash.xxh3_128_hexdigest(state.encode())


def measure_control_state() -> list[Slope]:
    """Vary the hosts, then the kept revisions of the catalogue."""
    slopes = _measure_state(
        "control hosts",
        "hosts",
        HOST_COUNTS,
        lambda count: fold(ControlState(), list_control_records(count)),
    )
    slopes += _measure_state(
        "control revisions",
        "kept revisions",
        REVISION_COUNTS,
        lambda count: fold(ControlState(), list_control_records(0, revisions=count)),
    )
    points: Points = []
    for count in HOST_COUNTS:
        state = fold(ControlState(), list_control_records(count))
        points.append(
            (count, measure_cpu_us(partial(_move_hosts, state)) / (2 * MOVE_COUNT))
        )
    slopes.append(fit_slope("control fold move", "hosts", "us CPU/record", points))
    return slopes


def _move_hosts(state: ControlState) -> None:
    """Release hosts and assign each of them to its previous pool again."""
    for name in list(state.hosts)[:MOVE_COUNT]:
        host = state.hosts[name]
        pool = host.pool
        assert pool is not None
        stamp = Stamp(0, 0)
        state.apply(stamp, HostReleased(name, host.epoch, state.plan_revision))
        record = HostAssigned(name, pool, host.epoch + 1, state.plan_revision)
        state.apply(stamp, record)


def measure_catalogue() -> list[Slope]:
    """Vary the entries, the owners and the pools of the catalogue."""
    dimensions: dict[str, tuple[int, Callable[[int], str]]] = {
        "entries": (ENTRIES, lambda count: build_document(entries=count)),
        "owners": (OWNERS, lambda count: build_document(owners=count)),
        "pools": (POOLS, lambda count: build_document(pools=count)),
    }
    slopes = []
    for name, (target, build) in dimensions.items():
        parse: Points = []
        memory: Points = []
        size: Points = []
        for count in (target // 4, target // 2, target, 2 * target, 4 * target):
            text = build(count)
            parse.append((count, measure_cpu_us(partial(parse_catalogue, text)) / 1000))
            memory.append((count, measure_bytes(partial(parse_catalogue, text)) / 1024))
            size.append((count, len(text) / 1024))
        slopes += [
            fit_slope(f"catalogue {name} parse", name, "ms CPU", parse),
            fit_slope(f"catalogue {name} memory", name, "KiB", memory),
            fit_slope(f"catalogue {name} document", name, "KiB", size),
        ]
    return slopes


def measure_work_state() -> list[Slope]:
    """Vary the open jobs, then the ended requests."""

    def build_ended(count: int) -> WorkState:
        claims = list_claims(count)
        return _fold_work([*claims, *list_ends(claims)])

    slopes = _measure_state(
        "work open jobs",
        "open jobs",
        JOB_COUNTS,
        lambda count: _fold_work(list_jobs(count)),
    )
    slopes += _measure_state("work ended keys", "ended keys", KEY_COUNTS, build_ended)
    accept: Points = []
    claim: Points = []
    for count in KEY_COUNTS:
        jobs, claims = list_jobs(count), list_claims(count)
        ends = list_ends(claims)
        accept.append((count, measure_cpu_us(partial(_fold_work, jobs)) / count))
        both = [*claims, *ends]
        claim.append(
            (
                count,
                measure_cpu_us(partial(_fold_work, both)) / len(both),
            )
        )
    slopes.append(fit_slope("work fold JobAccepted", "jobs", "us CPU/record", accept))
    slopes.append(
        fit_slope("work fold Claimed and Ended", "keys", "us CPU/record", claim)
    )
    return slopes


def _fold_work(records: list[Record]) -> WorkState:
    state = WorkState()
    for offset, record in enumerate(records):
        state.apply(Stamp(offset, 0), record)
    return state


def list_record_sizes() -> dict[str, int]:
    """Return the size in bytes of an append with one record, by kind of record."""
    claims = list_claims(1)
    records = [*list_control_records(1), *list_jobs(1), *claims, *list_ends(claims)]
    return {
        type(record).__name__: len(encode_batch([wrap_record("0" * 24, record)]))
        for record in records
    }


class _StaticHostDirectory:
    """Host directory with a fixed list in memory."""

    def __init__(self, count: int) -> None:
        self._hosts = tuple(build_facts(index) for index in range(count))

    async def list_hosts(self) -> HostListing:
        """Return all hosts."""
        return HostListing(as_of_ms=1, hosts=self._hosts)


def build_fleet(hosts: int, pools: int = POOLS) -> tuple[Stream[Any], Workers]:
    """Return a folded control stream and views of its workers, all serving."""
    clock = ManualClock()
    state = fold(ControlState(), list_control_records(hosts, pools))
    stream = Stream("control", state, clock)
    # The client is never called, because every view below is fresh.
    nobody: Any = None
    workers = Workers(stream, nobody, clock)
    for name, host in state.hosts.items():
        workers.view(name).status = WorkerStatus(
            worker=name,
            time_ms=0,
            arrived_ms=0,
            boot_id=host.boot_id or "",
            pool=host.pool,
            epoch=host.epoch,
            state="serving",
            slots=host.facts.slots,
            busy=0,
            used_cpus=0,
            used_memory_mb=0,
            usage_as_of_ms=0,
        )
    return stream, workers


def _measure_planner_round(hosts: int, pools: int) -> float:
    """Return the CPU time in ms of a planner round that changes nothing."""
    stream, workers = build_fleet(hosts, pools)
    clock = ManualClock()
    host_list = HostList(_StaticHostDirectory(hosts), clock, workers.record_listing)
    nobody: Any = None
    planner = Planner(
        stream,
        nobody,
        host_list,
        nobody,
        workers.view,
        dict,
        lambda: True,
        clock,
    )

    asyncio.run(host_list.refresh())
    return measure_cpu_us(lambda: asyncio.run(planner.step())) / 1000


def measure_planner() -> list[Slope]:
    """Vary the hosts, the pools, and the hosts of an open wave."""
    by_hosts = [(count, _measure_planner_round(count, POOLS)) for count in HOST_COUNTS]
    by_pools = [
        (n, _measure_planner_round(PLANNER_HOST_COUNT, n)) for n in PLANNER_POOL_COUNTS
    ]
    waves: Points = []
    for count in HOST_COUNTS:
        state = fold(ControlState(), list_control_records(count))
        names = tuple(state.hosts)
        state.apply(Stamp(0, 0), WaveDeclared("wave", names, "operator"))
        run = partial(choose_drains, state, lambda host: True)
        waves.append((count, measure_cpu_us(run, 2) / 1000))
    return [
        fit_slope("planner round by hosts", "hosts", "ms CPU/round", by_hosts),
        fit_slope("planner round by pools", "pools", "ms CPU/round", by_pools),
        fit_slope("planner wave", "hosts of the wave", "ms CPU/round", waves),
    ]
