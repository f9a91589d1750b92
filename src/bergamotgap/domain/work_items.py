"""Jobs and claims as the fold of the `work` stream holds them."""

from dataclasses import dataclass

import msgspec

from bergamotgap.domain.records import Ended

# Outcomes that tell the caller that no worker started the work.
NEVER_STARTED_OUTCOMES = frozenset({"not_run", "expired"})


def build_request_key(caller: str, request_id: str) -> str:
    """Return the key of a caller's request; different pairs give different keys."""
    return msgspec.json.encode((caller, request_id)).decode()


@dataclass(frozen=True, slots=True)
class Job:
    """An accepted job; times are the log's, in milliseconds.

    `owner` is empty when nobody owns the job, `body` is base64 and empty once the job
    ended. `may_have_run` tells that a former owner may have started it; for
    non-idempotent work, the claim tells more.
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
    """The last claimed attempt on a key.

    The attempt is outstanding until it is proven not to have run or has ended.
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
        """Return whether the attempt may run or may have run, without an outcome."""
        return not self.is_not_run and self.ended is None
