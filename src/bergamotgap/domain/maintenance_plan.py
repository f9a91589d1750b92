"""Decides which hosts of a wave to drain and when; performs no I/O."""

import heapq
import math
from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import HostInfo, Wave

UP = "up"
IN_MAINTENANCE = "upkeep"
MOVING = "moving"
# A host that is not listed for this long has left. It is longer than the crash of a
# rack, whose hosts may be missing from the list until they are up again.
LEFT_MS = 10_000
# Part of a wave's duration that the plan keeps free at the end, for the return of the
# last host and the report.
MARGIN_MS = 2000
# Time from the return of a host to the maintenance of the next one: the read of the
# list, the record in the log, the second drain call and the order.
TURNOVER_MS = 250
# Time until a long-running task that is stopped is ready elsewhere and its owner knows
# of it: the stop, the start, the startup of about a second and the polls.
LONG_TASK_MOVE_MS = 2000
# Estimated time to empty a worker of which its owner reported nothing yet.
UNKNOWN_EMPTY_MS = 1000
# Declared run times are off by half, so drains begin earlier than they say.
EMPTY_FACTOR = 1.25
# Hosts are to be empty this long before their turn if the wave has time to spare, and
# at most MAX_AHEAD_MS before it if it hasn't; 2,500 ms took up to 40 % more capacity in
# an outage of the log, and the waves ended no earlier. SPARE_TIME_MS is the time to
# spare from which on a wave counts as unhurried.
AHEAD_MS = 300
MAX_AHEAD_MS = 1200
SPARE_TIME_MS = 2000
# Busy hosts are drained at the pace that ends the wave within this share of the time
# left, and for no less than half of the cap. Hosts that are empty anyway take the rest.
PACE_SHARE = 0.6
# Late runs that would outlast the wave are stopped this long before their host must
# begin. The stop and the polls that confirm it take up to 500 ms, the report of the
# wave the rest. A run of seven times its declared time otherwise delays the wave.
STOP_MS = 1000


@dataclass
class WaveProgress:
    """Hosts of a wave that have begun maintenance and those that have returned.

    `begun_ms` holds the start of each host's maintenance by this process's clock. Once
    the wave is completed, `done` includes the hosts that have left. `started_wall_ms`
    is when the wave was first seen, as Unix time, or 0.
    """

    begun_ms: dict[str, int] = field(default_factory=dict)
    done: set[str] = field(default_factory=set)
    # Hosts whose maintenance order got no answer; it may still be executed.
    unanswered: set[str] = field(default_factory=set)
    # Hosts that this process has seen in maintenance.
    seen: set[str] = field(default_factory=set)
    started_wall_ms: int = 0

    def list_hosts_in_maintenance(self) -> set[str]:
        """Return the hosts that may be down for maintenance."""
        return set(self.begun_ms) - self.done


def record_hosts_in_maintenance(
    wave: Wave, progress: WaveProgress, hosts: Mapping[str, HostInfo], now_ms: int
) -> None:
    """Record hosts that are in maintenance, also by order of a former controller.

    This answers an order that had got no answer.
    """
    for host in wave.hosts:
        info = hosts.get(host)
        if info and info.state == IN_MAINTENANCE and host not in progress.done:
            progress.begun_ms.setdefault(host, now_ms)
            progress.unanswered.discard(host)
            progress.seen.add(host)


def record_returned_hosts(
    progress: WaveProgress,
    hosts: Mapping[str, HostInfo],
    now_ms: int,
    maintenance_ms: int,
) -> None:
    """Record hosts that are no longer in maintenance.

    A host that was seen in maintenance has returned once it is listed as up. Any other
    may still begin, so it counts as in maintenance for `maintenance_ms` at least.
    """
    for host in progress.list_hosts_in_maintenance() - progress.unanswered:
        info = hosts.get(host)
        has_been_seen = host in progress.seen and info is not None and info.state == UP
        has_passed = now_ms - progress.begun_ms[host] >= maintenance_ms
        is_listed_there = info is not None and info.state == IN_MAINTENANCE
        if has_been_seen or (has_passed and not is_listed_there):
            progress.done.add(host)


