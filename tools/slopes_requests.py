"""Cost of one entry host process: requests, appends and state dumps."""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable

import aiohttp
import psutil

from bench.http_load import LoadRun
from bergamotgap.adapters.peer_grpc import GrpcPeerClient
from bergamotgap.ports.peer import Digest, PeerInfo
from tools.fleet import Fleet
from tools.slope_fit import Slope, fit_slope
from tools.slopes_messages import build_digest

IDEMPOTENT_RATES = (50, 100, 200, 400)
NON_IDEMPOTENT_RATES = (20, 40, 80, 160)
LOAD_DURATION_S = 4.0
BODY = b"x" * 256
RUN_MS = 5
DUMP_PEER_COUNTS = (7, 14, 28, 56)
DUMP_COUNT = 20


class _UsageMeter:
    """Reads the CPU time of the entry host and the next offset of stream `work`."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._process = psutil.Process(fleet.processes[fleet.nodes[0].name].pid)
        self._url = f"http://{fleet.platform_address}/streams/work/records"
        self._session = session

    def read_cpu_s(self) -> float:
        return float(sum(self._process.cpu_times()[:2]))

    async def print_idle(self) -> None:
        """Print CPU and memory usage of the entry host without requests."""
        cpu_s = self.read_cpu_s()
        await asyncio.sleep(LOAD_DURATION_S)
        used_ms = (self.read_cpu_s() - cpu_s) / LOAD_DURATION_S * 1000
        memory_mib = self._process.memory_info().rss / (1 << 20)
        print(f"idle entry host: {used_ms:.1f} ms CPU/s, {memory_mib:.0f} MiB resident")

    async def read_offset(self) -> int:
        query = {"from": "0", "max": "1"}
        async with self._session.get(self._url, params=query) as response:
            return int((await response.json())["next_offset"])


async def _send_idempotent(fleet: Fleet, rate: float) -> int:
    address = fleet.nodes[0].caller
    head = (
        f"POST /v1/requests/spend-preview HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer founder-key\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    host, _, port = address.rpartition(":")
    load = LoadRun(head.encode() + BODY, host, int(port))
    await load.run_open(LOAD_DURATION_S, rate)
    return len(load.latencies_ms)


async def _send_non_idempotent(fleet: Fleet, rate: float) -> int:
    url = f"http://{fleet.nodes[0].caller}/v1/requests/rollup-invoice"
    done = 0

    async def send(session: aiohttp.ClientSession, number: int) -> None:
        nonlocal done
        await asyncio.sleep(number / rate)
        headers = {
            "Authorization": "Bearer nightly-key",
            "Request-Id": secrets.token_hex(8),
        }
        async with session.post(url, headers=headers, data=BODY) as response:
            await response.read()
            done += response.status == 200

    async with aiohttp.ClientSession() as session:
        count = int(LOAD_DURATION_S * rate)
        await asyncio.gather(*(send(session, number) for number in range(count)))
    return done


async def _measure_rates(
    meter: _UsageMeter,
    fleet: Fleet,
    rates: tuple[int, ...],
    send: Callable[[Fleet, float], Awaitable[int]],
) -> list[tuple[float, float, float, float]]:
    """Return answered/s, CPU ms/s, appends/s and answered fraction of each rate."""
    rows = []
    for rate in rates:
        offset, cpu_s, begun_s = (
            await meter.read_offset(),
            meter.read_cpu_s(),
            time.monotonic(),
        )
        done = await send(fleet, rate)
        elapsed_s = time.monotonic() - begun_s
        used_ms = (meter.read_cpu_s() - cpu_s) * 1000
        appends = await meter.read_offset() - offset
        rows.append(
            (
                done / elapsed_s,
                used_ms / elapsed_s,
                appends / elapsed_s,
                done / (rate * LOAD_DURATION_S),
            )
        )
    return rows


def _build_unreachable_peer(index: int) -> Digest:
    """Return the digest of a made-up peer; nothing listens on its address."""
    digest = build_digest(0, 0)
    info = PeerInfo(f"made-up-{index:03d}", 1, "127.0.0.1:9", "127.0.0.1:9", "riga-2")
    return Digest(info, 0, 0, digest.catalogue_revision, False, False, {}, {}, (), ())


async def _measure_dumps(
    meter: _UsageMeter, fleet: Fleet, session: aiohttp.ClientSession
) -> list[Slope]:
    url = f"http://{fleet.nodes[0].operator}/v1/dump"
    size, cpu, known = [], [], 0
    async with GrpcPeerClient() as client:
        for count in DUMP_PEER_COUNTS:
            for index in range(known, count):
                await client.exchange(
                    fleet.nodes[0].peer, _build_unreachable_peer(index)
                )
            known = count
            before = meter.read_cpu_s()
            for _ in range(DUMP_COUNT):
                async with session.get(url) as response:
                    text = await response.read()
            cpu.append((count, (meter.read_cpu_s() - before) / DUMP_COUNT * 1000))
            size.append((count, len(text) / 1024))
    return [
        fit_slope("dump bytes", "entry hosts", "KiB", size),
        fit_slope("dump CPU", "entry hosts", "ms CPU", cpu),
    ]


async def measure_requests() -> list[Slope]:
    """Vary the requests per second on one entry host with 30 workers."""
    fleet = Fleet(node_count=1, run_ms=RUN_MS, workers_per_process=10)
    async with fleet, aiohttp.ClientSession() as session:
        await fleet.publish()
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        await asyncio.sleep(3)
        meter = _UsageMeter(fleet, session)
        await meter.print_idle()
        await _send_idempotent(fleet, 50)
        plain = await _measure_rates(meter, fleet, IDEMPOTENT_RATES, _send_idempotent)
        other = await _measure_rates(
            meter, fleet, NON_IDEMPOTENT_RATES, _send_non_idempotent
        )
        dumps = await _measure_dumps(meter, fleet, session)
    parts = [f"{row[3]:.2f}" for row in (*plain, *other)]
    print(f"answered with 200, fraction of sent: {' '.join(parts)}")
    return [
        fit_slope(
            "idempotent requests", "requests/s", "ms CPU/s", [r[:2] for r in plain]
        ),
        fit_slope(
            "non-idempotent requests", "requests/s", "ms CPU/s", [r[:2] for r in other]
        ),
        fit_slope(
            "non-idempotent appends",
            "requests/s",
            "appends/s",
            [(row[0], row[2]) for row in other],
        ),
        *dumps,
    ]
