"""CPU time, memory and traffic of the entry hosts of a local fleet."""

import time
from dataclasses import dataclass

import psutil

from tools.fleet import Fleet


@dataclass(frozen=True)
class Usage:
    """Resource usage of the entry hosts of a fleet between two readings.

    CPU and memory are those of the entry host with the highest value.
    `bytes_per_second` is all loopback traffic divided by the number of entry hosts,
    including the answers of workers and platform. Other programs that use the loopback
    interface count too, so it is only correct on an otherwise idle machine.
    """

    cpu_percent: float
    memory_mb: float
    bytes_per_second: float


class UsageMeter:
    """Measures the usage of a fleet's entry hosts since the meter was created."""

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
        """Return the usage since the meter was created."""
        elapsed = time.monotonic() - self._started
        cpu = [new - old for new, old in zip(self._read_cpu(), self._cpu, strict=True)]
        memory = [process.memory_info().rss for process in self._processes]
        traffic = self._read_bytes() - self._bytes
        return Usage(
            cpu_percent=100 * max(cpu) / elapsed,
            memory_mb=max(memory) / (1 << 20),
            bytes_per_second=traffic / elapsed / len(self._processes),
        )
