"""Facts about backend server hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostFacts:
    """One host as reported by the platform; `address` is `ip:port`."""

    host: str
    address: str
    data_centre: str
    rack: str
    cpus: float
    memory_mb: int
    accelerators: int
    slots: int
    connections: int
    pool: str
    is_leaving: bool = False
