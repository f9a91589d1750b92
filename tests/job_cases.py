"""Helpers that several test modules for jobs share."""

from collections import Counter
from collections.abc import Callable

from bergamotgap.domain.records import Ended
from tests.fakes_work import FakeFleet


def assert_one_outcome_per_job(fleet: FakeFleet) -> None:
    """Assert that each accepted job is open or has one outcome, on every node."""
    jobs = Counter(r.job for r in fleet.log.list_applied(Ended) if isinstance(r, Ended))
    assert not [job for job, count in jobs.items() if count != 1]
    for follower in fleet.log.followers:
        counts = follower.state.counts
        assert counts["accepted"] == counts["ended"] + counts["open"]


async def wait_for(fleet: FakeFleet, is_met: Callable[[], bool]) -> None:
    for _ in range(400):
        if is_met():
            return
        await fleet.advance_ms(500)
    raise AssertionError("the state was not reached")


async def wait_for_outcome(fleet: FakeFleet, job: str) -> str | None:
    await wait_for(fleet, lambda: fleet.outcome(job) is not None)
    return fleet.outcome(job)
