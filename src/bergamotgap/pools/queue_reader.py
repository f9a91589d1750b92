"""Reads what runs and waits in a pool, for the check of new jobs."""

import dataclasses

from bergamotgap.domain.amounts import NOTHING, Amount, measure_work
from bergamotgap.domain.customer_shares import EXCESS, ShareUse, classify_work
from bergamotgap.domain.early_refusal import QueuedJob
from bergamotgap.domain.fleet import Queue, Size, sum_sizes
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_placement import LATE, LATE_FACTOR, TOO_LATE, JobRank
from bergamotgap.pools.customer_accounts import CustomerAccounts
from bergamotgap.pools.customer_usage import CustomerUsage
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.worker_link import WorkerLink


class QueueReader:
    """Describe the runs and the waiting jobs of a pool by their expected times."""

    def __init__(
        self,
        job_table: JobTable,
        run_tracker: RunTracker,
        customer_accounts: CustomerAccounts,
        customer_usage: CustomerUsage,
    ) -> None:
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._customer_accounts = customer_accounts
        self._customer_usage = customer_usage

    def measure_runs(
        self, links: list[WorkerLink], now_ms: int
    ) -> tuple[list[tuple[float, Size]], Size]:
        """Return the time left of each run, and what long-running tasks hold."""
        runs, held = [], list[Size]()
        for link in links:
            for live in link.runs.values():
                job = self._job_table.jobs.get(live.task.task_id.job)
                step = live.task.step
                if step.is_long_running:
                    held.append(step.size)
                elif job is not None and not live.is_stop_requested:
                    left_ms = self._run_tracker.run_times.expect_task_rest(
                        job.spec.queue, live.task, now_ms
                    )
                    runs.append((left_ms, step.size))
        return runs, sum_sizes(*held)

    def list_waiting(
        self, now_ms: int, use: ShareUse | None
    ) -> tuple[list[QueuedJob], list[QueuedJob]]:
        """Return the waiting work that may start, and what caps hold back.

        Work beyond a cap leaves room idle, so it must not delay other customers.
        """
        pending = self._job_table.pending.values()
        startable = self._customer_usage.limit_demand(pending)
        startable_ids = {job.job_id for job in startable.jobs}
        waiting, held_back = [], []
        for job in pending:
            described = self._describe_waiting_job(job, now_ms, use)
            if described is None:
                continue
            if job.job_id not in startable_ids:
                held_back.append(described)
                continue
            tasks = startable.tasks.get(job.job_id)
            share = (
                1.0
                if tasks is None
                else tasks / sum(step.waiting_tasks for step in job.list_ready_steps())
            )
            if share < 1:
                may_start = described.work.scale(share)
                rest = described.work - may_start
                held_back.append(dataclasses.replace(described, work=rest))
                described = dataclasses.replace(described, work=may_start)
            waiting.append(described)
        return waiting, held_back

    def _describe_waiting_job(
        self, job: Job, now_ms: int, use: ShareUse | None
    ) -> QueuedJob | None:
        """Return a pending job; None if it holds up no other for a known time.

        Suspected tasks wait for a worker of their own, whatever room there is.
        """
        queue = self._run_tracker.queues.get(job)
        if queue is None or job.is_long_running:
            return None
        rank = self._run_tracker.rank_job(job, now_ms)
        if rank[0] == TOO_LATE:
            return None
        work = NOTHING
        for step in job.list_ready_steps():
            if step.has_suspects:
                continue
            run_ms = self._run_tracker.estimates.expect_ms(job.spec.queue, step.spec)
            work += measure_work(step.spec.size, run_ms, step.waiting_tasks)
        if not work.has_shortage():
            return None
        return self.describe_job(job, queue, rank, work, now_ms, use)

    def describe_job(
        self,
        job: Job,
        queue: Queue,
        rank: JobRank,
        work: Amount,
        now_ms: int,
        use: ShareUse | None,
    ) -> QueuedJob:
        """Return a job that is not too late, with its place in the queue."""
        path = self._run_tracker.run_times.expect_path(job)
        objective_ms = queue.stretch * path.total_ms + queue.target_latency_ms
        passed_ms = now_ms - job.arrived_ms
        customer = job.spec.customer
        is_new = job.job_id not in self._job_table.jobs
        work_class = rank[0] if use is None else classify_work(job, rank)
        if use and is_new and self._customer_accounts.would_exceed(job.spec):
            work_class = EXCESS
        return QueuedJob(
            customer,
            work,
            work_class,
            use is not None and use.is_over_share(customer),
            rank,
            (LATE, queue.urgency, False, path.remaining_ms),
            objective_ms - passed_ms,
            LATE_FACTOR * objective_ms - passed_ms,
        )
