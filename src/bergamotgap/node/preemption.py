"""Ask less urgent tasks to give way to urgent requests that wait."""

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.scheduler import URGENT_RANK
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.ports.worker import WorkerClient, WorkerError

# Calls to workers in progress for one pool: a burst of urgent requests must not stop
# all other work of the pool at once.
MAX_PREEMPTIONS_PER_POOL = 16
# How long a checkpointed task's slot counts as free. Its worker lets it go on only in
# a free slot, so a slot that counts as taken too early or too late is corrected there.
PREEMPTED_SLOT_FREE_MS = 1000

log = get_logger(__name__)


class Preemptor:
    """Checkpoint or throttle tasks of this entry host; owns the calls in progress.

    `count_preemptable(pool, entry)` tells how many slots an entry holds beyond what
    its guaranteed share pays for.
    """

    def __init__(
        self,
        running: RunningTasks,
        client: WorkerClient,
        clock: Clock,
        count_preemptable: Callable[[str, str], int],
    ) -> None:
        self._running = running
        self._client = client
        self._clock = clock
        self._count_preemptable = count_preemptable
        self._asking: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """End the calls in progress."""
        await cancel_tasks(self._asking)

    def preempt(self, pool: str, count: int) -> None:
        """Ask up to `count` tasks of a pool to give way."""
        items = self._running.list_pool(pool)
        asked = sum(
            item.is_preemption_requested and can_pause_tasks(item.entry)
            for item in items
        )
        count = min(count, MAX_PREEMPTIONS_PER_POOL - asked)
        for item in choose_tasks_to_preempt(
            items, count, lambda name: self._count_preemptable(pool, name)
        ):
            item.is_preemption_requested = True
            asking = asyncio.create_task(self._ask(item))
            self._asking.add(asking)
            asking.add_done_callback(self._asking.discard)

    async def _ask(self, item: RunningTask) -> None:
        verb = "checkpoint" if can_pause_tasks(item.entry) else "throttle"
        try:
            status = await self._client.control(item.address, item.task, verb)
        except WorkerError as error:
            log.info("preemption failed", task=item.task, error=repr(error))
            item.is_preemption_requested = False
            return
        log.info("task gives way", task=item.task, entry=item.entry.name, verb=verb)
        if verb == "throttle":
            # There is no way back from it, so the task is not asked again.
            return
        if status.state == "running":
            item.reservation.release_while_paused()
            await self._clock.sleep_ms(PREEMPTED_SLOT_FREE_MS)
            item.reservation.reacquire()
        item.is_preemption_requested = False


def can_pause_tasks(entry: Entry) -> bool:
    """Return whether a task may be checkpointed to free its slot.

    A paused task ends when its host moves or reboots, and only idempotent work can
    be run again then; other work is throttled.
    """
    return entry.checkpointable and entry.idempotent


def choose_tasks_to_preempt(
    items: Sequence[RunningTask], count: int, count_preemptable: Callable[[str], int]
) -> list[RunningTask]:
    """Return tasks that give way: lent slots first, then what frees a slot.

    Urgent tasks never give way, nor does an entry that holds no more than its share.
    """
    candidates = [
        item
        for item in items
        if item.entry.urgency.rank != URGENT_RANK and not item.is_preemption_requested
    ]
    candidates.sort(
        key=lambda item: (
            not item.is_lent,
            not can_pause_tasks(item.entry),
            -item.entry.urgency.rank,
            -item.started_ms,
        )
    )
    chosen: list[RunningTask] = []
    by_entry: Counter[str] = Counter()
    for item in candidates:
        if len(chosen) >= count:
            break
        name = item.entry.name
        if by_entry[name] < count_preemptable(name):
            by_entry[name] += 1
            chosen.append(item)
    return chosen
