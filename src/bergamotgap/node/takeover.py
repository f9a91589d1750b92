"""Takeover of jobs and resolution of claims whose entry host is gone."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import xxhash

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.records import JobTaken
from bergamotgap.domain.work_items import Claim, Job
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.claims import UNREACHABLE_TIMEOUT_MS, Claims, build_ended_record
from bergamotgap.node.membership import PeerView
from bergamotgap.node.retrying_appender import RetryingAppender
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.writer import StreamWriter

STEP_INTERVAL_MS = 500
APPEND_TIMEOUT_MS = 5000
# Work is taken over when its node has not been live for this long. Membership counts a
# node as live for another 3 s after its last digest.
TAKEOVER_DELAY_MS = 2000
# Limit of the delay, which doubles with each takeover of a job. Otherwise nodes that
# see each other as gone would take a job from each other forever.
MAX_TAKEOVER_DELAY_MS = 120_000
# Nodes are ranked for each piece of work; each rank waits this much longer than the
# one before it.
RANK_DELAY_MS = 2000
# If more records than this were folded since the last step, the fold is still catching
# up with the log, and work that is open in it may already have ended.
CATCH_UP_THRESHOLD_RECORDS = 1000
# A longer gap between two steps means that this process was paused. Its last contact
# with the other nodes is then old because of the pause, not because they are gone.
PAUSE_THRESHOLD_MS = 2000
MAX_JOBS_TAKEN_PER_STEP = 200
MAX_CONCURRENT_RESOLUTIONS = 32

log = get_logger(__name__)


class Members(Protocol):
    """The part of membership that takeover needs."""

    @property
    def node_id(self) -> str:
        """Return this node's own id."""

    def list_known(self) -> list[PeerView]:
        """Return all known peers."""

    def list_live(self) -> list[PeerView]:
        """Return the live peers that are not leaving."""

    def has_recent_digest(self, peer: PeerView) -> bool:
        """Return whether a peer's last digest is recent enough to count it as live."""


def build_node_name(node_id: str, incarnation: str) -> str:
    """Return the name that identifies one process of a node in the records."""
    return f"{node_id}/{incarnation}"