def is_wave_completed(
    wave: Wave, progress: WaveProgress, left_hosts: Collection[str]
) -> bool:
    """Return whether all hosts of a wave have returned from maintenance or left."""
    return all(host in progress.done or host in left_hosts for host in wave.hosts)


@dataclass(frozen=True)
class LongTasks:
    """Tasks of one long-running step on a worker; `max_away` may be away at once."""

    step: str
    count: int
    max_away: int


@dataclass(frozen=True)
class WorkerLoad:
    """What a worker has to finish, or to give away, before it is empty.

    `short_ms` is the expected time until its last task that ends by itself has ended.
    """

    worker_id: str
    short_ms: int
    long_tasks: tuple[LongTasks, ...] = ()


@dataclass(frozen=True)
class PendingHost:
    """A host that is up and still has to begin maintenance.

    `has_returned`: it was down, or not listed, during the wave.
    """

    host: str
    short_ms: int
    long_tasks: tuple[LongTasks, ...] = ()
    is_draining: bool = False
    has_returned: bool = False


@dataclass(frozen=True)
class WavePlan:
    """What to do now: hosts to drain, and hosts whose long-running tasks to move.

    `turns_ms` is the time until each host's turn, `finish_ms` that until the wave ends.
    A task that is expected to take longer than `longest_task_ms` would delay the end if
    it started on one of these hosts. Runs of late jobs on hosts in `stops` are stopped,
    because they would outlast the wave.
    """

    drains: tuple[str, ...]
    vacates: tuple[str, ...]
    turns_ms: Mapping[str, int]
    finish_ms: int
    longest_task_ms: int = 0
    stops: frozenset[str] = frozenset()


def plan_wave(
    pending: Sequence[PendingHost],
    slots_ms: Sequence[int],
    missing: int,
    left_ms: int,
    maintenance_ms: int,
) -> WavePlan:
    """Plan a wave, from the hosts that can be emptied soonest to the others.

    `slots_ms` is the time until each of the hosts that the cap allows may begin, and
    `missing` counts hosts that are not up but may return. Each host is drained as late
    as its turn allows, and the less time is left the earlier. Long-running tasks move
    ahead of the drain, while their host goes on with short work.
    """
    cycle_ms = maintenance_ms + TURNOVER_MS
    long_ms, first_hosts = _measure_long_ms(pending)
    empty_ms = {host.host: max(host.short_ms, long_ms[host.host]) for host in pending}
    ordered = sorted(
        pending,
        key=lambda h: (empty_ms[h.host], not h.has_returned, not h.is_draining, h.host),
    )
    target_ms = max(1, left_ms - MARGIN_MS)
    needed_ms = (len(pending) + missing) * cycle_ms
    busy_slots = math.ceil(needed_ms / target_ms / PACE_SHARE)
    turns_ms, finish_ms = _assign_turns(
        [(host.host, empty_ms[host.host]) for host in ordered],
        slots_ms,
        missing,
        max(busy_slots, math.ceil(len(slots_ms) / 2)),
        cycle_ms,
    )
    ahead_ms = _choose_ahead_ms(target_ms - finish_ms)
    drains, due_steps = [], set[str]()
    for index, host in enumerate(ordered):
        turn_ms = turns_ms[host.host]
        drain_ms = empty_ms[host.host] * EMPTY_FACTOR + ahead_ms
        rounds_left = math.ceil((len(ordered) + missing - index) / len(slots_ms))
        is_last_call = target_ms - rounds_left * cycle_ms <= drain_ms
        is_due = turn_ms <= drain_ms
        if is_due or is_last_call:
            due_steps.update(tasks.step for tasks in host.long_tasks)
        # While others can be emptied sooner, a host goes on with short work: it may be
        # nearly empty by its turn. So do hosts whose long-running tasks can't move yet.
        is_near = turn_ms <= cycle_ms + ahead_ms
        is_next = long_ms[host.host] <= LONG_TASK_MOVE_MS
        is_ready = is_next and is_due and (is_near or is_last_call)
        if host.is_draining or is_ready or (is_last_call and host.host in first_hosts):
            drains.append(host.host)
    return WavePlan(
        tuple(drains),
        tuple(
            host.host
            for host in sorted(ordered, key=lambda h: long_ms[h.host])
            if any(tasks.step in due_steps for tasks in host.long_tasks)
        ),
        turns_ms,
        finish_ms,
        longest_task_ms=int(max(0, target_ms - cycle_ms) / EMPTY_FACTOR),
        stops=_list_overrunning(ordered, len(slots_ms), left_ms, cycle_ms),
    )


