"""Outcomes reported for requests and jobs; each class has a stable `tag`."""

from dataclasses import dataclass
from typing import ClassVar


@dataclass(frozen=True, slots=True)
class Done:
    """The worker ran the task and returned its complete response."""

    tag: ClassVar[str] = "done"


@dataclass(frozen=True, slots=True)
class Failed:
    """The worker ran the task, and it failed."""

    reason: str
    tag: ClassVar[str] = "failed"


@dataclass(frozen=True, slots=True)
class NotRun:
    """No worker has started the task, and none will."""

    code: str
    detail: str = ""
    retry_after_ms: int | None = None
    tag: ClassVar[str] = "not_run"


@dataclass(frozen=True, slots=True)
class Expired:
    """The deadline passed; the task was never started."""

    tag: ClassVar[str] = "expired"


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The caller cancelled; `started` tells whether the task has run in part."""

    started: bool
    tag: ClassVar[str] = "cancelled"


@dataclass(frozen=True, slots=True)
class Unknown:
    """It can't be known whether the task ran."""

    reason: str
    tag: ClassVar[str] = "unknown"


Outcome = Done | Failed | NotRun | Expired | Cancelled | Unknown