class Takeover:
    """Searches for work whose node is gone, and takes it over."""

    def __init__(
        self,
        node: str,
        members: Members,
        work: Stream[WorkState],
        writer: StreamWriter,
        appender: RetryingAppender,
        claims: Claims,
        clock: Clock,
        reconcile_jobs: Callable[[], None] = lambda: None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._node = node
        self._members = members
        self._work = work
        self._writer = writer
        self._appender = appender
        self._claims = claims
        self._clock = clock
        self._reconcile_jobs = reconcile_jobs
        self._is_leaving = is_leaving
        self._last_live_ms: dict[str, int] = {}
        self._released_ms: dict[str, int] = {}
        self._resolutions: dict[str, asyncio.Task[None]] = {}
        self._next_offset = 0
        self._last_step_ms = clock.monotonic_ms()

    async def run(self) -> None:
        """Search for work of gone nodes, forever."""
        while True:
            await self._clock.sleep_ms(STEP_INTERVAL_MS)
            try:
                await self.step()
            except Exception:
                # Without this loop, the work of dead nodes would stay open forever.
                log.exception("takeover step failed")

    async def stop(self) -> None:
        """Stop the resolutions in progress."""
        tasks = list(self._resolutions.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def step(self) -> None:
        """Take over the jobs that are due, and start to resolve the claims that are."""
        new_records = self._work.next_offset - self._next_offset
        self._next_offset = self._work.next_offset
        self._reconcile_jobs()
        self._record_live_nodes()
        if new_records > CATCH_UP_THRESHOLD_RECORDS or self._is_leaving():
            return
        for claim in self._work.state.list_outstanding_claims():
            if self._is_claim_due(claim):
                self._start_resolving_claim(claim)
        jobs = self._list_due_jobs()[:MAX_JOBS_TAKEN_PER_STEP]
        await asyncio.gather(*(self._take_over_job(job) for job in jobs))

    def _record_live_nodes(self) -> None:
        # All known peers, since a leaving node still finishes its running work.
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_step_ms > PAUSE_THRESHOLD_MS:
            self._last_live_ms = dict.fromkeys(self._last_live_ms, now_ms)
        self._last_step_ms = now_ms
        for peer in self._members.list_known():
            if self._members.has_recent_digest(peer):
                self._last_live_ms[peer.node_id] = now_ms

    def _list_due_jobs(self) -> list[Job]:
        """Return the jobs that this node must take over now.

        Also forgets the release times of jobs that have an owner again or have ended.
        """
        state = self._work.state
        owners = [owner for owner in state.owners if owner != self._node]
        due = [
            job
            for owner in owners
            if self._may_owner_be_gone(owner)
            for job in state.list_jobs_of(owner)
            if self._is_work_due(owner, job.job, job.ownership)
        ]
        released = {job.job for job in state.list_jobs_of("")}
        self._released_ms = {
            job: since_ms
            for job, since_ms in self._released_ms.items()
            if job in released
        }
        return due

    def _may_owner_be_gone(self, owner: str) -> bool:
        """Return whether the owner may not be live.

        A cheap check that is made before the owner's jobs are examined.
        """
        node_id = owner.partition("/")[0]
        if node_id in ("", self._members.node_id):
            return True
        # A node without any digest so far counts as live until now, so that a process
        # that starts waits for the first digests of its peers.
        now_ms = self._clock.monotonic_ms()
        return self._last_live_ms.setdefault(node_id, now_ms) < now_ms

    def _is_claim_due(self, claim: Claim) -> bool:
        if claim.job is not None:
            # The job's owner resolves the claims of a job.
            return False
        if claim.node == self._node:
            return not self._claims.is_active(claim)
        # As for a job that was never taken over, the delay is the shortest one.
        return self._may_owner_be_gone(claim.node) and self._is_work_due(
            claim.node, claim.key, 1
        )

    def _is_work_due(self, node: str, work_id: str, ownership: int) -> bool:
        node_id = node.partition("/")[0]
        if node_id == self._members.node_id:
            # Work of an earlier process of this node.
            return True
        now_ms = self._clock.monotonic_ms()
        if node_id == "":
            since_ms = self._released_ms.setdefault(work_id, now_ms)
            wait_ms = 0
        else:
            since_ms = self._last_live_ms[node_id]
            wait_ms = min(
                TAKEOVER_DELAY_MS << min(ownership - 1, 16), MAX_TAKEOVER_DELAY_MS
            )
        return (
            now_ms - since_ms >= wait_ms + self._compute_rank(work_id) * RANK_DELAY_MS
        )

    def _compute_rank(self, work_id: str) -> int:
        """Return this node's position in the order in which nodes take over the work.

        The order is a rendezvous hash, so it differs from one piece of work to another.
        """
        own_weight = _compute_weight(work_id, self._members.node_id)
        peers = self._members.list_live()
        return sum(
            _compute_weight(work_id, peer.node_id) > own_weight for peer in peers
        )

    async def _take_over_job(self, job: Job) -> None:
        # The former owner of a released job has recorded whether it may have run.
        may_have_run = job.owner != ""
        record = JobTaken(job.job, self._node, job.ownership + 1, may_have_run)
        try:
            effect = await self._writer.append(record, APPEND_TIMEOUT_MS)
        except (AppendRefusedError, AppendUnknownError) as error:
            log.info("job takeover not confirmed", job=job.job, error=str(error))
            return
        log.info(
            "job takeover appended", job=job.job, owner=job.owner, effect=repr(effect)
        )

    def _start_resolving_claim(self, claim: Claim) -> None:
        if (
            claim.task in self._resolutions
            or len(self._resolutions) >= MAX_CONCURRENT_RESOLUTIONS
        ):
            return
        task = asyncio.create_task(self._resolve_claim(claim))
        self._resolutions[claim.task] = task
        task.add_done_callback(lambda _: self._resolutions.pop(claim.task, None))

    async def _resolve_claim(self, claim: Claim) -> None:
        until_ms = self._clock.monotonic_ms() + UNREACHABLE_TIMEOUT_MS
        end = await self._claims.resolve(claim, until_ms)
        log.info("claim resolved", key=claim.key, node=claim.node, end=end.state)
        if end.state not in ("not_run", "running"):
            await self._appender.append(build_ended_record(end, claim, 0))


def _compute_weight(work_id: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{work_id}/{node_id}".encode())