def _list_overrunning(
    ordered: Sequence[PendingHost], slot_count: int, left_ms: int, cycle_ms: int
) -> frozenset[str]:
    """Return the drained hosts whose short tasks end too late for the wave."""
    overrunning = set()
    for index, host in enumerate(ordered):
        rounds_left = math.ceil((len(ordered) - index) / slot_count)
        begin_ms = left_ms - rounds_left * cycle_ms
        if host.is_draining and begin_ms <= STOP_MS and host.short_ms > begin_ms:
            overrunning.add(host.host)
    return frozenset(overrunning)


def _measure_long_ms(
    pending: Iterable[PendingHost],
) -> tuple[dict[str, int], set[str]]:
    """Return the time until each host's long-running tasks can have moved.

    Those of one step move in turn, within the step's limit; the hosts with the fewest
    go first, so that a host is empty soon. The second value are the hosts whose tasks
    wait for those of no other host.
    """
    long_ms: dict[str, int] = {}
    first_hosts: set[str] = set()
    queued: Counter[str] = Counter()
    order = sorted(
        pending,
        key=lambda h: (
            not h.is_draining,
            sum(tasks.count for tasks in h.long_tasks),
            h.host,
        ),
    )
    for host in order:
        batches = 0
        if host.long_tasks and not any(queued[t.step] for t in host.long_tasks):
            first_hosts.add(host.host)
        for tasks in host.long_tasks:
            queued[tasks.step] += tasks.count
            away = max(1, tasks.max_away)
            batches = max(batches, math.ceil(queued[tasks.step] / away))
        long_ms[host.host] = batches * LONG_TASK_MOVE_MS
    return long_ms, first_hosts


def _assign_turns(
    ordered: Sequence[tuple[str, int]],
    slots_ms: Sequence[int],
    missing: int,
    busy_slots: int,
    cycle_ms: int,
) -> tuple[dict[str, int], int]:
    """Give each host, with its time to be empty, the slot that is free first.

    Hosts that are not empty get no more than `busy_slots` of the slots.
    """
    slots = sorted(slots_ms)
    turns_ms: dict[str, int] = {}
    finish_ms = 0
    for host, empty_ms in ordered:
        while empty_ms > 0 and len(slots) > busy_slots:
            heapq.heappop(slots)
        turns_ms[host] = slots[0]
        begin_ms = max(slots[0], empty_ms)
        heapq.heapreplace(slots, begin_ms + cycle_ms)
        finish_ms = max(finish_ms, begin_ms + cycle_ms)
    for _ in range(missing):
        finish_ms = max(finish_ms, slots[0] + cycle_ms)
        heapq.heapreplace(slots, slots[0] + cycle_ms)
    return turns_ms, finish_ms


def _choose_ahead_ms(spare_ms: int) -> int:
    """Return how long before their turn hosts are to be empty."""
    share = min(1.0, max(0.0, 1 - spare_ms / SPARE_TIME_MS))
    return int(AHEAD_MS + share * (MAX_AHEAD_MS - AHEAD_MS))
