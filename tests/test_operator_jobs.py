"""The overview of jobs for operators."""

from bergamotgap.domain.clock import ManualClock
from bergamotgap.domain.records import (
    Ended,
    JobAccepted,
    WorkRecord,
    encode_batch,
    wrap_record,
)
from bergamotgap.domain.work_items import build_request_key
from bergamotgap.domain.work_state import WorkState
from bergamotgap.node.recent_jobs import RecentJobs
from bergamotgap.node.streams import Stream
from bergamotgap.ports.platform import LogRecord


def accept(job: str) -> JobAccepted:
    return JobAccepted(job, "founders", job, "e", "Ym9keQ==", "d", 10**6, 10**6, "n1")


async def test_open_and_ended_jobs_are_listed_without_their_bodies() -> None:
    """Guards against jobs that disappear from the overview when they end."""
    work = Stream("work", WorkState(), ManualClock())
    recent = RecentJobs(work)
    key = build_request_key("founders", "j1")
    records: list[WorkRecord] = [
        accept("j1"),
        accept("j2"),
        Ended(key, "j1", 0, 1, "expired", "", "", None, 0, "late"),
    ]
    for offset, record in enumerate(records):
        body = encode_batch([wrap_record(f"id-{offset}", record)])
        work.fold_records((LogRecord(offset, offset, f"a-{offset}", body),))
    shown = recent.describe()
    assert (shown["counts"]["open"], shown["counts"]["ended"]) == (1, 1)
    listed = [(job["job"], job["outcome"], job["reason"]) for job in shown["recent"]]
    assert listed == [("j2", None, None), ("j1", "expired", "late")]
    assert "Ym9keQ" not in str(shown["recent"])
