"""Room beside long-running tasks, and the hosts that waiting tasks fill whole."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bergamotgap.domain.amounts import Amount, measure_share
from bergamotgap.domain.fleet import NO_LIMIT, Size
from bergamotgap.domain.task_placement import count_fitting


class WaitingTasks(NamedTuple):
    """Tasks of one size that wait; `limit` is how many may share a worker, if any."""

    size: Size
    tasks: int
    limit: int = NO_LIMIT


def measure_stranded_room(
    rooms: Iterable[Amount], shape: Amount, smallest: Size | None
) -> Amount:
    """Return the room beside lasting tasks that short work can't use.

    `rooms` are those of the workers with lasting tasks. `shape` has the proportions of
    the short work, and `smallest` is the size of its smallest waiting task.
    """
    cpu = memory_mb = gpus = 0.0
    for room in rooms:
        shares = [
            max(0, left) / wanted
            for left, wanted in zip(_list(room), _list(shape), strict=True)
            if wanted > 0
        ]
        share = min(shares, default=0.0)
        if smallest is not None and not count_fitting(room, smallest):
            share = 0.0
        if shape.cpu:
            cpu += max(0, room.cpu - share * shape.cpu)
        if shape.memory_mb:
            memory_mb += max(0, room.memory_mb - share * shape.memory_mb)
        if shape.gpus:
            gpus += max(0, room.gpus - share * shape.gpus)
    return Amount(cpu, memory_mb, gpus)


def count_whole_hosts(
    lasting: Sequence[WaitingTasks],
    short: Sequence[WaitingTasks],
    rooms: Sequence[Amount],
    host: Size,
) -> tuple[int, Size]:
    """Return how many more hosts waiting tasks fill, and the largest task's size.

    `rooms` is what each worker has beside lasting tasks. Lasting tasks take it for
    good; short ones need a host only if they fit into no room that is left. Tasks that
    don't fit on an empty host are not counted.
    """
    whole = Amount(*host)
    left = list(rooms)
    hosts: list[Amount] = []
    sizes: list[Size] = []

    def open_hosts(group: WaitingTasks, count: int) -> None:
        per_host = _limit_count(count_fitting(host, group.size), group.limit)
        if not per_host or count <= 0:
            return
        sizes.append(group.size)
        count -= _take_rooms(group, count, hosts)
        while count > 0:
            number = min(count, per_host)
            hosts.append(whole - Amount(*group.size).scale(number))
            count -= number

    for group in sorted(lasting, key=lambda group: -_rate(group.size, whole)):
        open_hosts(group, group.tasks - _take_rooms(group, group.tasks, left))
    for group in sorted(short, key=lambda group: -_rate(group.size, whole)):
        if not any(count_fitting(room, group.size) for room in left):
            open_hosts(group, group.tasks)
    largest = max(sizes, key=lambda size: _rate(size, whole), default=Size())
    return len(hosts), largest


def _take_rooms(group: WaitingTasks, count: int, rooms: list[Amount]) -> int:
    """Take the room of the tasks that fit; return how many."""
    taken = 0
    for index, room in enumerate(rooms):
        if taken == count:
            break
        number = _limit_count(count_fitting(room, group.size), group.limit)
        number = min(number, count - taken)
        if number:
            rooms[index] = room - Amount(*group.size).scale(number)
            taken += number
    return taken


def _limit_count(count: int, limit: int) -> int:
    return min(count, limit) if limit else count


def _rate(size: Size, host: Amount) -> float:
    return measure_share(Amount(*size), host)


def _list(amount: Amount) -> tuple[float, float, float]:
    return (amount.cpu, amount.memory_mb, amount.gpus)
