"""Requests about jobs at a node that does not own the pool."""

import asyncio

import pytest

from bergamotgap.domain.fleet import JobPhase
from bergamotgap.pools.requests import (
    JobAccepted,
    JobRequests,
    JobState,
    NoSuchJob,
    NotAccepted,
    OutcomeUnknown,
)
from bergamotgap.ports.pool_peer import (
    AcceptedReply,
    NoJobReply,
    NotAcceptedReply,
    NotOwnerReply,
    OwnershipUncertainReply,
    PeerCallError,
    PoolCall,
    PoolReply,
    StateReply,
)
from stand_ins.pools import CONFIG, build_job
from stand_ins.virtual_time import LoopClock, run_virtual

QUEUE = CONFIG.queues[0]
OWN, OTHER = "10.0.0.1:7000", "10.0.0.2:7000"
WAIT_MS = 1000


class FakePeers:
    """Give the replies in turn, the last one for good."""

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


def build(
    peers: FakePeers, owner: str | None = OTHER, is_stored: bool | None = None
) -> JobRequests:
    async def look_up(pool: str, job_id: str) -> bool | None:
        return is_stored

    return JobRequests(
        {}, lambda _: owner, lambda: CONFIG, OWN, peers, look_up, LoopClock()
    )


def test_the_owners_answer_is_passed_on() -> None:
    """Guards against an answer that changes on its way to the caller."""

    async def main() -> None:
        submit = build(FakePeers(AcceptedReply(True))).submit
        assert await submit(build_job(), QUEUE, WAIT_MS) == JobAccepted()
        refused = build(FakePeers(NotAcceptedReply("platform_unavailable", 500)))
        outcome = await refused.submit(build_job(), QUEUE, WAIT_MS)
        assert outcome == NotAccepted("platform_unavailable", 500)
        state = build(FakePeers(StateReply(JobPhase.FAILED)))
        found = await state.get_state("a", QUEUE, WAIT_MS)
        assert found == JobState(JobPhase.FAILED)

    run_virtual(main())


def test_a_silent_owner_leaves_the_outcome_unknown() -> None:
    """Guards against "not accepted" for a job that the owner may have accepted."""

    async def main() -> None:
        for was_sent in (True, False):
            peers = FakePeers(PeerCallError("silent", was_sent))
            outcome = await build(peers).submit(build_job(), QUEUE, WAIT_MS)
            assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


@pytest.mark.parametrize(
    ("is_stored", "expected"),
    [(True, JobAccepted), (False, NotAccepted), (None, OutcomeUnknown)],
)
def test_a_job_that_no_owner_heard_of_is_looked_up_in_the_log(
    is_stored: bool | None, expected: type
) -> None:
    """Guards against a refusal of an id that an earlier attempt had accepted."""

    async def main() -> None:
        for owner in (None, OTHER):
            peers = FakePeers(PeerCallError("refused", was_sent=False))
            requests = build(peers, owner, is_stored)
            outcome = await requests.submit(build_job(), QUEUE, WAIT_MS)
            assert isinstance(outcome, expected)

    run_virtual(main())


def test_a_submission_that_was_sent_is_not_denied_by_the_log() -> None:
    """Guards against a refusal of a job that the owner is about to append."""

    async def main() -> None:
        peers = FakePeers(PeerCallError("silent", was_sent=True))
        requests = build(peers, is_stored=False)
        outcome = await requests.submit(build_job(), QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


def test_a_request_waits_for_the_successor_of_an_owner() -> None:
    """Guards against requests that fail while a pool changes its owner."""

    async def main() -> None:
        peers = FakePeers(
            PeerCallError("refused", was_sent=False),
            NotOwnerReply(),
            AcceptedReply(True),
        )
        assert await build(peers).submit(build_job(), QUEUE, WAIT_MS) == JobAccepted()

    run_virtual(main())


def test_a_job_is_denied_only_by_owners_that_are_sure() -> None:
    """Guards against 410 for a job that a newer owner has accepted."""

    async def main() -> None:
        sure = build(FakePeers(NoJobReply()))
        assert await sure.get_state("a", QUEUE, WAIT_MS) == NoSuchJob()
        unsure = build(FakePeers(OwnershipUncertainReply()))
        outcome = await unsure.get_state("a", QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)
        nobody = build(FakePeers(NoJobReply()), owner=None)
        outcome = await nobody.cancel("a", QUEUE, WAIT_MS)
        assert isinstance(outcome, OutcomeUnknown)

    run_virtual(main())


def test_a_request_that_is_given_up_gets_its_answer_before_the_deadline() -> None:
    """Guards against requests that are held past their caller's time."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        await build(FakePeers(NotOwnerReply())).submit(build_job(), QUEUE, WAIT_MS)
        assert loop.time() - started < WAIT_MS / 1000

    run_virtual(main())
