"""Start a local fleet of real processes: platform, workers and entry hosts."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Self

import aiohttp

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30.0
POLL_S = 0.05
ROOT = Path(__file__).resolve().parent.parent
DATA_CENTRES = {"association": "riga", "vestfjord": "vestland"}
HOST_SIZES = {"association": (32.0, 65_536), "vestfjord": (16.0, 32_768)}
WORKERS_PER_RACK = 4


def pick_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind((LOOPBACK, 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


@dataclass(frozen=True)
class NodeAddresses:
    """Where one entry host listens."""

    name: str
    data_centre: str
    caller: str
    operator: str
    peer: str


@dataclass
class Fleet:
    """Own the processes of one local fleet."""

    deployment: str = "association"
    workers_per_pool: int = 6
    node_count: int = 7
    run_ms: int = 20
    slots: int = 8
    retention_ms: int = 3_600_000
    node_options: dict[str, str] = field(default_factory=dict)
    pools: tuple[str, ...] | None = None

    def __post_init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self.path = Path(self._directory.name)
        self.document = (ROOT / "catalogues" / f"{self.deployment}.toml").read_text()
        self.hosts = self._plan_hosts()
        self.platform_address = f"{LOOPBACK}:{pick_ports(1)[0]}"
        self.nodes = self._plan_nodes()

    def _plan_hosts(self) -> list[dict[str, Any]]:
        pools = [pool["name"] for pool in tomllib.loads(self.document)["pools"]]
        if self.pools is not None:
            pools = [pool for pool in pools if pool in self.pools]
        cpus, memory_mb = HOST_SIZES[self.deployment]
        place = DATA_CENTRES[self.deployment]
        ports = pick_ports(len(pools) * self.workers_per_pool)
        hosts: list[dict[str, Any]] = []
        for pool in pools:
            for index in range(self.workers_per_pool):
                number = len(hosts)
                centre = index % 3
                rack = (number // 3) // WORKERS_PER_RACK
                hosts.append(
                    {
                        "host": f"{pool}-{index + 1}",
                        "address": f"{LOOPBACK}:{ports[number]}",
                        "data_centre": f"{place}-{centre + 1}",
                        "rack": f"{place}-{centre + 1}-rack-{rack + 1}",
                        "cpus": cpus,
                        "memory_mb": memory_mb,
                        "accelerators": 0,
                        "slots": self.slots,
                        "connections": 64,
                        "pool": pool,
                        "state": "live",
                    },
                )
        return hosts

    def _plan_nodes(self) -> list[NodeAddresses]:
        place = DATA_CENTRES[self.deployment]
        ports = pick_ports(3 * self.node_count)
        nodes = []
        for index in range(self.node_count):
            caller, operator, peer = ports[3 * index : 3 * index + 3]
            nodes.append(
                NodeAddresses(
                    name=f"entry-{index + 1}",
                    data_centre=f"{place}-{index % 3 + 1}",
                    caller=f"{LOOPBACK}:{caller}",
                    operator=f"{LOOPBACK}:{operator}",
                    peer=f"{LOOPBACK}:{peer}",
                ),
            )
        return nodes

    async def __aenter__(self) -> Self:
        """Start all processes and wait until each answers."""
        hosts_file = self.path / "hosts.json"
        hosts_file.write_text(json.dumps(self.hosts))
        self.start("platform", self._platform_command(hosts_file))
        for host in self.hosts:
            self.start(host["host"], self._worker_command(host))
        for node in self.nodes:
            self.start(node.name, self._node_command(node))
        self._session = aiohttp.ClientSession()
        await self._wait(f"http://{self.platform_address}/hosts")
        for host in self.hosts:
            await self._wait(f"http://{host['address']}/v1/status")
        for node in self.nodes:
            await self._wait(f"http://{node.operator}/healthz")
        return self

    async def __aexit__(self, *exc: object) -> None:
        """End every process that this fleet started."""
        await self._session.close()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._directory.cleanup()

    def _platform_command(self, hosts_file: Path) -> list[str]:
        return [
            *[sys.executable, "-m", "stand_ins", "platform"],
            *["--listen", self.platform_address, "--hosts-file", str(hosts_file)],
            *["--retention-ms", str(self.retention_ms)],
        ]

    def _worker_command(self, host: dict[str, Any]) -> list[str]:
        return [
            *[sys.executable, "-m", "stand_ins", "worker"],
            *["--listen", host["address"], "--name", host["host"]],
            *["--slots", str(host["slots"]), "--run-ms", str(self.run_ms)],
        ]

    def _node_command(self, node: NodeAddresses) -> list[str]:
        peers = ",".join(item.peer for item in self.nodes if item is not node)
        command = [
            *[sys.executable, "-m", "bergamotgap", "serve"],
            *["--node-id", node.name, "--data-centre", node.data_centre],
            *["--caller-address", node.caller, "--operator-address", node.operator],
            *["--peer-address", node.peer, "--peers", peers],
            *["--platform-url", f"http://{self.platform_address}"],
        ]
        for name, value in self.node_options.items():
            command += [f"--{name}", value]
        return command

    def start(self, name: str, command: list[str] | None = None) -> None:
        """Start a process, or start it again with the same command."""
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

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str) -> None:
        """Ask a process to stop."""
        self.processes[name].terminate()

    def freeze(self, name: str) -> None:
        """Stop a process from running, as a paused host would be."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].send_signal(signal.SIGCONT)

    def read_log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self.path / f"{name}.log").read_text(errors="replace")

    async def _wait(self, url: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    async with self._session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_S)

    async def publish(self, document: str | None = None, base_revision: int = 0) -> int:
        """Publish a catalogue through the first entry host; return the status."""
        payload = {
            "base_revision": base_revision,
            "document": document or self.document,
            "operator": "operator",
        }
        url = f"http://{self.nodes[0].operator}/v1/catalogue"
        async with self._session.post(url, json=payload) as response:
            return response.status

    async def wait_until_ready(self) -> None:
        """Wait until every entry host is ready."""
        for node in self.nodes:
            await self._wait(f"http://{node.operator}/readyz")
