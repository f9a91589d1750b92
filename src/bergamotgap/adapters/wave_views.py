"""JSON views of maintenance waves for the operators' interface."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from bergamotgap.domain.control_data import HostState, Wave

PROGRESS_STATES = ("done", "draining", "waiting", "removed")


def describe_wave(wave: Wave, hosts: Mapping[str, HostState]) -> dict[str, Any]:
    """Return a wave with the progress of each of its hosts."""
    progress = {name: _get_host_progress(wave, name, hosts) for name in wave.hosts}
    counts = Counter(progress.values())
    return {
        "wave": wave.wave,
        "operator": wave.operator,
        "state": wave.status,
        "declared_ms": wave.declared_ms,
        "counts": {
            "hosts": len(wave.hosts),
            **{name: counts[name] for name in PROGRESS_STATES},
        },
        "hosts": progress,
    }


def _get_host_progress(wave: Wave, name: str, hosts: Mapping[str, HostState]) -> str:
    if name in wave.done:
        return "done"
    host = hosts.get(name)
    if host is None or name in wave.removed:
        return "removed"
    return "draining" if host.draining_in == wave.wave else "waiting"
