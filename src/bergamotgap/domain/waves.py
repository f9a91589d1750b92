"""Decide which hosts of the open maintenance waves are drained next."""

from collections.abc import Callable
from dataclasses import dataclass

from bergamotgap.domain.budget import can_drain
from bergamotgap.domain.control_data import (
    HostState,
    Wave,
    count_serving_hosts,
    list_pool_hosts,
)
from bergamotgap.domain.control_state import ControlState


@dataclass(frozen=True, slots=True)
class Drain:
    """A host to drain for a wave."""

    host: str
    wave: str


class _Room:
    """Count how many more hosts each pool can spare; each drain takes one.

    Pools are counted and judged once for each change, not once for each host of a
    wave: a wave of all 2000 hosts took 137 ms to choose from that way.
    """

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._sizes: dict[str, tuple[int, int]] = {}
        self._has_room: dict[str, bool] = {}

    def has_room(self, pool: str) -> bool:
        if self._state.catalogue is None:
            return False
        known = self._has_room.get(pool)
        if known is None:
            size, serving = self._count(pool)
            known = can_drain(self._state.catalogue, pool, size, serving)
            self._has_room[pool] = known
        return known

    def _count(self, pool: str) -> tuple[int, int]:
        counts = self._sizes.get(pool)
        if counts is None:
            hosts = list_pool_hosts(self._state.hosts, pool)
            counts = self._sizes[pool] = (len(hosts), count_serving_hosts(hosts))
        return counts

    def take(self, pool: str) -> None:
        size, serving = self._count(pool)
        self._sizes[pool] = (size, serving - 1)
        self._has_room.pop(pool, None)


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
