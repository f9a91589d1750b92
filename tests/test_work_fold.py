"""The fold of jobs and claims under any order of records."""

from collections import Counter
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from bergamotgap.domain import work_retention
from bergamotgap.domain.folding import Applied, Rejected, Stamp
from bergamotgap.domain.records import (
    AttemptNotRun,
    CancelRequested,
    Claimed,
    Ended,
    JobAccepted,
    JobTaken,
    WorkRecord,
)
from bergamotgap.domain.work_items import build_request_key
from bergamotgap.domain.work_state import WorkState

LONG_MS = 10**9
OUTCOMES = ["done", "failed", "not_run", "expired", "cancelled", "unknown"]


def accept(
    job: str, caller: str = "a", request: str = "1", keep: int = LONG_MS
) -> JobAccepted:
    return JobAccepted(job, caller, request, "e", "Ym9keQ==", "d", 1000, keep, "n1")


def claim(
    job: str | None, attempt: int, node: str = "n1", own: int = 0, keep: int = LONG_MS
) -> Claimed:
    key = build_request_key("a", "1")
    return Claimed(key, job, "e", "d", keep, node, attempt, "w", "b", "t", 5, own)


def end(job: str | None, attempt: int, own: int = 0, outcome: str = "done") -> Ended:
    key = build_request_key("a", "1")
    return Ended(key, job, attempt, own, outcome, "w", "t", None, 0, "")


def records(keep: int) -> st.SearchStrategy[WorkRecord]:
    """Generate records of two nodes for few jobs and keys, so that many conflict."""
    # Two of the jobs are for the same request, the third is for another one.
    pairs = {"j1": ("a", "1"), "j2": ("a", "1"), "j3": ("a", "2"), None: ("b", "1")}
    keys = {job: build_request_key(*pair) for job, pair in pairs.items()}
    jobs = st.sampled_from(["j1", "j2", "j3"])
    work = st.sampled_from(["j1", "j3", None, None])
    nodes, number = st.sampled_from(["n1", "n2"]), st.sampled_from([1, 1, 2, 3])
    outcomes = st.sampled_from(OUTCOMES)
    return st.one_of(
        st.builds(
            lambda job, node: JobAccepted(
                job, *pairs[job], "e", "Ym9keQ==", "d", 1000, keep, node
            ),
            *(jobs, nodes),
        ),
        st.builds(JobTaken, jobs, nodes, number, st.booleans()),
        st.builds(
            lambda job, node, attempt, own: Claimed(
                keys[job], job, "e", "d", keep, node, attempt, "w", "b", "t", 5, own
            ),
            *(work, nodes, number, number),
        ),
        st.builds(lambda job, n: AttemptNotRun(keys[job], n, "refused"), work, number),
        st.builds(
            lambda job, attempt, own, outcome: Ended(
                keys[job], job, attempt, own, outcome, "w", "t", outcome, 0, ""
            ),
            *(work, st.sampled_from([0, 1, 2]), number, outcomes),
        ),
        st.builds(CancelRequested, jobs),
    )


def histories(keep: int) -> st.SearchStrategy[list[tuple[int, WorkRecord]]]:
    return st.lists(
        st.tuples(st.integers(-5, 40), records(keep)), min_size=15, max_size=60
    )


def fold(state: WorkState, history: list[tuple[int, WorkRecord]], start: int) -> None:
    now_ms = 1000 + sum(step for step, _ in history[:start])
    for offset, (step_ms, record) in enumerate(history[start:], start):
        now_ms += step_ms
        state.apply(Stamp(offset, now_ms), record)


@settings(derandomize=True, max_examples=400, deadline=None)
@given(histories(keep=50), st.integers(0, 60))
def test_restart_from_any_snapshot_gives_the_same_bytes(
    history: list[tuple[int, WorkRecord]], cut: int
) -> None:
    """Guards against nodes whose state differs after a restart.

    This includes the removal of expired items and of results above the size limit.
    """
    with patch.object(work_retention, "MAX_RESULT_BYTES", 7):
        _check_restart(history, min(cut, len(history)))


def _check_restart(history: list[tuple[int, WorkRecord]], cut: int) -> None:
    whole = WorkState()
    fold(whole, history, 0)
    first = WorkState()
    fold(first, history[:cut], 0)
    second = WorkState.decode(first.encode())
    assert second.encode() == first.encode()
    fold(second, history, cut)
    assert second.encode() == whole.encode()
    assert second.counts == whole.counts
    assert whole.accepted_count == whole.ended_count + whole.open_count
    assert whole.counts["result_bytes"] <= 7
    jobs = whole.list_open_jobs()
    assert whole.body_bytes == sum(len(job.body) for job in jobs)


