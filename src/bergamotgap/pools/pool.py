"""The owner of one pool: accepts its jobs and places their tasks on its workers."""

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Self

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig, JobPhase, JobSpec, WorkerInfo
from bergamotgap.domain.job_state import Job, Task, TaskPhase
from bergamotgap.domain.pool_sizes import IdleHost, estimate_offered_load
from bergamotgap.domain.task_placement import LATE, ON_TIME
from bergamotgap.node.supervision import supervise
from bergamotgap.pools.job_table import JobTable, SubmitOutcome
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.ownership_guard import LogConfirmation, Term
from bergamotgap.pools.run_tracker import RunTracker
from bergamotgap.pools.settings import PoolSettings
from bergamotgap.pools.task_placer import TaskPlacer
from bergamotgap.pools.ticket_cache import TicketCache
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.fleet import (
    AdviceService,
    Fence,
    KeyedRecord,
    Store,
    StoreError,
    WorkerOrders,
)
from bergamotgap.ports.pool_peer import DemandReply, DrainReply

HOUSEKEEPING_INTERVAL_MS = 200
# Placements of the same moment are decided in one pass.
MIN_PASS_GAP_MS = 5
# Passes take a fifth of the processor at most, so that requests and looks are answered.
PASS_REST_FACTOR = 4
# The report of a worker that was moved away stays listed for three heartbeats; so long
# and some rounds more a worker that was given away gets no work.
EXPIRY_HEARTBEATS = 3
DRAIN_MARGIN_MS = 1000
# A task holds its room about this long at least, orders and looks included; lasting
# tasks declare no time.
MIN_RUN_ESTIMATE_MS = 300
# By then a new owner has looked at each worker that answers, and once more.
FIRST_POLLS_MS = 1300
# Work that earns nothing any more asks for little, so that it ends some time.
WORTHLESS_SHARE = 0.1
# Longer than the interval at which demand is read.
YIELD_DURATION_MS = 400

log = get_logger(__name__)


