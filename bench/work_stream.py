"""Measure the `work` stream: records, appends, latency, fold time and memory.

The platform and worker stand-ins run in this process, on the loopback address.
"""

import asyncio
import base64
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from bench.figures import Figure, list_figures, print_figures
from bergamotgap.adapters.logs import configure_logs
from bergamotgap.adapters.platform_http import HttpPlatformClient
from bergamotgap.domain.clock import SystemClock
from bergamotgap.domain.folding import Stamp
from bergamotgap.domain.records import (
    CancelRequested,
    Ended,
    JobAccepted,
    Record,
    decode_batch,
)
from bergamotgap.domain.work_items import build_request_key
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.node import Node
from bergamotgap.node.settings import build_settings
from bergamotgap.node.streams import Stream
from bergamotgap.node.writer import StreamWriter
from stand_ins.platform import Platform, PlatformSettings
from stand_ins.serving import serve_app
from stand_ins.worker import Worker, WorkerSettings
from tools.fleet import ROOT
from tools.fleet_plan import LOOPBACK, pick_ports

BATCHES_MS = (0, 2, 5, 10)
WRITERS = 64
APPENDS_PER_WRITER = 40
WORK_ITEMS = 40
# Rate of evenly spaced records; the platform accepts several hundred appends/s.
PACED_PER_S = 500
PACED_RECORDS = 500
FOLDED_JOBS = 10_000
JOB_BODY_BYTES = 1024
AUTHORIZATION_HEADER = {"Authorization": "Bearer nightly-key"}
PAGE_RECORDS = 1000
DOCUMENT = (ROOT / "catalogues" / "association.toml").read_text()


# Without a rate limit, so that the stand-in doesn't limit the writer.
UNLIMITED = PlatformSettings(append_rate=1_000_000)


async def measure_appends(batch_ms: int) -> dict[str, float]:
    """Append from one writer and from many; return rates and latencies."""
    clock = SystemClock()
    session = aiohttp.ClientSession()
    async with serve_app(Platform([], UNLIMITED).build_app()) as address, session:
        platform = HttpPlatformClient(session, f"http://{address}")
        stream = Stream("work", WorkState(), clock)
        writer = StreamWriter(stream, platform, clock, batch_ms)
        follower = asyncio.create_task(_follow(stream, platform))
        single = await _append_many(writer, 1)
        offset, started = stream.next_offset, time.perf_counter()
        many = await _append_many(writer, WRITERS)
        elapsed = time.perf_counter() - started
        appends = stream.next_offset - offset
        records = WRITERS * APPENDS_PER_WRITER
        paced_appends, paced = await _append_paced(writer, stream)
        follower.cancel()
        return {
            "batch_ms": batch_ms,
            "records_per_s": records / elapsed,
            "appends_per_s": appends / elapsed,
            "records_per_append": records / appends,
            "p50_ms": many.get_value_at_percentile(50) / 1000,
            "p99_ms": many.get_value_at_percentile(99) / 1000,
            "one_writer_p50_ms": single.get_value_at_percentile(50) / 1000,
            "paced_appends_per_s": paced_appends,
            "paced_p50_ms": paced.get_value_at_percentile(50) / 1000,
        }


async def _follow(stream: Stream[WorkState], platform: HttpPlatformClient) -> None:
    while True:
        page = await platform.read(
            stream.name, stream.next_offset, PAGE_RECORDS, 10_000
        )
        stream.fold_records(page.records)


async def _append_paced(
    writer: StreamWriter, stream: Stream[WorkState]
) -> tuple[float, Any]:
    histogram = HdrHistogram(1, 60_000_000, 3)
    offset, started = stream.next_offset, time.perf_counter()

    async def append(number: int) -> None:
        await asyncio.sleep(number / PACED_PER_S)
        begun = time.perf_counter()
        await writer.append(CancelRequested(f"p-{number}"), 10_000)
        histogram.record_value(int((time.perf_counter() - begun) * 1e6))

    await asyncio.gather(*(append(number) for number in range(PACED_RECORDS)))
    elapsed = time.perf_counter() - started
    return (stream.next_offset - offset) / elapsed, histogram


async def _append_many(writer: StreamWriter, writers: int) -> Any:
    histogram = HdrHistogram(1, 60_000_000, 3)

    async def append(number: int) -> None:
        for index in range(APPENDS_PER_WRITER):
            started = time.perf_counter()
            await writer.append(CancelRequested(f"{number}-{index}"), 10_000)
            histogram.record_value(int((time.perf_counter() - started) * 1e6))

    await asyncio.gather(*(append(number) for number in range(writers)))
    return histogram


