"""Jobs and claims as kept by the fold of the `work` stream.

The jobs in `job_state` are others: those of pools, which consist of steps and tasks.
"""

from dataclasses import dataclass

import msgspec

from bergamotgap.domain.records import Ended

# Outcomes that assure the caller that no worker started the work.
NEVER_STARTED_OUTCOMES = frozenset({"not_run", "expired"})


def build_request_key(caller: str, request_id: str) -> str:
    """Return the key of a caller's request; it is unique for each pair of arguments."""
    return msgspec.json.encode((caller, request_id)).decode()


@dataclass(frozen=True, slots=True)
class Job:
    """A job accepted by an entry host; times are in milliseconds of the log's clock.

    `owner` is empty if no entry host owns the job. `body` is base64 and empty once the
    job has ended. `may_have_run` is true if a former owner may have started the job;
    for non-idempotent work, the claim has more precise information.
    """

    job: str
    key: str
    caller: str
    entry: str
    body: str
    body_sha256: str
    accepted_ms: int
    deadline_at_ms: int
    keep_ms: int
    owner: str
    ownership: int = 1
    may_have_run: bool = False
    is_cancel_requested: bool = False
    ended: Ended | None = None
    ended_offset: int = -1
    forget_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Claim:
    """The latest claimed attempt for a key.

    The attempt is outstanding until it has ended or is known not to have run.
    """

    key: str
    job: str | None
    entry: str
    body_sha256: str
    keep_ms: int
    node: str
    attempt: int
    worker: str
    boot_id: str
    task: str
    start_before_ms: int
    is_not_run: bool = False
    ended: Ended | None = None
    ended_offset: int = -1
    forget_at_ms: int | None = None

    @property
    def is_outstanding(self) -> bool:
        """Return whether the attempt has no outcome and may run or may have run."""
        return not self.is_not_run and self.ended is None
