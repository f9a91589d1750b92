"""Offered load: its estimate follows the demand of small and of large pools.

Answers the pattern *turning demand on hundreds of hosts*: a pool's jobs come at many
times their mean rate within a second, and hosts take seconds to arrive.
"""

import pytest

from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.offered_load import MAX_ARRIVALS, MAX_PERIOD_MS, OfferedLoad

JOB_WORK = 8000 * 100.0
JOB_MEMORY = 2 * JOB_WORK


def record_arrivals(gap_ms: float, count: int, start_ms: int = 10_000) -> OfferedLoad:
    load = OfferedLoad()
    for number in range(count):
        load.record(start_ms + int(gap_ms * number), Amount(JOB_WORK, JOB_MEMORY))
    return load


def test_offered_load_follows_a_change_in_load_and_not_a_single_job() -> None:
    """Guards against reacting late to a change in load or reacting to a single job."""
    # A host must be ordered within half a second of the change, so by then the
    # estimate must reach half of the new rate.
    assert record_arrivals(50, 12).estimate(10_600).cpu > 0.5 * JOB_WORK / 50
    assert record_arrivals(50, 12).estimate(14_000).cpu == 0
    assert record_arrivals(50, 1).estimate(10_100).cpu < 8000


@pytest.mark.parametrize("jobs_per_s", [20, 80, 300, 1500])
def test_the_estimate_grows_with_the_rate_of_jobs(jobs_per_s: int) -> None:
    """Guards against an estimate that saturates, so that a large pool looks small."""
    gap_ms = 1000 / jobs_per_s
    load = record_arrivals(gap_ms, jobs_per_s * 2)
    # Half a second of twelve jobs or more shows the rate to a third.
    assert load.estimate(12_000).cpu == pytest.approx(JOB_WORK / gap_ms, rel=0.33)


def test_a_large_pool_reacts_within_a_round_of_the_host_controller() -> None:
    """Guards against hosts ordered half a second late where many jobs show the turn."""
    load = record_arrivals(5, 24)
    assert load.estimate(10_000 + 5 * 24).cpu > 0.7 * JOB_WORK / 5


def test_a_few_jobs_close_together_do_not_look_like_a_turn() -> None:
    """Guards against moves of hosts for three jobs that come at once by chance."""
    load = record_arrivals(1, 3)
    assert load.estimate(10_003).cpu <= 0.5 * 3 * JOB_WORK / 500


def test_arrivals_are_kept_for_a_bounded_time_and_number() -> None:
    """Guards against memory that grows with the jobs of a flood."""
    load = record_arrivals(0.01, 3 * MAX_ARRIVALS)
    assert load.arrivals == MAX_ARRIVALS
    load.record(10_000 + 2 * MAX_PERIOD_MS, Amount(JOB_WORK))
    assert load.arrivals == 1
