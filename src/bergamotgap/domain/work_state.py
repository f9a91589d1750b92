"""State of jobs and claims, folded from the `work` stream."""

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import Self

import msgspec

from bergamotgap.domain.folding import Applied, Effect, Rejected, Stamp
from bergamotgap.domain.records import (
    AttemptNotRun,
    CancelRequested,
    Claimed,
    Ended,
    JobAccepted,
    JobTaken,
    Record,
)
from bergamotgap.domain.work_items import (
    NEVER_STARTED_OUTCOMES,
    Claim,
    Job,
    build_request_key,
)
from bergamotgap.domain.work_memory import measure_work
from bergamotgap.domain.work_retention import Retention


@dataclass(slots=True)
class _Data:
    jobs: dict[str, Job] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    log_ms: int = 0
    accepted: int = 0
    ended: int = 0


class WorkState:
    """Fold of the `work` stream.

    Applying a record takes a constant number of dictionary operations, plus one heap
    operation for each expired item.
    """

    def __init__(self, data: _Data | None = None) -> None:
        self._data = data or _Data()
        # Everything below is derived from the data and not encoded.
        jobs = self._data.jobs.values()
        claims = self._data.claims.values()
        self._job_ids = {job.key: job.job for job in jobs}
        # Ids of open jobs by owner; the dictionaries serve as ordered sets.
        self._open_by_owner: dict[str, dict[str, None]] = {}
        for job in jobs:
            if job.ended is None:
                self._add_open_job(job)
        self._outstanding = {c.key: None for c in claims if c.is_outstanding}
        self._retention = Retention(self._data.jobs, self._data.claims)
        self._body_bytes = sum(len(job.body) for job in jobs)
        self._offset = 0

    @property
    def accepted_count(self) -> int:
        """Return the total number of jobs accepted so far."""
        return self._data.accepted

    @property
    def ended_count(self) -> int:
        """Return the total number of jobs that have ended."""
        return self._data.ended

    @property
    def open_count(self) -> int:
        """Return the number of accepted jobs without an outcome."""
        return sum(len(jobs) for jobs in self._open_by_owner.values())

    @property
    def body_bytes(self) -> int:
        """Return the total size of the bodies of open jobs, as base64."""
        return self._body_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory that jobs and claims take, by estimate."""
        items = len(self._data.jobs) + len(self._data.claims)
        return measure_work(items, self._body_bytes + self._retention.result_bytes)

    @property
    def log_ms(self) -> int:
        """Return the latest time stamp seen in the log."""
        return self._data.log_ms

    @property
    def counts(self) -> dict[str, int]:
        """Return counts and sizes for metrics and dumps."""
        return {
            "accepted": self.accepted_count,
            "ended": self.ended_count,
            "open": self.open_count,
            "jobs_kept": len(self._data.jobs),
            "claims_kept": len(self._data.claims),
            "claims_outstanding": len(self._outstanding),
            "body_bytes": self._body_bytes,
            "result_bytes": self._retention.result_bytes,
            "held_bytes": self.held_bytes,
        }

    def find_job(self, job: str) -> Job | None:
        """Return a job by its id; None if unknown or if its retention has expired."""
        return self._data.jobs.get(job)

    def find_job_by_key(self, key: str) -> Job | None:
        """Return the job accepted under the key of a caller's request."""
        job = self._job_ids.get(key)
        return None if job is None else self._data.jobs[job]

    def find_claim(self, key: str) -> Claim | None:
        """Return the latest claim for a key."""
        return self._data.claims.get(key)

    @property
    def owners(self) -> list[str]:
        """Return the owners of open jobs; the empty string stands for no owner."""
        return list(self._open_by_owner)

    def list_jobs_of(self, owner: str) -> list[Job]:
        """Return an owner's jobs without an outcome, in no particular order."""
        return [self._data.jobs[job] for job in self._open_by_owner.get(owner, ())]

    def list_open_jobs(self) -> list[Job]:
        """Return the jobs without an outcome, in no particular order."""
        return [
            job for owner in self._open_by_owner for job in self.list_jobs_of(owner)
        ]

    def list_outstanding_claims(self) -> list[Claim]:
        """Return the claims without a recorded outcome, in no particular order."""
        return [self._data.claims[key] for key in self._outstanding]

    def encode(self) -> bytes:
        """Encode the whole state; equal states encode to equal bytes."""
        return msgspec.json.encode(self._data, order="sorted")

    @classmethod
    def decode(cls, encoded: bytes) -> Self:
        """Restore a state encoded by `encode`."""
        return cls(msgspec.json.decode(encoded, type=_Data))

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Apply one record; records must be applied in offset order."""
        # The log's clock may step back, but retention needs a time that doesn't.
        self._data.log_ms = max(self._data.log_ms, stamp.appended_ms)
        self._offset = stamp.offset
        for job in self._retention.remove_expired(self._data.log_ms):
            del self._job_ids[job.key]
        return self._apply(record)

    @singledispatchmethod
    def _apply(self, record: Record) -> Effect:
        return Rejected("wrong_stream", type(record).__name__)

    @_apply.register
    def _accept_job(self, record: JobAccepted) -> Effect:
        key = build_request_key(record.caller, record.request_id)
        known = self._job_ids.get(key)
        if known is not None:
            return Rejected("duplicate", known)
        if record.job in self._data.jobs:
            return Rejected("job_known")
        if key in self._data.claims:
            return Rejected("request_id_reused")
        log_ms = self._data.log_ms
        job = Job(
            job=record.job,
            key=key,
            caller=record.caller,
            entry=record.entry,
            body=record.body,
            body_sha256=record.body_sha256,
            accepted_ms=log_ms,
            deadline_at_ms=log_ms + record.deadline_ms,
            keep_ms=record.keep_ms,
            owner=record.node,
        )
        self._data.jobs[job.job] = job
        self._job_ids[key] = job.job
        self._add_open_job(job)
        self._body_bytes += len(job.body)
        self._data.accepted += 1
        return Applied()

    @_apply.register
    def _take_over_job(self, record: JobTaken) -> Effect:
        job = self._find_open_job(record.job)
        if isinstance(job, Rejected):
            return job
        if record.ownership != job.ownership + 1:
            return Rejected("stale_ownership", f"current ownership is {job.ownership}")
        self._remove_open_job(job)
        job = replace(
            job,
            owner=record.node,
            ownership=record.ownership,
            may_have_run=job.may_have_run or record.may_have_run,
        )
        self._data.jobs[job.job] = job
        self._add_open_job(job)
        return Applied()

    @_apply.register
    def _request_cancel(self, record: CancelRequested) -> Effect:
        job = self._find_open_job(record.job)
        if isinstance(job, Rejected):
            return job
        self._data.jobs[job.job] = replace(job, is_cancel_requested=True)
        return Applied()

    @_apply.register
    def _record_claim(self, record: Claimed) -> Effect:
        rejection = self._check_claimant(record)
        if rejection is not None:
            return rejection
        known = self._data.claims.get(record.key)
        next_attempt = 1
        if known is not None:
            if not known.is_not_run:
                return Rejected("claimed", f"attempt {known.attempt}")
            if (known.entry, known.body_sha256) != (record.entry, record.body_sha256):
                return Rejected("request_id_reused")
            next_attempt = known.attempt + 1
        if record.attempt != next_attempt:
            return Rejected("stale_attempt", f"next attempt is {next_attempt}")
        self._data.claims[record.key] = Claim(
            key=record.key,
            job=record.job,
            entry=record.entry,
            body_sha256=record.body_sha256,
            keep_ms=record.keep_ms,
            node=record.node,
            attempt=record.attempt,
            worker=record.worker,
            boot_id=record.boot_id,
            task=record.task,
            start_before_ms=record.start_before_ms,
        )
        self._outstanding[record.key] = None
        return Applied()

    def _check_claimant(self, record: Claimed) -> Rejected | None:
        if record.job is None:
            return Rejected("request_id_reused") if self._is_job(record.key) else None
        job = self._find_open_job(record.job)
        if isinstance(job, Rejected):
            return job
        if job.key != record.key or job.entry != record.entry:
            return Rejected("wrong_key")
        if (record.node, record.ownership) != (job.owner, job.ownership):
            return Rejected("stale_ownership", f"current ownership is {job.ownership}")
        return Rejected("cancelled") if job.is_cancel_requested else None

    @_apply.register
    def _record_not_run(self, record: AttemptNotRun) -> Effect:
        claim = self._data.claims.get(record.key)
        if claim is None or not claim.is_outstanding:
            return Rejected("not_outstanding")
        if claim.attempt != record.attempt:
            return Rejected("stale_attempt", f"current attempt is {claim.attempt}")
        forget_at_ms = None if claim.job else self._data.log_ms + claim.keep_ms
        claim = replace(claim, is_not_run=True, forget_at_ms=forget_at_ms)
        self._update_claim(claim)
        return Applied()

    @_apply.register
    def _record_end(self, record: Ended) -> Effect:
        if record.job is None:
            return self._record_request_end(record)
        job = self._find_open_job(record.job)
        if isinstance(job, Rejected):
            return job
        if record.key != job.key:
            return Rejected("wrong_key")
        if record.ownership != job.ownership:
            return Rejected("stale_ownership", f"current ownership is {job.ownership}")
        rejection = self._check_end(record, self._data.claims.get(job.key))
        if rejection is not None:
            return rejection
        forget_at_ms = self._data.log_ms + job.keep_ms
        self._body_bytes -= len(job.body)
        job = replace(
            job,
            ended=record,
            ended_offset=self._offset,
            body="",
            forget_at_ms=forget_at_ms,
        )
        self._data.jobs[job.job] = job
        self._retention.add(job)
        # The ended job now reserves the key, so the claim is no longer needed.
        self._data.claims.pop(job.key, None)
        self._outstanding.pop(job.key, None)
        self._remove_open_job(job)
        self._data.ended += 1
        return Applied()

    def _record_request_end(self, record: Ended) -> Effect:
        claim = self._data.claims.get(record.key)
        if claim is None or claim.job is not None:
            return Rejected("no_claim")
        if claim.ended is not None:
            return Rejected("already_ended", claim.ended.outcome)
        rejection = self._check_end(record, claim)
        if rejection is not None:
            return rejection
        forget_at_ms = self._data.log_ms + claim.keep_ms
        claim = replace(
            claim, ended=record, ended_offset=self._offset, forget_at_ms=forget_at_ms
        )
        self._update_claim(claim)
        return Applied()

    @staticmethod
    def _check_end(record: Ended, claim: Claim | None) -> Rejected | None:
        # An outcome that says "never started" must not be recorded for an attempt that
        # may run, nor the outcome of an earlier attempt for a later one.
        is_outstanding = claim is not None and claim.is_outstanding
        if is_outstanding and record.outcome in NEVER_STARTED_OUTCOMES:
            return Rejected("claim_outstanding")
        expected = claim.attempt if claim is not None and is_outstanding else 0
        if record.attempt != expected:
            return Rejected("stale_attempt", f"outstanding attempt is {expected}")
        if record.job is None and not is_outstanding:
            return Rejected("not_outstanding")
        return None

    def _update_claim(self, claim: Claim) -> None:
        self._data.claims[claim.key] = claim
        self._outstanding.pop(claim.key, None)
        self._retention.add(claim)

    def _add_open_job(self, job: Job) -> None:
        self._open_by_owner.setdefault(job.owner, {})[job.job] = None

    def _remove_open_job(self, job: Job) -> None:
        del self._open_by_owner[job.owner][job.job]
        if not self._open_by_owner[job.owner]:
            del self._open_by_owner[job.owner]

    def _is_job(self, key: str) -> bool:
        return key in self._job_ids

    def _find_open_job(self, name: str) -> Job | Rejected:
        job = self._data.jobs.get(name)
        if job is None:
            return Rejected("unknown_job")
        if job.ended is not None:
            return Rejected("already_ended", job.ended.outcome)
        return job


def _size_result(item: Job | Claim) -> int:
    return len(item.ended.result_inline or "") if item.ended is not None else 0
