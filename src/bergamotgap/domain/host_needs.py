"""Searches the room that waiting tasks can take for good, and the hosts they lack."""

import math
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from bergamotgap.domain.amounts import NOTHING, Amount
from bergamotgap.domain.fleet import Size, WorkerInfo, WorkerState
from bergamotgap.domain.pool_sizes import HostNeed
from bergamotgap.domain.task_placement import (
    WorkerCapacity,
    choose_task_worker,
    count_fitting,
)
from bergamotgap.domain.task_state import Task

# Stands for the capacity of a host in a pool that has none to compare with.
ANY_SIZE = Size(sys.maxsize, sys.maxsize, sys.maxsize)
# The search ends once it has found that so many hosts are lacking.
MAX_HOSTS = 100


@dataclass(frozen=True)
class WaitingGroup:
    """Waiting tasks that may start on the same workers; `task` is one of them."""

    task: Task
    count: int


class RoomSearch(NamedTuple):
    """Hosts that waiting tasks lack, and the present workers that others will take.

    `lacking` is the size of the lasting tasks that can start on no present worker.
    """

    needs: tuple[HostNeed, ...] = ()
    workers: frozenset[str] = frozenset()
    lacking: Amount = NOTHING


def leave_long_running(worker: WorkerCapacity, tasks: Iterable[Task]) -> WorkerCapacity:
    """Return what a worker has beside its long-running tasks, once the others end."""
    capacity = WorkerCapacity(
        worker.info,
        accepts_tasks=worker.accepts_tasks,
        maintenance_in_ms=worker.maintenance_in_ms,
        longest_task_ms=worker.longest_task_ms,
    )
    for task in tasks:
        if task.step.is_long_running:
            capacity.reserve(task)
    return capacity


def search_room(
    groups: Iterable[WaitingGroup], workers: Sequence[WorkerCapacity], host: Size | None
) -> RoomSearch:
    """Return the hosts that are needed for the groups that fit on no worker.

    Reserves the room of long-running tasks on `workers`, which are taken in their
    order. A further host is assumed to have the size `host`, if there is any to go by,
    and must have that of one task. Short tasks need one worker on which they fit.
    """
    taken: set[str] = set()
    further: list[WorkerCapacity] = []
    needs: Counter[tuple[str, Size]] = Counter()
    lacking = NOTHING
    ordered = sorted(groups, key=_rank_group, reverse=True)
    least_cpu = min((group.task.step.size.cpu for group in ordered), default=0)
    workers = [worker for worker in workers if worker.free_cpu >= least_cpu]
    for group in ordered:
        step = group.task.step
        left = group.count - _fill(group, workers, taken)
        if step.is_lasting:
            lacking += Amount(*step.size).scale(left)
        left -= _fill(replace(group, count=left), further, set())
        while left > 0 and len(further) < MAX_HOSTS:
            new = _assume_host(host or ANY_SIZE, step.size, step.requirement)
            left -= _fill(replace(group, count=left), [new], set())
            further.append(new)
            needs[(step.requirement, step.size)] += 1
        if len(further) >= MAX_HOSTS:
            break
    return RoomSearch(_list_needs(needs), frozenset(taken), lacking)


def search_trials(
    tasks: Iterable[Task], empty: Sequence[WorkerCapacity], trials_per_worker: int
) -> RoomSearch:
    """Return the hosts that are needed to try tasks which fit on no empty worker.

    `tasks` are one of each job that waits for a trial. The hosts are as large as the
    smallest of the tasks that share one, so that no trial waits for those of others.
    """
    taken: set[str] = set()
    sizes: defaultdict[str, list[Size]] = defaultdict(list)
    alike: defaultdict[tuple[str, Size], list[Task]] = defaultdict(list)
    for task in tasks:
        alike[(task.step.requirement, task.step.size)].append(task)
    for (label, size), group in alike.items():
        suitable = [
            worker
            for worker in empty
            if choose_task_worker([worker], group[0]) is not None
        ]
        kept = suitable[: math.ceil(len(group) / trials_per_worker)]
        taken.update(worker.info.worker_id for worker in kept)
        if not suitable:
            sizes[label] += [size] * len(group)
    needs = Counter(
        (label, size)
        for label, found in sizes.items()
        for size in sorted(found)[::trials_per_worker]
    )
    return RoomSearch(_list_needs(needs), frozenset(taken))


def _list_needs(needs: Counter[tuple[str, Size]]) -> tuple[HostNeed, ...]:
    """Return needs with a label first, since few hosts can cover them."""
    return tuple(
        HostNeed(count, size, label)
        for (label, size), count in sorted(needs.items(), reverse=True)
    )


def _fill(
    group: WaitingGroup, workers: Iterable[WorkerCapacity], taken: set[str]
) -> int:
    """Reserve the room of the tasks that can start; return how many have any."""
    task = group.task
    step = task.step
    placed = 0
    for worker in workers:
        if placed >= group.count:
            break
        if choose_task_worker([worker], task) is None:
            continue
        taken.add(worker.info.worker_id)
        if not step.is_long_running:
            return group.count
        number = min(group.count - placed, count_fitting(worker.free, step.size))
        if step.max_per_host:
            siblings = worker.tasks_of_step[task.task_id[:3]]
            number = min(number, step.max_per_host - siblings)
        for _ in range(number):
            worker.reserve(task)
        placed += number
    return placed


def _assume_host(host: Size, task: Size, label: str) -> WorkerCapacity:
    """Return an empty host with a label on which a task of this size fits."""
    size = Size(*map(max, host, task))
    labels = frozenset({label})
    info = WorkerInfo("", "", "", "", WorkerState.READY, size, labels, "", 0, "")
    return WorkerCapacity(info)


def _rank_group(group: WaitingGroup) -> tuple[bool, Size]:
    return (group.task.step.is_long_running, group.task.step.size)