async def measure_records() -> dict[str, dict[str, float]]:
    """Run jobs and requests on one entry host; return records per item by kind."""
    ports = pick_ports(6)
    hosts = [
        {
            "host": f"w-{pool}",
            "address": f"{LOOPBACK}:{port}",
            "data_centre": "riga-1",
            "rack": "r1",
            "cpus": 32.0,
            "memory_mb": 65_536,
            "accelerators": 0,
            "slots": 64,
            "connections": 64,
            "pool": pool,
            "state": "live",
        }
        for pool, port in (("reconciliation", ports[1]), ("miscellaneous", ports[5]))
    ]
    platform = Platform(hosts, UNLIMITED).build_app()
    settings = WorkerSettings(slots=64, run_ms=5)
    workers = [Worker(str(host["host"]), settings).build_app() for host in hosts]
    async with (
        serve_app(platform, f"{LOOPBACK}:{ports[0]}") as log_address,
        serve_app(workers[0], f"{LOOPBACK}:{ports[1]}"),
        serve_app(workers[1], f"{LOOPBACK}:{ports[5]}"),
        Node(_build_settings(log_address, ports), SystemClock()),
        aiohttp.ClientSession(headers=AUTHORIZATION_HEADER) as session,
    ):
        callers = f"http://{LOOPBACK}:{ports[2]}/v1"
        await _publish(session, f"http://{LOOPBACK}:{ports[3]}/v1/catalogue")
        await _warm_up(session, callers)
        log = f"http://{log_address}/streams/work/records"
        results = {}
        kinds: dict[str, Callable[..., Awaitable[int]]] = {
            "non-idempotent request": _request,
            "non-idempotent job": partial(_submit, "rollup-invoice"),
            "idempotent job": partial(_submit, "tool-run"),
        }
        for kind, submit in kinds.items():
            before = await _count_records(session, log)
            await asyncio.gather(
                *(submit(session, callers, f"{kind} {i}") for i in range(WORK_ITEMS))
            )
            await asyncio.sleep(1)
            after = await _count_records(session, log)
            after.subtract(before)
            results[kind] = {name: count / WORK_ITEMS for name, count in after.items()}
        return results


def _build_settings(log_address: str, ports: list[int]) -> Any:
    values: dict[str, object] = {
        "node_id": "entry-1",
        "data_centre": "riga-1",
        "caller_address": f"{LOOPBACK}:{ports[2]}",
        "operator_address": f"{LOOPBACK}:{ports[3]}",
        "peer_address": f"{LOOPBACK}:{ports[4]}",
        "platform_url": f"http://{log_address}",
        "shutdown_ms": 1000,
    }
    return build_settings(values)


async def _publish(session: aiohttp.ClientSession, url: str) -> None:
    payload = {"base_revision": 0, "document": DOCUMENT, "operator": "bench"}
    async with session.post(url, json=payload) as response:
        response.raise_for_status()


async def _warm_up(session: aiohttp.ClientSession, callers: str) -> None:
    async with asyncio.timeout(30):
        for number in range(1000):
            if await _request(session, callers, f"warm-{number}") == 200:
                # The outcome is recorded shortly after the response.
                await asyncio.sleep(0.5)
                return
            await asyncio.sleep(0.1)


async def _request(session: aiohttp.ClientSession, callers: str, name: str) -> int:
    url, headers = f"{callers}/requests/rollup-invoice", {"Request-Id": name}
    async with session.post(url, data=b"q3", headers=headers) as response:
        await response.read()
        return response.status


async def _submit(
    entry: str, session: aiohttp.ClientSession, callers: str, name: str
) -> int:
    body = base64.b64encode(b"q3").decode()
    order = {"entry": entry, "request_id": name, "body_base64": body}
    async with session.post(f"{callers}/jobs", json=order) as response:
        return response.status


async def _count_records(session: aiohttp.ClientSession, url: str) -> Counter[str]:
    counts: Counter[str] = Counter()
    offset = 0
    while True:
        query = {"from": str(offset), "max": str(PAGE_RECORDS)}
        async with session.get(url, params=query) as response:
            records = (await response.json())["records"]
        for record in records:
            counts["appends"] += 1
            counts.update(envelope.kind for envelope in decode_batch(record["body"]))
        if len(records) < PAGE_RECORDS:
            return counts
        offset += len(records)


def measure_fold() -> dict[str, float]:
    """Fold accepted and ended jobs; return the time per record and snapshot sizes."""
    state = WorkState()
    body = base64.b64encode(bytes(JOB_BODY_BYTES)).decode()
    accepted = [
        JobAccepted(f"j{i}", "c", str(i), "e", body, "0" * 64, 60_000, 660_000, "n/1")
        for i in range(FOLDED_JOBS)
    ]
    ended = [
        Ended(
            build_request_key("c", str(i)), f"j{i}", 0, 1, "done", "w", "t", "", 0, ""
        )
        for i in range(FOLDED_JOBS)
    ]
    accept_us = _time_fold(state, accepted)
    encoded = state.encode()
    started = time.perf_counter()
    WorkState.decode(encoded)
    decode_ms = (time.perf_counter() - started) * 1000
    end_us = _time_fold(state, ended)
    return {
        "accept_us": accept_us,
        "end_us": end_us,
        "snapshot_bytes_per_open_job": len(encoded) / FOLDED_JOBS,
        "snapshot_bytes_per_ended_job": len(state.encode()) / FOLDED_JOBS,
        "restore_ms_for_10000_jobs": decode_ms,
        "record_bytes": len(msgspec.json.encode(accepted[0])),
    }


def _time_fold(state: WorkState, records: list[Any]) -> float:
    items: list[Record] = records
    started = time.perf_counter()
    for offset, record in enumerate(items):
        state.apply(Stamp(offset, offset), record)
    return (time.perf_counter() - started) / len(items) * 1e6


def main() -> list[Figure]:
    """Return the figures of appends, of each kind of work and of the fold."""
    configure_logs("error")
    figures = []
    for batch_ms in BATCHES_MS:
        row = asyncio.run(measure_appends(batch_ms))
        figures += list_figures(f"work stream, batch {batch_ms} ms", row)
    for kind, counts in asyncio.run(measure_records()).items():
        figures += list_figures(f"work stream, records of a {kind}", counts)
    return figures + list_figures("work stream, fold", measure_fold())


if __name__ == "__main__":
    print_figures(main())
