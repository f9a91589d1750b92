"""Run non-idempotent work at most once.

Each attempt is claimed by a record in the log before it is dispatched. The record of
its outcome follows when the attempt has ended.
"""

import asyncio
import base64
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import Rejected
from bergamotgap.domain.outcomes import NotRun
from bergamotgap.domain.records import AttemptNotRun, Claimed, Ended
from bergamotgap.domain.work_items import Claim
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.admission import NotAdmittedError
from bergamotgap.node.dispatch import build_order
from bergamotgap.node.placement import Placement, Placer
from bergamotgap.node.retrying_appender import RetryingAppender
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.task_runs import LEASE_MS, TaskEnd, TaskRunner
from bergamotgap.node.writer import StreamWriter

# A claim that is not appended and dispatched within this time expires.
CLAIM_WINDOW_MS = 5000
# A claim also expires this long before the request's deadline, or by a quarter of the
# remaining time if that is less. The caller can then be told in time that nothing was
# run.
ANSWER_MARGIN_MS = 200
MAX_ATTEMPTS = 4
BACKOFF_STEP_MS = 100
# How long an unreachable worker is queried before the outcome is recorded as unknown.
UNREACHABLE_TIMEOUT_MS = 30_000
# How long a task that runs past its deadline is still queried for its end.
MAX_OVERRUN_MS = 60_000

log = get_logger(__name__)


class ClaimRejectedError(Exception):
    """The fold rejected the claim record for the reason `code`."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


@dataclass(frozen=True, slots=True)
class WorkItem:
    """Non-idempotent work to run; `deadline_at_ms` is monotonic.

    `ownership` is the number of the job's ownership, which grows with each takeover, or
    0 for a request, which has no job.
    """

    key: str
    job: str | None
    ownership: int
    entry: Entry
    body: bytes
    body_sha256: str
    keep_ms: int
    deadline_at_ms: int


@dataclass(slots=True)
class WorkProgress:
    """Progress of one job or request, which its driver task updates.

    `stage` is "queued" until something begins that can't be undone, then "claiming" or
    "running". `host`, `address` and `task` are those of the running attempt.
    `failures` describes the started attempts that gave no result, as `host: reason`.
    `last_refusing_host` is the host that refused an attempt last and is avoided by the
    next one.
    """

    stage: str = "queued"
    is_cancelled: bool = False
    host: str = ""
    address: str = ""
    task: str = ""
    claimed: Claimed | None = None
    failures: list[str] = field(default_factory=list)
    last_refusing_host: str = ""

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have started."""
        return self.stage != "queued" or bool(self.failures)


