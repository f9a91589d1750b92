"""Preemption of running tasks by more urgent requests that wait for a slot."""

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

# Limit of tasks of one pool that are being preempted, so that a burst of urgent
# requests does not stop all other work of the pool at once.
MAX_PREEMPTIONS_PER_POOL = 16
# How long the slot of a checkpointed task counts as free. The worker resumes the task
# only when it has a free slot, so an estimate that is too short or long is corrected
# there.
PREEMPTED_SLOT_FREE_MS = 1000

log = get_logger(__name__)


class Preemptor:
    """Preempts this entry host's tasks by checkpointing or throttling them.

    `count_preemptable(pool, entry)` returns the number of slots that an entry holds
    beyond its guaranteed share.
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
        self._calls: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await cancel_tasks(self._calls)

    def preempt(self, pool: str, count: int) -> None:
        """Preempt up to `count` tasks of a pool in the background."""
        items = self._running.list_pool(pool)
        in_progress = sum(
            item.is_preemption_requested and can_pause_tasks(item.entry)
            for item in items
        )
        count = min(count, MAX_PREEMPTIONS_PER_POOL - in_progress)
        for item in choose_tasks_to_preempt(
            items, count, lambda name: self._count_preemptable(pool, name)
        ):
            item.is_preemption_requested = True
            call = asyncio.create_task(self._preempt_task(item))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _preempt_task(self, item: RunningTask) -> None:
        verb = "checkpoint" if can_pause_tasks(item.entry) else "throttle"
        try:
            status = await self._client.control(item.address, item.task, verb)
        except WorkerError as error:
            log.info("preemption request failed", task=item.task, error=repr(error))
            item.is_preemption_requested = False
            return
        log.info("task preempted", task=item.task, entry=item.entry.name, verb=verb)
        if verb == "throttle":
            # A throttled task stays throttled, so it is not preempted again.
            return
        if status.state == "running":
            item.reservation.release_while_paused()
            await self._clock.sleep_ms(PREEMPTED_SLOT_FREE_MS)
            item.reservation.reacquire()
        item.is_preemption_requested = False


def can_pause_tasks(entry: Entry) -> bool:
    """Return whether tasks of an entry may be checkpointed to free their slots.

    A paused task ends if its host moves or reboots, and only idempotent work can be
    run again after that. Other work is throttled instead.
    """
    return entry.checkpointable and entry.idempotent


def choose_tasks_to_preempt(
    items: Sequence[RunningTask], count: int, count_preemptable: Callable[[str], int]
) -> list[RunningTask]:
    """Return up to `count` tasks to preempt, in the order of preference.

    Tasks in lent slots come first, then those that free their slot when paused, then
    the least urgent and the youngest. Urgent tasks are never preempted, nor are tasks
    of an entry that holds no more than its guaranteed share.
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
