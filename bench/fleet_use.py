"""Processor time, memory and traffic of a local fleet's entry hosts."""

import time
from dataclasses import dataclass

import psutil

from tools.fleet import Fleet


@dataclass(frozen=True)
class Usage:
    """What the entry hosts of a fleet used between two readings.

    `bytes_per_second` is all loopback traffic divided by the entry hosts, the answers
    of workers and platform included. Other programs that use the loopback address
    count too, so that it is only right on a quiet machine.
    """

    cpu_percent: float
    memory_mb: float
    bytes_per_second: float


class UsageMeter:
    """Read the use of a fleet's entry hosts since the start of the meter."""

    def __init__(self, fleet: Fleet) -> None:
        self._processes = [
            psutil.Process(fleet.processes[node.name].pid) for node in fleet.nodes
        ]
        self._started = time.monotonic()
        self._cpu = self._read_cpu()
        self._bytes = self._read_bytes()

    def _read_cpu(self) -> list[float]:
        return [sum(process.cpu_times()[:2]) for process in self._processes]

    @staticmethod
    def _read_bytes() -> int:
        return int(psutil.net_io_counters(pernic=True)["lo"].bytes_sent)

    def read(self) -> Usage:
        """Return the use since the start: highest host for CPU and memory."""
        elapsed = time.monotonic() - self._started
        cpu = [new - old for new, old in zip(self._read_cpu(), self._cpu, strict=True)]
        memory = [process.memory_info().rss for process in self._processes]
        traffic = self._read_bytes() - self._bytes
        return Usage(
            cpu_percent=100 * max(cpu) / elapsed,
            memory_mb=max(memory) / (1 << 20),
            bytes_per_second=traffic / elapsed / len(self._processes),
        )
