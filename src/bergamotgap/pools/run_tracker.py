"""Runs of one pool's tasks: what its workers report, and which run follows."""

import asyncio
from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.fleet import FleetConfig, JobPhase, Queue, WorkerInfo
from bergamotgap.domain.job_state import Job, Task, TaskPhase
from bergamotgap.domain.pacing import list_pace_changes
from bergamotgap.domain.run_estimates import RunEstimates
from bergamotgap.domain.stalls import is_stalled
from bergamotgap.domain.task_placement import rank_job
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.link_manager import LinkManager
from bergamotgap.pools.ownership_guard import LogConfirmation, OwnershipGuard, Term
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.fleet import (
    EndReport,
    OrderOutcome,
    Refused,
    RunReport,
    WorkerOrders,
)

# Runs of one owner are numbered from its term on, so that a later owner's are higher.
RUNS_PER_TERM = 1000
# A look renews the lease at this interval at least, also while the log is away.
JOURNAL_WAIT_MS = 500
# An append to a log that answers sixty times slower than in calm.
START_WAIT_MS = 600
# Ends of the same moment are read with one look.
POLL_GAP_MS = 40
# Looks of one owner in a second; each takes about half a millisecond of a core, so they
# leave most of it to starts and to callers.
MAX_POLLS_PER_S = 400
# A worker that fails this many runs in a row gets no work for a time.
FAILURES_TO_QUARANTINE = 3
QUARANTINE_MS = 4000

log = get_logger(__name__)


