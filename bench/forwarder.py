"""Compare an entry host with a plain forwarder on the same workers."""

import asyncio
import json
import statistics
import sys
from collections import Counter
from dataclasses import dataclass

import aiohttp
import numpy as np

from bench.figures import Figure, print_figures
from tools.fleet import ROOT, Fleet
from tools.fleet_plan import LOOPBACK, pick_ports

# Targets: the rate of an entry host is at least 0.7 of that of a forwarder without
# policy, and its p99 at half load is at most 1.5 times the forwarder's. Half load is
# half of the entry host's own rate; both get the same number of requests per second.
MIN_RATE_RATIO = 0.7
MAX_P99_RATIO = 1.5
ROUNDS = 5
ROUND_DURATION_S = 2.0
GENERATOR_COUNT = 2
CONCURRENCY = 16
RUN_MS = 2
ENTRY = "spend-preview"
KEY = "founder-key"


@dataclass(frozen=True)
class Comparison:
    """Rates per second, latencies in ms, and medians of the ratios of all rounds."""

    forwarder_rate: float
    entry_host_rate: float
    rate_ratio: float
    offered_rate: float
    forwarder_p99_ms: float
    entry_host_p99_ms: float
    p99_ratio: float
    forwarder_errors: int
    entry_host_errors: int


async def run_load(address: str, rate: float = 0.0) -> tuple[list[float], int]:
    """Load an address from several processes; return latencies in ms and errors."""
    command = [
        *[sys.executable, "-m", "bench.http_load", "--address", address],
        *["--entry", ENTRY, "--key", KEY, "--seconds", str(ROUND_DURATION_S)],
        *["--concurrency", str(CONCURRENCY), "--rate", str(rate / GENERATOR_COUNT)],
    ]
    processes = [
        await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, cwd=ROOT, limit=1 << 26
        )
        for _ in range(GENERATOR_COUNT)
    ]
    outputs = await asyncio.gather(*(item.communicate() for item in processes))
    results = [json.loads(output) for output, _ in outputs]
    latencies = [value for item in results for value in item["latencies_ms"]]
    return latencies, sum(item["errors"] for item in results)


async def wait_until_served(address: str) -> None:
    """Wait until a request succeeds."""
    url = f"http://{address}/v1/requests/{ENTRY}"
    headers = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession() as session, asyncio.timeout(30):
        while True:
            try:
                async with session.post(url, headers=headers, data=b"x") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)


async def compare(forwarder: str, entry_host: str) -> Comparison:
    """Measure both alternately, so that other load on the machine affects both."""
    rates: list[tuple[float, float]] = []
    p99s: list[tuple[float, float]] = []
    errors = Counter[str]()
    for _ in range(ROUNDS):
        pair = []
        for address in (forwarder, entry_host):
            latencies, failed = await run_load(address)
            pair.append(len(latencies) / ROUND_DURATION_S)
            errors[address] += failed
        rates.append((pair[0], pair[1]))
    offered_rate = statistics.median(rate for _, rate in rates) / 2
    for _ in range(ROUNDS):
        pair = []
        for address in (forwarder, entry_host):
            latencies, failed = await run_load(address, offered_rate)
            pair.append(float(np.percentile(latencies, 99)))
            errors[address] += failed
        p99s.append((pair[0], pair[1]))
    return Comparison(
        forwarder_rate=statistics.median(first for first, _ in rates),
        entry_host_rate=statistics.median(second for _, second in rates),
        rate_ratio=statistics.median(second / first for first, second in rates),
        offered_rate=offered_rate,
        forwarder_p99_ms=statistics.median(first for first, _ in p99s),
        entry_host_p99_ms=statistics.median(second for _, second in p99s),
        p99_ratio=statistics.median(second / first for first, second in p99s),
        forwarder_errors=errors[forwarder],
        entry_host_errors=errors[entry_host],
    )


async def measure() -> Comparison:
    """Start a fleet with one entry host and a forwarder, and compare them."""
    fleet = Fleet(node_count=1, run_ms=RUN_MS, pools=("previews",))
    for host in fleet.hosts:
        # All on loopback: to prefer workers of the own data centre would only leave the
        # entry host fewer workers than the forwarder.
        host["data_centre"] = fleet.nodes[0].data_centre
    async with fleet:
        await fleet.publish()
        await fleet.wait_until_ready()
        await wait_until_served(fleet.nodes[0].caller)
        forwarder = f"{LOOPBACK}:{pick_ports(1)[0]}"
        workers = ",".join(host["address"] for host in fleet.hosts)
        command = [sys.executable, "-m", "bench.thin_forwarder", "--listen", forwarder]
        fleet.start("forwarder", [*command, "--workers", workers])
        await wait_until_served(forwarder)
        return await compare(forwarder, fleet.nodes[0].caller)


def main() -> list[Figure]:
    """Return all figures; the ratios have targets."""
    result = asyncio.run(measure())
    load = f"at {result.offered_rate:.0f} requests/s"
    return [
        Figure("forwarder: rate", result.forwarder_rate, "1/s"),
        Figure("entry host: rate", result.entry_host_rate, "1/s"),
        Figure(
            "rate, entry host to forwarder",
            result.rate_ratio,
            "ratio",
            MIN_RATE_RATIO,
            "at least",
        ),
        Figure("forwarder: p99", result.forwarder_p99_ms, "ms", note=load),
        Figure("entry host: p99", result.entry_host_p99_ms, "ms", note=load),
        Figure(
            "p99, entry host to forwarder",
            result.p99_ratio,
            "ratio",
            MAX_P99_RATIO,
            note=load,
        ),
        Figure("forwarder: refused or failed", result.forwarder_errors, "requests"),
        Figure("entry host: refused or failed", result.entry_host_errors, "requests"),
    ]


if __name__ == "__main__":
    print_figures(main())
