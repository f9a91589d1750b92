"""Monitoring of the resource usage of running tasks, with limits if it is excessive."""

from collections.abc import Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.task_sizes import SizeEstimates, TaskSize
from bergamotgap.node.preemption import can_pause_tasks
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.ports.worker import ListedTask, WorkerClient, WorkerError

# One worker is queried per interval, in turn. A task list takes about 1 KB, and a node
# may use 20 KB/s for control traffic, most of which is taken by worker statuses.
QUERY_INTERVAL_MS = 500
# Younger tasks are ignored: usage reports lag, and short tasks end before a limit could
# have any effect.
MIN_TASK_AGE_MS = 2000
# Usage above both the declared and the learned size by this factor is limited. Declared
# sizes are often half of the real usage, and throttling halves the usage of a task.
EXCESS_FACTOR = 3.0
# Shortest time between two limits on a task, so that the lower usage of a throttled
# task can be reported before the next one.
MIN_LIMIT_INTERVAL_MS = 5000

log = get_logger(__name__)


class UsageMonitor:
    """Queries workers in turn for the resource usage of this node's tasks."""

    def __init__(
        self,
        running: RunningTasks,
        client: WorkerClient,
        clock: Clock,
        sizes: SizeEstimates,
    ) -> None:
        self._running = running
        self._client = client
        self._clock = clock
        self._sizes = sizes
        self._last_queried_host = ""

    async def run(self) -> None:
        """Monitor usage, forever."""
        while True:
            await self.step()
            await self._clock.sleep_ms(QUERY_INTERVAL_MS)

    async def step(self) -> None:
        """Query the next worker that runs an old enough task, if there is one."""
        started_before_ms = self._clock.monotonic_ms() - MIN_TASK_AGE_MS
        by_host: dict[str, dict[str, RunningTask]] = {}
        for item in self._running.list_all():
            if item.started_ms <= started_before_ms:
                by_host.setdefault(item.host, {})[item.task] = item
        if not by_host:
            return
        later = [host for host in by_host if host > self._last_queried_host]
        self._last_queried_host = min(later or by_host)
        await self._check_worker(by_host[self._last_queried_host])

    async def _check_worker(self, items: Mapping[str, RunningTask]) -> None:
        address = next(iter(items.values())).address
        try:
            listed = await self._client.list_tasks(address)
        except WorkerError as error:
            log.info(
                "listing tasks failed", host=self._last_queried_host, error=repr(error)
            )
            return
        for report in listed:
            item = items.get(report.task)
            if item is not None and report.cpus is not None:
                await self._check_task(item, report)

    async def _check_task(self, item: RunningTask, report: ListedTask) -> None:
        size = TaskSize(report.cpus or 0.0, report.memory_mb or 0)
        is_excessive = self._is_excessive(item, size)
        if not item.is_usage_recorded:
            # Recorded once per task, so that long tasks don't outweigh short ones.
            item.is_usage_recorded = True
            self._sizes.record(item.entry, size)
        now_ms = self._clock.monotonic_ms()
        if not is_excessive or now_ms < item.next_limit_ms:
            return
        verb = _choose_verb(item)
        if verb is None:
            return
        log.warning(
            "limiting a task that uses far more than its size",
            **{"task": item.task, "entry": item.entry.name, "verb": verb},
            cpus=size.cpus,
            memory_mb=size.memory_mb,
        )
        try:
            await self._client.control(item.address, item.task, verb)
        except WorkerError as error:
            log.info("limiting a task failed", task=item.task, error=repr(error))
            return
        item.applied_limits += (verb,)
        item.next_limit_ms = now_ms + MIN_LIMIT_INTERVAL_MS

    def _is_excessive(self, item: RunningTask, size: TaskSize) -> bool:
        entry, learned = item.entry, self._sizes.estimate(item.entry)
        return size.cpus > EXCESS_FACTOR * max(entry.cpus, learned.cpus) or (
            size.memory_mb > EXCESS_FACTOR * max(entry.memory_mb, learned.memory_mb)
        )


def _choose_verb(item: RunningTask) -> str | None:
    """Return the verb of the next limit, or None if there is none.

    Non-idempotent work is throttled, but never stopped.
    """
    if not item.applied_limits:
        return "throttle"
    if item.applied_limits != ("throttle",) or not item.entry.idempotent:
        return None
    return "checkpoint" if can_pause_tasks(item.entry) else "stop"
