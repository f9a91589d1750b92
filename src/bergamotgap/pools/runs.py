"""Runs of one pool's tasks: what its workers report, and which run follows."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, JobPhase, Queue, WorkerInfo
from bergamotgap.domain.job_state import Job, Task, TaskPhase
from bergamotgap.domain.pacing import FULL_PERCENT, choose_pace
from bergamotgap.domain.run_estimates import RunEstimates
from bergamotgap.domain.task_placement import rank_job
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.job_table import JobTable, LiveRuns
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.worker_link import LiveRun, WorkerLink
from bergamotgap.ports.fleet import (
    EndRow,
    OrderOutcome,
    Refused,
    RunRow,
    WorkerOrders,
)

# Runs of one owner are numbered from its term on, so that a later owner's are higher.
RUNS_PER_TERM = 1000
# A look renews the lease at this interval at least, also while the log is away.
JOURNAL_WAIT_MS = 500
# A worker that fails this many runs in a row gets no work for a time.
FAILURES_TO_HOLD_OUT = 3
HOLD_OUT_MS = 4000
# A task whose progress stands still so long, and for this share of its declared time,
# while its worker was looked at twice, is not at work.
STALL_MS = 2500
STALL_SHARE = 0.1
# The list of workers is this old at most when a pool changes its owner; also the time
# that an order takes to be answered.
SETTLE_MS = 200

log = get_logger(__name__)


@dataclass(frozen=True)
class Term:
    """One time of ownership: `token` fences, `number` counts owners of the pool.

    `is_clean` tells that the former owner was known not to act any more;
    `released_token` is that of a former owner that released the pool, or 0.
    """

    token: int
    number: int
    is_clean: bool
    released_token: int = 0


@dataclass(frozen=True)
class Confirmation:
    """When the log last confirmed this node, and whether it is away for all nodes."""

    get_confirmed_ms: Callable[[], int]
    is_outage: Callable[[], bool]


class Runs:
    """Own the links to a pool's workers and fold their reports into its jobs."""

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
        self._confirmation = confirmation
        self._on_superseded = on_superseded
        self._looked_ms = clock.monotonic_ms()
        self._is_acting = True
        self._tasks: dict[str, list[asyncio.Task[None]]] = {}
        self._config: FleetConfig | None = None
        self._queues: dict[str, Queue] = {}
        self.links: dict[str, WorkerLink] = {}
        self.changed = asyncio.Event()
        self.estimates = RunEstimates()
        self.started_ms = clock.monotonic_ms()
        self._restored = set(table.hungry)
        # Workers that may run what a former owner started there.
        self._unseen = set(table.used_workers)
        if term.released_token and term.released_token == table.released.token:
            # The former owner wrote which jobs have runs on which worker.
            jobs = table.released.jobs_of_worker
            self._unseen &= set(jobs)
            self._restored &= {job for ids in jobs.values() for job in ids}

    async def close(self) -> None:
        """Stop all orders and looks."""
        tasks = [task for pair in self._tasks.values() for task in pair]
        await cancel_tasks(tasks)

    def get_queue(self, job: Job) -> Queue | None:
        """Return the queue of a job, if it is configured."""
        return self._queues.get(job.spec.queue)

    def rank(self, job: Job, now_ms: int) -> tuple[int, int, float]:
        """Return the job's place in the order of placement; least goes first."""
        ratio = self.estimates.get_ratio(job.spec.queue)
        return rank_job(job, self.get_queue(job), now_ms, ratio)

    def update_config(self, config: FleetConfig) -> None:
        """Use a newer configuration."""
        self._config = config
        self._queues = {queue.name: queue for queue in config.queues}
        self.changed.set()

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Take over the list of the pool's workers."""
        for worker_id, info in workers.items():
            link = self.links.get(worker_id)
            if link is not None and link.info.born_ms != info.born_ms:
                link.begin_life(info)
            if link is None:
                self._add_link(info)
                continue
            if link.info.state is not info.state:
                log.info("worker state", worker=worker_id, state=info.state.value)
            link.info = link.room.info = info
            link.is_listed = True
        for link in self.links.values():
            if link.worker_id not in workers and link.is_listed:
                log.info("worker gone", worker=link.worker_id, runs=len(link.live))
                link.is_listed = False
                link.wake()
        self.changed.set()

    def _add_link(self, info: WorkerInfo) -> None:
        link = WorkerLink(
            info, self._term.token, self._orders, self, self._settings, self._clock
        )
        self.links[info.worker_id] = link
        self._tasks[info.worker_id] = [
            asyncio.create_task(supervise(f"orders {info.worker_id}", link.run_orders)),
            asyncio.create_task(supervise(f"looks {info.worker_id}", link.run_looks)),
        ]
        log.info("worker found", worker=info.worker_id, host=info.host, rack=info.rack)

    async def drop_links(self) -> None:
        """Close the links to workers that left and hold nothing."""
        for link in [link for link in self.links.values() if link.is_over]:
            del self.links[link.worker_id]
            self._table.note_worker(link.worker_id, is_used=False)
            await cancel_tasks(self._tasks.pop(link.worker_id))

    def is_confirmed(self) -> bool:
        """Tell whether the log confirmed this owner a short time ago."""
        return self._measure_doubt_ms() < self._settings.confirm_ms

    def may_renew(self) -> bool:
        """Tell whether leases may be renewed.

        A successor waits two leases for workers that it can't reach, so an owner that
        alone has lost the log renews no longer than one lease.
        """
        is_recent = self._measure_doubt_ms() < self._settings.run_lease_ms
        return is_recent or self._confirmation.is_outage()

    def _measure_doubt_ms(self) -> int:
        confirmed_ms = max(
            self._confirmation.get_confirmed_ms(), self._journal.confirmed_ms
        )
        return self._clock.monotonic_ms() - confirmed_ms

    def may_act(self) -> bool:
        """Tell whether no successor can have begun to act.

        Without the log, an owner acts while most of the pool's workers take its token:
        a successor starts nothing before it has looked at most of them.
        """
        may_act = self.is_confirmed() or (self.may_renew() and self._has_majority())
        if may_act is not self._is_acting:
            self._is_acting = may_act
            log.warning("owner acts" if may_act else "owner waits", **self._count())
        return may_act

    def _has_majority(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        listed = [link for link in self.links.values() if link.is_listed]
        heard = [
            link
            for link in listed
            if link.has_looked and now_ms - link.answered_ms < self._settings.confirm_ms
        ]
        return 2 * len(heard) > len(listed)

    def _count(self) -> dict[str, int]:
        return {"workers": len(self.links), "confirmed": int(self.is_confirmed())}

    def is_settled(self, job: Job) -> bool:
        """Tell whether no unseen run of a restored job can be at work.

        A former owner's runs are known once each worker was looked at, or most were and
        the others' leases have ended by the slowest clock. It starts no more once it
        has had the time to hear of that.
        """
        if job.job_id not in self._restored:
            return True
        now_ms = self._clock.monotonic_ms()
        listed = [link for link in self.links.values() if link.is_listed]
        looked = [link for link in listed if link.has_looked]
        wait_ms = 0 if self._term.is_clean else self._settings.confirm_ms + SETTLE_MS
        if listed and 2 * len(looked) <= len(listed):
            self._looked_ms = now_ms
        if now_ms < self._looked_ms + max(wait_ms, SETTLE_MS):
            return False
        limit_ms = self.started_ms + 2 * self._settings.run_lease_ms
        if not self._unseen or now_ms >= limit_ms:
            log.info("settled", restored=len(self._restored), unseen=len(self._unseen))
            self._restored.clear()
            return True
        return False

    def stop_stalled(self) -> None:
        """Stop tasks that stand still while their worker answers."""
        now_ms = self._clock.monotonic_ms()
        for link in list(self.links.values()):
            for live in list(link.live.values()):
                task = live.task
                if not self._is_stalled(link, task, now_ms):
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

    def _is_stalled(self, link: WorkerLink, task: Task, now_ms: int) -> bool:
        if task.phase is not TaskPhase.RUNNING or task.step.is_lasting:
            return False
        # A percent of a long task takes long; a gang waits for its members.
        ratio = self.estimates.get_ratio(self._table.jobs[task.task_id.job].spec.queue)
        patience_ms = max(STALL_MS, STALL_SHARE * task.step.estimated_ms * ratio)
        has_answered = link.answered_ms - task.progress_ms >= patience_ms
        return has_answered and not task.step.is_gang and task.percent < FULL_PERCENT

    def save_live(self) -> None:
        """Write which jobs may have runs on which worker."""
        jobs_of_worker = {
            link.worker_id: sorted({task_id.job for task_id in link.live})
            for link in self.links.values()
            if link.live
        }
        # A former owner's runs on workers that were not seen yet are not known.
        for worker_id in self._unseen:
            jobs_of_worker[worker_id] = sorted(self._restored)
        self._table.note_live(LiveRuns(self._term.token, jobs_of_worker))

    def choose_run(self, task: Task) -> int:
        """Return the number of a task's next run."""
        first = (self._term.number - 1) * RUNS_PER_TERM + 1
        return max(task.run + 1, task.counted_run + 1, first)

    def start(self, task: Task, link: WorkerLink, run: int, ticket: str = "") -> None:
        """Order a run of a task."""
        job = self._table.jobs[task.task_id.job]
        task.phase = TaskPhase.STARTING
        task.run = run
        task.worker_id = link.worker_id
        task.percent = 0
        task.started_ms = task.progress_ms = self._clock.monotonic_ms()
        link.start(task, run, job.spec.payload, ticket)

    def stop(self, task: Task) -> None:
        """Order the end of a task's run."""
        link = self.links.get(task.worker_id)
        if link is not None and task.is_active:
            task.phase = TaskPhase.UNCERTAIN
            link.stop(task.task_id, task.run)

    def stop_job(self, job: Job) -> None:
        """Order the end of all runs of a job."""
        for task in job.list_tasks():
            self.stop(task)

    def note_superseded(self, source: str) -> None:
        """Stop owning the pool."""
        self._on_superseded(source)

    async def wait_for_journal(self) -> bool:
        """Wait until what was heard lasts, for a bounded time; tell if it does."""
        change = self._journal.requested
        if self._journal.is_committed(change):
            return True
        try:
            async with asyncio.timeout(JOURNAL_WAIT_MS / 1000):
                await self._journal.wait(change)
        except TimeoutError:
            return False
        return True

    def note_first_look(self, link: WorkerLink) -> None:
        """Use the worker from now on."""
        self._unseen.discard(link.worker_id)
        link.used_change = self._table.note_worker(link.worker_id, is_used=True)
        self.changed.set()

    def note_looked(self, link: WorkerLink) -> None:
        """Pace the fillers by the worst tail of the tasks that serve beside them."""
        tasks = [live.task for live in link.live.values() if not live.is_stop_sent]
        fillers = [task for task in tasks if task.step.is_filler]
        if not fillers:
            return
        ratio = max(
            (
                task.figure / task.step.target_ms
                for task in tasks
                if task.step.target_ms and not task.step.is_filler
            ),
            default=0.0,
        )
        for task in fillers:
            percent = choose_pace(task.pace, ratio)
            if percent != task.pace and task.phase is TaskPhase.RUNNING:
                log.info(
                    "paced",
                    task=task.task_id,
                    worker=link.worker_id,
                    ratio=round(ratio, 2),
                    percent=percent,
                )
                link.pace(task, percent)

    def list_usable(self, now_ms: int) -> list[WorkerLink]:
        """Return the workers that may get new work.

        That a worker is used lasts first, so that a successor knows where runs may be;
        while the log is away this is left out, since nobody can succeed.
        """
        return [
            link
            for link in self.links.values()
            if link.is_usable(now_ms)
            and (
                self._journal.is_committed(link.used_change) or self._journal.is_failing
            )
        ]

    def note_started(self, link: WorkerLink, live: LiveRun) -> None:
        """Count the job as running."""
        task = live.task
        if task.run == live.run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            self._mark_running(self._table.jobs[task.task_id.job])

    def _mark_running(self, job: Job) -> None:
        if job.phase is JobPhase.QUEUED:
            job.phase = JobPhase.RUNNING

    def note_not_started(
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
        self._requeue(live)

    def note_unknown(self, link: WorkerLink, live: LiveRun) -> None:
        """Bar a run whose start got no answer."""
        log.info(
            "start unanswered",
            task=live.task.task_id,
            run=live.run,
            worker=link.worker_id,
        )
        if live.task.run == live.run:
            live.task.phase = TaskPhase.UNCERTAIN
        link.stop(live.task.task_id, live.run)

    def note_run(self, link: WorkerLink, row: RunRow) -> None:
        """Take over progress; adopt or stop a run that was not known."""
        live = link.live.get(row.task)
        if live is None or live.run != row.run:
            self._note_found(link, row)
            return
        task = live.task
        if live.accepted_ms is None and not live.is_stop_sent:
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
            # Its size is not known here, so the worker gets no work until it is gone.
            link.note_unknown_run(row)
            return
        now_ms = self._clock.monotonic_ms()
        if job.phase.is_final or task.phase is not TaskPhase.WAITING:
            # It is not wanted, yet it holds room until it is gone.
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
        self._mark_running(job)
        log.info("run adopted", task=row.task, run=row.run, worker=link.worker_id)

    def note_end(self, link: WorkerLink, row: EndRow) -> None:
        """Fold one end into its job."""
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
                log.warning(
                    "worker held out",
                    worker=link.worker_id,
                    failures=link.failures_in_row,
                )
        elif row.how == "done":
            link.failures_in_row = 0
        if job is None or task is None or job.phase.is_final:
            return
        self._fold_end(link, row, job, task)
        if job.phase.is_final:
            self._table.note_end(job)
            self.stop_job(job)
        else:
            self._table.note_progress(job)

    def _fold_end(self, link: WorkerLink, row: EndRow, job: Job, task: Task) -> None:
        is_current = task.worker_id == link.worker_id and task.run == row.run
        self._mark_running(job)
        if row.how == "done" and not task.step.is_lasting:
            if is_current:
                now_ms = self._clock.monotonic_ms()
                actual_ms = now_ms - task.started_ms
                declared_ms = task.step.estimated_ms
                self.estimates.note_run(job.spec.queue, declared_ms, actual_ms)
            else:
                self.stop(task)
            job.note_done(task)
            self._table.hungry[job.job_id] = job
            return
        if row.how == "failed" and row.run > task.counted_run:
            task.counted_run = row.run
            task.failures += 1
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
            task.wait_again(self._clock.monotonic_ms(), row.checkpoint)
            self._table.hungry[job.job_id] = job

    def note_lost(self, link: WorkerLink, live: LiveRun, reason: str) -> None:
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
            task.wait_again(self._clock.monotonic_ms())
        if job is not None and not job.phase.is_final:
            self._table.hungry[job.job_id] = job
            self.changed.set()
