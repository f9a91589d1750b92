"""Owner of one pool: accepts its jobs and places their tasks on its workers."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Any, Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, JobPhase, JobSpec, WorkerInfo
from bergamotgap.domain.job_memory import HeldJobs
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.placement_explanation import PlacementExplanation
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.admission_check import AdmissionCheck
from bergamotgap.pools.crash_watch import CrashWatch
from bergamotgap.pools.customer_accounts import CustomerAccounts
from bergamotgap.pools.customer_usage import CustomerUsage
from bergamotgap.pools.job_table import (
    JobTable,
    QueueNotHeld,
    Stored,
    SubmitOutcome,
)
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.memory_check import build_memory_check
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.placement_explainer import PoolParts, explain_placement
from bergamotgap.pools.pool_demand import measure_demand
from bergamotgap.pools.queue_holdings import QueueHoldings
from bergamotgap.pools.run_audit import RunAudit
from bergamotgap.pools.run_time_store import RunTimeStore
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.stalled_runs import stop_stalled_runs
from bergamotgap.pools.stop_lines import StopReason
from bergamotgap.pools.task_placer import TaskPlacer
from bergamotgap.pools.ticket_cache import TicketCache
from bergamotgap.pools.worker_drains import WorkerDrains
from bergamotgap.ports.fleet import (
    AdviceService,
    Fence,
    KeyedRecord,
    Store,
    StoreError,
    WorkerOrders,
)
from bergamotgap.ports.pool_peer import (
    DemandReply,
    DrainReply,
    MaintenanceCall,
    MaintenanceReply,
)

HOUSEKEEPING_INTERVAL_MS = 200
# Gap between placement passes, so that events close together share one pass.
MIN_PASS_GAP_MS = 5
# Pause after a placement pass as a multiple of its duration. Passes thus take a fifth
# of the processor at most and leave the rest to requests and polls.
PASS_REST_FACTOR = 4
# How long late work is not placed after a request to yield; longer than the interval
# between such requests.
YIELD_DURATION_MS = 400

log = get_logger(__name__)


class Pool:
    """Own one pool during one term; stops at once when there is a newer owner.

    `measure_jobs` returns the memory that the jobs of all pools of this process take,
    and those of a customer among them.
    """

    def __init__(
        self,
        name: str,
        term: Term,
        store: Store,
        partition: tuple[str, int],
        orders: WorkerOrders,
        settings: PoolSettings,
        clock: Clock,
        confirmation: LogConfirmation,
        on_superseded: Callable[[str], None],
        advice: AdviceService | None = None,
        call_owner: CallOwner | None = None,
        measure_jobs: Callable[[str], HeldJobs] | None = None,
    ) -> None:
        self.name = name
        self.term = term
        self._store = store
        self._topic, self._part = partition
        self._orders = orders
        self._advice = advice
        self._settings = settings
        self._clock = clock
        self._is_active = True
        self._confirmation = confirmation
        self._on_superseded = on_superseded
        self._tasks: list[asyncio.Task[None]] = []
        producer = f"pool/{name}"
        self._fence = Fence(producer, term.token, 0)
        fence = Fence(producer, term.token, 1)
        self.journal = Journal(
            store,
            self._topic,
            self._part,
            fence,
            clock,
            self._handle_fenced,
            settings.record_limits,
        )
        self.job_table = JobTable(name, self.journal, clock, settings.job_retention_ms)
        self.journal.on_rejected = self.job_table.handle_rejected_record
        self.job_table.on_job_rejected = self._reject_job
        self.job_table.check_memory = build_memory_check(
            name,
            measure_jobs or self.job_table.measure_held,
            settings.client_budget.job_bytes,
        )
        self.customer_accounts = CustomerAccounts(
            name, self.job_table, settings.share_window_ms, clock
        )
        self.job_table.mark_excess = self.customer_accounts.mark_excess
        self.queue_holdings = QueueHoldings(
            name, self.job_table, self.journal, call_owner, clock
        )
        self.crash_watch = CrashWatch(name, self.job_table, clock, self._give_up_job)

    async def __aenter__(self) -> Self:
        """Fence former owners, restore the jobs and start; raises StoreError."""
        owner_record = KeyedRecord(f"{self.name}/owner", str(self.term.token).encode())
        await self._store.append(
            self._topic, self._part, [owner_record], fence=self._fence
        )
        newest = await self._store.read_newest_values(self._topic, self._part)
        open_jobs = self.job_table.restore(newest.values)
        self.queue_holdings.restore(newest.values)
        self.customer_accounts.restore()
        self.crash_watch.watch_inherited_runs()
        self.journal.last_append_ms = self._clock.monotonic_ms()
        self.run_tracker = RunTracker(
            self.term,
            self.job_table,
            self.journal,
            self._orders,
            self._settings,
            self._clock,
            self._confirmation,
            self._handle_superseded,
            self.crash_watch,
        )
        self.run_audit = RunAudit(
            self.name,
            self.job_table,
            self.run_tracker.links,
            self.run_tracker.possible_runs,
            self._clock,
        )
        self._build_parts(newest.values)
        self._tasks = [
            asyncio.create_task(supervise(f"journal {self.name}", self.journal.run)),
            asyncio.create_task(
                supervise(f"placing {self.name}", self._run_placement_passes)
            ),
            asyncio.create_task(
                supervise(f"ticks {self.name}", self._run_housekeeping)
            ),
            asyncio.create_task(
                supervise(f"queues {self.name}", self.queue_holdings.run)
            ),
        ]
        log.info(
            "pool gained",
            pool=self.name,
            token=self.term.token,
            term=self.term.number,
            open_jobs=open_jobs,
        )
        self.run_tracker.ownership.log_assumptions(self.name)
        return self

    def _build_parts(self, values: Mapping[str, bytes]) -> None:
        """Build what works on the restored jobs and on the links to the workers."""
        self.customer_usage = CustomerUsage(
            self.name, self.job_table, self.run_tracker, self._clock
        )
        self.admission_check = AdmissionCheck(
            self.name,
            self.job_table,
            self.run_tracker,
            self.customer_accounts,
            self.customer_usage,
            self._settings,
            self._clock,
        )
        self.job_table.check_admission = self.admission_check.check
        self._run_time_store = RunTimeStore(
            self.name, self.run_tracker.estimates, self.journal, self._clock
        )
        self._run_time_store.restore(values)
        self.job_table.estimate_work = self.run_tracker.run_times.estimate_work
        self.job_table.on_job_accepted = self.run_tracker.placement_needed.set
        self._ticket_cache = TicketCache(
            self._advice, self._clock, self.run_tracker.placement_needed.set
        )
        self._task_placer = TaskPlacer(
            self.name,
            self.job_table,
            self.run_tracker,
            self._ticket_cache,
            self.crash_watch,
            self.customer_accounts,
            self._clock,
            self.customer_usage,
        )
        self.job_table.on_job_ended = self._task_placer.forget_job
        self._drains = WorkerDrains(
            self.job_table,
            self.run_tracker,
            self._ticket_cache,
            self._task_placer.trial_workers,
            self.customer_usage,
            self._settings,
            self._clock,
        )

    async def __aexit__(self, *exception: object) -> None:
        """Stop managing the pool; running tasks keep their leases."""
        self._is_active = False
        await cancel_tasks(self._tasks)
        await self.job_table.close()
        await self._ticket_cache.close()
        await self.run_tracker.close()
        log.info("pool lost", pool=self.name, token=self.term.token)

    def _handle_fenced(self) -> None:
        self._handle_superseded("log")

    def _handle_superseded(self, source: str) -> None:
        if self._is_active:
            self._is_active = False
            log.warning("superseded", pool=self.name, source=source)
            self._on_superseded(self.name)

    def stop_placement(self) -> None:
        """Start no more tasks."""
        self._is_active = False

    def resume_placement(self) -> None:
        """Start tasks again after a hand-over that did not take place."""
        self._is_active = True
        self.run_tracker.placement_needed.set()

    async def submit(self, spec: JobSpec) -> SubmitOutcome:
        """Accept a job; return once it is durable, or at once if the log is lost."""
        if spec.job_id not in self.job_table.jobs:
            if not self.queue_holdings.holds(spec.queue):
                return QueueNotHeld()
            if self.queue_holdings.is_elsewhere(spec.queue, spec.job_id):
                return Stored(is_new=False)
            spec = self.run_tracker.queues.add_terms(spec)
        return await self.job_table.submit(spec)

    def explain(self, spec: JobSpec) -> PlacementExplanation:
        """Return what would become of a job if it were submitted now."""
        parts = PoolParts(
            self.name,
            self.job_table,
            self.run_tracker,
            self.customer_accounts,
            self.customer_usage,
            self.admission_check,
            self.crash_watch,
            self._task_placer,
            self._clock,
        )
        is_log_lost = self.journal.is_failing
        return explain_placement(parts, spec, is_log_lost, self._is_active)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it exists, once its end is durable."""
        job = self.job_table.jobs.get(job_id)
        if job is None:
            return False
        if not job.phase.is_final:
            self.run_tracker.stop_job_runs(job, StopReason.CANCELLED)
            self.job_table.end_job(job, JobPhase.CANCELLED, "cancelled")
        await self.job_table.wait_for_durable_end(job)
        return True

    def _give_up_job(self, job: Job) -> None:
        self._fail_job(job, StopReason.CRASHES_WORKERS)

    def _reject_job(self, job: Job) -> None:
        self._fail_job(job, StopReason.RECORD_REJECTED)

    def _fail_job(self, job: Job, reason: StopReason) -> None:
        self.run_tracker.stop_job_runs(job, reason)
        self.job_table.end_job(job, JobPhase.FAILED, reason)

    async def confirm_ownership(self) -> bool:
        """Return whether the log shows no newer owner, as of this call."""
        try:
            newest = await self._store.read_newest_values(self._topic, self._part)
        except StoreError as error:
            log.warning("ownership not confirmed", pool=self.name, error=str(error))
            return False
        owner_record = newest.values.get(f"{self.name}/owner", b"")
        return owner_record == str(self.term.token).encode()

    def update_config(self, config: FleetConfig) -> None:
        """Apply a newer configuration."""
        self.queue_holdings.update_config(config)
        self.customer_usage.update_config(config)
        self.customer_accounts.update_customers(config.customers)
        self.run_tracker.update_config(config)

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Apply the current list of the pool's workers."""
        self._ticket_cache.update_workers(workers)
        self.run_tracker.update_workers(workers)
        self._drains.apply_notice()

    async def _run_housekeeping(self) -> None:
        while True:
            await self._clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
            await self.run_tracker.close_removable_links()
            self.crash_watch.resolve_losses()
            self._drains.apply_notice()
            if self.run_tracker.ownership.may_act():
                stop_stalled_runs(self.run_tracker, self.job_table, self._clock)
            self.run_tracker.run_times.update(self.run_tracker.links.values())
            self._run_time_store.write_changes()
            self.run_audit.check_if_due()
            self.job_table.delete_expired_jobs()
            self.run_tracker.placement_needed.set()

    async def _run_placement_passes(self) -> None:
        while True:
            await self.run_tracker.placement_needed.wait()
            self.run_tracker.placement_needed.clear()
            started_ms = self._clock.monotonic_ms()
            if self._is_active and self.run_tracker.ownership.may_act():
                self._task_placer.place_waiting_tasks()
            took_ms = self._clock.monotonic_ms() - started_ms
            await self._clock.sleep_ms(max(MIN_PASS_GAP_MS, PASS_REST_FACTOR * took_ms))

    def drain_worker(
        self,
        worker_id: str,
        may_stop: bool,
        stops_late: bool = False,
        absent: Collection[str] = (),
        host: str = "",
    ) -> DrainReply:
        """Drain a worker as far as its tasks allow; reply whether it is empty.

        `may_stop` permits stopping long-running tasks within the limit of their step.
        `stops_late` stops runs of jobs that can't be on time; they start again
        elsewhere. With neither, only an empty worker is drained. The hosts in `absent`
        are not up. An unknown worker is looked for by its `host`.
        """
        return self._drains.drain(worker_id, may_stop, stops_late, absent, host)

    def prepare_maintenance(self, call: MaintenanceCall) -> MaintenanceReply:
        """Prepare hosts for their maintenance; reply what their workers run."""
        return self._drains.prepare(call)

    def measure_demand(
        self, must_yield: bool, has_spare_host: bool = False
    ) -> DemandReply:
        """Return what the pool needs and can give away.

        With `must_yield` no late work is started for a while, so that workers become
        idle. With `has_spare_host`, new long-running tasks leave room to short work.
        """
        now_ms = self._clock.monotonic_ms()
        if must_yield:
            self._task_placer.late_work_paused_until_ms = now_ms + YIELD_DURATION_MS
        work = self.customer_usage.limit_demand(self.job_table.pending.values())
        reply = measure_demand(self.job_table, self.run_tracker, now_ms, work)
        if has_spare_host:
            self._task_placer.lasting_room.update(
                reply, self._settings.move_duration_ms, now_ms
            )
        return reply

    def dump(self) -> dict[str, Any]:
        """Return the pool's state for a state dump."""
        return {
            "pool": self.name,
            "token": self.term.token,
            "jobs": self.job_table.count_jobs_by_phase(),
            "workers": {
                link.worker_id: {
                    "runs": len(link.runs),
                    "free_cpu": link.capacity.free_cpu,
                    "listed": link.is_listed,
                    "looked": link.was_polled,
                }
                for link in self.run_tracker.links.values()
            },
        }
