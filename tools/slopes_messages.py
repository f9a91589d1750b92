"""Cost of messages between entry hosts: heartbeats, slot division and relay."""

import asyncio
import multiprocessing
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

from bergamotgap.adapters.peer_grpc import GrpcPeerClient, PeerServer
from bergamotgap.domain.admission import AdmissionPolicy
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import parse_catalogue
from bergamotgap.domain.clock import SystemClock
from bergamotgap.domain.records import encode_batch, wrap_record
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.following import relay_stream
from bergamotgap.node.membership import PeerView
from bergamotgap.node.streams import Stream
from bergamotgap.ports.peer import Digest, PeerInfo, RelayBatch
from bergamotgap.ports.platform import LogRecord
from tools.fleet_plan import LOOPBACK, pick_ports
from tools.slope_fit import Slope, fit_slope, measure_cpu_us
from tools.slopes_inputs import (
    OWNERS,
    POOLS,
    SLOTS,
    build_document,
    list_jobs,
)

EXCHANGE_COUNT = 300
DEMAND_NAME_COUNTS = (0, 36, 72, 144)
PEER_COUNTS = (7, 14, 28, 56)
RELAY_RATES = (25, 50, 100, 200, 400)
FOLLOWER_COUNTS = (1, 2, 4, 6)
FOLLOWED_RATE = 200
RELAY_DURATION_S = 3.0
START_TIMEOUT_S = 20.0


class ByteCounter:
    """TCP proxy that counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.bytes = 0
        self.address = ""

    @asynccontextmanager
    async def open(self) -> AsyncIterator["ByteCounter"]:
        """Accept connections while the context is open."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._copy(reader, far_writer), self._copy(far_reader, writer)
            )
        except asyncio.CancelledError:
            # A cancelled handler would be logged as an error by the server.
            return

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()


class _PeerHandler:
    """Peer handler that serves a fixed digest and the records of one stream."""

    def __init__(self, digest: Digest, stream: Stream[Any] | None = None) -> None:
        self._digest = digest
        self._stream = stream

    def answer_digest(self, digest: Digest) -> Digest:
        return self._digest

    def follow(self, stream: str, offset: int) -> AsyncIterator[RelayBatch]:
        assert self._stream is not None
        return relay_stream(self._stream, offset)

    def copy_state(self, stream: str) -> None:
        return None

    async def append(self, stream: str, record_id: str, body: str) -> int:
        raise NotImplementedError

    def preempt(self, pool: str, count: int) -> None:
        raise NotImplementedError


def _build_info(index: int) -> PeerInfo:
    return PeerInfo(
        node_id=f"entry-{index:03d}",
        incarnation_ms=1_764_800_000_000 + index,
        peer_address=f"10.1.{index}.10:7003",
        operator_address=f"10.1.{index}.10:7002",
        data_centre=f"dc-{index % 8 + 1}",
    )


def build_digest(names: int, known: int) -> Digest:
    """Return a digest with `known` peers and demand of `names` pools and owners.

    The names are split in the proportion of pools to owners.
    """
    pools = names * POOLS // (POOLS + OWNERS)
    return Digest(
        sender=_build_info(0),
        control_offset=123_456,
        work_offset=12_345_678,
        catalogue_revision=12_345,
        is_leaving=False,
        is_platform_reachable=True,
        pool_demand={f"pool-{i}": 1.37 + i for i in range(pools)},
        owner_demand={f"owner-{i}": 2.41 + i for i in range(names - pools)},
        known=tuple(_build_info(i + 1) for i in range(known)),
    )


async def _measure_exchange(digest: Digest) -> tuple[float, float]:
    """Return CPU time (both ends, us) and bytes (both ways) of one exchange."""
    address = f"{LOOPBACK}:{pick_ports(1)[0]}"
    async with PeerServer(_PeerHandler(digest), address), GrpcPeerClient() as client:
        best = float("inf")
        for _ in range(5):
            started = time.process_time()
            for _ in range(EXCHANGE_COUNT):
                await client.exchange(address, digest)
            best = min(best, time.process_time() - started)
        async with ByteCounter(address).open() as counter:
            await client.exchange(counter.address, digest)
            before = counter.bytes
            for _ in range(EXCHANGE_COUNT):
                await client.exchange(counter.address, digest)
            size = (counter.bytes - before) / EXCHANGE_COUNT
    return best / EXCHANGE_COUNT * 1e6, size


async def measure_heartbeats() -> list[Slope]:
    """Vary the names with demand, then the known peers, in both digests."""
    slopes = []
    dimensions: dict[str, tuple[tuple[int, ...], Callable[[int], Digest]]] = {
        "names": (DEMAND_NAME_COUNTS, lambda count: build_digest(count, 0)),
        "known peers": (PEER_COUNTS, lambda count: build_digest(0, count)),
    }
    for name, (sizes, build) in dimensions.items():
        results = [(n, await _measure_exchange(build(n))) for n in sizes]
        cpu = [(n, result[0]) for n, result in results]
        size = [(n, result[1]) for n, result in results]
        slopes += [
            fit_slope(f"heartbeat CPU by {name}", name, "us CPU, both ends", cpu),
            fit_slope(f"heartbeat bytes by {name}", name, "B, both ways", size),
        ]
    return slopes


