"""What the operators' interface shows of waves in the control state."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import Any

from bergamotgap.domain.control_state import ControlState, HostState


@dataclass(frozen=True, slots=True)
class WaveView:
    """One wave: its hosts, those that are maintained, and whether it is open."""

    wave: str
    hosts: tuple[str, ...]
    done: frozenset[str]
    operator: str
    state: str


def list_waves(state: ControlState) -> dict[str, WaveView]:
    """Return all waves that the state keeps, by id."""
    waves: Mapping[str, Any] = getattr(state, "waves", {})
    return {name: _build_view(name, wave) for name, wave in waves.items()}


def _build_view(name: str, wave: Any) -> WaveView:
    hosts = tuple(wave.hosts)
    done: Collection[str] = wave.done
    return WaveView(
        wave=name,
        hosts=hosts,
        done=frozenset(done),
        operator=getattr(wave, "operator", ""),
        state=_name_state(wave, hosts, done),
    )


def _name_state(wave: Any, hosts: tuple[str, ...], done: Collection[str]) -> str:
    if getattr(wave, "is_cancelled", False):
        return "cancelled"
    return "completed" if set(hosts) <= set(done) else "open"


def describe_wave(view: WaveView, hosts: Mapping[str, HostState]) -> dict[str, object]:
    """Return a wave with the progress of each of its hosts."""
    progress = {name: _name_progress(view, hosts.get(name)) for name in view.hosts}
    progress.update(dict.fromkeys(sorted(view.done & set(view.hosts)), "done"))
    counts = {
        name: sum(value == name for value in progress.values())
        for name in ("done", "draining", "waiting", "removed")
    }
    return {
        "wave": view.wave,
        "operator": view.operator,
        "state": view.state,
        "counts": {"hosts": len(view.hosts), **counts},
        "hosts": progress,
    }


def _name_progress(view: WaveView, host: HostState | None) -> str:
    if host is None:
        return "removed"
    return "draining" if host.draining_in == view.wave else "waiting"
