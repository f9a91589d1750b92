"""The catalogue that operators edit: pools, owners, callers and entries."""

import tomllib
from enum import StrEnum
from functools import cached_property
from typing import Annotated, Any, Self

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    ValidationInfo,
    model_validator,
)

from bergamotgap.domain.catalogue_references import list_reference_problems
from bergamotgap.domain.problems import Problem, list_field_problems

MAX_CATALOGUE_BYTES = 512 * 1024
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_PROBLEMS = 200
NAME_PATTERN = r"^[a-z][a-z0-9-]{0,62}$"
DEFAULT_SOURCE = "catalogue"
# The parse has listed the reference errors already, also those of a document in which
# single fields are wrong.
_REFERENCES_CHECKED = {"are_references_checked": True}

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class CatalogueError(ValueError):
    """A document is not a valid catalogue; `problems` lists everything that is wrong.

    `source` names the file.
    """

    def __init__(self, source: str, problems: tuple[Problem, ...]) -> None:
        self.source = source
        self.problems = problems
        super().__init__("\n".join(f"{source}: {problem}" for problem in problems))


class Urgency(StrEnum):
    """Classes of urgency, the most urgent first; `rank` is 0 for that one."""

    # An attribute, because each request's way through the queues reads it nine times.
    rank: int

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"

    def __new__(cls, value: str) -> Self:
        """Create a class whose rank is its place in the order."""
        member = str.__new__(cls, value)
        member._value_ = value
        member.rank = len(cls.__members__)
        return member


class _Model(BaseModel):
    # Strict: TOML has types of its own, so `true` as a number or `"10"` as a limit is
    # a slip of the operator.
    model_config = ConfigDict(
        frozen=True, extra="forbid", strict=True, allow_inf_nan=False
    )


class Pool(_Model):
    """A set of hosts that serves some entries; `spare` marks the buffer pool."""

    name: Name
    min_hosts: int = Field(ge=0, le=10_000)
    max_hosts: int = Field(ge=1, le=10_000)
    spare: bool = False


class Owner(_Model):
    """A team with a quota of slots over all entry hosts together."""

    name: Name
    quota_slots: int = Field(ge=1, le=100_000)


class Caller(_Model):
    """A caller, known by the SHA-256 digest of its key, and the entries it may use."""

    name: Name
    key_sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    entries: frozenset[Name] = Field(strict=False, max_length=10_000)


class Entry(_Model):
    """One kind of work: who owns it, where it runs and within which limits."""

    name: Name
    owner: Name
    pool: Name
    urgency: Urgency = Field(strict=False)
    idempotent: bool
    deadline_ms: int = Field(ge=10, le=MAX_DEADLINE_MS)
    run_ms: int = Field(ge=1, le=MAX_DEADLINE_MS, description="declared run time")
    cpus: float = Field(gt=0, le=1024)
    memory_mb: int = Field(ge=1, le=16 * 1024 * 1024)
    accelerators: int = Field(default=0, ge=0, le=64)
    weight: int = Field(default=1, ge=1, le=1000, description="guaranteed share")
    max_running: int = Field(default=1000, ge=1, le=100_000)
    max_queued: int = Field(default=1000, ge=0, le=100_000)
    availability: float = Field(ge=0, le=1, description="least part of pool in service")
    checkpointable: bool = False


class Catalogue(_Model):
    """A whole catalogue, as published in one revision."""

    pools: tuple[Pool, ...] = Field(strict=False, min_length=1, max_length=1000)
    owners: tuple[Owner, ...] = Field(strict=False, min_length=1, max_length=10_000)
    callers: tuple[Caller, ...] = Field(strict=False, max_length=10_000)
    entries: tuple[Entry, ...] = Field(strict=False, min_length=1, max_length=10_000)

    @model_validator(mode="after")
    def _check_references(self, info: ValidationInfo) -> Self:
        if info.context == _REFERENCES_CHECKED:
            return self
        problems = list_reference_problems(self.model_dump())
        if problems:
            raise ValueError("; ".join(str(problem) for problem in problems))
        return self

    @cached_property
    def _entries(self) -> dict[str, Entry]:
        return {entry.name: entry for entry in self.entries}

    @cached_property
    def _pools(self) -> dict[str, Pool]:
        return {pool.name: pool for pool in self.pools}

    @cached_property
    def _owners(self) -> dict[str, Owner]:
        return {owner.name: owner for owner in self.owners}

    @cached_property
    def _callers_by_key(self) -> dict[str, Caller]:
        return {caller.key_sha256: caller for caller in self.callers}

    @cached_property
    def _entries_by_pool(self) -> dict[str, tuple[Entry, ...]]:
        by_pool: dict[str, list[Entry]] = {}
        for entry in self.entries:
            by_pool.setdefault(entry.pool, []).append(entry)
        return {pool: tuple(entries) for pool, entries in by_pool.items()}

    def find_entry(self, name: str) -> Entry | None:
        """Return the entry of that name."""
        return self._entries.get(name)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool of that name."""
        return self._pools.get(name)

    def find_owner(self, name: str) -> Owner | None:
        """Return the owner of that name."""
        return self._owners.get(name)

    def find_caller_by_key(self, key_sha256: str) -> Caller | None:
        """Return the caller whose key has that digest."""
        return self._callers_by_key.get(key_sha256)

    def list_pool_entries(self, pool: str) -> tuple[Entry, ...]:
        """Return the entries that run on a pool, in the order of the document."""
        return self._entries_by_pool.get(pool, ())

    @cached_property
    def availability_by_pool(self) -> dict[str, float]:
        """Return the highest availability that any entry asks of each pool.

        Kept, because budgets are checked for every host in each round of the planner.
        """
        return {
            pool: max(entry.availability for entry in entries)
            for pool, entries in self._entries_by_pool.items()
        }

    @cached_property
    def spare_pool(self) -> Pool | None:
        """Return the buffer pool, if one is named."""
        return next((pool for pool in self.pools if pool.spare), None)


def parse_catalogue(document: str, source: str = DEFAULT_SOURCE) -> Catalogue:
    """Parse a TOML document; `source` names it in errors.

    Raises CatalogueError, a ValueError, with all field and reference errors together.
    The result depends on the document alone, so that all entry hosts agree on it.
    """
    raw = _load_document(document, source)
    problems = list_reference_problems(raw)
    try:
        catalogue = Catalogue.model_validate(raw, context=_REFERENCES_CHECKED)
    except ValidationError as error:
        problems = list_field_problems(Catalogue, error) + problems
    if problems:
        raise CatalogueError(source, tuple(problems[:MAX_PROBLEMS]))
    return catalogue


def _load_document(document: str, source: str) -> dict[str, Any]:
    try:
        size = len(document.encode())
    except UnicodeEncodeError as error:
        problem = Problem("encoding", "not UTF-8", str(error.reason))
        raise CatalogueError(source, (problem,)) from error
    if size > MAX_CATALOGUE_BYTES:
        allowed = f"allowed: at most {MAX_CATALOGUE_BYTES} bytes"
        raise CatalogueError(source, (Problem("size", f"{size} bytes", allowed),))
    try:
        return tomllib.loads(document)
    except ValueError as error:
        # Not only TOMLDecodeError: an integer of thousands of digits raises ValueError.
        problem = Problem("syntax", "not TOML", str(error))
    except RecursionError:
        # The depth at which tomllib gives up depends on the caller's stack, but no
        # document nested that deeply is a catalogue.
        problem = Problem("syntax", "not TOML", "nested too deeply")
    raise CatalogueError(source, (problem,))