@settings(derandomize=True, max_examples=600, deadline=None)
@given(histories(keep=LONG_MS))
def test_no_order_of_records_gives_two_runs_or_two_outcomes(
    history: list[tuple[int, WorkRecord]],
) -> None:
    """Guards against a second running attempt, two outcomes and a false "not run"."""
    state = WorkState()
    owner: dict[str, tuple[str, int]] = {}
    live: dict[str, set[int]] = {}
    outcomes: Counter[str] = Counter()
    attempts: Counter[str] = Counter()
    for offset, (_, record) in enumerate(history):
        if not isinstance(state.apply(Stamp(offset, offset), record), Applied):
            continue
        match record:
            case JobAccepted():
                owner[record.job] = (record.node, 1)
            case JobTaken():
                assert record.ownership == owner[record.job][1] + 1
                owner[record.job] = (record.node, record.ownership)
            case Claimed():
                live.setdefault(record.key, set()).add(record.attempt)
                assert len(live[record.key]) == 1
                attempts[record.key] += 1
                assert record.attempt == attempts[record.key]
                if record.job is not None:
                    assert owner[record.job] == (record.node, record.ownership)
            case AttemptNotRun():
                live[record.key].remove(record.attempt)
            case Ended():
                outcomes[record.job or record.key] += 1
                if record.outcome in ("not_run", "expired"):
                    assert not live.get(record.key)
        assert state.accepted_count == state.ended_count + state.open_count
    assert all(count == 1 for count in outcomes.values())
    assert sum(name in owner for name in outcomes) == state.ended_count
    assert len(state.list_open_jobs()) == state.open_count


def apply_all(state: WorkState, *items: WorkRecord) -> list[object]:
    return [state.apply(Stamp(0, 0), record) for record in items]


def test_keys_of_different_requests_differ() -> None:
    """Guards against two requests whose caller and id concatenate to the same key."""
    pairs = [
        ("a", "b/c"),
        ("a/b", "c"),
        ('a"', "b"),
        ("a", '"b'),
        ("a,b", ""),
        ("", ""),
    ]
    assert len({build_request_key(*pair) for pair in pairs}) == len(pairs)


def test_a_repeated_job_maps_to_the_first() -> None:
    """Guards against two jobs for a request id sent to two entry hosts."""
    state = WorkState()
    effects = apply_all(state, accept("j1"), accept("j2"))
    assert effects == [Applied(), Rejected("duplicate", "j1")]
    assert state.open_count == 1


def test_stale_owner_neither_claims_nor_ends() -> None:
    """Guards against a former owner that continues after a takeover."""
    state = WorkState()
    apply_all(state, accept("j1"), JobTaken("j1", "n2", 2, False))
    stale = [claim("j1", 1, "n1", 1), end("j1", 0, 1), JobTaken("j1", "n3", 2, False)]
    assert {e.code for e in apply_all(state, *stale) if isinstance(e, Rejected)} == {
        "stale_ownership"
    }
    assert apply_all(state, claim("j1", 1, "n2", 2)) == [Applied()]
    assert apply_all(state, end("j1", 0, 2, "expired")) == [
        Rejected("claim_outstanding")
    ]
    assert apply_all(state, end("j1", 1, 2)) == [Applied()]


def test_cancelled_job_is_not_claimed() -> None:
    """Guards against dispatching a job that its caller has cancelled."""
    state = WorkState()
    effects = apply_all(
        state, accept("j1"), CancelRequested("j1"), claim("j1", 1, "n1", 1)
    )
    assert effects[-1] == Rejected("cancelled")


def test_request_and_job_do_not_share_a_key() -> None:
    """Guards against running one request id both as a request and as a job."""
    state = WorkState()
    assert apply_all(state, claim(None, 1), accept("j1"))[1] == Rejected(
        "request_id_reused"
    )
    state = WorkState()
    assert apply_all(state, accept("j1"), claim(None, 1))[1] == Rejected(
        "request_id_reused"
    )


def test_only_ended_work_is_forgotten_and_only_after_its_time() -> None:
    """Guards against removal of open work and against state that only grows."""
    state = WorkState()
    state.apply(Stamp(0, 100), accept("j1", request="open", keep=10))
    state.apply(Stamp(1, 100), claim(None, 1, keep=10))
    state.apply(Stamp(2, 100), end(None, 1))
    state.apply(Stamp(3, 109), CancelRequested("none"))
    assert state.find_claim(build_request_key("a", "1")) is not None
    state.apply(Stamp(4, 110), CancelRequested("none"))
    assert state.find_claim(build_request_key("a", "1")) is None
    assert state.find_job("j1") is not None
    assert state.counts["claims_kept"] == 0
    key = build_request_key("a", "1")
    state.apply(Stamp(5, 200), claim(None, 1, keep=10))
    state.apply(Stamp(6, 200), AttemptNotRun(key, 1, "refused"))
    state.apply(Stamp(7, 205), claim(None, 2, keep=10))
    state.apply(Stamp(8, 300), CancelRequested("none"))
    assert [c.attempt for c in state.list_outstanding_claims()] == [2]
