"""A small deployment for the scripts of the third review, on loopback addresses.

The store, the machine service and the workers are the project's stand-ins, in this
process. The nodes are processes of their own, started with the command of the deploy
file. Each node reaches the store through a proxy of its own.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Self

import aiohttp

from stand_ins.link import Link
from stand_ins.users_platform import UsersPlatform

ROOT = Path(os.environ["REVIEW_ROOT"])
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9464
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000,
    "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "recoveryS": 12, "maxHoldMs": 10000, "stopTimeoutMs": 200, "gangTimeoutMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "remotePenalty": 2, "checkpointIntervalS": 2, "restoreMs": 600,
    "noticeMs": 4500, "moveS": 1.5, "maintenanceS": 2, "requireFencing": False,
    "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
}


def find_port(ip: str) -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return int(probe.getsockname()[1])


def find_network(nodes: int) -> str:
    """Return a part of the loopback network where the port of the metrics is free."""
    for attempt in range(100):
        network = f"127.{20 + (os.getpid() + attempt) % 200}.4"
        try:
            for number in range(nodes):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{10 + number}", METRICS_PORT))
        except OSError:
            continue
        return network
    sys.exit(2)


class Record:
    """What was sent, answered and run, in `record.txt`, with seconds of one clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()


class Node:
    """One node: a process with the command of the deploy file."""

    def __init__(self, number: int, scene: "Scene") -> None:
        self.name = f"front-{number}"
        self.ip = f"{scene.network}.{10 + number}"
        self._number = number
        self._scene = scene
        self.front = f"{self.ip}:{find_port(self.ip)}"
        self.ready = f"{self.ip}:{find_port(self.ip)}"
        self._peer_port = find_port(self.ip)
        self._log = (scene.folder / f"{self.name}.log").open("a")
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, store: str, machines: str) -> None:
        """Start the process."""
        path = self._scene.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._build_settings(store, machines)))
        command = _read_run_command()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BERGAMOTGAP_CONFIG"] = str(path)
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=self._log, stderr=self._log
        )
        self._scene.record.write(f"started {self.name}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._scene.record.write(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def _build_settings(self, store: str, machines: str) -> dict[str, Any]:
        zone = ZONES[self._number % len(ZONES)]
        return {
            "node": self.name, "role": "entry", "machineClass": "front",
            "serves": ["front"], "ip": self.ip, "zone": zone, "region": "land",
            "zones": dict.fromkeys(ZONES, "land"),
            "listenAddresses": {"front": self.front, "ready": self.ready},
            "internalPortRange": [self._peer_port, self._peer_port + 15],
            "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300,
                "fileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDirectory": None, "discovery": "platform", "entry": "vip",
            "heartbeatIntervalMs": 1500,
            "contracts": [
                "base", "drain", "config", "cost", "recover", "sched", "platform",
                "advice", "upkeep", "sharing",
            ],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "orders": "call", "advice": None,
            "platform": {
                "address": store, "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 16, "appendMs": 3.0,
                "partitionMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144,
                "callBytes": 2097152, "keep_s": 300, "partitionMb": 200,
                "minTtlMs": 1000,
            },
            "cloudApi": {
                "address": machines, "ratePerS": 64.0, "duties": [],
                "dutiesPerS": 64.0,
            },
        }


def _read_run_command() -> list[str]:
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return str(deploy["roles"]["entry"]["run"]).split(" ")


class Scene:
    """The stand-ins and the nodes; ends all that it started."""

    def __init__(
        self, pools: dict[str, int], nodes: int, run_s: float = 1.0, seed: int = 1
    ) -> None:
        self._stack = AsyncExitStack()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(os.environ["REVIEW_RECORD"]))
        self.network = find_network(nodes)
        self.platform = UsersPlatform(pools, run_s, seed)
        self.nodes = [Node(number, self) for number in range(nodes)]
        self.links: list[Link] = []

    async def __aenter__(self) -> Self:
        """Start the stand-ins and the nodes, and wait until all are ready."""
        await self._stack.enter_async_context(self.platform)
        self.client = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True)
            )
        )
        try:
            await self._start_nodes()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start_nodes(self) -> None:
        for node in self.nodes:
            link = Link(self.platform.log_server.address)
            self.links.append(await self._stack.enter_async_context(link))
            node.start(link.address, self.platform.host_server.address)
        async with asyncio.timeout(30):
            for node in self.nodes:
                while not await self._is_ready(node):
                    await asyncio.sleep(0.1)
        self.record.write("all nodes are ready")

    async def __aexit__(self, *exception: object) -> None:
        """End all processes that were started, and the stand-ins."""
        self.record.write("end")
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        await self._stack.aclose()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _is_ready(self, node: Node) -> bool:
        try:
            async with self.client.get(
                f"http://{node.ready}/readiness",
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def call(
        self,
        node: Node,
        method: str,
        path: str,
        host: str,
        body: object = None,
        deadline_ms: int = 3000,
    ) -> int:
        """Call a node as a client; return the status, 0 without an answer."""
        status, _ = await self.call_for_body(
            node, method, path, host, body, deadline_ms
        )
        return status

    async def call_for_body(
        self,
        node: Node,
        method: str,
        path: str,
        host: str,
        body: object = None,
        deadline_ms: int = 3000,
    ) -> tuple[int, bytes]:
        """Call a node as a client; return the status and the body."""
        headers = {"Host": host, "X-Request-Deadline": str(deadline_ms)}
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            async with self.client.request(
                method,
                f"http://{node.front}{path}",
                data=data,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=deadline_ms / 1000),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""


def run_case(play: Callable[[], Awaitable[bool]], limit_s: float = 115) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 on an error."""

    async def play_in_time() -> bool:
        async with asyncio.timeout(limit_s):
            return await play()

    # The processes that were started are ended then, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        is_broken = asyncio.run(play_in_time())
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(2)
    print("broken" if is_broken else "held", flush=True)
    sys.exit(1 if is_broken else 0)
