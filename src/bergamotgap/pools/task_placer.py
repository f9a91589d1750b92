"""Placement passes of a pool: which tasks start on which worker, and why jobs wait."""

from collections.abc import Mapping, Sequence

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.customer_shares import ShareUse, order_jobs
from bergamotgap.domain.free_room import FreeRoom
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.task_placement import (
    ON_TIME,
    WorkerCapacity,
    choose_task_worker,
    is_still_best_worker,
    place_gang,
)
from bergamotgap.domain.task_state import TaskPhase
from bergamotgap.pools.crash_watch import CrashWatch
from bergamotgap.pools.customer_accounts import CustomerAccounts
from bergamotgap.pools.customer_usage import CustomerUsage
from bergamotgap.pools.former_runs import FORMER_RUN, find_held_task
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.lasting_room import LastingRoom
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.ticket_cache import TicketCache
from bergamotgap.pools.trial_workers import TrialWorkers
from bergamotgap.pools.wait_reasons import OWN_HOST, WaitLog
from bergamotgap.pools.worker_link import WorkerLink

log = get_logger(__name__)


class TaskPlacer:
    """Place the waiting tasks of a pool's jobs, by the rank of the jobs."""

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        run_tracker: RunTracker,
        ticket_cache: TicketCache,
        crash_watch: CrashWatch,
        customer_accounts: CustomerAccounts,
        clock: Clock,
        customer_usage: CustomerUsage,
    ) -> None:
        self._crash_watch = crash_watch
        self._customer_usage = customer_usage
        self._customer_accounts = customer_accounts
        self._pool = pool
        self._job_table = job_table
        self._run_tracker = run_tracker
        self._ticket_cache = ticket_cache
        self._clock = clock
        self._wait_log = WaitLog(
            pool,
            run_tracker.links,
            run_tracker.possible_runs,
            run_tracker.queues,
            ticket_cache,
            clock,
        )
        # The usable workers, without those that are reserved for trials.
        self._links: dict[str, WorkerLink] = {}
        self.trial_workers = TrialWorkers(run_tracker.links, clock)
        # Jobs of the present pass with suspected tasks that wait.
        self._trial_jobs: list[Job] = []
        self._free_room = FreeRoom()
        self.lasting_room = LastingRoom()
        # What customers use, during a pass; None without customers.
        self._share_use: ShareUse | None = None
        self.late_work_paused_until_ms = 0

    def forget_job(self, job_id: str) -> None:
        """Forget the wait reason and tickets of a job that ended."""
        self._wait_log.forget_job(job_id)
        self._ticket_cache.forget_job(job_id)
        self.trial_workers.forget_job(job_id)

    def place_waiting_tasks(self) -> None:
        """Run one pass over all pending jobs and start the tasks that fit."""
        pending = self._job_table.pending
        self._trial_jobs.clear()
        self._customer_usage.begin_pass()
        self.trial_workers.begin_pass(self._job_table.jobs)
        if not pending:
            return
        now_ms, wall_ms = self._clock.monotonic_ms(), self._clock.wall_ms()
        usable = self._run_tracker.list_usable_links(now_ms)
        self._links = {link.worker_id: link for link in usable if not link.trial_job}
        self._free_room.begin_pass(link.capacity for link in self._links.values())
        ranked = [
            (self._run_tracker.rank_job(job, now_ms), job) for job in pending.values()
        ]
        self._share_use = self._customer_accounts.measure_use(
            self._run_tracker.links.values(), usable
        )
        for can_be_late, job in order_jobs(ranked, self._share_use):
            job.begin_due_occurrences(wall_ms)
            if not usable or not self._run_tracker.ownership.is_recovered(job):
                self._log_wait(job, "unsettled" if usable else "no_workers")
                continue
            if can_be_late and now_ms < self.late_work_paused_until_ms:
                self._log_wait(job, "yields")
                break
            if not self._place_job(job) and job.next_due_ms is None:
                pending.pop(job.job_id, None)
        for job in sorted(self._trial_jobs, key=_rank_trial):
            is_on_time = self._run_tracker.rank_job(job, now_ms)[0] == ON_TIME
            self._place_trial(job, usable, is_on_time)

    def _place_job(self, job: Job) -> bool:
        """Start the tasks of a job that fit; return whether any still wait."""
        still_waits, has_suspects, placed = False, False, 0
        is_on_probation = self._crash_watch.is_queue_on_probation(job.spec.queue)
        for step in job.list_ready_steps():
            if is_on_probation and not step.has_started:
                step.require_trial()
            if step.has_suspects:
                has_suspects = True
                continue
            waiting = step.waiting_tasks
            started = 0
            if waiting and self._free_room.may_hold(step.spec.size):
                started = self._place_step(job, step, waiting)
            placed += started
            if self._share_use is not None:
                self._share_use.record(job.spec.customer, step.spec.size, started)
            still_waits |= started < waiting
        if placed:
            self._log_placed(job, placed)
        if has_suspects:
            self._trial_jobs.append(job)
        elif still_waits:
            is_held = job.job_id == self.lasting_room.held_job
            reason = OWN_HOST if is_held else self._describe_lack_of_room(job)
            self._log_wait(job, self._get_wait_reason(job, reason))
        return still_waits or has_suspects

    def _place_step(self, job: Job, step: StepOccurrence, waiting: int) -> int:
        """Start the waiting tasks of a step that fit; return how many."""
        members = step.spec.count if step.spec.is_gang else 1
        if self._customer_usage.is_at_cap(job, step.spec.size, members):
            return 0
        tickets, links = self._list_allowed_links(job, step, list(self._links.values()))
        now_ms = self._clock.monotonic_ms()
        links = self.lasting_room.list_workers(job, step, waiting, links, now_ms)
        if step.spec.is_gang:
            capacities = [link.capacity for link in links]
            return self._place_gang(job, step, capacities, tickets)
        started = self._start_tasks(job, step, links, tickets)
        if step.spec.is_lasting:
            self.lasting_room.take(step.spec.size, started)
        return started

    def _start_tasks(
        self,
        job: Job,
        step: StepOccurrence,
        links: Sequence[WorkerLink],
        tickets: Mapping[str, str],
    ) -> int:
        """Start the waiting tasks of a step that fit on the links; return how many."""
        capacities = [
            link.capacity for link in links if link.has_room_for_start(job.job_id)
        ]
        now_ms = self._clock.monotonic_ms()
        started = 0
        capacity: WorkerCapacity | None = None
        for task in step.tasks:
            if not self._run_tracker.may_start(task, now_ms):
                continue
            if capacity is None or not is_still_best_worker(capacity, task):
                capacity = choose_task_worker(capacities, task)
            if capacity is None:
                if len(capacities) == len(self._links):
                    self._free_room.record_misfit(step.spec)
                break
            if not self._customer_usage.may_start(job, step.spec.size):
                break
            link = self._links[capacity.info.worker_id]
            ticket = tickets.get(link.worker_id, "")
            self._run_tracker.start_run(
                task, link, self._run_tracker.choose_run_number(task), ticket
            )
            started += 1
            if not link.has_room_for_start(job.job_id):
                capacities.remove(capacity)
                capacity = None
        return started

    def _place_trial(
        self, job: Job, usable: list[WorkerLink], is_on_time: bool
    ) -> None:
        """Start the steps with suspected tasks on workers without other starts."""
        now_ms = self._clock.monotonic_ms()
        placed = 0
        still_waits = False
        for step in job.list_ready_steps():
            tasks = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
            if not tasks or not step.has_suspects:
                continue
            due = [task for task in tasks if self._run_tracker.may_start(task, now_ms)]
            still_waits |= len(due) < len(tasks)
            tickets, links = self._list_allowed_links(job, step, usable)
            if step.spec.is_gang:
                placed += self._try_gang(job, step, links, tickets)
                continue
            for task in due:
                if not self._customer_usage.may_start(job, step.spec.size):
                    still_waits = True
                    break
                link = self.trial_workers.choose(job, task, links, is_on_time)
                if link is None:
                    still_waits = True
                    break
                run = self._run_tracker.choose_run_number(task)
                ticket = tickets.get(link.worker_id, "")
                self._run_tracker.start_run(task, link, run, ticket)
                placed += 1
        if placed:
            self.trial_workers.record_start(job)
            self._log_placed(job, placed)
        if still_waits or self._customer_usage.is_held_back(job):
            self._log_wait(job, self._get_wait_reason(job, "trial"))

    def _try_gang(
        self,
        job: Job,
        step: StepOccurrence,
        links: Sequence[WorkerLink],
        tickets: Mapping[str, str],
    ) -> int:
        candidates = self.trial_workers.choose_for_gang(job, links)
        empty = [link for link in candidates if link.is_empty]
        capacities = [link.capacity for link in candidates]
        started = self._place_gang(job, step, capacities, tickets)
        self.trial_workers.reserve_for_gang(job, [link for link in empty if link.runs])
        return started

    def _list_allowed_links(
        self, job: Job, step: StepOccurrence, links: list[WorkerLink]
    ) -> tuple[Mapping[str, str], list[WorkerLink]]:
        """Return the tickets by worker id, if needed, and the workers allowed."""
        queue = self._run_tracker.queues.get(job)
        if queue is None or not queue.needs_advice:
            return {}, links
        tickets = self._ticket_cache.get_tickets(
            step.tasks[0].task_id, [link.worker_id for link in links]
        )
        return tickets, [link for link in links if link.worker_id in tickets]

    def _place_gang(
        self,
        job: Job,
        step: StepOccurrence,
        capacities: Sequence[WorkerCapacity],
        tickets: Mapping[str, str],
    ) -> int:
        now_ms = self._clock.monotonic_ms()
        if not all(self._run_tracker.may_start(task, now_ms) for task in step.tasks):
            return 0
        placed = place_gang(capacities, step)
        if placed is None:
            return 0
        if not self._customer_usage.may_start(job, step.spec.size, len(placed)):
            return 0
        run = max(self._run_tracker.choose_run_number(task) for task in step.tasks)
        checkpoint = next((t.checkpoint for t in step.tasks if t.checkpoint), "")
        for task, capacity in placed:
            task.checkpoint = checkpoint
            link = self._run_tracker.links[capacity.info.worker_id]
            self._run_tracker.start_run(
                task, link, run, tickets.get(link.worker_id, "")
            )
        return len(placed)

    def _get_wait_reason(self, job: Job, reason: str) -> str:
        """Return why a job waits; `reason`: if no cap or former run holds it back."""
        if self._customer_usage.is_held_back(job):
            return "customer_cap"
        held = find_held_task(job, self._run_tracker.possible_runs)
        return FORMER_RUN if held is not None else reason

    def _describe_lack_of_room(self, job: Job) -> str:
        links = self._links.values()
        are_behind = not all(link.has_room_for_start(job.job_id) for link in links)
        return "orders_queued" if are_behind else "no_room"

    def _log_wait(self, job: Job, reason: str) -> None:
        self._wait_log.record(job, reason, len(self._job_table.pending))

    def _log_placed(self, job: Job, tasks: int) -> None:
        self._wait_log.forget_job(job.job_id)
        log.info(
            "job placed",
            job=job.job_id,
            pool=self._pool,
            tasks=tasks,
            age_ms=self._clock.monotonic_ms() - job.arrived_ms,
        )


def _rank_trial(job: Job) -> tuple[bool, tuple[int, int]]:
    """Return the sort key of a job with suspected tasks; the least is tried first.

    Long-running jobs go first, as in the rank. Of the others, those with the least to
    do with crashes are most likely innocent.
    """
    return not job.is_long_running, _count_crashes(job)


def _count_crashes(job: Job) -> tuple[int, int]:
    """Return the most blamed crashes, and the most crashes, of any task of a job."""
    return max(
        (task.blamed_crashes, len(task.crashed_workers)) for task in job.list_tasks()
    )
