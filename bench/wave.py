"""Compare the duration of a maintenance wave with the minimum that its limits allow.

The pool serves requests during the wave. The availability budget and the racks set the
minimum number of batches, and each batch takes one drain and one reboot.
"""

import asyncio
import math
import secrets
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

import aiohttp

from bench.figures import Figure, print_figures
from bench.fleet_load import run_plan
from bench.flood_load import LoadPlan, RequestStream, SentRequest
from bergamotgap.domain.budget import count_required_hosts
from bergamotgap.domain.catalogue import parse_catalogue
from bergamotgap.domain.records import WaveDeclared, encode_batch, wrap_record
from tools.demo import list_entry_uses
from tools.fleet import Fleet

POOL = "previews"
ENTRY = "spend-preview"
RUN_MS = 500
# Real reboots take minutes. With this short one, the planner's waits between two steps
# are a larger part of the wave than with real hosts.
REBOOT_MS = 5000
SLOTS = 8
LOAD_FRACTION = 0.4
LOAD_DURATION_S = 30.0
SETTLE_S = 4.0
WAVE_TIMEOUT_S = 60.0
POLL_S = 0.05
SEED = 20_261_204
GIVE_UP_MS = 10_000
# Target of the design page: maximum duration as a multiple of the minimum.
MAX_DURATION_RATIO = 1.25


@dataclass(frozen=True)
class Result:
    """Duration of the wave, minimum of serving hosts, and requests sent."""

    duration_s: float
    min_serving_hosts: int
    sent: list[SentRequest]


def count_batches(hosts: list[dict[str, Any]], at_once: int) -> int:
    """Return the minimum number of batches: one rack at a time, within the budget."""
    racks = Counter(host["rack"] for host in hosts)
    return sum(math.ceil(count / at_once) for count in racks.values())


async def declare_wave(fleet: Fleet, hosts: list[str]) -> None:
    """Declare a wave by appending its record to the log, without an entry host."""
    record = WaveDeclared("bench-wave", tuple(hosts), "bench")
    record_id = secrets.token_hex(8)
    body = encode_batch([wrap_record(record_id, record)])
    url = f"http://{fleet.platform_address}/streams/control/records"
    async with aiohttp.ClientSession() as session:
        payload = {"id": record_id, "body": body}
        async with session.post(url, json=payload) as response:
            response.raise_for_status()


async def run_wave(fleet: Fleet, hosts: list[str]) -> tuple[float, int]:
    """Run a wave; return its duration in s and the minimum of serving hosts."""
    before = [await fleet.read_worker_status(host) for host in hosts]
    old = {status["worker"]: status["boot_id"] for status in before}
    min_serving = len(hosts)
    started = time.monotonic()
    await declare_wave(fleet, hosts)
    async with asyncio.timeout(WAVE_TIMEOUT_S):
        while True:
            statuses = await asyncio.gather(*map(fleet.read_worker_status, hosts))
            serving = [s for s in statuses if s["state"] == "serving"]
            min_serving = min(min_serving, len(serving))
            renewed = [s for s in serving if s["boot_id"] != old[s["worker"]]]
            if len(renewed) == len(hosts):
                return time.monotonic() - started, min_serving
            await asyncio.sleep(POLL_S)


async def measure() -> tuple[Result, Fleet]:
    """Run a wave on one pool of a fleet under load."""
    settings = {"reboot_ms": REBOOT_MS}
    fleet = Fleet(
        run_ms=RUN_MS, slots=SLOTS, workers_per_process=6, worker_settings=settings
    )
    async with fleet:
        await fleet.publish()
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        await asyncio.sleep(SETTLE_S)
        hosts = [host["host"] for host in fleet.hosts if host["pool"] == POOL]
        load = asyncio.create_task(run_plan(fleet, build_plan(fleet, len(hosts))))
        await asyncio.sleep(SETTLE_S)
        duration_s, min_serving = await run_wave(fleet, hosts)
        return Result(duration_s, min_serving, await load), fleet


def build_plan(fleet: Fleet, hosts: int) -> LoadPlan:
    """Return a plan that loads the pool's entry during the whole wave."""
    use = next(use for use in list_entry_uses(fleet.document, 1) if use.name == ENTRY)
    rate = LOAD_FRACTION * hosts * SLOTS * 1000 / RUN_MS
    stream = RequestStream(ENTRY, use.key, rate, int(use.entry["deadline_ms"]))
    return LoadPlan(
        name="wave",
        addresses=[node.caller for node in fleet.nodes],
        streams=[stream],
        seconds=LOAD_DURATION_S,
        seed=SEED,
        run_ms=RUN_MS,
        give_up_ms=GIVE_UP_MS,
    )


def main() -> list[Figure]:
    """Return the duration relative to the minimum, and the outcomes of requests."""
    result, fleet = asyncio.run(measure())
    catalogue = parse_catalogue(fleet.document)
    hosts = [host for host in fleet.hosts if host["pool"] == POOL]
    needed = count_required_hosts(catalogue, POOL, len(hosts))
    batches = count_batches(hosts, len(hosts) - needed)
    min_duration_s = batches * (RUN_MS + REBOOT_MS) / 1000
    outcomes = Counter(sent.outcome for sent in result.sent)
    bad = sum(outcomes.values()) - outcomes["done"] - outcomes["not_run"]
    note = f"{batches} batches of at most {len(hosts) - needed} hosts"
    detail = ", ".join(f"{name} {count}" for name, count in outcomes.items())
    ratio = result.duration_s / min_duration_s
    min_serving = result.min_serving_hosts
    return [
        Figure("wave: duration", result.duration_s, "s", note=note),
        Figure("wave: least duration", min_duration_s, "s", note="drain and reboot"),
        Figure("wave: duration to least", ratio, "ratio", MAX_DURATION_RATIO),
        Figure("wave: hosts serving", min_serving, "hosts", needed, "at least"),
        Figure("wave: failed or unknown", bad, "requests", 0, note=detail),
    ]


if __name__ == "__main__":
    print_figures(main())
