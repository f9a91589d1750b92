"""Requests about jobs at a node that does not own the pool."""

import asyncio

import pytest

from bergamotgap.domain.fleet import JobPhase
from bergamotgap.pools.request_outcomes import (
    JobAccepted,
    JobState,
    KeyRejected,
    NoSuchJob,
    NotAccepted,
    OutcomeUnknown,
)
from bergamotgap.pools.requests import JobRequests
from bergamotgap.ports.pool_peer import (
    AcceptedReply,
    JobNotFoundReply,
    JobStateReply,
    KeyRejectedReply,
    NotAcceptedReply,
    NotOwnerReply,
    OwnershipUncertainReply,
    PeerCallError,
    PoolCall,
    PoolReply,
)
from stand_ins.pools import CONFIG, build_job
from stand_ins.virtual_time import LoopClock, run_virtual

QUEUE = CONFIG.queues[0]
OWN_ADDRESS, OTHER_ADDRESS = "10.0.0.1:7000", "10.0.0.2:7000"
WAIT_MS = 1000


class FakePeers:
    """Return the replies in turn, then repeat the last one."""

    def __init__(self, *replies: PoolReply | PeerCallError) -> None:
        self.replies = list(replies)

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        await asyncio.sleep(0.002)
        reply = self.replies[0]
        if len(self.replies) > 1:
            self.replies.pop(0)
        if isinstance(reply, PeerCallError):
            raise reply
        return reply


def build_requests(
    peers: FakePeers, owner: str | None = OTHER_ADDRESS, is_stored: bool | None = None
) -> JobRequests:
    async def look_up(pool: str, job_id: str) -> bool | None:
        return is_stored

    return JobRequests(
        {}, lambda _: owner, lambda: CONFIG, OWN_ADDRESS, peers, look_up, LoopClock()
    )


def test_the_owners_answer_is_forwarded() -> None:
    """Guards against an owner's answer that is changed on its way to the caller."""

    async def main() -> None:
        submit = build_requests(FakePeers(AcceptedReply(True))).submit
        assert await submit(build_job(), QUEUE, WAIT_MS) == JobAccepted()
        refused = build_requests(
            FakePeers(NotAcceptedReply("platform_unavailable", 500))
        )
        outcome = await refused.submit(build_job(), QUEUE, WAIT_MS)
        assert outcome == NotAccepted("platform_unavailable", 500)
        state = build_requests(FakePeers(JobStateReply(JobPhase.FAILED)))
        found = await state.get_state("a", QUEUE, WAIT_MS)
        assert found == JobState(JobPhase.FAILED)

    run_virtual(main())


def test_a_silent_owner_leaves_the_outcome_unknown() -> None:
    """Guards against "not accepted" for a job that the owner may have accepted."""

    async def main() -> None:
        for was_sent in (True, False):
            peers = FakePeers(PeerCallError("silent", was_sent))
            outcome = await build_requests(peers).submit(build_job(), QUEUE, WAIT_MS)
            assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


@pytest.mark.parametrize(
    ("is_stored", "expected"),
    [(True, JobAccepted), (False, NotAccepted), (None, OutcomeUnknown)],
)
def test_a_job_that_was_sent_to_no_owner_is_looked_up_in_the_log(
    is_stored: bool | None, expected: type
) -> None:
    """Guards against a refusal of a job that an earlier attempt got accepted."""

    async def main() -> None:
        for owner in (None, OTHER_ADDRESS):
            peers = FakePeers(PeerCallError("refused", was_sent=False))
            requests = build_requests(peers, owner, is_stored)
            outcome = await requests.submit(build_job(), QUEUE, WAIT_MS)
            assert isinstance(outcome, expected)

    run_virtual(main())


def test_a_submission_that_was_sent_is_not_refused_by_a_log_without_it() -> None:
    """Guards against a refusal of a job that the owner is about to append."""

    async def main() -> None:
        peers = FakePeers(PeerCallError("silent", was_sent=True))
        requests = build_requests(peers, is_stored=False)
        outcome = await requests.submit(build_job(), QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


@pytest.mark.parametrize(
    "reply", [NotAcceptedReply("no_capacity", 1500), KeyRejectedReply()]
)
def test_a_refusal_after_an_unanswered_attempt_is_no_refusal(
    reply: PoolReply,
) -> None:
    """Guards against a refusal of a job that an earlier attempt may still start."""

    async def main() -> None:
        peers = FakePeers(PeerCallError("silent", was_sent=True), reply)
        outcome = await build_requests(peers).submit(build_job(), QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)
        # An attempt that was not sent can't start anything.
        peers = FakePeers(PeerCallError("refused", was_sent=False), reply)
        outcome = await build_requests(peers).submit(build_job(), QUEUE, WAIT_MS)
        assert isinstance(outcome, NotAccepted | KeyRejected)

    run_virtual(main())


def test_a_request_waits_for_the_successor_of_an_owner() -> None:
    """Guards against requests that fail because a pool changes its owner."""

    async def main() -> None:
        peers = FakePeers(
            PeerCallError("refused", was_sent=False),
            NotOwnerReply(),
            AcceptedReply(True),
        )
        assert (
            await build_requests(peers).submit(build_job(), QUEUE, WAIT_MS)
            == JobAccepted()
        )

    run_virtual(main())


def test_a_submission_that_was_sent_is_repeated_until_a_successor_answers() -> None:
    """Guards against "unknown" for a job where waiting for the successor settles it.

    After such an answer, a caller can't tell whether to submit its job again. A call
    that changes nothing is answered early all the same.
    """

    async def main() -> None:
        silent = [PeerCallError("silent", was_sent=True)] * 15
        loop = asyncio.get_running_loop()
        started = loop.time()
        requests = build_requests(FakePeers(*silent, AcceptedReply(True)))
        outcome = await requests.submit(build_job(), QUEUE, 3000)
        assert outcome == JobAccepted()
        assert 1.5 < loop.time() - started < 2.5
        started = loop.time()
        requests = build_requests(FakePeers(*silent, JobStateReply(JobPhase.QUEUED)))
        assert isinstance(await requests.get_state("a", QUEUE, 3000), OutcomeUnknown)
        assert loop.time() - started < 1

    run_virtual(main())


def test_a_job_is_reported_missing_only_by_confirmed_owners() -> None:
    """Guards against 410 for a job that a newer owner has accepted."""

    async def main() -> None:
        confirmed = build_requests(FakePeers(JobNotFoundReply()))
        assert await confirmed.get_state("a", QUEUE, WAIT_MS) == NoSuchJob()
        uncertain = build_requests(FakePeers(OwnershipUncertainReply()))
        outcome = await uncertain.get_state("a", QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)
        without_owner = build_requests(FakePeers(JobNotFoundReply()), owner=None)
        outcome = await without_owner.cancel("a", QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


def test_a_request_without_an_owner_is_answered_before_its_deadline() -> None:
    """Guards against requests that are held past the caller's deadline."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        await build_requests(FakePeers(NotOwnerReply())).submit(
            build_job(), QUEUE, WAIT_MS
        )
        assert loop.time() - started < WAIT_MS / 1000

    run_virtual(main())
