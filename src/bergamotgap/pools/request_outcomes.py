"""Answers to callers' requests about jobs."""

from dataclasses import dataclass

from bergamotgap.domain.fleet import JobPhase

# When callers are told to return if nothing better is known.
RETRY_AFTER_MS = 1000


@dataclass(frozen=True)
class JobAccepted:
    """The job was accepted and is durable."""


@dataclass(frozen=True)
class JobState:
    """State of a job."""

    phase: JobPhase


@dataclass(frozen=True)
class JobCancelled:
    """The job was cancelled, or had ended before."""


@dataclass(frozen=True)
class WaitingCount:
    """Number of a queue's jobs none of whose tasks has started."""

    count: int


@dataclass(frozen=True)
class NoSuchJob:
    """No such job was accepted."""


@dataclass(frozen=True)
class NotAccepted:
    """The job was not accepted and never runs."""

    reason: str
    retry_ms: int = RETRY_AFTER_MS


@dataclass(frozen=True)
class KeyRejected:
    """The caller's key is not valid any more; nothing was done."""


@dataclass(frozen=True)
class OutcomeUnknown:
    """The outcome is not known; the request may be repeated with the same job id."""

    reason: str
    retry_ms: int = RETRY_AFTER_MS


RequestOutcome = (
    JobAccepted
    | JobState
    | JobCancelled
    | WaitingCount
    | NoSuchJob
    | NotAccepted
    | KeyRejected
    | OutcomeUnknown
)


@dataclass(frozen=True)
class NoReply:
    """No owner answered; `was_sent` states whether one may still act on the call."""

    reason: str
    was_sent: bool
