"""Run of one owned job, from its queue to the record of its outcome."""

import asyncio
import base64
import secrets
from collections.abc import Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.outcomes import Expired
from bergamotgap.domain.records import Ended
from bergamotgap.domain.work_items import Claim, Job
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.claims import (
    MAX_OVERRUN_MS,
    UNREACHABLE_TIMEOUT_MS,
    ClaimRejectedError,
    Claims,
    WorkItem,
    WorkProgress,
    build_ended_record,
    encode_result,
)
from bergamotgap.node.dispatch import build_order
from bergamotgap.node.log_clock import LogClock
from bergamotgap.node.placement import Placer
from bergamotgap.node.streams import Stream
from bergamotgap.node.task_runs import LEASE_MS, TaskEnd, TaskRunner

# Number of attempts of an idempotent job that workers may start. Each uses another host
# if there is one.
MAX_STARTED_ATTEMPTS = 3
RETRY_DELAY_MS = 250
MAX_RETRY_DELAY_MS = 5000
# An idempotent job is run on another host if its worker can't be reached for this long.
IDEMPOTENT_UNREACHABLE_TIMEOUT_MS = 5000

log = get_logger(__name__)


class JobRunner:
    """Runs owned jobs; each call of `run` handles one job."""

    def __init__(
        self,
        work: Stream[WorkState],
        control: Callable[[], ControlState],
        placer: Placer,
        claims: Claims,
        task_runner: TaskRunner,
        log_clock: LogClock,
        clock: Clock,
    ) -> None:
        self._work = work
        self._control = control
        self._placer = placer
        self._claims = claims
        self._task_runner = task_runner
        self._log_clock = log_clock
        self._clock = clock

    async def run(self, job: Job, progress: WorkProgress) -> Ended:
        """Run a job until it ends and return its outcome record.

        The caller appends the record to the log.
        """
        retries = 0
        while True:
            claim = self._work.state.find_claim(job.key)
            if claim is not None and claim.is_outstanding:
                ended = await self._resolve_claim(job, claim, progress)
            elif progress.is_cancelled:
                ended = self._build_abandoned_record(job, progress, "cancelled", "")
            else:
                ended = await self._run_attempt(job, progress)
            if ended is not None:
                return ended
            progress.stage = "queued"
            retries += 1
            delay_ms = min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * retries)
            await self._clock.sleep_ms(delay_ms + secrets.randbelow(RETRY_DELAY_MS))

    def _find_entry(self, job: Job) -> Entry | None:
        catalogue = self._control().catalogue
        return catalogue.find_entry(job.entry) if catalogue is not None else None

    async def _run_attempt(self, job: Job, progress: WorkProgress) -> Ended | None:
        if self._control().catalogue is None:
            return None
        entry = self._find_entry(job)
        if entry is None:
            return self._build_abandoned_record(
                job, progress, "not_run", "unknown_entry"
            )
        if not entry_fits_pool(self._control(), entry):
            return self._build_abandoned_record(
                job, progress, "not_run", "does_not_fit"
            )
        deadline_at_ms = self._log_clock.to_monotonic_ms(job.deadline_at_ms)
        try:
            if entry.idempotent:
                return await self._run_idempotent(job, entry, deadline_at_ms, progress)
            return await self._run_claimed(job, entry, deadline_at_ms, progress)
        except ClaimRejectedError as error:
            log.info("claim rejected, job is retried", job=job.job, code=error.code)
        except NotAdmittedError as error:
            if isinstance(error.outcome, Expired):
                return self._build_abandoned_record(
                    job, progress, "expired", "deadline"
                )
        return None

    def _build_abandoned_record(
        self, job: Job, progress: WorkProgress, outcome: str, reason: str
    ) -> Ended:
        """Return the outcome record of a job that is abandoned between attempts.

        Outcomes that mean "never started" are used only if no attempt can have started.
        """
        entry = self._find_entry(job)
        is_claimed = entry is not None and not entry.idempotent
        may_have_run = job.may_have_run and not is_claimed
        if outcome == "cancelled":
            is_unstarted = not progress.failures and not may_have_run
            reason = "not_started" if is_unstarted else "may_have_started"
        elif progress.failures:
            outcome, reason = "failed", "; ".join([reason, *progress.failures])
        elif may_have_run:
            outcome, reason = "unknown", f"{reason}; a former owner may have started it"
        return build_ended_record_without_claim(
            job, outcome, TaskEnd("not_run"), "", "", reason
        )

    async def _run_claimed(
        self, job: Job, entry: Entry, deadline_at_ms: int, progress: WorkProgress
    ) -> Ended | None:
        work = WorkItem(
            key=job.key,
            job=job.job,
            ownership=job.ownership,
            entry=entry,
            body=base64.b64decode(job.body),
            body_sha256=job.body_sha256,
            keep_ms=job.keep_ms,
            deadline_at_ms=deadline_at_ms,
        )
        end = await self._claims.run_work(work, progress)
        assert progress.claimed is not None
        self._claims.mark_inactive(progress.claimed.task)
        if end.state == "running":
            return None
        return build_ended_record(
            end, progress.claimed, job.ownership, progress.is_cancelled
        )

    async def _resolve_claim(
        self, job: Job, claim: Claim, progress: WorkProgress
    ) -> Ended | None:
        progress.stage = "running"
        address = self._claims.find_address(claim.worker)
        progress.host = claim.worker
        progress.address, progress.task = address or "", claim.task
        overrun_limit_at_ms = job.deadline_at_ms + MAX_OVERRUN_MS
        is_overdue = self._log_clock.to_monotonic_ms(overrun_limit_at_ms) <= (
            self._clock.monotonic_ms()
        )
        if is_overdue or progress.is_cancelled:
            await self._task_runner.stop_task(progress.address, claim.task)
        renewing = asyncio.create_task(
            self._task_runner.renew_lease(progress.address, claim.task)
        )
        try:
            until_ms = self._clock.monotonic_ms() + UNREACHABLE_TIMEOUT_MS
            end = await self._claims.resolve(claim, until_ms)
        finally:
            renewing.cancel()
        if end.state in ("not_run", "running"):
            return None
        return build_ended_record(end, claim, job.ownership, progress.is_cancelled)

    async def _run_idempotent(
        self,
        job: Job,
        entry: Entry,
        deadline_at_ms: int,
        progress: WorkProgress,
    ) -> Ended | None:
        failures = progress.failures
        failed_hosts = [failure.partition(":")[0] for failure in failures]
        avoid = frozenset([*failed_hosts, progress.last_refusing_host])
        async with self._placer.place(entry, deadline_at_ms, avoid) as placement:
            body = base64.b64decode(job.body)
            order = build_order(entry, placement, body, LEASE_MS)
            progress.stage = "running"
            progress.host = placement.host
            progress.address, progress.task = placement.address, order.task
            end = await self._task_runner.run_task(
                placement.address,
                order,
                deadline_at_ms,
                IDEMPOTENT_UNREACHABLE_TIMEOUT_MS,
            )
        host = placement.host
        if end.state == "done":
            self._record_failed_hosts(entry, failures, host)
            run_ms = placement.measure_run_ms(self._clock.monotonic_ms())
            self._placer.record_success(entry, host, run_ms)
            return build_ended_record_without_claim(job, "done", end, host, order.task)
        if end.state == "not_run":
            # A refusal or an unreachable worker is no failure of the job.
            self._placer.record_failure(entry, host, end.reason)
            progress.last_refusing_host = host
            return None
        if progress.is_cancelled and end.state == "stopped":
            return build_ended_record_without_claim(
                job, "cancelled", end, host, order.task, "started"
            )
        failures.append(f"{host}: {end.state} {end.reason}")
        if end.state == "running":
            await self._task_runner.stop_task(placement.address, order.task)
            return build_ended_record_without_claim(
                job, "failed", end, host, order.task, "deadline"
            )
        if len(failures) < MAX_STARTED_ATTEMPTS:
            return None
        outcome = "unknown" if end.state == "unknown" else "failed"
        return build_ended_record_without_claim(
            job, outcome, end, host, order.task, "; ".join(failures)
        )

    def _record_failed_hosts(
        self, entry: Entry, failures: list[str], host: str
    ) -> None:
        # A job that fails on every host is no evidence against the hosts. Only after
        # it succeeds elsewhere do its earlier failures count against their hosts.
        for failure in failures:
            failed_host, _, code = failure.partition(": ")
            if failed_host != host:
                self._placer.record_failure(entry, failed_host, code)


def entry_fits_pool(control: ControlState, entry: Entry) -> bool:
    """Return whether any host of the entry's pool is large enough for its tasks.

    An empty pool counts as large enough, since it may still receive any host.
    """
    is_empty = True
    for host in control.hosts.values():
        if host.pool != entry.pool:
            continue
        is_empty = False
        facts = host.facts
        if (
            facts.cpus >= entry.cpus
            and facts.memory_mb >= entry.memory_mb
            and facts.accelerators >= entry.accelerators
        ):
            return True
    return is_empty


def build_ended_record_without_claim(
    job: Job, outcome: str, end: TaskEnd, host: str, task: str, reason: str = ""
) -> Ended:
    """Return the outcome record of a job that has no outstanding claim."""
    return Ended(
        key=job.key,
        job=job.job,
        attempt=0,
        ownership=job.ownership,
        outcome=outcome,
        worker=host,
        task=task,
        result_inline=encode_result(end),
        result_size=end.size,
        reason=reason,
    )
