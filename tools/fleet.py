"""Local fleet of real processes: platform stand-in, workers and entry hosts."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import aiohttp

from stand_ins.starts import read_starts
from tools.fleet_calls import FleetCalls
from tools.fleet_links import FleetLinks
from tools.fleet_plan import LOOPBACK, NodeAddresses, pick_ports, plan_hosts, plan_nodes

START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
LOG_TAIL_BYTES = 2000
ROOT = Path(__file__).resolve().parent.parent


class StartError(Exception):
    """A process exited or did not answer at startup; the message has its log."""


@dataclass
class Fleet:
    """The processes of one local fleet.

    A process has the name of its host or entry host, or `platform`. With more than
    one worker per process, `process_of` returns the name of the process of a host.
    """

    deployment: str = "association"
    workers_per_pool: int = 6
    node_count: int = 7
    run_ms: int = 20
    slots: int = 8
    retention_ms: int = 3_600_000
    node_options: dict[str, str] = field(default_factory=dict)
    pools: tuple[str, ...] | None = None
    workers_per_process: int = 1
    links: bool = False
    platform_settings: dict[str, Any] = field(default_factory=dict)
    worker_settings: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory()
        self._stack = AsyncExitStack()
        self._commands: dict[str, list[str]] = {}
        self._process_of: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.path = Path(self._directory.name)
        self.document = (ROOT / "catalogues" / f"{self.deployment}.toml").read_text()
        self.hosts: list[dict[str, Any]] = plan_hosts(
            self.deployment,
            self.document,
            self.workers_per_pool,
            self.slots,
            self.pools,
        )
        self.platform_address = f"{LOOPBACK}:{pick_ports(1)[0]}"
        self.nodes = plan_nodes(self.deployment, self.node_count)
        self._network_links: FleetLinks | None = None

    async def __aenter__(self) -> Self:
        """Start all processes and wait until each of them answers."""
        self._stack.callback(self._directory.cleanup)
        self._stack.callback(self._end_processes)
        try:
            await self._start_all()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Kill every process that this fleet started."""
        await self._stack.aclose()

    async def _start_all(self) -> None:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        # No reuse of connections: one that a fault silenced would block later calls.
        connector = aiohttp.TCPConnector(force_close=True)
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout, connector=connector)
        )
        self.calls = FleetCalls(self.nodes, self._session)
        if self.links:
            links = FleetLinks(self.nodes, self.platform_address)
            self._network_links = await self._stack.enter_async_context(links)
        urls = self._start_platform() | self._start_workers()
        for node in self.nodes:
            self.start(node.name, self._build_node_command(node))
            urls[f"http://{node.operator}/healthz"] = node.name
        await asyncio.gather(
            *(self._wait_for_answer(url, name) for url, name in urls.items())
        )

    def _end_processes(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def _start_platform(self) -> dict[str, str]:
        hosts_file = self.path / "hosts.json"
        hosts_file.write_text(json.dumps(self.hosts))
        settings = {"retention_ms": self.retention_ms} | self.platform_settings
        command = [
            *[sys.executable, "-m", "stand_ins", "platform"],
            *["--listen", self.platform_address, "--hosts-file", str(hosts_file)],
            *["--settings", json.dumps(settings)],
        ]
        self.start("platform", command)
        return {f"http://{self.platform_address}/hosts": "platform"}

    def _start_workers(self) -> dict[str, str]:
        urls = {}
        settings = {"run_ms": self.run_ms, "slots": self.slots} | self.worker_settings
        size = self.workers_per_process
        for first in range(0, len(self.hosts), size):
            group = self.hosts[first : first + size]
            name = group[0]["host"] if size == 1 else f"workers-{first // size + 1}"
            command = [
                *[sys.executable, "-m", "stand_ins", "workers"],
                *["--settings", json.dumps(settings)],
                *["--starts-directory", str(self.path)],
            ]
            for host in group:
                command += ["--listen", host["address"], "--name", host["host"]]
                self._process_of[host["host"]] = name
                urls[f"http://{host['address']}/v1/status"] = name
            self.start(name, command)
        return urls

    def _build_node_command(self, node: NodeAddresses) -> list[str]:
        peers = [item.peer for item in self.nodes if item is not node]
        platform_address = self.platform_address
        if self._network_links is not None:
            peers = self._network_links.list_peers(node.name)
            platform_address = self._network_links.platform_links[node.name].address
        command = [
            *[sys.executable, "-m", "bergamotgap", "serve"],
            *["--node-id", node.name, "--data-centre", node.data_centre],
            *["--caller-address", node.caller, "--operator-address", node.operator],
            *["--peer-address", node.peer, "--peers", ",".join(peers)],
            *["--platform-url", f"http://{platform_address}"],
        ]
        for name, value in self.node_options.items():
            command += [f"--{name}", value]
        return command

    def start(self, name: str, command: list[str] | None = None) -> None:
        """Start a process; without a command, restart it with the same one."""
        if command is not None:
            self._commands[name] = command
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._commands[name],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "PYTHONDONTWRITEBYTECODE": ""},
            )

    def process_of(self, host: str) -> str:
        """Return the name of the process that runs the worker of a host."""
        return self._process_of[host]

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process."""
        self.processes[name].terminate()

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP, like a paused host."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def unfreeze(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        self.processes[name].send_signal(signal.SIGCONT)

    def read_log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    def read_starts(self, host: str | None = None) -> list[dict[str, Any]]:
        """Return the task starts of one worker or of all; a crash loses none."""
        names = [item["host"] for item in self.hosts] if host is None else [host]
        return [
            {"host": name, **entry}
            for name in names
            for entry in read_starts(self.path / f"{name}.starts")
        ]

    def worker_address(self, host: str) -> str:
        """Return the address of a worker."""
        return next(str(h["address"]) for h in self.hosts if h["host"] == host)

    @property
    def network(self) -> FleetLinks:
        """Return the links, to silence or delay them; needs the option `links`."""
        assert self._network_links is not None, "the fleet was started without links"
        return self._network_links

    def cut_platform(self, node_name: str) -> None:
        """Cut the connection of an entry host to the platform."""
        self.network.platform_links[node_name].cut()

    def cut_data_centres(self, first: str, second: str) -> None:
        """Cut the connections between the entry hosts of two data centres."""
        self.network.cut_data_centres(first, second)

    def restore(self) -> None:
        """Restore all links that were cut."""
        self.network.restore()

    async def _put_json(self, address: str, path: str, values: dict[str, Any]) -> None:
        url = f"http://{address}{path}"
        async with self._session.put(url, json=values) as response:
            if response.status != 200:
                raise ValueError(await response.text())

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replace the platform's fault switches; without arguments, end all faults."""
        await self._put_json(self.platform_address, "/faults", faults)

    async def set_platform_settings(self, **settings: Any) -> None:
        """Change settings of the platform stand-in."""
        await self._put_json(self.platform_address, "/fakes/settings", settings)

    async def set_worker_faults(self, host: str, **faults: Any) -> None:
        """Replace a worker's fault switches; without arguments, end all faults."""
        await self._put_json(self.worker_address(host), "/faults", faults)

    async def set_worker_settings(self, host: str, **settings: Any) -> None:
        """Change settings of a worker stand-in."""
        await self._put_json(self.worker_address(host), "/fakes/settings", settings)

    async def read_worker_status(self, host: str) -> dict[str, Any]:
        """Return the status that a worker reports."""
        url = f"http://{self.worker_address(host)}/v1/status"
        async with self._session.get(url) as response:
            status: dict[str, Any] = await response.json()
            return status

    async def _wait_for_answer(self, url: str, process: str) -> None:
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self._is_answering(url):
                    if self.processes[process].poll() is not None:
                        raise StartError(self._describe_exit(process))
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise StartError(
                f"{url}: no answer: {self._describe_exit(process)}"
            ) from None

    async def _is_answering(self, url: str) -> bool:
        try:
            async with self._session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _describe_exit(self, process: str) -> str:
        code = self.processes[process].poll()
        tail = self.read_log(process)[-LOG_TAIL_BYTES:]
        return f"{process}: exit status {code}, log ends with:\n{tail}"

    async def publish(self, document: str | None = None, base_revision: int = 0) -> int:
        """Publish a catalogue through the first entry host; return the status."""
        payload = {
            "base_revision": base_revision,
            "document": document or self.document,
            "operator": "operator",
        }
        answer = await self.calls.call_operator("POST", "/v1/catalogue", payload)
        return answer.status

    async def wait_until_ready(self) -> None:
        """Wait until every running entry host is ready."""
        nodes = [n for n in self.nodes if self.processes[n.name].poll() is None]
        urls = {n.name: f"http://{n.operator}/readyz" for n in nodes}
        await asyncio.gather(
            *(self._wait_for_answer(url, name) for name, url in urls.items())
        )

    async def wait_until_assigned(self) -> None:
        """Wait until every worker is assigned to its pool."""
        waiting = [host["host"] for host in self.hosts]
        async with asyncio.timeout(START_TIMEOUT_S):
            while waiting:
                statuses = [await self.read_worker_status(host) for host in waiting]
                waiting = [s["worker"] for s in statuses if s["pool"] is None]
                await asyncio.sleep(POLL_INTERVAL_S)