def measure_division() -> list[Slope]:
    """Vary the number of peers, each with demand for every pool and owner."""
    catalogue = parse_catalogue(build_document())
    points = []
    for count in PEER_COUNTS:
        policy = AdmissionPolicy("entry-000", AdmissionLimits(), lambda ticket: None)
        policy.use_catalogue(catalogue)
        peers = [_build_peer(index + 1) for index in range(count - 1)]
        known = [peer.node_id for peer in peers]
        for entry in catalogue.entries:
            policy.get_queue(entry.pool)
        policy.refresh_allowances(0, 0, peers, known, lambda pool: 30 * SLOTS)
        for entry in catalogue.entries:
            policy.admit(entry, 1_000_000, 1)

        points.append((count, measure_cpu_us(partial(_refresh, policy, peers)) / 10))
    return [fit_slope("division", "entry hosts", "us CPU/round", points)]


def _refresh(policy: AdmissionPolicy, peers: list[PeerView], rounds: int = 10) -> None:
    known = [peer.node_id for peer in peers]
    for step in range(rounds):
        now_ms = 1000 + 200 * step
        policy.refresh_allowances(now_ms, now_ms, peers, known, lambda pool: 30 * SLOTS)


def _build_peer(index: int) -> PeerView:
    digest = build_digest(POOLS + OWNERS, 0)
    return PeerView(
        node_id=f"entry-{index:03d}",
        incarnation_ms=1,
        peer_address="10.1.1.1:7003",
        operator_address="10.1.1.1:7002",
        data_centre="dc-1",
        last_contact_ms=0,
        pool_demand=digest.pool_demand,
        owner_demand=digest.owner_demand,
    )


def _follow(address: str, records: int, results: Any) -> None:
    """Follow a relay in a separate process; report CPU time per second."""

    async def run() -> float:
        stream = Stream("work", WorkState(), SystemClock())
        async with GrpcPeerClient() as client:
            batches = client.follow(address, "work", 0)
            await anext(batches)
            results.put(0.0)
            started, begun_s = time.process_time(), time.monotonic()
            async for batch in batches:
                stream.fold_records(batch.records)
                if stream.next_offset >= records:
                    break
            used_s = time.process_time() - started
            return used_s / (time.monotonic() - begun_s)

    results.put(asyncio.run(run()))


async def _feed_stream(stream: Stream[Any], bodies: list[str], rate: float) -> None:
    """Fold appends into the stream at a steady rate."""
    begun_s = time.monotonic()
    for number, body in enumerate(bodies):
        wait_s = begun_s + number / rate - time.monotonic()
        await asyncio.sleep(max(0.0, wait_s))
        stream.fold_records((LogRecord(number, number, f"{number:024d}", body),))


async def _measure_relay(rate: float, followers: int) -> tuple[float, float]:
    """Return CPU time in ms per second of the relay and of one follower."""
    stream = Stream("work", WorkState(), SystemClock())
    address = f"{LOOPBACK}:{pick_ports(1)[0]}"
    bodies = [
        encode_batch([wrap_record(f"{number:024d}", record)])
        for number, record in enumerate(list_jobs(int(rate * RELAY_DURATION_S)))
    ]
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    children = [
        context.Process(target=_follow, args=(address, len(bodies), results))
        for _ in range(followers)
    ]
    async with PeerServer(_PeerHandler(build_digest(0, 0), stream), address):
        stream.record_contact()
        for child in children:
            child.start()
        for _ in children:
            await asyncio.to_thread(results.get, True, START_TIMEOUT_S)
        started, begun_s = time.process_time(), time.monotonic()
        await _feed_stream(stream, bodies, rate)
        used_s = time.process_time() - started
        relay_ms = used_s / (time.monotonic() - begun_s) * 1000
        shares = [
            await asyncio.to_thread(results.get, True, START_TIMEOUT_S)
            for _ in children
        ]
        for child in children:
            child.join()
    return relay_ms, min(shares) * 1000


async def measure_relay() -> list[Slope]:
    """Vary the relayed records per second, then the followers at a fixed rate."""
    by_rate = [(rate, await _measure_relay(rate, 1)) for rate in RELAY_RATES]
    by_count = [(n, await _measure_relay(FOLLOWED_RATE, n)) for n in FOLLOWER_COUNTS]
    relay = [(rate, ms[0]) for rate, ms in by_rate]
    follower = [(rate, ms[1]) for rate, ms in by_rate]
    count = [(n, ms[0]) for n, ms in by_count]
    return [
        fit_slope("relay by rate", "appends/s", "ms CPU/s", relay),
        fit_slope("follower by rate", "appends/s", "ms CPU/s", follower),
        fit_slope("relay by followers", "followers", "ms CPU/s", count),
    ]
