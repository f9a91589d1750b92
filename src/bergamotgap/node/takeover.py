"""Take over the jobs and settle the claims of entry hosts that are gone."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import xxhash

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.records import JobTaken
from bergamotgap.domain.work_items import Claim, Job
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.claims import UNREACHABLE_TIMEOUT_MS, Claims, build_ended
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
# How long a node has not been live before its work is taken over. Membership adds 3 s.
TAKEOVER_DELAY_MS = 2000
# Each takeover of a job doubles the wait, so that nodes that see each other as gone
# don't take a job from each other without end.
MAX_TAKEOVER_DELAY_MS = 120_000
# The first choice goes ahead; each further node waits this much longer.
RANK_DELAY_MS = 2000
# More records than this in one step mean that the fold is still catching up, and that
# open work in it may have ended since.
CATCH_UP_THRESHOLD_RECORDS = 1000
# A longer gap between two steps means that this process was paused: what it last heard
# of the others is then old because of itself.
PAUSE_THRESHOLD_MS = 2000
MAX_JOBS_TAKEN_PER_STEP = 200
MAX_CONCURRENT_RESOLUTIONS = 32

log = get_logger(__name__)


class Members(Protocol):
    """What takeover needs from membership."""

    @property
    def node_id(self) -> str:
        """Return this node's own id."""

    def list_known(self) -> list[PeerView]:
        """Return all known peers."""

    def list_live(self) -> list[PeerView]:
        """Return the live peers that are not leaving."""

    def has_recent_digest(self, peer: PeerView) -> bool:
        """Return whether a peer's digest is younger than its heartbeats allow."""


def build_node_name(node_id: str, incarnation: str) -> str:
    """Return the name that stands for one process in the records."""
    return f"{node_id}/{incarnation}"


class Takeover:
    """Own the search for work whose node is gone."""

    def __init__(
        self,
        node: str,
        members: Members,
        work: Stream[WorkState],
        writer: StreamWriter,
        keeper: RetryingAppender,
        claims: Claims,
        clock: Clock,
        reconcile: Callable[[], None] = lambda: None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._node = node
        self._members = members
        self._work = work
        self._writer = writer
        self._keeper = keeper
        self._claims = claims
        self._clock = clock
        self._reconcile = reconcile
        self._is_leaving = is_leaving
        self._last_live_ms: dict[str, int] = {}
        self._released_ms: dict[str, int] = {}
        self._resolving: dict[str, asyncio.Task[None]] = {}
        self._next_offset = 0
        self._last_step_ms = clock.monotonic_ms()

    async def run(self) -> None:
        """Look for work of gone nodes for good."""
        while True:
            await self._clock.sleep_ms(STEP_INTERVAL_MS)
            try:
                await self.step()
            except Exception:
                # Without this loop, the work of dead nodes would stay open for ever.
                log.exception("takeover step failed")

    async def stop(self) -> None:
        """Stop the resolutions in progress."""
        tasks = list(self._resolving.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def step(self) -> None:
        """Take jobs over and start to settle claims that are due now."""
        grown = self._work.next_offset - self._next_offset
        self._next_offset = self._work.next_offset
        self._reconcile()
        self._note_live()
        if grown > CATCH_UP_THRESHOLD_RECORDS or self._is_leaving():
            return
        for claim in self._work.state.list_outstanding_claims():
            if self._is_claim_due(claim):
                self._start_resolving(claim)
        jobs = self._list_due_jobs()[:MAX_JOBS_TAKEN_PER_STEP]
        await asyncio.gather(*(self._take(job) for job in jobs))

    def _note_live(self) -> None:
        # A leaving node still finishes its running work, so it counts as live here.
        now_ms = self._clock.monotonic_ms()
        if now_ms - self._last_step_ms > PAUSE_THRESHOLD_MS:
            self._last_live_ms = dict.fromkeys(self._last_live_ms, now_ms)
        self._last_step_ms = now_ms
        for peer in self._members.list_known():
            if self._members.has_recent_digest(peer):
                self._last_live_ms[peer.node_id] = now_ms

    def _list_due_jobs(self) -> list[Job]:
        state = self._work.state
        owners = [owner for owner in state.owners if owner != self._node]
        due = [
            job
            for owner in owners
            if self._may_be_gone(owner)
            for job in state.list_jobs_of(owner)
            if self._is_due(owner, job.job, job.ownership)
        ]
        released = {job.job for job in state.list_jobs_of("")}
        self._released_ms = {
            job: since_ms
            for job, since_ms in self._released_ms.items()
            if job in released
        }
        return due

    def _may_be_gone(self, owner: str) -> bool:
        """Return whether the owner is not live; cheap, asked before its jobs are."""
        node_id = owner.partition("/")[0]
        if node_id in ("", self._members.node_id):
            return True
        # A node that was never heard counts as live until now, so that a process that
        # starts waits for its peers' first digests.
        now_ms = self._clock.monotonic_ms()
        return self._last_live_ms.setdefault(node_id, now_ms) < now_ms

    def _is_claim_due(self, claim: Claim) -> bool:
        if claim.job is not None:
            # Claims of jobs are settled by the job's owner.
            return False
        if claim.node == self._node:
            return not self._claims.is_active(claim)
        return self._may_be_gone(claim.node) and self._is_due(claim.node, claim.key, 1)

    def _is_due(self, node: str, work: str, ownership: int) -> bool:
        node_id = node.partition("/")[0]
        if node_id == self._members.node_id:
            # Work of an earlier process of this very node.
            return True
        now_ms = self._clock.monotonic_ms()
        if node_id == "":
            since_ms = self._released_ms.setdefault(work, now_ms)
            wait_ms = 0
        else:
            since_ms = self._last_live_ms[node_id]
            wait_ms = min(
                TAKEOVER_DELAY_MS << min(ownership - 1, 16), MAX_TAKEOVER_DELAY_MS
            )
        return now_ms - since_ms >= wait_ms + self._rank(work) * RANK_DELAY_MS

    def _rank(self, work: str) -> int:
        """Return this node's place in the order in which nodes take a piece of work."""
        mine = _weigh(work, self._members.node_id)
        peers = self._members.list_live()
        return sum(_weigh(work, peer.node_id) > mine for peer in peers)

    async def _take(self, job: Job) -> None:
        # A released job's former owner told whether it had started.
        may_have_run = job.owner != ""
        record = JobTaken(job.job, self._node, job.ownership + 1, may_have_run)
        try:
            effect = await self._writer.append(record, APPEND_TIMEOUT_MS)
        except (AppendRefusedError, AppendUnknownError) as error:
            log.info("takeover failed", job=job.job, error=str(error))
            return
        log.info("takeover", job=job.job, owner=job.owner, effect=repr(effect))

    def _start_resolving(self, claim: Claim) -> None:
        if (
            claim.task in self._resolving
            or len(self._resolving) >= MAX_CONCURRENT_RESOLUTIONS
        ):
            return
        task = asyncio.create_task(self._resolve(claim))
        self._resolving[claim.task] = task
        task.add_done_callback(lambda _: self._resolving.pop(claim.task, None))

    async def _resolve(self, claim: Claim) -> None:
        until_ms = self._clock.monotonic_ms() + UNREACHABLE_TIMEOUT_MS
        end = await self._claims.resolve(claim, until_ms)
        log.info("claim resolved", key=claim.key, node=claim.node, end=end.state)
        if end.state not in ("not_run", "running"):
            await self._keeper.append(build_ended(end, claim, 0))


def _weigh(work: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{work}/{node_id}".encode())