class Claims:
    """Claims attempts for this node, runs them and resolves outstanding claims."""

    def __init__(
        self,
        node: str,
        work: Stream[WorkState],
        writer: StreamWriter,
        appender: RetryingAppender,
        placer: Placer,
        task_runner: TaskRunner,
        clock: Clock,
        find_address: Callable[[str], str | None],
    ) -> None:
        self._node = node
        self._work = work
        self._writer = writer
        self._appender = appender
        self._placer = placer
        self._task_runner = task_runner
        self._clock = clock
        self.find_address = find_address
        self._active_tasks: set[str] = set()

    def is_active(self, claim: Claim) -> bool:
        """Return whether this node is still working on the claimed attempt."""
        return claim.task in self._active_tasks

    def mark_inactive(self, task: str) -> None:
        """Count a started attempt as no longer active; `task` is its task id.

        Called once its end is recorded or left to the resolution of outstanding claims.
        """
        self._active_tasks.discard(task)

    async def run_work(self, work: WorkItem, progress: WorkProgress) -> TaskEnd:
        """Claim and run attempts until one may have started, and return its end.

        Raises NotAdmittedError if no attempt started and ClaimRejectedError if the fold
        rejected a claim. The caller must record the outcome and then call
        `mark_inactive` with the claimed task.
        """
        avoid: frozenset[str] = frozenset()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            async with self._placer.place(
                work.entry, work.deadline_at_ms, avoid
            ) as placement:
                end = await self._run_attempt(work, placement, progress)
            if end.state != "not_run":
                return end
            progress.stage = "queued"
            if progress.is_cancelled:
                break
            avoid |= {placement.host}
            jitter_ms = secrets.randbelow(BACKOFF_STEP_MS)
            await self._clock.sleep_ms(BACKOFF_STEP_MS * attempt + jitter_ms)
        raise NotAdmittedError(NotRun("worker_refused", end.reason))

    async def _run_attempt(
        self, work: WorkItem, placement: Placement, progress: WorkProgress
    ) -> TaskEnd:
        now_ms = self._clock.monotonic_ms()
        remaining_ms = max(0, work.deadline_at_ms - now_ms)
        margin_ms = min(ANSWER_MARGIN_MS, remaining_ms // 4)
        expires_at_ms = min(now_ms + CLAIM_WINDOW_MS, work.deadline_at_ms - margin_ms)
        claimed = self._build_claim(work, placement, expires_at_ms)
        progress.stage = "claiming"
        progress.claimed = claimed
        self._active_tasks.add(claimed.task)
        try:
            await self._append_claim(claimed, expires_at_ms)
            if progress.is_cancelled or self._clock.monotonic_ms() >= expires_at_ms:
                end = TaskEnd("not_run", "claim_lapsed")
            else:
                progress.stage = "running"
                progress.host = placement.host
                progress.address, progress.task = placement.address, claimed.task
                end = await self._dispatch(work, placement, claimed)
            if end.state == "not_run":
                await self._record_not_run(claimed.key, claimed.attempt, end, work)
                self.mark_inactive(claimed.task)
            return end
        except BaseException:
            self.mark_inactive(claimed.task)
            raise

    def _build_claim(
        self, work: WorkItem, placement: Placement, expires_at_ms: int
    ) -> Claimed:
        known = self._work.state.find_claim(work.key)
        return Claimed(
            key=work.key,
            job=work.job,
            entry=work.entry.name,
            body_sha256=work.body_sha256,
            keep_ms=work.keep_ms,
            node=self._node,
            attempt=known.attempt + 1 if known is not None else 1,
            worker=placement.host,
            boot_id=placement.boot_id,
            task=placement.task,
            start_before_ms=placement.to_worker_time_ms(expires_at_ms),
            ownership=work.ownership,
        )

    async def _append_claim(self, claimed: Claimed, expires_at_ms: int) -> None:
        timeout_ms = max(1, expires_at_ms - self._clock.monotonic_ms())
        try:
            effect = await self._writer.append(claimed, timeout_ms)
        except (AppendRefusedError, AppendUnknownError) as error:
            # The attempt is never dispatched, even if the record was appended after
            # all. In that case it is an outstanding claim that no node works on, and it
            # is resolved like any other of them.
            log.info("claim not confirmed", key=claimed.key, error=str(error))
            raise NotAdmittedError(NotRun("platform_unavailable")) from error
        if isinstance(effect, Rejected):
            raise ClaimRejectedError(effect.code)

    async def _dispatch(
        self, work: WorkItem, placement: Placement, claimed: Claimed
    ) -> TaskEnd:
        order = build_order(
            work.entry,
            placement,
            work.body,
            LEASE_MS,
            start_before_ms=claimed.start_before_ms,
        )
        until_ms = work.deadline_at_ms + MAX_OVERRUN_MS
        end = await self._task_runner.run_task(
            placement.address, order, until_ms, UNREACHABLE_TIMEOUT_MS
        )
        if end.state == "done":
            run_ms = placement.measure_run_ms(self._clock.monotonic_ms())
            self._placer.record_success(work.entry, placement.host, run_ms)
        elif end.state in ("not_run", "unknown"):
            self._placer.record_failure(work.entry, placement.host, end.reason)
        return end

    async def _record_not_run(
        self, key: str, attempt: int, end: TaskEnd, work: WorkItem
    ) -> None:
        task = self._appender.append_in_background(
            AttemptNotRun(key, attempt, end.reason)
        )
        remaining_ms = work.deadline_at_ms - self._clock.monotonic_ms()
        wait_ms = max(0, remaining_ms - ANSWER_MARGIN_MS)
        await asyncio.wait({task}, timeout=wait_ms / 1000)
        if not task.done():
            # Until this record is in the log, the fold rejects any further claim.
            raise NotAdmittedError(NotRun("platform_unavailable"))

    async def resolve(self, claim: Claim, until_ms: int) -> TaskEnd:
        """Find out from the claim's worker how a claimed attempt ended.

        An attempt that has not started is fenced at the worker and recorded as not run.
        The end of a started attempt is returned, and the caller records it.
        """
        address = self.find_address(claim.worker)
        if address is None:
            return TaskEnd("unknown", "the worker left the fleet")
        end = await self._task_runner.query_task_end(
            address, claim.task, claim.boot_id, until_ms, UNREACHABLE_TIMEOUT_MS
        )
        if end.state == "not_run":
            record = AttemptNotRun(claim.key, claim.attempt, end.reason)
            await self._appender.append(record)
        return end


def build_ended_record(
    end: TaskEnd, claim: Claim | Claimed, ownership: int, is_cancelled: bool = False
) -> Ended:
    """Return the outcome record of a claimed attempt that has or may have started."""
    outcome = {"done": "done", "failed": "failed", "stopped": "failed"}.get(
        end.state, "unknown"
    )
    if end.state == "stopped" and is_cancelled:
        outcome = "cancelled"
    reason = end.reason or ("" if end.state == "done" else end.state)
    return Ended(
        key=claim.key,
        job=claim.job,
        attempt=claim.attempt,
        ownership=ownership,
        outcome=outcome,
        worker=claim.worker,
        task=claim.task,
        result_inline=encode_result(end),
        result_size=end.size,
        reason=reason,
    )


def encode_result(end: TaskEnd) -> str | None:
    """Return the result as base64, or None if it was not received."""
    return None if end.result is None else base64.b64encode(end.result).decode()
