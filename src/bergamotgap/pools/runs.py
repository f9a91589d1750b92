"""Tracks the runs of a pool's tasks by the reports of its workers."""

import asyncio
from collections.abc import Callable, Mapping

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.fleet import FleetConfig, JobPhase, Queue, WorkerInfo
from bergamotgap.domain.job_state import Job, Task, TaskPhase
from bergamotgap.domain.pacing import list_paces
from bergamotgap.domain.run_estimates import RunEstimates
from bergamotgap.domain.stalls import is_stalled
from bergamotgap.domain.task_placement import rank_job
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.link_events import LiveRun
from bergamotgap.pools.link_keeper import LinkKeeper
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.tenure import Confirmation, Tenure, Term
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.fleet import (
    EndRow,
    OrderOutcome,
    Refused,
    RunRow,
    WorkerOrders,
)

# Each term has its own range of run numbers, so that a later owner's are higher.
RUNS_PER_TERM = 1000
# Longest wait for the journal between two polls, since polls also renew the lease.
JOURNAL_WAIT_MS = 500
# Longest wait for the record of a start: an append at a sixtieth of the usual speed.
START_WAIT_MS = 600
# Gap between two polls of a worker, so that ends close together are read with one poll.
LOOK_GAP_MS = 40
# Polls by one owner per second. Each takes about half a millisecond of a core, so they
# leave most of a core to starts and to callers.
MAX_LOOKS_PER_S = 400
# A worker that fails this many runs in a row is quarantined.
FAILURES_TO_HOLD_OUT = 3
HOLD_OUT_MS = 4000

log = get_logger(__name__)


