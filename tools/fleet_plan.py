"""Names, addresses and data centres of the processes of a local fleet."""

import fcntl
import random
import socket
import tempfile
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TextIO

LOOPBACK = "127.0.0.1"
# Below the kernel's ephemeral range, so that no outgoing connection takes a port
# between its choice and the start of the process that listens on it.
PORT_RANGE = range(10_000, 32_000)
DATA_CENTRE_PREFIXES = {"association": "riga", "vestfjord": "vestland"}
HOST_SIZES = {"association": (32.0, 65_536), "vestfjord": (16.0, 32_768)}
WORKERS_PER_RACK = 4
CONNECTIONS_PER_WORKER = 64
DATA_CENTRE_COUNT = 3

# Lock files of the ports that this process has reserved.
LOCK_DIRECTORY = Path(tempfile.gettempdir()) / "bergamotgap-ports"
_reserved_ports: dict[int, TextIO] = {}


@dataclass(frozen=True)
class NodeAddresses:
    """The listen addresses of an entry host."""

    name: str
    data_centre: str
    caller: str
    operator: str
    peer: str


def pick_ports(count: int) -> list[int]:
    """Return free loopback ports; no port is picked twice while its picker lives."""
    # Consecutive ports from a random first one, so that few are locked by others.
    first = random.SystemRandom().randrange(len(PORT_RANGE))
    ports: list[int] = []
    for port in (*PORT_RANGE[first:], *PORT_RANGE[:first]):
        if len(ports) == count:
            break
        if _is_free(port) and reserve_port(port):
            ports.append(port)
    return ports


def reserve_port(port: int) -> bool:
    """Reserve a port until this process ends; return False if it is reserved."""
    if port in _reserved_ports:
        return False
    LOCK_DIRECTORY.mkdir(exist_ok=True)
    lock = (LOCK_DIRECTORY / str(port)).open("w")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        lock.close()
        return False
    _reserved_ports[port] = lock
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True


def plan_hosts(
    deployment: str,
    document: str,
    workers_per_pool: int,
    slots: int,
    only_pools: Sequence[str] | None = None,
) -> list[dict[str, Any]]:
    """Return the host list, with each pool spread over racks and data centres."""
    pools = [pool["name"] for pool in tomllib.loads(document)["pools"]]
    if only_pools is not None:
        pools = [pool for pool in pools if pool in only_pools]
    cpus, memory_mb = HOST_SIZES[deployment]
    prefix = DATA_CENTRE_PREFIXES[deployment]
    ports = pick_ports(len(pools) * workers_per_pool)
    hosts: list[dict[str, Any]] = []
    for number, port in enumerate(ports):
        pool, index = pools[number // workers_per_pool], number % workers_per_pool
        data_centre = f"{prefix}-{index % DATA_CENTRE_COUNT + 1}"
        rack = (number // DATA_CENTRE_COUNT) // WORKERS_PER_RACK + 1
        hosts.append(
            {
                "host": f"{pool}-{index + 1}",
                "address": f"{LOOPBACK}:{port}",
                "data_centre": data_centre,
                "rack": f"{data_centre}-rack-{rack}",
                "cpus": cpus,
                "memory_mb": memory_mb,
                "accelerators": 0,
                "slots": slots,
                "connections": CONNECTIONS_PER_WORKER,
                "pool": pool,
                "state": "live",
            },
        )
    return hosts


def plan_nodes(deployment: str, count: int) -> list[NodeAddresses]:
    """Return the entry hosts, spread over the data centres."""
    prefix = DATA_CENTRE_PREFIXES[deployment]
    ports = iter(pick_ports(3 * count))
    return [
        NodeAddresses(
            name=f"entry-{index + 1}",
            data_centre=f"{prefix}-{index % DATA_CENTRE_COUNT + 1}",
            caller=f"{LOOPBACK}:{next(ports)}",
            operator=f"{LOOPBACK}:{next(ports)}",
            peer=f"{LOOPBACK}:{next(ports)}",
        )
        for index in range(count)
    ]
