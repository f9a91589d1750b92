"""P8: a graceful shutdown doesn't break requests in progress."""

import asyncio
import json

import aiohttp
import pytest

from tests.promise_harness import run_fleet, wait_until_served
from tools.fleet import Fleet
from tools.fleet_calls import CallerAnswer

ENTRY, KEY = "audit-export", "nightly-key"
PROBE_INTERVAL_S = 0.5
CALLERS = 3
# The long requests outlast the time in which a leaving host accepts new ones.
RUN_MS = (300, 6000)
MAX_CONNECT_ATTEMPTS = 20


class LoadBalancer:
    """Sends requests to ready entry hosts, like the platform's load balancer.

    Refused connections and responses with status 503, as leaving hosts send them, are
    retried on another host. Other broken connections count as cut-off requests.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._ready = list(range(len(fleet.nodes)))
        self._next_node = 0
        self.cut_off: list[str] = []
        self.answers: list[CallerAnswer] = []

    async def run_probes(self) -> None:
        """Probe the readiness of all entry hosts until cancelled."""
        while True:
            checks = [self._is_ready(node) for node in range(len(self._fleet.nodes))]
            found = await asyncio.gather(*checks)
            self._ready = [node for node, is_ready in enumerate(found) if is_ready]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _is_ready(self, node: int) -> bool:
        try:
            calls = self._fleet.calls
            return (
                await calls.call_operator("GET", "/readyz", node=node)
            ).status == 200
        except aiohttp.ClientError:
            return False

    async def send(self, body: bytes) -> None:
        """Send a request; retry only while no entry host has accepted it."""
        for _ in range(MAX_CONNECT_ATTEMPTS):
            self._next_node += 1
            node = self._ready[self._next_node % len(self._ready)] if self._ready else 0
            try:
                answer = await self._fleet.calls.send_request(
                    ENTRY, body, key=KEY, node=node
                )
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.05)
                continue
            except aiohttp.ClientError as error:
                self.cut_off.append(repr(error))
                return
            if answer.status == 503:
                await asyncio.sleep(0.05)
                continue
            self.answers.append(answer)
            return
        self.cut_off.append("no entry host accepted the request")


@pytest.mark.processes
@pytest.mark.fault("crash", "shutdown")
async def test_stopping_each_entry_host_in_turn_cuts_off_no_request() -> None:
    """Guards against requests that break or fail during a rolling restart."""
    async with run_fleet(
        workers_per_pool=2, node_count=2, pools=("audits",), workers_per_process=2
    ) as fleet:
        await wait_until_served(fleet, ENTRY, KEY, range(2))
        balancer = LoadBalancer(fleet)
        is_ended = asyncio.Event()
        bodies = [json.dumps({"run_ms": run_ms}).encode() for run_ms in RUN_MS]

        async def call(body: bytes) -> None:
            while not is_ended.is_set():
                await balancer.send(body)

        watch = asyncio.create_task(balancer.run_probes())
        callers = [asyncio.create_task(call(body)) for body in bodies * CALLERS]
        for node in fleet.nodes:
            await asyncio.sleep(0.5)
            process = fleet.processes[node.name]
            fleet.terminate(node.name)
            assert await asyncio.to_thread(process.wait, 20) == 0
            fleet.start(node.name)
            await fleet.wait_until_ready()
            await wait_until_served(fleet, ENTRY, KEY, range(2))
        is_ended.set()
        await asyncio.gather(*callers)
        watch.cancel()
        assert balancer.cut_off == []
        assert {answer.outcome for answer in balancer.answers} == {"done"}
        assert {answer.body for answer in balancer.answers} == set(bodies)