class Runs:
    """Keep the links to a pool's workers and apply their reports to its jobs.

    `placement_needed` is set when a placement pass may find something to start.
    """

    def __init__(
        self,
        term: Term,
        table: JobTable,
        journal: Journal,
        orders: WorkerOrders,
        settings: PoolSettings,
        clock: Clock,
        confirmation: Confirmation,
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
        self._keeper = LinkKeeper(self.links, self._build_link)
        self.changed = asyncio.Event()
        self.estimates = RunEstimates()
        self.tenure = Tenure(
            term, table, journal, self.links, confirmation, settings, clock
        )

    async def close(self) -> None:
        """Cancel the orders and polls of all links."""
        await self._keeper.close()

    def get_queue(self, job: Job) -> Queue | None:
        """Return the queue of a job, or None if it is not configured."""
        return self._queues.get(job.spec.queue)

    def rank(self, job: Job, now_ms: int) -> tuple[int, int, float]:
        """Return the sort key of a job in the placement order; the least goes first."""
        ratio = self.estimates.get_ratio(job.spec.queue)
        return rank_job(job, self.get_queue(job), now_ms, ratio)

    def update_config(self, config: FleetConfig) -> None:
        """Apply a newer configuration."""
        self._queues = {queue.name: queue for queue in config.queues}
        self.changed.set()

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Apply the current list of the pool's workers."""
        self._keeper.update(workers)
        self.changed.set()

    def _build_link(self, info: WorkerInfo) -> WorkerLink:
        return WorkerLink(
            info,
            self._term.token,
            self._orders,
            self,
            self.tenure,
            self._settings,
            self._clock,
        )

    async def drop_links(self) -> None:
        """Close the links to workers that left and hold no runs."""
        await self._keeper.drop_over()

    def stop_stalled(self) -> None:
        """Stop runs without progress on workers that answer; quarantine the workers."""
        now_ms = self._clock.monotonic_ms()
        for link in list(self.links.values()):
            for live in list(link.live.values()):
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
                link.hold_out(HOLD_OUT_MS)
                self.stop(task)

    def _get_ratio(self, task: Task) -> float:
        job = self._table.jobs.get(task.task_id.job)
        return self.estimates.get_ratio(job.spec.queue) if job else 1.0

    def choose_run(self, task: Task) -> int:
        """Return the number of a task's next run, above those of its earlier runs."""
        first = (self._term.number - 1) * RUNS_PER_TERM + 1
        return max(task.run + 1, task.counted_run + 1, first)

    def start(self, task: Task, link: WorkerLink, run: int, ticket: str = "") -> None:
        """Queue the start of a task's run on a worker."""
        job = self._table.jobs[task.task_id.job]
        task.phase = TaskPhase.STARTING
        task.run = run
        task.worker_id = link.worker_id
        task.percent = 0
        task.started_ms = task.progress_ms = self._clock.monotonic_ms()
        change = self._note_given(job, link.worker_id)
        link.start(task, run, job.spec.payload, change, ticket)

    def _note_given(self, job: Job, worker_id: str) -> int:
        """Record that a worker may have runs of a job; return the journal change."""
        if worker_id not in job.given:
            job.given[worker_id] = 0
            job.given[worker_id] = self._table.note_progress(job)
        return job.given[worker_id]

    def _forget_given(self, job: Job, worker_id: str) -> None:
        """Forget a worker that has no more runs of a long-running job.

        Workers of other jobs are kept: those jobs end soon, and may start there again
        while the log does not answer.
        """
        tasks = job.list_tasks() if job.is_lasting else []
        if tasks and not any(task.worker_id == worker_id for task in tasks):
            job.given.pop(worker_id, None)

    def stop(self, task: Task) -> None:
        """Queue a stop of a task's run if it is active."""
        link = self.links.get(task.worker_id)
        if link is not None and task.is_active:
            task.phase = TaskPhase.UNCERTAIN
            link.stop(task.task_id, task.run)

    def stop_job(self, job: Job) -> None:
        """Queue stops of all active runs of a job."""
        for task in job.list_tasks():
            self.stop(task)

    def note_superseded(self, source: str) -> None:
        """Report to the pool that there is a newer owner."""
        self._on_superseded(source)

    async def wait_for_journal(self) -> bool:
        """Wait a bounded time for the journal; return whether all is committed."""
        return await self._journal.wait_for(self._journal.requested, JOURNAL_WAIT_MS)

    def choose_look_gap_ms(self) -> float:
        """Return how long to wait between two polls of a worker."""
        busy = sum(not link.is_empty for link in self.links.values())
        return max(LOOK_GAP_MS, busy * MS_PER_SECOND / MAX_LOOKS_PER_S)

    async def wait_for_start(self, change: int) -> bool:
        """Wait until a successor would know of a run; return whether it may start."""
        if await self._journal.wait_for(change, START_WAIT_MS):
            return True
        return self.tenure.is_outage()

    def note_first_look(self, link: WorkerLink) -> None:
        """Record that the worker's runs are known; it may get tasks from now on."""
        self.tenure.note_seen(link.worker_id)
        self.changed.set()

    def note_looked(self, link: WorkerLink) -> None:
        """Pace filler tasks by the worst tail latency of the serving tasks there."""
        tasks = [live.task for live in link.live.values() if not live.is_stop_wanted]
        for task, percent in list_paces(tasks):
            log.info(
                "task paced",
                task=task.task_id,
                worker=link.worker_id,
                before=task.pace,
                percent=percent,
            )
            link.pace(task, percent)

    def list_usable(self, now_ms: int) -> list[WorkerLink]:
        """Return the links to workers that may get new work."""
        return [link for link in self.links.values() if link.is_usable(now_ms)]

    def note_started(self, link: WorkerLink, live: LiveRun) -> None:
        """Mark the task and its job as running."""
        task = live.task
        if task.run == live.run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            self._table.jobs[task.task_id.job].begin()

    def note_not_started(
        self, link: WorkerLink, live: LiveRun, outcome: OrderOutcome
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
        self._stop_gang(live)
        self._requeue(live)

    def note_unknown(self, link: WorkerLink, live: LiveRun) -> None:
        """Stop a run whose start got no answer, before the task starts again."""
        log.info(
            "start unanswered",
            task=live.task.task_id,
            run=live.run,
            worker=link.worker_id,
        )
        # If the run was abandoned meanwhile, its task may have a newer run already.
        is_current = live.task.run == live.run
        if is_current and live.task.phase is TaskPhase.STARTING:
            live.task.phase = TaskPhase.UNCERTAIN
        link.stop(live.task.task_id, live.run)
        self._stop_gang(live)

    def _stop_gang(self, live: LiveRun) -> None:
        """Stop the other members of a gang when one member did not start."""
        job = self._table.jobs.get(live.task.task_id.job)
        if job is None or not live.task.step.is_gang:
            return
        for member in job.get_step(live.task).tasks:
            if member is not live.task and member.run == live.run:
                self.stop(member)

    def note_run(self, link: WorkerLink, row: RunRow) -> None:
        """Update a run's progress; adopt or stop a run that is not tracked yet."""
        live = link.live.get(row.task)
        if live is None or live.run != row.run:
            self._note_found(link, row)
            return
        task = live.task
        if live.accepted_ms is None and not live.is_stop_wanted:
            live.accepted_ms = self._clock.monotonic_ms()
            self.note_started(link, live)
        if task.run != row.run:
            return
        if row.percent != task.percent:
            task.progress_ms = self._clock.monotonic_ms()
        task.percent = row.percent
        task.figure = row.figure
        task.checkpoint = row.checkpoint or task.checkpoint

    def _note_found(self, link: WorkerLink, row: RunRow) -> None:
        job = self._table.jobs.get(row.task.job)
        task = job.get_task(row.task) if job and job.spec.steps else None
        if job is None or task is None or row.task in link.live:
            # The run's size is not known, so the worker gets no work until it is gone.
            link.note_unknown_run(row)
            return
        now_ms = self._clock.monotonic_ms()
        if job.phase.is_final or task.phase is not TaskPhase.WAITING:
            # The run is not wanted, but holds capacity until it is gone.
            task = Task(row.task, task.step)
            link.add_live(LiveRun(task, row.run, accepted_ms=now_ms))
            link.stop(row.task, row.run)
            return
        task.phase = TaskPhase.RUNNING
        task.run = row.run
        task.worker_id = link.worker_id
        task.percent = row.percent
        task.started_ms = task.progress_ms = now_ms
        link.add_live(LiveRun(task, row.run, accepted_ms=now_ms))
        self._note_given(job, link.worker_id)
        job.begin()
        log.info("run adopted", task=row.task, run=row.run, worker=link.worker_id)

    def note_end(self, link: WorkerLink, row: EndRow) -> None:
        """Apply the end of a run to its job, and write the job's progress."""
        live = link.live.get(row.task)
        if live is not None and live.run == row.run:
            link.drop_live(live)
        self.changed.set()
        job = self._table.jobs.get(row.task.job)
        task = job.get_task(row.task) if job and job.spec.steps else None
        if row.how == "failed":
            link.failures_in_row += 1
            if link.failures_in_row >= FAILURES_TO_HOLD_OUT:
                link.hold_out(HOLD_OUT_MS)
                log.warning("worker quarantined", worker=link.worker_id)
        elif row.how == "done":
            link.failures_in_row = 0
        if job is None or task is None or job.phase.is_final:
            return
        self._fold_end(link, row, job, task)
        self._forget_given(job, link.worker_id)
        if job.phase.is_final:
            self._table.note_end(job)
            self.stop_job(job)
        else:
            self._table.note_progress(job)

    def _fold_end(self, link: WorkerLink, row: EndRow, job: Job, task: Task) -> None:
        is_current = task.worker_id == link.worker_id and task.run == row.run
        job.begin()
        if row.how == "done" and not task.step.is_lasting:
            if is_current:
                actual_ms = self._clock.monotonic_ms() - task.started_ms
                declared_ms = task.step.estimated_ms
                self.estimates.note_run(job.spec.queue, declared_ms, actual_ms)
            else:
                self.stop(task)
            job.note_done(task)
            self._table.hungry[job.job_id] = job
            return
        if row.how == "failed" and row.run > task.counted_run:
            job.note_failed(task, row.run)
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
            if queue and not task.step.is_lasting and task.failures >= attempts:
                job.end(JobPhase.FAILED, self._clock.wall_ms(), "attempts_used")
                return
        if is_current:
            task.run = max(task.run, row.run)
            task.wait_again(row.checkpoint)
            self._table.hungry[job.job_id] = job

    def note_lost(self, link: WorkerLink, live: LiveRun, reason: str) -> None:
        """Return a task to waiting whose run is gone without a reported end."""
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
            task.wait_again()
        if job is not None and not job.phase.is_final:
            self._table.hungry[job.job_id] = job
            self.changed.set()
