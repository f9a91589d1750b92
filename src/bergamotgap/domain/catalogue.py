"""The catalogue that operators edit: pools, owners, callers and entries."""

import tomllib
from enum import StrEnum
from typing import Annotated, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

MAX_CATALOGUE_BYTES = 512 * 1024
MAX_DEADLINE_MS = 24 * 3600 * 1000
NAME_PATTERN = r"^[a-z][a-z0-9-]{0,62}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


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
    model_config = ConfigDict(frozen=True, extra="forbid", strict=False)


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
    entries: frozenset[Name]


class Entry(_Model):
    """One kind of work: who owns it, where it runs and within which limits."""

    name: Name
    owner: Name
    pool: Name
    urgency: Urgency
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

    pools: tuple[Pool, ...] = Field(min_length=1, max_length=1000)
    owners: tuple[Owner, ...] = Field(min_length=1, max_length=10_000)
    callers: tuple[Caller, ...] = Field(max_length=10_000)
    entries: tuple[Entry, ...] = Field(min_length=1, max_length=10_000)

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        problems = _list_problems(self)
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def find_entry(self, name: str) -> Entry | None:
        """Return the entry of that name."""
        return next((entry for entry in self.entries if entry.name == name), None)

    def find_pool(self, name: str) -> Pool | None:
        """Return the pool of that name."""
        return next((pool for pool in self.pools if pool.name == name), None)

    @property
    def spare_pool(self) -> Pool | None:
        """Return the buffer pool, if one is named."""
        return next((pool for pool in self.pools if pool.spare), None)


def _list_duplicates(kind: str, names: list[str]) -> list[str]:
    repeated = sorted({name for name in names if names.count(name) > 1})
    return [f"{kind}: name {name!r} is used more than once" for name in repeated]


def _list_problems(catalogue: Catalogue) -> list[str]:
    pools = [pool.name for pool in catalogue.pools]
    owners = [owner.name for owner in catalogue.owners]
    entries = [entry.name for entry in catalogue.entries]
    problems = _list_duplicates("pools", pools) + _list_duplicates("owners", owners)
    problems += _list_duplicates("entries", entries)
    problems += _list_duplicates("callers", [c.name for c in catalogue.callers])
    for index, entry in enumerate(catalogue.entries):
        if entry.pool not in pools:
            problems.append(f"entries[{index}].pool: {entry.pool!r} is no pool")
        if entry.owner not in owners:
            problems.append(f"entries[{index}].owner: {entry.owner!r} is no owner")
    for index, caller in enumerate(catalogue.callers):
        for name in sorted(caller.entries - set(entries)):
            problems.append(f"callers[{index}].entries: {name!r} is no entry")
    for index, pool in enumerate(catalogue.pools):
        if pool.min_hosts > pool.max_hosts:
            problems.append(f"pools[{index}].min_hosts: above max_hosts")
    if sum(pool.spare for pool in catalogue.pools) > 1:
        problems.append("pools: more than one pool is marked spare")
    return problems


def parse_catalogue(document: str) -> Catalogue:
    """Parse a TOML document; raises ValueError when it is not a valid catalogue."""
    return Catalogue.model_validate(tomllib.loads(document))
