"""Tracks the runs of a pool's tasks by the reports of its workers."""

import asyncio
from collections.abc import Callable, Mapping, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.crash_suspicion import START_MS, record_age
from bergamotgap.domain.fleet import FleetConfig, JobPhase, WorkerInfo
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.run_time_estimates import RunTimeEstimates
from bergamotgap.domain.task_placement import JobRank, rank_job
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.crash_watch import CrashWatch
from bergamotgap.pools.filler_pacing import pace_fillers
from bergamotgap.pools.job_queues import JobQueues
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.link_manager import LinkManager
from bergamotgap.pools.ownership_guard import LogConfirmation, OwnershipGuard, Term
from bergamotgap.pools.possible_runs import PossibleRuns
from bergamotgap.pools.run_adoption import adopt_or_stop_run
from bergamotgap.pools.run_lines import log_end, log_loss
from bergamotgap.pools.run_time_observer import RunTimeObserver
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.stop_lines import StopReason, log_stop
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.pools.worker_runs import WorkerRuns
from bergamotgap.ports.fleet import (
    EndReport,
    OrderOutcome,
    Refused,
    RunReport,
    WorkerOrders,
)

# Each term has its own range of run numbers, so that a later owner's are higher.
RUNS_PER_TERM = 1000
# Longest wait for the journal between two polls, since polls also renew the lease.
JOURNAL_WAIT_MS = 500
# Longest wait for the record of a start: an append at a sixtieth of the usual speed.
START_RECORD_WAIT_MS = 600
# Gap between two polls of a worker, so that ends close together are read with one poll.
POLL_GAP_MS = 40
# Polls by one owner per second. Each takes about half a millisecond of a core, so they
# leave most of a core to starts and to callers.
MAX_POLLS_PER_S = 400
# A worker that fails this many runs in a row is quarantined.
FAILURES_TO_QUARANTINE = 3
QUARANTINE_MS = 4000
# Reasons for which a run is gone while its worker is up.
ENDED_REASONS = frozenset({"stopped", "vanished", "end_not_processed"})

log = get_logger(__name__)


