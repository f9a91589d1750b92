"""Decide which hosts of the open maintenance waves are drained next."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgap.domain.budget import can_drain
from bergamotgap.domain.control_data import HostState, Wave, count_serving, list_pool
from bergamotgap.domain.control_state import ControlState


@dataclass(frozen=True, slots=True)
class Drain:
    """A host to drain for a wave."""

    host: str
    wave: str


class _Room:
    """Count how many more hosts each pool can spare; each drain takes one."""

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._taken: dict[str, int] = {}

    def has_room(self, pool: str) -> bool:
        if self._state.catalogue is None:
            return False
        hosts = list_pool(self._state.hosts, pool)
        serving = count_serving(hosts) - self._taken.get(pool, 0)
        return can_drain(self._state.catalogue, pool, len(hosts), serving)

    def take(self, pool: str) -> None:
        self._taken[pool] = self._taken.get(pool, 0) + 1


def choose_drains(
    state: ControlState, is_reachable: Callable[[HostState], bool]
) -> list[Drain]:
    """Return the hosts to drain now: per wave one rack, as many as budgets allow.

    A wave whose hosts are short of budget or unreachable gets none and goes on when
    that has changed. `is_reachable` tells whether the worker answers and serves.
    """
    room = _Room(state)
    chosen: list[Drain] = []
    taken: set[str] = set()
    waves = [wave for wave in state.waves.values() if wave.status == "open"]
    for wave in sorted(waves, key=lambda wave: (wave.declared_offset, wave.wave)):
        for host in _choose_rack(state, wave, room, is_reachable, taken):
            assert host.pool is not None
            if room.has_room(host.pool):
                room.take(host.pool)
                taken.add(host.facts.host)
                chosen.append(Drain(host.facts.host, wave.wave))
    return chosen


def _choose_rack(
    state: ControlState,
    wave: Wave,
    room: _Room,
    is_reachable: Callable[[HostState], bool],
    taken: set[str],
) -> list[HostState]:
    """Return the hosts of one rack that may be drained, without counting them yet."""
    ready = [
        state.hosts[name]
        for name in wave.pending
        if name in state.hosts
        and name not in taken
        and state.hosts[name].is_serving
        and is_reachable(state.hosts[name])
    ]
    ready = [host for host in ready if host.pool and room.has_room(host.pool)]
    # A host that went down while it drained may stay away for long; the other racks
    # don't wait for it.
    racks = {
        host.facts.rack
        for host in state.hosts.values()
        if host.draining_in == wave.wave and not host.is_down
    }
    if not racks and ready:
        done = {
            state.hosts[name].facts.rack for name in wave.done if name in state.hosts
        }
        begun = [host for host in ready if host.facts.rack in done]
        racks = {(begun or ready)[0].facts.rack}
    return [host for host in ready if host.facts.rack in racks]