class Pool:
    """Own one pool during one term; leaves everything to a newer owner at once."""

    def __init__(
        self,
        service: str,
        term: Term,
        store: Store,
        partition: tuple[str, int],
        orders: WorkerOrders,
        settings: PoolSettings,
        clock: Clock,
        confirmation: LogConfirmation,
        on_superseded: Callable[[str], None],
        advice: AdviceService | None = None,
    ) -> None:
        self.name = service
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
        producer = f"pool/{service}"
        self._fence = Fence(producer, term.token, 0)
        fence = Fence(producer, term.token, 1)
        self.journal = Journal(
            store, self._topic, self._part, fence, clock, self._note_fenced
        )
        self.job_table = JobTable(
            service, self.journal, clock, settings.job_retention_ms
        )

    async def __aenter__(self) -> Self:
        """Fence former owners, fold the log and start; raises StoreError."""
        mark = KeyedRecord(f"{self.name}/owner", str(self.term.token).encode())
        await self._store.append(self._topic, self._part, [mark], fence=self._fence)
        newest = await self._store.read_newest_values(self._topic, self._part)
        open_jobs = self.job_table.restore(newest.values)
        self.journal.last_append_ms = self._clock.monotonic_ms()
        self.runs = RunTracker(
            self.term,
            self.job_table,
            self.journal,
            self._orders,
            self._settings,
            self._clock,
            self._confirmation,
            self._note_superseded,
        )
        self.job_table.on_job_accepted = self.runs.placement_needed.set
        self._desk = TicketCache(
            self._advice, self._clock, self.runs.placement_needed.set
        )
        self._placing = TaskPlacer(
            self.name, self.job_table, self.runs, self._desk, self._clock
        )
        self.job_table.on_job_ended = self._placing.forget_job
        self._tasks = [
            asyncio.create_task(supervise(f"journal {self.name}", self.journal.run)),
            asyncio.create_task(supervise(f"placing {self.name}", self._run_passes)),
            asyncio.create_task(supervise(f"ticks {self.name}", self._run_ticks)),
        ]
        log.info(
            "pool gained",
            pool=self.name,
            token=self.term.token,
            term=self.term.number,
            open_jobs=open_jobs,
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop all work on the pool; what runs keeps its lease."""
        self._is_active = False
        await cancel_tasks(self._tasks)
        await self.job_table.close()
        await self._desk.close()
        await self.runs.close()
        log.info("pool lost", pool=self.name, token=self.term.token)

    def _note_fenced(self) -> None:
        self._note_superseded("log")

    def _note_superseded(self, source: str) -> None:
        if self._is_active:
            self._is_active = False
            log.warning("superseded", pool=self.name, source=source)
            self._on_superseded(self.name)

    def stop_placement(self) -> None:
        """Start nothing more."""
        self._is_active = False

    async def submit(self, spec: JobSpec) -> SubmitOutcome:
        """Accept a job; return when it lasts or is known not to."""
        return await self.job_table.submit(spec)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job; return whether it exists, when that lasts."""
        job = self.job_table.jobs.get(job_id)
        if job is None:
            return False
        if not job.phase.is_final:
            self.runs.stop_job_runs(job)
            self.job_table.end_job(job, JobPhase.CANCELLED, "cancelled")
        await self.job_table.wait_for_durable_end(job)
        return True

    async def confirm_ownership(self) -> bool:
        """Tell whether no newer owner has appended, as of this call."""
        try:
            newest = await self._store.read_newest_values(self._topic, self._part)
        except StoreError as error:
            log.warning("owner not confirmed", pool=self.name, error=str(error))
            return False
        mark = newest.values.get(f"{self.name}/owner", b"")
        return mark == str(self.term.token).encode()

    def update_config(self, config: FleetConfig) -> None:
        """Use a newer configuration."""
        self.runs.update_config(config)

    def update_workers(self, workers: Mapping[str, WorkerInfo]) -> None:
        """Take over the list of the pool's workers."""
        self.runs.update_workers(workers)

    async def _run_ticks(self) -> None:
        while True:
            await self._clock.sleep_ms(HOUSEKEEPING_INTERVAL_MS)
            await self.runs.close_removable_links()
            if self.runs.ownership.may_act():
                self.runs.stop_stalled_runs()
            self.job_table.delete_expired_jobs()
            self.runs.placement_needed.set()

    async def _run_passes(self) -> None:
        while True:
            await self.runs.placement_needed.wait()
            self.runs.placement_needed.clear()
            began_ms = self._clock.monotonic_ms()
            if self._is_active and self.runs.ownership.may_act():
                self._placing.place_waiting_tasks()
            took_ms = self._clock.monotonic_ms() - began_ms
            await self._clock.sleep_ms(max(MIN_PASS_GAP_MS, PASS_REST_FACTOR * took_ms))

    def drain_worker(
        self, worker_id: str, may_stop: bool, stops_late: bool = False
    ) -> DrainReply:
        """Empty a worker as far as its tasks allow; tell whether it is empty.

        Without `may_stop` a worker that runs anything is left as it is. `stops_late`
        ends the runs of jobs that can't be in time, which start again elsewhere.
        """
        link = self.runs.links.get(worker_id)
        if link is None:
            # A worker that runs and is not listed yet is found within this time.
            passed_ms = self._clock.monotonic_ms() - self.runs.ownership.started_ms
            return DrainReply(passed_ms > self._settings.run_lease_ms)
        may_empty = may_stop or stops_late
        if not link.are_runs_known or (not link.is_empty and not may_empty):
            return DrainReply(False)
        now_ms = self._clock.monotonic_ms()
        link.withhold_work(
            EXPIRY_HEARTBEATS * self._settings.heartbeat_interval_ms + DRAIN_MARGIN_MS
        )
        for live in list(link.live_runs.values()):
            if live.task.step.is_long_running:
                if may_stop and self._may_stop(live.task):
                    self.runs.stop_run(live.task)
            elif stops_late and self._is_late(live.task, now_ms):
                self.runs.stop_run(live.task)
        return DrainReply(link.is_empty)

    def _may_stop(self, task: Task) -> bool:
        # A former owner's stops show as ends only after their own time and a look.
        owned_ms = self._clock.monotonic_ms() - self.runs.ownership.started_ms
        if owned_ms < self._settings.stop_timeout_ms + FIRST_POLLS_MS:
            return False
        # Reports are a look old, so a task may be at work before it is seen to be.
        others = self.job_table.jobs[task.task_id.job].get_step(task).tasks
        away = sum(not other.is_ready for other in others if other is not task)
        return away < max(1, task.step.max_unavailable)

    def measure_demand(self, must_yield: bool) -> DemandReply:
        """Return the cores that tasks ask for, and idle workers.

        Work that earns nothing any more asks for a share only. With `must_yield` no
        late work is started for a while, so that workers become idle.
        """
        now_ms = self._clock.monotonic_ms()
        if must_yield:
            self._placing.late_work_paused_until_ms = now_ms + YIELD_DURATION_MS
        links = self.runs.list_usable_links(now_ms)
        waiting_ms = late_ms = 0.0
        for job in self.job_table.pending.values():
            worth = self.runs.rank_job(job, now_ms)[0]
            if worth == ON_TIME:
                waiting_ms += self._measure_waiting(job)
            else:
                share = 1.0 if worth == LATE else WORTHLESS_SHARE
                late_ms += share * self._measure_waiting(job)
        late_runs = self._list_late_runs(links, now_ms)
        late_counts = Counter(link.worker_id for link, _ in late_runs)
        idle = tuple(
            IdleHost(
                link.info.host,
                link.worker_id,
                link.info.capacity.cpu,
                now_ms - link.idle_since_ms,
                link.info.labels,
            )
            for link in links
            if link.is_empty
        )
        return DemandReply(
            used_cpu=sum(link.capacity.used_cpu for link in links),
            waiting_ms=waiting_ms,
            offered_cpu=estimate_offered_load(self.job_table.recent_arrivals, now_ms),
            capacity_cpu=sum(link.info.capacity.cpu for link in links),
            workers=len(links),
            idle=idle,
            late_ms=late_ms,
            late_cpu=sum(live.task.step.size.cpu for _, live in late_runs),
            late=tuple(
                IdleHost(link.info.host, link.worker_id, link.info.capacity.cpu, 0)
                for link in links
                if link.live_runs and len(link.live_runs) == late_counts[link.worker_id]
            ),
            least_workers=self._count_spread(),
            labels=self._list_lacking_labels(links),
        )

    def _list_late_runs(
        self, links: list[WorkerLink], now_ms: int
    ) -> list[tuple[WorkerLink, LiveRun]]:
        """Return the runs of jobs that can't be in time any more."""
        late_jobs: dict[str, bool] = {}
        runs = []
        for link in links:
            for live in link.live_runs.values():
                job_id = live.task.task_id.job
                if job_id not in late_jobs:
                    late_jobs[job_id] = self._is_late(live.task, now_ms)
                if late_jobs[job_id]:
                    runs.append((link, live))
        return runs

    def _is_late(self, task: Task, now_ms: int) -> bool:
        job = self.job_table.jobs.get(task.task_id.job)
        if job is None or job.is_long_running:
            return False
        if job.job_id not in self.job_table.pending:
            # All its tasks are at work; what they have done since counts for it.
            starts = [one.started_ms for one in job.list_tasks() if one.is_active]
            passed_ms = now_ms - max(starts, default=now_ms)
            ratio = self.runs.estimates.get_ratio(job.spec.queue)
            now_ms -= int(min(passed_ms, job.remaining_path_ms * ratio))
        return self.runs.rank_job(job, now_ms)[0] > ON_TIME

    def _count_spread(self) -> int:
        """Return the workers that waiting lasting tasks need to be spread over."""
        return max(
            (
                math.ceil(step.spec.count / step.spec.max_per_host)
                for job in self.job_table.pending.values()
                if job.is_long_running
                for step in job.list_ready_steps()
                if step.spec.max_per_host
            ),
            default=0,
        )

    def _list_lacking_labels(self, links: list[WorkerLink]) -> tuple[str, ...]:
        """Return the labels that waiting tasks require and no worker has."""
        wanted = {
            step.spec.requirement
            for job in self.job_table.pending.values()
            for step in job.list_ready_steps()
            if step.spec.requirement
        }
        for link in links:
            wanted -= link.info.labels
        return tuple(sorted(wanted))

    def _measure_waiting(self, job: Job) -> float:
        """Return the work of a job that waits, in 1/1000 core-ms."""
        ratio = self.runs.estimates.get_ratio(job.spec.queue)
        return sum(
            task.step.size.cpu
            * max(MIN_RUN_ESTIMATE_MS, task.step.estimated_ms * ratio)
            for step in job.list_ready_steps()
            for task in step.tasks
            if task.phase is TaskPhase.WAITING
        )

    def dump(self) -> dict[str, Any]:
        """Return the pool's state for a state dump."""
        return {
            "pool": self.name,
            "token": self.term.token,
            "jobs": self.job_table.count_jobs_by_phase(),
            "workers": {
                link.worker_id: {
                    "runs": len(link.live_runs),
                    "free_cpu": link.capacity.free_cpu,
                    "listed": link.is_listed,
                    "looked": link.is_polled,
                }
                for link in self.runs.links.values()
            },
        }