class RunTracker:
    """Keep the links to a pool's workers and apply their reports to its jobs.

    `placement_needed` is set when a placement pass may find something to start.
    """

    def __init__(
        self,
        term: Term,
        job_table: JobTable,
        journal: Journal,
        orders: WorkerOrders,
        settings: PoolSettings,
        clock: Clock,
        confirmation: LogConfirmation,
        on_superseded: Callable[[str], None],
        crash_watch: CrashWatch,
    ) -> None:
        self._term = term
        self._crash_watch = crash_watch
        self._job_table = job_table
        self._journal = journal
        self._orders = orders
        self._settings = settings
        self._clock = clock
        self._on_superseded = on_superseded
        self.queues = JobQueues()
        self.possible_runs = PossibleRuns(clock)
        self.links: dict[str, WorkerLink] = {}
        self._link_manager = LinkManager(self.links, self._build_link)
        self.placement_needed = asyncio.Event()
        self.estimates = RunTimeEstimates()
        self.run_times = RunTimeObserver(self.estimates, job_table.jobs, clock)
        self.ownership = OwnershipGuard(
            term, job_table, journal, self.links, confirmation, settings, clock
        )

    async def close(self) -> None:
        """Cancel the orders and polls of all links."""
        await self._link_manager.close()

    def rank_job(self, job: Job, now_ms: int) -> JobRank:
        """Return the sort key of a job in the placement order; the least goes first."""
        path = self.run_times.expect_path(job)
        return rank_job(job, self.queues.get(job), now_ms, path)

    def rank_running_job(self, job: Job, now_ms: int) -> JobRank:
        """Return the sort key of a job all of whose open tasks are running."""
        rest_ms = self.run_times.expect_rest(job, now_ms)
        path = self.run_times.expect_path(job)._replace(remaining_ms=rest_ms)
        return rank_job(job, self.queues.get(job), now_ms, path)

    def update_config(self, config: FleetConfig) -> None:
        """Apply a newer configuration."""
        self.queues.update_config(config)
        self.placement_needed.set()

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Apply the current list of the pool's workers."""
        self._link_manager.update_workers(workers)
        self._crash_watch.update_workers(workers)
        self.placement_needed.set()

    def _build_link(self, info: WorkerInfo) -> WorkerLink:
        return WorkerLink(
            info,
            self._term.token,
            self._orders,
            self,
            self.ownership,
            self.possible_runs,
            self._settings,
            self._clock,
        )

    async def close_removable_links(self) -> None:
        """Close the links to workers that left and hold no runs."""
        await self._link_manager.close_removable_links()

    def choose_run_number(self, task: Task) -> int:
        """Return the number of a task's next run, above those of its earlier runs."""
        first = (self._term.number - 1) * RUNS_PER_TERM + 1
        return max(task.highest_run + 1, task.counted_run + 1, first)

    def start_run(
        self, task: Task, link: WorkerLink, run: int, ticket: str = ""
    ) -> None:
        """Queue the start of a task's run on a worker."""
        job = self._job_table.jobs[task.task_id.job]
        # Nothing between these records and the queued start may fail: a task that is
        # active without a run on the link would never start again.
        self._crash_watch.record_start(task, link.info, link.incarnation_ms)
        change = self._job_table.record_assigned_worker(
            job, task, link.worker_id, task.runs_alone
        )
        now_ms = self._clock.monotonic_ms()
        task.begin_run(TaskPhase.STARTING, run, link.worker_id, now_ms)
        link.queue_start(task, run, job.spec.payload, change, ticket)

    def stop_run(self, task: Task, reason: StopReason) -> None:
        """Queue a stop of a task's run if it is active."""
        link = self.links.get(task.worker_id)
        log_stop(task, link, reason)
        if link is not None and task.is_active:
            task.phase = TaskPhase.UNCERTAIN
            link.queue_stop(task.task_id, task.run)

    def stop_job_runs(self, job: Job, reason: StopReason) -> None:
        """Queue stops of all active runs of a job."""
        for task in job.list_tasks():
            self.stop_run(task, reason)

    def handle_orders_sent(self) -> None:
        """Let tasks be placed that waited for room in a queue of orders."""
        self.placement_needed.set()

    def handle_superseded(self, source: str) -> None:
        """Report to the pool that there is a newer owner."""
        self._on_superseded(source)

    async def wait_for_journal(self) -> bool:
        """Wait a bounded time for the journal; return whether all is committed."""
        return await self._journal.wait_committed_within(
            self._journal.last_change, JOURNAL_WAIT_MS
        )

    def choose_poll_gap_ms(self) -> float:
        """Return how long to wait between two polls of a worker."""
        busy = sum(not link.is_empty for link in self.links.values())
        gap_ms = max(POLL_GAP_MS, busy * MS_PER_SECOND / MAX_POLLS_PER_S)
        self.run_times.end_delay_ms = gap_ms / 2
        return gap_ms

    async def wait_until_start_allowed(self, change: int, needs_record: bool) -> bool:
        """Wait until a successor would know of a run; return whether it may start.

        There is no successor while the log is down for all. Then starts don't wait for
        their records one after another.
        """
        if self._journal.is_failing and self._may_start_unrecorded(needs_record):
            return True
        if await self._journal.wait_committed_within(change, START_RECORD_WAIT_MS):
            return True
        return self._may_start_unrecorded(needs_record)

    def _may_start_unrecorded(self, needs_record: bool) -> bool:
        return self.ownership.is_log_down_for_all() and not needs_record

    def handle_first_poll(self, link: WorkerLink) -> None:
        """Record that the worker's runs are known; it may get tasks from now on."""
        self.ownership.record_first_poll(link.worker_id)
        self.placement_needed.set()

    def handle_polled(self, link: WorkerLink) -> None:
        """Record that the worker's life answers, and pace the fillers there."""
        self._crash_watch.record_answer(link.worker_id, link.incarnation_ms)
        pace_fillers(link)

    def list_usable_links(self, now_ms: int) -> list[WorkerLink]:
        """Return the links to workers that may get new work."""
        return [link for link in self.links.values() if link.is_usable(now_ms)]

    def handle_started(self, link: WorkerRuns, live: LiveRun) -> None:
        """Mark the task and its job as running."""
        task = live.task
        task.confirm_start(link.worker_id)
        if task.run == live.run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            self._job_table.jobs[task.task_id.job].mark_started()

    def handle_not_started(
        self, link: WorkerRuns, live: LiveRun, outcome: OrderOutcome
    ) -> None:
        """Return the task to waiting, and stop the other members of its gang."""
        reason = outcome.reason if isinstance(outcome, Refused) else str(outcome)
        log.info(
            "start refused",
            task=live.task.task_id,
            run=live.run,
            worker=link.worker_id,
            reason=reason,
        )
        if isinstance(outcome, Refused):
            live.task.record_refusal(self._clock.monotonic_ms())
            if outcome.reason != "busy":
                # What the worker knows is not known here, so others go first.
                live.task.failed_on.add(link.worker_id)
        self._stop_gang(live)
        live.task.end_exposure(link.worker_id)
        self._requeue(live)

    def handle_start_unanswered(self, link: WorkerLink, live: LiveRun) -> None:
        """Stop a run whose start got no answer, before the task starts again."""
        life_ms = (live.worker or link).incarnation_ms
        link.lease_log.record_unanswered_start(live.task.task_id, live.run, life_ms)
        # If the run was abandoned meanwhile, its task may have a newer run already.
        is_current = live.task.run == live.run
        if is_current and live.task.phase is TaskPhase.STARTING:
            live.task.phase = TaskPhase.UNCERTAIN
        link.queue_stop(live.task.task_id, live.run)
        self._stop_gang(live)

    def _stop_gang(self, live: LiveRun) -> None:
        """Stop the other members of a gang when one member did not start."""
        job = self._job_table.jobs.get(live.task.task_id.job)
        if job is None or not live.task.step.is_gang:
            return
        for member in job.get_step(live.task).tasks:
            if member is not live.task and member.run == live.run:
                self.stop_run(member, StopReason.GANG_NOT_STARTED)

    def handle_running(self, link: WorkerRuns, report: RunReport) -> None:
        """Update a run's progress; adopt or stop a run that is not tracked yet."""
        live = link.runs.get(report.task)
        if live is None or live.run != report.run:
            now_ms = self._clock.monotonic_ms()
            adopt_or_stop_run(link, report, self._job_table, now_ms)
            return
        task = live.task
        if live.start_accepted_ms is None and not live.is_stop_requested:
            live.start_accepted_ms = self._clock.monotonic_ms()
            live.is_whole = False
            self.handle_started(link, live)
        if task.run != report.run:
            return
        live.seen_ms = self._clock.monotonic_ms()
        if report.percent != task.percent:
            task.progress_changed_ms = self._clock.monotonic_ms()
        task.percent = report.percent
        if live.start_accepted_ms is not None:
            age_ms = self._clock.monotonic_ms() - live.start_accepted_ms
            if age_ms >= START_MS and not live.has_survived_start:
                live.has_survived_start = True
                self._crash_watch.record_survival(task)
            record_age(task, age_ms)
        task.latency_or_cpu = report.latency_or_cpu
        task.checkpoint = report.checkpoint or task.checkpoint

    def handle_ended(self, link: WorkerRuns, end: EndReport) -> None:
        """Apply the end of a run to its job, and write the job's progress."""
        live = link.runs.get(end.task)
        if live is not None and live.run == end.run:
            link.remove_run(live)
            self.run_times.record_end(link, live, end.outcome == "done")
        self.placement_needed.set()
        job = self._job_table.jobs.get(end.task.job)
        task = job.get_task(end.task) if job and job.spec.steps else None
        if end.outcome == "failed":
            link.consecutive_failures += 1
            if link.consecutive_failures >= FAILURES_TO_QUARANTINE:
                link.quarantine(QUARANTINE_MS)
                log.warning("worker quarantined", worker=link.worker_id)
        elif end.outcome == "done":
            link.consecutive_failures = 0
        if job is None or task is None or job.phase.is_final:
            return
        task.end_exposure(link.worker_id)
        if end.outcome == "done":
            self._crash_watch.record_survival(task)
        changed = self._fold_end(link, end, job, task)
        self._forget_assigned_worker(job, link.worker_id)
        if job.phase.is_final:
            self._job_table.record_end(job)
            self.stop_job_runs(job, StopReason.JOB_ENDED)
        else:
            self._job_table.record_progress(job, [task, *changed])

    def _fold_end(
        self, link: WorkerRuns, end: EndReport, job: Job, task: Task
    ) -> list[Task]:
        """Apply an end to its task, and return the tasks that changed with it."""
        changed: list[Task] = []
        is_current = task.worker_id == link.worker_id and task.run == end.run
        log_end(end, link.worker_id, is_current)
        job.mark_started()
        if end.outcome == "done" and not task.step.is_long_running:
            if not is_current:
                self.stop_run(task, StopReason.DONE_ELSEWHERE)
            self._job_table.pending[job.job_id] = job
            return job.record_done(task)
        if end.outcome == "failed" and end.run not in task.counted_runs:
            changed = job.record_failure(task, end.run)
            task.failed_on.add(link.worker_id)
            attempts = self.queues.get_attempts(job)
            log.info(
                "run failed",
                task=end.task,
                run=end.run,
                worker=link.worker_id,
                failures=task.failures,
                attempts=attempts,
            )
            if not task.step.is_long_running and task.failures >= attempts:
                job.end(JobPhase.FAILED, self._clock.wall_ms(), "attempts_used")
                return changed
        if is_current:
            task.requeue(end.checkpoint)
            self._job_table.pending[job.job_id] = job
        return changed

    def handle_worker_lost(
        self,
        worker: WorkerInfo,
        runs: Sequence[LiveRun],
        reason: str,
        cut_off_ms: int,
    ) -> None:
        """Watch the worker until it is known whether it crashed."""
        self._crash_watch.record_loss(worker, runs, reason, cut_off_ms)

    def handle_lost(self, link: WorkerRuns, live: LiveRun, reason: str) -> None:
        """Return a task to waiting whose run is gone without a reported end."""
        self.run_times.record_end(link, live, is_done=False)
        if reason in ENDED_REASONS:
            live.task.end_exposure(link.worker_id)
        task_id, is_current = live.task.task_id, live.task.run == live.run
        if reason == "lease_ended":
            link.lease_log.record_lost_run(
                task_id, live.run, link.answered_ms, is_current
            )
        else:
            log_loss(task_id, live.run, link.worker_id, reason, is_current)
        self._requeue(live)
        job = self._job_table.jobs.get(live.task.task_id.job)
        if job is None or job.phase.is_final:
            return
        self._forget_assigned_worker(job, link.worker_id)
        if reason in ENDED_REASONS or job.is_long_running:
            self._job_table.record_progress(job, [live.task])

    def _forget_assigned_worker(self, job: Job, worker_id: str) -> None:
        """Forget a worker that can have no run of a long-running job any more.

        Workers of other jobs are kept: those jobs end soon, and may start there again
        while the log does not answer.
        """
        if not job.is_long_running or not job.spec.steps:
            return
        runs = self.possible_runs
        unanswered = runs.unanswered_starts.list_of(worker_id)
        if not any(start.task_id.job == job.job_id for start in unanswered) and not any(
            runs.may_be_on(task.task_id, worker_id) for task in job.list_tasks()
        ):
            job.forget_worker(worker_id)

    def may_start(self, task: Task, now_ms: int) -> bool:
        """Return whether a task may start: it waits, and no run of it may exist."""
        return (
            task.phase is TaskPhase.WAITING
            and now_ms >= task.retry_ms
            and not self.possible_runs.may_exist(task.task_id)
        )

    def _requeue(self, live: LiveRun) -> None:
        task = live.task
        job = self._job_table.jobs.get(task.task_id.job)
        if task.run == live.run and task.is_active:
            task.requeue()
        if job is not None and not job.phase.is_final:
            self._job_table.pending[job.job_id] = job
            self.placement_needed.set()
