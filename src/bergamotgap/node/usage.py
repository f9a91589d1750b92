"""Compare the use of running tasks with their size; limit those far above it."""

from collections.abc import Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.sizes import SizeEstimates, TaskSize
from bergamotgap.node.preemption import can_pause_tasks
from bergamotgap.node.running_tasks import RunningTask, RunningTasks
from bergamotgap.ports.worker import ListedTask, WorkerClient, WorkerError

# One worker is asked each time, in turn. A list takes about 1 KB, and a node may use
# 20 KB/s for control, of which statuses take the most.
QUERY_INTERVAL_MS = 500
# Reports lag, and short tasks have ended before anything could be done.
MIN_TASK_AGE_MS = 2000
# Use that is this much above both the declared and the learned size is limited.
# Declared sizes are often half of the truth, and a throttled task uses half as much.
EXCESS_FACTOR = 3.0
# A throttled task gets so long, at least, until its lower use is reported.
MIN_LIMIT_INTERVAL_MS = 5000

log = get_logger(__name__)


class UsageMonitor:
    """Ask workers, in turn, for the use of the tasks that this node sent them."""

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
        self._last_asked = ""

    async def run(self) -> None:
        """Watch for good."""
        while True:
            await self.step()
            await self._clock.sleep_ms(QUERY_INTERVAL_MS)

    async def step(self) -> None:
        """Ask the next worker that runs a task of some age, if there is one."""
        oldest_ms = self._clock.monotonic_ms() - MIN_TASK_AGE_MS
        by_host: dict[str, dict[str, RunningTask]] = {}
        for item in self._running.list_all():
            if item.started_ms <= oldest_ms:
                by_host.setdefault(item.host, {})[item.task] = item
        if not by_host:
            return
        later = [host for host in by_host if host > self._last_asked]
        self._last_asked = min(later or by_host)
        await self._check(by_host[self._last_asked])

    async def _check(self, items: Mapping[str, RunningTask]) -> None:
        address = next(iter(items.values())).address
        try:
            listed = await self._client.list_tasks(address)
        except WorkerError as error:
            log.info("task list failed", host=self._last_asked, error=repr(error))
            return
        for report in listed:
            item = items.get(report.task)
            if item is not None and report.cpus is not None:
                await self._judge(item, report)

    async def _judge(self, item: RunningTask, report: ListedTask) -> None:
        size = TaskSize(report.cpus or 0.0, report.memory_mb or 0)
        is_excessive = self._is_excessive(item, size)
        if not item.is_usage_recorded:
            # Once for each task, or long ones would count more than short ones.
            item.is_usage_recorded = True
            self._sizes.record(item.entry, size)
        now_ms = self._clock.monotonic_ms()
        if not is_excessive or now_ms < item.next_limit_ms:
            return
        verb = _choose_verb(item)
        if verb is None:
            return
        log.warning(
            "task uses far more than its size",
            **{"task": item.task, "entry": item.entry.name, "verb": verb},
            cpus=size.cpus,
            memory_mb=size.memory_mb,
        )
        try:
            await self._client.control(item.address, item.task, verb)
        except WorkerError as error:
            log.info("task control failed", task=item.task, error=repr(error))
            return
        item.applied_limits += (verb,)
        item.next_limit_ms = now_ms + MIN_LIMIT_INTERVAL_MS

    def _is_excessive(self, item: RunningTask, size: TaskSize) -> bool:
        entry, learned = item.entry, self._sizes.estimate(item.entry)
        return size.cpus > EXCESS_FACTOR * max(entry.cpus, learned.cpus) or (
            size.memory_mb > EXCESS_FACTOR * max(entry.memory_mb, learned.memory_mb)
        )


def _choose_verb(item: RunningTask) -> str | None:
    """Return the next step; non-idempotent work is throttled and never stopped."""
    if not item.applied_limits:
        return "throttle"
    if item.applied_limits != ("throttle",) or not item.entry.idempotent:
        return None
    return "checkpoint" if can_pause_tasks(item.entry) else "stop"