class RunTracker:
    """Own the links to a pool's workers and fold their reports into its jobs."""

    def __init__(
        self,
        term: Term,
        table: JobTable,
        journal: Journal,
        orders: WorkerOrders,
        settings: PoolSettings,
        clock: Clock,
        confirmation: LogConfirmation,
        on_superseded: Callable[[str], None],
    ) -> None:
        self._term = term
        self._table = table
        self._journal = journal
        self._orders = orders
        self._settings = settings
        self._clock = clock
        self._on_superseded = on_superseded
        self._queues: dict[str, Queue] = {}
        self.links: dict[str, WorkerLink] = {}
        self._keeper = LinkManager(self.links, self._build_link)
        self.placement_needed = asyncio.Event()
        self.estimates = RunEstimates()
        self.ownership = OwnershipGuard(
            term, table, journal, self.links, confirmation, settings, clock
        )

    async def close(self) -> None:
        """Stop all orders and looks."""
        await self._keeper.close()

    def get_queue(self, job: Job) -> Queue | None:
        """Return the queue of a job, if it is configured."""
        return self._queues.get(job.spec.queue)

    def rank_job(self, job: Job, now_ms: int) -> tuple[int, int, float]:
        """Return the job's place in the order of placement; least goes first."""
        ratio = self.estimates.get_ratio(job.spec.queue)
        return rank_job(job, self.get_queue(job), now_ms, ratio)

    def update_config(self, config: FleetConfig) -> None:
        """Use a newer configuration."""
        self._queues = {queue.name: queue for queue in config.queues}
        self.placement_needed.set()

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Take over the list of the pool's workers."""
        self._keeper.update_workers(workers)
        self.placement_needed.set()

    def _build_link(self, info: WorkerInfo) -> WorkerLink:
        return WorkerLink(
            info,
            self._term.token,
            self._orders,
            self,
            self.ownership,
            self._settings,
            self._clock,
        )

    async def close_removable_links(self) -> None:
        """Close the links to workers that left and hold nothing."""
        await self._keeper.close_removable()

    def stop_stalled_runs(self) -> None:
        """Stop tasks that stand still while their worker answers."""
        now_ms = self._clock.monotonic_ms()
        for link in list(self.links.values()):
            for live in list(link.live_runs.values()):
                task = live.task
                ratio = self._get_ratio(task)
                if not is_stalled(task, ratio, link.answered_ms):
                    continue
                log.warning(
                    "run stalled",
                    task=task.task_id,
                    run=live.run,
                    worker=link.worker_id,
                    percent=task.percent,
                    still_ms=now_ms - task.progress_ms,
                )
                task.failed_on.add(link.worker_id)
                link.quarantine(QUARANTINE_MS)
                self.stop_run(task)

    def _get_ratio(self, task: Task) -> float:
        job = self._table.jobs.get(task.task_id.job)
        return self.estimates.get_ratio(job.spec.queue) if job else 1.0

    def choose_run_number(self, task: Task) -> int:
        """Return the number of a task's next run."""
        first = (self._term.number - 1) * RUNS_PER_TERM + 1
        return max(task.run + 1, task.counted_run + 1, first)

    def start_run(
        self, task: Task, link: WorkerLink, run: int, ticket: str = ""
    ) -> None:
        """Order a run of a task."""
        job = self._table.jobs[task.task_id.job]
        task.phase = TaskPhase.STARTING
        task.run = run
        task.worker_id = link.worker_id
        task.percent = 0
        task.started_ms = task.progress_ms = self._clock.monotonic_ms()
        change = self._note_given(job, link.worker_id)
        link.queue_start(task, run, job.spec.payload, change, ticket)

    def _note_given(self, job: Job, worker_id: str) -> int:
        """Write that a worker may have runs of a job; return the change's number."""
        if worker_id not in job.assigned_workers:
            job.assigned_workers[worker_id] = 0
            job.assigned_workers[worker_id] = self._table.record_progress(job)
        return job.assigned_workers[worker_id]

    def _forget_given(self, job: Job, worker_id: str) -> None:
        """Leave a worker out that has no run of a lasting job any more.

        Other jobs end soon, and may start there again while the log is away.
        """
        tasks = job.list_tasks() if job.is_long_running else []
        if tasks and not any(task.worker_id == worker_id for task in tasks):
            job.assigned_workers.pop(worker_id, None)

    def stop_run(self, task: Task) -> None:
        """Order the end of a task's run."""
        link = self.links.get(task.worker_id)
        if link is not None and task.is_active:
            task.phase = TaskPhase.UNCERTAIN
            link.queue_stop(task.task_id, task.run)

    def stop_job_runs(self, job: Job) -> None:
        """Order the end of all runs of a job."""
        for task in job.list_tasks():
            self.stop_run(task)

    def handle_superseded(self, source: str) -> None:
        """Stop owning the pool."""
        self._on_superseded(source)

    async def wait_for_journal(self) -> bool:
        """Wait until what was heard lasts, for a bounded time; tell if it does."""
        return await self._journal.wait_committed_within(
            self._journal.last_change, JOURNAL_WAIT_MS
        )

    def choose_poll_gap_ms(self) -> float:
        """Return how long to rest between two looks at a worker."""
        busy = sum(not link.is_empty for link in self.links.values())
        return max(POLL_GAP_MS, busy * MS_PER_SECOND / MAX_POLLS_PER_S)

    async def wait_until_start_allowed(self, change: int) -> bool:
        """Wait until a successor would know of a run; tell whether it may start."""
        if await self._journal.wait_committed_within(change, START_WAIT_MS):
            return True
        return self.ownership.is_outage()

    def handle_first_poll(self, link: WorkerLink) -> None:
        """Use the worker from now on."""
        self.ownership.record_first_poll(link.worker_id)
        self.placement_needed.set()

    def handle_polled(self, link: WorkerLink) -> None:
        """Pace the fillers by the worst tail of the tasks that serve beside them."""
        tasks = [
            live.task for live in link.live_runs.values() if not live.is_stop_requested
        ]
        for task, percent in list_pace_changes(tasks):
            log.info(
                "paced",
                task=task.task_id,
                worker=link.worker_id,
                before=task.pace,
                percent=percent,
            )
            link.queue_pace(task, percent)

    def list_usable_links(self, now_ms: int) -> list[WorkerLink]:
        """Return the workers that may get new work."""
        return [link for link in self.links.values() if link.is_usable(now_ms)]

    def handle_started(self, link: WorkerLink, live: LiveRun) -> None:
        """Count the job as running."""
        task = live.task
        if task.run == live.run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            self._table.jobs[task.task_id.job].mark_started()

    def handle_not_started(
        self, link: WorkerLink, live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Let the task wait again."""
        reason = outcome.reason if isinstance(outcome, Refused) else str(outcome)
        log.info(
            "start refused",
            task=live.task.task_id,
            run=live.run,
            worker=link.worker_id,
            reason=reason,
        )
        self._stop_gang(live)
        self._requeue(live)

    def handle_start_unanswered(self, link: WorkerLink, live: LiveRun) -> None:
        """Bar a run whose start got no answer."""
        log.info(
            "start unanswered",
            task=live.task.task_id,
            run=live.run,
            worker=link.worker_id,
        )
        # A run that was given up meanwhile decides nothing on its task any more.
        is_current = live.task.run == live.run
        if is_current and live.task.phase is TaskPhase.STARTING:
            live.task.phase = TaskPhase.UNCERTAIN
        link.queue_stop(live.task.task_id, live.run)
        self._stop_gang(live)

    def _stop_gang(self, live: LiveRun) -> None:
        """Stop the other members of a gang of which one did not start."""
        job = self._table.jobs.get(live.task.task_id.job)
        if job is None or not live.task.step.is_gang:
            return
        for member in job.get_step(live.task).tasks:
            if member is not live.task and member.run == live.run:
                self.stop_run(member)

    def handle_running(self, link: WorkerLink, row: RunReport) -> None:
        """Take over progress; adopt or stop a run that was not known."""
        live = link.live_runs.get(row.task)
        if live is None or live.run != row.run:
            self._note_found(link, row)
            return
        task = live.task
        if live.start_accepted_ms is None and not live.is_stop_requested:
            live.start_accepted_ms = self._clock.monotonic_ms()
            self.handle_started(link, live)
        if task.run != row.run:
            return
        if row.percent != task.percent:
            task.progress_ms = self._clock.monotonic_ms()
        task.percent = row.percent
        task.metric = row.latency_or_cpu
        task.checkpoint = row.checkpoint or task.checkpoint

    def _note_found(self, link: WorkerLink, row: RunReport) -> None:
        job = self._table.jobs.get(row.task.job)
        task = job.get_task(row.task) if job and job.spec.steps else None
        if job is None or task is None or row.task in link.live_runs:
            # Its size is not known here, so the worker gets no work until it is gone.
            link.stop_unknown_run(row)
            return
        now_ms = self._clock.monotonic_ms()
        if job.phase.is_final or task.phase is not TaskPhase.WAITING:
            # It is not wanted, yet it holds room until it is gone.
            task = Task(row.task, task.step)
            link.add_run(LiveRun(task, row.run, start_accepted_ms=now_ms))
            link.queue_stop(row.task, row.run)
            return
        task.phase = TaskPhase.RUNNING
        task.run = row.run
        task.worker_id = link.worker_id
        task.percent = row.percent
        task.started_ms = task.progress_ms = now_ms
        link.add_run(LiveRun(task, row.run, start_accepted_ms=now_ms))
        self._note_given(job, link.worker_id)
        job.mark_started()
        log.info("run adopted", task=row.task, run=row.run, worker=link.worker_id)

    def handle_ended(self, link: WorkerLink, row: EndReport) -> None:
        """Fold one end into its job."""
        live = link.live_runs.get(row.task)
        if live is not None and live.run == row.run:
            link.remove_run(live)
        self.placement_needed.set()
        job = self._table.jobs.get(row.task.job)
        task = job.get_task(row.task) if job and job.spec.steps else None
        if row.outcome == "failed":
            link.consecutive_failures += 1
            if link.consecutive_failures >= FAILURES_TO_QUARANTINE:
                link.quarantine(QUARANTINE_MS)
                log.warning("worker held out", worker=link.worker_id)
        elif row.outcome == "done":
            link.consecutive_failures = 0
        if job is None or task is None or job.phase.is_final:
            return
        self._fold_end(link, row, job, task)
        self._forget_given(job, link.worker_id)
        if job.phase.is_final:
            self._table.record_end(job)
            self.stop_job_runs(job)
        else:
            self._table.record_progress(job)

    def _fold_end(self, link: WorkerLink, row: EndReport, job: Job, task: Task) -> None:
        is_current = task.worker_id == link.worker_id and task.run == row.run
        job.mark_started()
        if row.outcome == "done" and not task.step.is_long_running:
            if is_current:
                actual_ms = self._clock.monotonic_ms() - task.started_ms
                declared_ms = task.step.estimated_ms
                self.estimates.record_run(job.spec.queue, declared_ms, actual_ms)
            else:
                self.stop_run(task)
            job.record_done(task)
            self._table.pending[job.job_id] = job
            return
        if row.outcome == "failed" and row.run > task.counted_run:
            job.record_failure(task, row.run)
            task.failed_on.add(link.worker_id)
            queue = self.get_queue(job)
            attempts = queue.attempts if queue else 1
            log.info(
                "run failed",
                task=row.task,
                run=row.run,
                worker=link.worker_id,
                failures=task.failures,
                attempts=attempts,
            )
            if queue and not task.step.is_long_running and task.failures >= attempts:
                job.end(JobPhase.FAILED, self._clock.wall_ms(), "attempts_used")
                return
        if is_current:
            task.run = max(task.run, row.run)
            task.requeue(row.checkpoint)
            self._table.pending[job.job_id] = job

    def handle_lost(self, link: WorkerLink, live: LiveRun, reason: str) -> None:
        """Let a task wait again whose run is gone without an end."""
        if reason != "stopped":
            log.warning(
                "run lost",
                task=live.task.task_id,
                run=live.run,
                worker=link.worker_id,
                reason=reason,
            )
        self._requeue(live)

    def _requeue(self, live: LiveRun) -> None:
        task = live.task
        job = self._table.jobs.get(task.task_id.job)
        if task.run == live.run and task.is_active:
            task.requeue()
        if job is not None and not job.phase.is_final:
            self._table.pending[job.job_id] = job
            self.placement_needed.set()
