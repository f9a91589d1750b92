"""Records of the platform's streams and their encoding.

Class and field names are part of the stored format. `plan_base` is the plan revision
from which the planner derived a record, which has no effect if the plan has changed.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

RECORD_VERSION = 1


class UnknownRecordError(Exception):
    """Raised for a record that is malformed or of an unknown kind or version."""


@dataclass(frozen=True, slots=True)
class CataloguePublished:
    """A new catalogue revision, as the TOML document written by the operator."""

    revision: int
    base_revision: int
    document: str
    operator: str


@dataclass(frozen=True, slots=True)
class HostSeen:
    """A new host, or changed facts of a known one; `pool` is its home pool."""

    host: str
    address: str
    data_centre: str
    rack: str
    cpus: float
    memory_mb: int
    accelerators: int
    slots: int
    pool: str


@dataclass(frozen=True, slots=True)
class HostReleased:
    """A host leaves its pool; `epoch` must be its current epoch."""

    host: str
    epoch: int
    plan_base: int


@dataclass(frozen=True, slots=True)
class HostAssigned:
    """A host without a pool joins `pool`; `epoch` must be its current epoch."""

    host: str
    pool: str
    epoch: int
    plan_base: int


@dataclass(frozen=True, slots=True)
class HostDown:
    """A host stopped responding."""

    host: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class HostUp:
    """A host responds again."""

    host: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class HostRemoved:
    """A host was removed from the fleet."""

    host: str


@dataclass(frozen=True, slots=True)
class WaveDeclared:
    """An operator declared maintenance of some hosts, to be done within the budgets."""

    wave: str
    hosts: tuple[str, ...]
    operator: str


@dataclass(frozen=True, slots=True)
class WaveCancelled:
    """A wave was cancelled; no further host of it is drained."""

    wave: str


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """A host of a wave stops accepting work."""

    host: str
    wave: str
    plan_base: int


@dataclass(frozen=True, slots=True)
class HostMaintained:
    """A host of a wave has rebooted and serves again."""

    host: str
    wave: str
    boot_id: str


@dataclass(frozen=True, slots=True)
class JobAccepted:
    """A job that the system is responsible for from now on; `body` is base64.

    `deadline_ms` counts from the log's time stamp. `keep_ms` is how long the outcome
    is kept. It is stored here because the fold of this stream can't read the catalogue.
    """

    job: str
    caller: str
    request_id: str
    entry: str
    body: str
    body_sha256: str
    deadline_ms: int
    keep_ms: int
    node: str


@dataclass(frozen=True, slots=True)
class JobTaken:
    """Another entry host takes over an open job; an empty `node` releases it.

    `ownership` numbers the owners of the job in order. `may_have_run` is true if a
    former owner may have started the job.
    """

    job: str
    node: str
    ownership: int
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Claimed:
    """The right to dispatch one attempt of non-idempotent work to one worker.

    `start_before_ms` is a time on the worker's clock; `keep_ms` is how long the
    outcome is kept.
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
    ownership: int


@dataclass(frozen=True, slots=True)
class AttemptNotRun:
    """The worker confirmed that the claimed attempt has not started and never will."""

    key: str
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The outcome of a job or of a claimed request; `result_inline` is base64.

    `attempt` is the claimed attempt that ended, 0 without a claim. `ownership` is the
    ownership number held by the writer, 0 for a request.
    """

    key: str
    job: str | None
    attempt: int
    ownership: int
    outcome: str
    worker: str
    task: str
    result_inline: str | None
    result_size: int
    reason: str


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The caller requested the cancellation of an open job."""

    job: str


ControlRecord = (
    CataloguePublished
    | HostSeen
    | HostReleased
    | HostAssigned
    | HostDown
    | HostUp
    | HostRemoved
    | WaveDeclared
    | WaveCancelled
    | DrainStarted
    | HostMaintained
)
WorkRecord = JobAccepted | JobTaken | Claimed | AttemptNotRun | Ended | CancelRequested
Record = ControlRecord | WorkRecord

_KINDS: dict[str, type[Any]] = {
    kind.__name__: kind
    for kind in (
        CataloguePublished,
        HostSeen,
        HostReleased,
        HostAssigned,
        HostDown,
        HostUp,
        HostRemoved,
        WaveDeclared,
        WaveCancelled,
        DrainStarted,
        HostMaintained,
        JobAccepted,
        JobTaken,
        Claimed,
        AttemptNotRun,
        Ended,
        CancelRequested,
    )
}


@dataclass(frozen=True, slots=True)
class Envelope:
    """A record with its unique id, kind and version."""

    id: str
    kind: str
    version: int
    fields: dict[str, Any]


def wrap_record(record_id: str, record: Record) -> Envelope:
    """Wrap a record in an envelope."""
    return Envelope(
        id=record_id,
        kind=type(record).__name__,
        version=RECORD_VERSION,
        fields=msgspec.to_builtins(record),
    )


def unwrap_record(envelope: Envelope) -> Record:
    """Return the typed record; raises UnknownRecordError if it can't be decoded."""
    kind = _KINDS.get(envelope.kind)
    if kind is None or envelope.version != RECORD_VERSION:
        message = f"unknown record kind {envelope.kind!r} version {envelope.version}"
        raise UnknownRecordError(message)
    try:
        record: Record = msgspec.convert(envelope.fields, kind)
    except msgspec.ValidationError as error:
        raise UnknownRecordError(f"malformed {envelope.kind}: {error}") from error
    return record


def encode_batch(envelopes: list[Envelope]) -> str:
    """Encode the body of one append, which carries one or more records."""
    return msgspec.json.encode(envelopes).decode()


def decode_batch(body: str) -> list[Envelope]:
    """Decode the body of one append; raises UnknownRecordError when malformed."""
    try:
        return msgspec.json.decode(body, type=list[Envelope])
    except msgspec.DecodeError as error:
        raise UnknownRecordError(f"malformed batch: {error}") from error
