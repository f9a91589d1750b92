"""Cost of worker statuses, worker views and reads of the host list."""

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp

from bergamotgap.adapters.platform_http import HttpPlatformClient
from bergamotgap.adapters.worker_http import HttpWorkerClient
from bergamotgap.domain.clock import SystemClock
from bergamotgap.node.workers import Workers
from tools.fleet import ROOT
from tools.fleet_plan import LOOPBACK, pick_ports
from tools.slope_fit import Slope, fit_slope, measure_cpu_us
from tools.slopes_inputs import POOLS, build_facts
from tools.slopes_messages import ByteCounter
from tools.slopes_state import build_fleet

STATUS_COUNTS = (200, 400, 800, 1600)
LISTED_HOST_COUNTS = (200, 400, 800, 1600)
VIEWED_HOST_COUNTS = (250, 500, 1000, 2000)
TICK_COUNT = 100
READ_COUNT = 10
START_TIMEOUT_S = 20.0


@asynccontextmanager
async def _run_stand_in(
    address: str, path: str, *arguments: str
) -> AsyncIterator[None]:
    """Run a stand-in in a separate process; enter the context once it answers."""
    command = [sys.executable, "-m", "stand_ins", *arguments]
    process = await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, stdout=asyncio.subprocess.DEVNULL
    )
    try:
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            while not await _is_answering(session, f"http://{address}{path}"):
                await asyncio.sleep(0.05)
        yield
    finally:
        process.kill()
        await process.wait()


async def _is_answering(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def measure_statuses() -> list[Slope]:
    """Vary the number of statuses that an entry host fetches from a worker."""
    address = f"{LOOPBACK}:{pick_ports(1)[0]}"
    start = _run_stand_in(
        *(address, "/v1/status", "workers"),
        *("--settings", "{}", "--listen", address, "--name", "worker-00001"),
    )
    clock = SystemClock()
    cpu, size = [], []
    async with start, aiohttp.ClientSession() as session:
        client = HttpWorkerClient(session, session, clock)
        async with ByteCounter(address).open() as counter:
            for count in STATUS_COUNTS:
                best = float("inf")
                for _ in range(2):
                    started = time.process_time()
                    for _ in range(count):
                        await client.fetch_status(address)
                    best = min(best, time.process_time() - started)
                cpu.append((count, best * 1000))
                before = counter.bytes
                for _ in range(count):
                    await client.fetch_status(counter.address)
                size.append((count, (counter.bytes - before) / 1024))
    return [
        fit_slope("status CPU", "statuses", "ms CPU", cpu),
        fit_slope("status bytes", "statuses", "KiB, both ways", size),
    ]


def measure_views() -> list[Slope]:
    """Vary the hosts with a view on an entry host; no worker is due for a poll."""
    ticks, capacity = [], []
    for count in VIEWED_HOST_COUNTS:
        stream, workers = build_fleet(count)
        for name in stream.state.hosts:
            workers.view(name).next_poll_ms = 1 << 60
        ticks.append((count, _measure_ticks(workers)))

        capacity.append((count, measure_cpu_us(partial(_sum_capacities, workers), 5)))
    return [
        fit_slope("worker views tick", "hosts", "us CPU/tick", ticks),
        fit_slope("pool capacities", "hosts", "us CPU/round", capacity),
    ]


def _sum_capacities(workers: Workers) -> None:
    """Sum the slots of every pool after a change, as each slot division does."""
    workers.record_refusal("worker-00000", "stale_epoch")
    for index in range(POOLS):
        workers.pool_capacity(f"pool-{index}")


def _measure_ticks(workers: Workers) -> float:
    """Return the CPU time of one tick of `Workers.run`, in microseconds."""

    async def run() -> None:
        task = asyncio.create_task(workers.run())
        await asyncio.sleep(0)
        for _ in range(TICK_COUNT):
            # The manual clock ends each wait at the next iteration of the event loop.
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    return measure_cpu_us(lambda: asyncio.run(run())) / TICK_COUNT


async def measure_host_list() -> list[Slope]:
    """Vary the number of hosts that the platform lists."""
    cpu, size = [], []
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / "hosts.json"
        for count in LISTED_HOST_COUNTS:
            address = f"{LOOPBACK}:{pick_ports(1)[0]}"
            path.write_text(json.dumps([_list_host(i) for i in range(count)]))
            start = _run_stand_in(
                *(address, "/hosts", "platform", "--listen", address),
                *("--hosts-file", str(path), "--settings", "{}"),
            )
            async with start, aiohttp.ClientSession() as session:
                used = await _measure_list_read(
                    HttpPlatformClient(session, f"http://{address}")
                )
                async with ByteCounter(address).open() as counter:
                    url = f"http://{counter.address}"
                    await HttpPlatformClient(session, url).list_hosts()
                    size.append((count, counter.bytes / 1024))
            cpu.append((count, used))
    return [
        fit_slope("host list CPU", "hosts", "ms CPU/read", cpu),
        fit_slope("host list bytes", "hosts", "KiB/read", size),
    ]


def _list_host(index: int) -> dict[str, Any]:
    facts = build_facts(index)
    names = [name for name in facts.__dataclass_fields__ if name != "is_leaving"]
    return {name: getattr(facts, name) for name in names} | {"state": "live"}


async def _measure_list_read(platform: HttpPlatformClient) -> float:
    times = []
    for _ in range(READ_COUNT):
        started = time.process_time()
        await platform.list_hosts()
        times.append(time.process_time() - started)
    return min(times) * 1000
