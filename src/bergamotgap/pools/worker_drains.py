"""Drains of a pool's workers, and preparation for the maintenance of their hosts."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.maintenance_plan import LongTasks, WorkerLoad
from bergamotgap.domain.task_placement import WorkerCapacity, choose_task_worker
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.customer_usage import CustomerUsage
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.pool_demand import is_task_late
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.stop_lines import StopReason
from bergamotgap.pools.ticket_cache import TicketCache
from bergamotgap.pools.trial_workers import TrialWorkers
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.pool_peer import DrainReply, MaintenanceCall, MaintenanceReply

# The report of a worker that was moved away stays listed for three heartbeats. A
# drained worker gets no work for that time and a margin of some controller rounds.
EXPIRY_HEARTBEATS = 3
DRAIN_MARGIN_MS = 1000
# Within this time a new owner has polled each worker that answers at least twice.
FIRST_POLLS_MS = 1300
# Notices of maintenance arrive every 100 ms. Without one for this long, as when the
# host controller is lost, work is placed as if there were no wave.
NOTICE_TTL_MS = 1000
# A host counts as down for this long after it was last reported so. By then polls have
# shown which of its runs are gone.
ABSENCE_TTL_MS = 1500
# A run that has exceeded its expected time is expected to take this share of the time
# passed, and no less than MIN_REMAINING_MS, in addition.
OVERTIME_SHARE = 0.25
MIN_REMAINING_MS = 200

log = get_logger(__name__)


class WorkerDrains:
    """Drain workers within their tasks' limits, and move long-running tasks away."""

    def __init__(
        self,
        job_table: JobTable,
        run_tracker: RunTracker,
        ticket_cache: TicketCache,
        trial_workers: TrialWorkers,
        customer_usage: CustomerUsage,
        settings: PoolSettings,
        clock: Clock,
    ) -> None:
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._ticket_cache = ticket_cache
        self._trial_workers = trial_workers
        self._customer_usage = customer_usage
        self._settings = settings
        self._clock = clock
        # The last notice, and until when it holds.
        self._notice: MaintenanceCall | None = None
        self._notice_until_ms = 0
        # Hosts that were reported as not up, and until when that counts.
        self._absent_until_ms: dict[str, int] = {}

    def drain(
        self,
        worker_id: str,
        may_stop: bool,
        stops_late: bool,
        absent: Collection[str] = (),
        host: str = "",
    ) -> DrainReply:
        """Drain a worker as far as its tasks allow; reply whether it is empty."""
        self._record_absent(absent)
        link = self._run_tracker.links.get(worker_id) or self._find_link(host)
        if link is None:
            # A running worker that is not listed yet is listed within this time.
            return DrainReply(self._measure_owned_ms() > self._settings.run_lease_ms)
        may_stop_any = may_stop or stops_late
        if not link.are_runs_known or (not link.is_empty and not may_stop_any):
            return DrainReply(False)
        now_ms = self._clock.monotonic_ms()
        link.withhold_work(
            EXPIRY_HEARTBEATS * self._settings.heartbeat_interval_ms + DRAIN_MARGIN_MS
        )
        for live in list(link.runs.values()):
            if live.task.step.is_long_running:
                if may_stop and self._may_stop_task(live.task):
                    self._run_tracker.stop_run(live.task, StopReason.DRAIN)
            elif stops_late and is_task_late(
                live.task, self._job_table, self._run_tracker, now_ms
            ):
                self._run_tracker.stop_run(live.task, StopReason.DRAIN_OF_LATE_WORK)
        return DrainReply(link.is_empty)

    def _find_link(self, host: str) -> WorkerLink | None:
        """Return the link to a listed worker on a host, one with runs if any."""
        links = [
            link
            for link in self._run_tracker.links.values()
            if host and link.is_listed and link.info.host == host
        ]
        return max(links, key=lambda link: not link.is_empty, default=None)

    def prepare(self, call: MaintenanceCall) -> MaintenanceReply:
        """Keep work off the named hosts by their turn; reply what they still run."""
        self._record_absent(call.absent)
        self._notice = call
        self._notice_until_ms = self._clock.monotonic_ms() + NOTICE_TTL_MS
        self.apply_notice()
        links = self._run_tracker.links
        # A host whose worker has a new id has two listed workers for a time.
        by_host: defaultdict[str, list[WorkerLink]] = defaultdict(list)
        for link in links.values():
            if link.is_listed:
                by_host[link.info.host].append(link)
        for host in call.vacates:
            for link in by_host[host]:
                self._move_long_tasks(link)
        return MaintenanceReply(
            tuple(
                self._measure_load(link)
                for host in call.turns_ms
                for link in by_host[host]
            )
        )

    def apply_notice(self) -> None:
        """Apply the last notice to the present workers, unless it is out of date."""
        if self._notice is None:
            return
        if self._clock.monotonic_ms() > self._notice_until_ms:
            self._notice = None
        turns_ms = self._notice.turns_ms if self._notice else {}
        longest_ms = self._notice.longest_task_ms if self._notice else 0
        for link in self._run_tracker.links.values():
            link.capacity.maintenance_in_ms = turns_ms.get(link.info.host)
            link.capacity.longest_task_ms = longest_ms

    def _record_absent(self, absent: Collection[str]) -> None:
        now_ms = self._clock.monotonic_ms()
        for host in absent:
            self._absent_until_ms[host] = now_ms + ABSENCE_TTL_MS

    def _measure_owned_ms(self) -> int:
        return self._clock.monotonic_ms() - self._run_tracker.ownership.started_ms

    def _may_stop_task(self, task: Task) -> bool:
        # Stops by a former owner become visible only after the stop timeout and a poll.
        if self._measure_owned_ms() < self._settings.stop_timeout_ms + FIRST_POLLS_MS:
            return False
        # Progress is as old as the last poll, which errs on the safe side: a task
        # counts as unavailable until a poll shows that it is ready.
        others = self._job_table.jobs[task.task_id.job].get_step(task).tasks
        unavailable = sum(
            not self._is_available(other) for other in others if other is not task
        )
        return unavailable < max(1, task.step.max_unavailable)

    def _is_available(self, task: Task) -> bool:
        """Return whether a task is ready and its worker neither silent nor down.

        The runs of a worker that crashed are listed until it answers or its lease ends.
        """
        link = self._run_tracker.links.get(task.worker_id)
        now_ms = self._clock.monotonic_ms()
        return (
            task.is_ready
            and link is not None
            and not link.is_silent
            and now_ms >= self._absent_until_ms.get(link.info.host, 0)
        )

    def _move_long_tasks(self, link: WorkerLink) -> None:
        """Stop long-running tasks that fit on a worker without maintenance to come."""
        for live in list(link.runs.values()):
            task = live.task
            is_moving = live.is_stop_requested or not task.step.is_long_running
            if is_moving or not self._may_stop_task(task):
                continue
            if not self._can_restart(task):
                return
            log.info(
                "task moved for maintenance",
                task=task.task_id,
                run=task.run,
                worker=link.worker_id,
            )
            self._run_tracker.stop_run(task, StopReason.MAINTENANCE)

    def _can_restart(self, task: Task) -> bool:
        """Return whether a task could start again elsewhere after those that wait.

        Asks for all that its start needs: a ticket, the customer's cap, room, and an
        empty worker if a task of the step is suspected.
        """
        job = self._job_table.jobs[task.task_id.job]
        step = job.get_step(task)
        waiting = [
            other
            for other in step.tasks
            if other.phase in (TaskPhase.WAITING, TaskPhase.UNCERTAIN)
        ]
        if not self._customer_usage.may_restart(job, task.step.size, len(waiting) + 1):
            return False
        links = self._list_other_links(job, task)
        if not step.has_suspects:
            return _fits([link.capacity for link in links], [*waiting, task])
        fitting = [link for link in links if _fits([link.capacity], [task])]
        trial_link = self._trial_workers.find_empty(task, fitting)
        return trial_link is not None and not waiting

    def _list_other_links(self, job: Job, task: Task) -> list[WorkerLink]:
        """Return the workers without maintenance to come that may run a task."""
        usable = self._run_tracker.list_usable_links(self._clock.monotonic_ms())
        links = [
            link
            for link in usable
            if link.capacity.maintenance_in_ms is None and not link.trial_job
        ]
        queue = self._run_tracker.queues.get(job)
        if queue is None or not queue.needs_advice:
            return links
        tickets = self._ticket_cache.get_tickets(
            task.task_id, [link.worker_id for link in links]
        )
        return [link for link in links if link.worker_id in tickets]

    def _measure_load(self, link: WorkerLink) -> WorkerLoad:
        counts: dict[str, LongTasks] = {}
        short_ms = 0
        for live in link.runs.values():
            task = live.task
            if not task.step.is_long_running:
                short_ms = max(short_ms, self._expect_remaining_ms(live))
                continue
            key = f"{task.task_id.job}.{task.task_id.occurrence}.{task.task_id.step}"
            count = counts[key].count if key in counts else 0
            counts[key] = LongTasks(key, count + 1, task.step.max_unavailable)
        if not link.are_runs_known:
            short_ms = max(short_ms, MIN_REMAINING_MS)
        return WorkerLoad(link.worker_id, short_ms, tuple(counts.values()))

    def _expect_remaining_ms(self, live: LiveRun) -> int:
        job = self._job_table.jobs.get(live.task.task_id.job)
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - live.task.started_ms
        expected_ms: float = live.task.step.estimated_ms - passed_ms
        if job is not None:
            expected_ms = self._run_tracker.run_times.expect_task_rest(
                job.spec.queue, live.task, now_ms
            )
        overtime_ms = max(MIN_REMAINING_MS, OVERTIME_SHARE * passed_ms)
        return int(expected_ms if expected_ms > MIN_REMAINING_MS else overtime_ms)


def _fits(workers: Sequence[WorkerCapacity], tasks: Iterable[Task]) -> bool:
    """Return whether all of some tasks fit on workers at the same time."""
    reserved: list[tuple[WorkerCapacity, Task]] = []
    is_fitting = True
    for task in tasks:
        worker = choose_task_worker(workers, task)
        if worker is None:
            is_fitting = False
            break
        worker.reserve(task)
        reserved.append((worker, task))
    for worker, task in reserved:
        worker.release(task)
    return is_fitting
