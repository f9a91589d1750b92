"""What a pool's hosts can do in a time, beside what runs; performs no I/O."""

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.fleet import Size

# Longest expected time; what takes longer may as well never be done.
MAX_TIME_MS = 60_000
# Precision of expected times.
TIME_STEP_MS = 10


@dataclass(frozen=True)
class Hosts:
    """Capacity of a pool's hosts now, and with those that can arrive in `lead_ms`.

    Dimensions that no host of the pool has are None: hosts that arrive may have them.
    """

    now: tuple[float | None, ...]
    later: tuple[float | None, ...]
    lead_ms: float


class _Usage:
    """Use of one dimension by running tasks, which falls as they end."""

    def __init__(self, runs: Sequence[tuple[float, float]], inflow: float) -> None:
        self._inflow = inflow
        # Ends of runs until only the inflow's rate is used, what is used until each,
        # and the work done until each.
        self._ends_ms: list[float] = []
        self._used: list[float] = []
        self._done: list[float] = []
        used, done, at_ms = sum(part for _, part in runs), 0.0, 0.0
        for left_ms, part in runs:
            if used <= inflow:
                break
            done += used * (left_ms - at_ms)
            self._ends_ms.append(left_ms)
            self._used.append(used)
            self._done.append(done)
            used, at_ms = used - part, left_ms

    def measure(self, until_ms: float) -> float:
        """Return the work of what runs, and of what takes its place, until a time."""
        position = bisect_left(self._ends_ms, until_ms)
        if position < len(self._ends_ms):
            left_ms = self._ends_ms[position] - until_ms
            return self._done[position] - left_ms * self._used[position]
        if not self._ends_ms:
            return until_ms * self._inflow
        return self._done[-1] + (until_ms - self._ends_ms[-1]) * self._inflow


class Room:
    """What hosts can do beside the tasks that run, given the time that each has left.

    With an `inflow`, work per ms, as much work takes the place of tasks that end.
    """

    def __init__(
        self,
        hosts: Hosts,
        runs: Iterable[tuple[float, Size]],
        inflow: Amount | None = None,
    ) -> None:
        self._hosts = hosts
        self._runs = sorted(runs, key=lambda run: run[0])
        self._until: dict[float, tuple[float, ...]] = {}
        rates = inflow or NOTHING
        self._usage = [
            _Usage([(left_ms, size[i]) for left_ms, size in self._runs], rate)
            for i, rate in enumerate((rates.cpu, rates.memory_mb, rates.gpus))
        ]

    @property
    def cpu(self) -> float:
        """Return the 1/1000 cores of the hosts, hosts on their way included."""
        return self._hosts.now[0] or 0.0

    def add_inflow(self, inflow: Amount) -> "Room":
        """Return what is left of the room if as much work goes on to arrive."""
        return Room(self._hosts, self._runs, inflow)

    def can_do(self, work: Amount, until_ms: float) -> bool:
        """Return whether the work can be done within a time."""
        cpu, memory_mb, gpus = self._measure_until(until_ms)
        return (
            (work.cpu <= 0 or work.cpu <= cpu)
            and (work.memory_mb <= 0 or work.memory_mb <= memory_mb)
            and (work.gpus <= 0 or work.gpus <= gpus)
        )

    def _measure_until(self, until_ms: float) -> tuple[float, ...]:
        """Return what can be done within a time; kept, as many jobs ask for it."""
        known = self._until.get(until_ms)
        if known is None:
            known = self._until[until_ms] = tuple(
                self._measure_part(i, until_ms) for i in range(len(self._usage))
            )
        return known

    def _measure_part(self, index: int, until_ms: float) -> float:
        now, later = self._hosts.now[index], self._hosts.later[index]
        if until_ms < 0:
            return 0.0
        if now is None or later is None:
            return float("inf")
        soon_ms = min(until_ms, self._hosts.lead_ms)
        whole = now * soon_ms + later * (until_ms - soon_ms)
        return whole - self._usage[index].measure(until_ms)

    def measure_ms(self, work: Amount) -> float:
        """Return a time in which the work can be done, MAX_TIME_MS at most."""
        low_ms, high_ms = 0.0, float(MAX_TIME_MS)
        while high_ms - low_ms > TIME_STEP_MS:
            middle_ms = (low_ms + high_ms) / 2
            if self.can_do(work, middle_ms):
                high_ms = middle_ms
            else:
                low_ms = middle_ms
        return high_ms


def measure_hosts(
    capacity: Size, held: Size, arriving_cpu: int, free_cpu: int, lead_ms: float
) -> Hosts | None:
    """Return the hosts of a pool; None if it has none to estimate from.

    `held` is reserved by long-running tasks. Hosts on their way count from now, free
    ones after `lead_ms`, in each dimension by what the pool's hosts have for a core.
    """
    if capacity.cpu <= 0:
        return None
    now = 1 + arriving_cpu / capacity.cpu
    later = now + free_cpu / capacity.cpu
    parts = list(zip(capacity, held, strict=True))
    return Hosts(
        tuple(max(0.0, now * whole - part) if whole else None for whole, part in parts),
        tuple(
            max(0.0, later * whole - part) if whole else None for whole, part in parts
        ),
        lead_ms,
    )
