"""State of catalogue, hosts, pools and waves, folded from the `control` stream."""

from dataclasses import dataclass, field, replace
from functools import singledispatchmethod
from typing import Self

import msgspec

from bergamotgap.domain.catalogue import Catalogue, parse_catalogue
from bergamotgap.domain.folding import Applied, Effect, Rejected, Stamp
from bergamotgap.domain.records import (
    CataloguePublished,
    HostSeen,
    Record,
)


@dataclass(frozen=True, slots=True)
class HostState:
    """One host: where it is, its pool (None between pools) and its epoch."""

    facts: HostSeen
    pool: str | None
    epoch: int
    is_down: bool = False
    draining_in: str | None = None


@dataclass(frozen=True, slots=True)
class Revision:
    """One accepted revision of the catalogue."""

    revision: int
    document: str
    operator: str
    appended_ms: int


@dataclass(slots=True)
class _Data:
    revisions: dict[int, Revision] = field(default_factory=dict)
    hosts: dict[str, HostState] = field(default_factory=dict)
    plan_revision: int = 0


class ControlState:
    """Fold of the `control` stream."""

    def __init__(self, data: _Data | None = None) -> None:
        self._data = data or _Data()
        self._catalogue: Catalogue | None = None
        if self._data.revisions:
            self._catalogue = parse_catalogue(
                self._data.revisions[self.revision].document
            )

    @property
    def revision(self) -> int:
        """Return the catalogue revision in force; 0 before the first."""
        return max(self._data.revisions, default=0)

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the catalogue in force."""
        return self._catalogue

    @property
    def hosts(self) -> dict[str, HostState]:
        """Return hosts by name; not to be changed by the reader."""
        return self._data.hosts

    @property
    def revisions(self) -> dict[int, Revision]:
        """Return accepted revisions by number; not to be changed by the reader."""
        return self._data.revisions

    @property
    def plan_revision(self) -> int:
        """Return the number of moves and drains that took effect."""
        return self._data.plan_revision

    def encode(self) -> bytes:
        """Encode the whole state; equal states give equal bytes."""
        return msgspec.json.encode(self._data)

    @classmethod
    def decode(cls, encoded: bytes) -> Self:
        """Restore a state from `encode`."""
        return cls(msgspec.json.decode(encoded, type=_Data))

    @singledispatchmethod
    def _apply(self, record: Record, stamp: Stamp) -> Effect:
        return Rejected("wrong_stream", type(record).__name__)

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Fold one record in; records come in offset order."""
        return self._apply(record, stamp)

    @_apply.register
    def _publish(self, record: CataloguePublished, stamp: Stamp) -> Effect:
        current = self.revision
        if record.base_revision != current or record.revision != current + 1:
            detail = f"revision {current} is in force, not {record.base_revision}"
            return Rejected("revision_conflict", detail)
        try:
            self._catalogue = parse_catalogue(record.document)
        except ValueError as error:
            return Rejected("invalid_catalogue", str(error))
        self._data.revisions[record.revision] = Revision(
            record.revision, record.document, record.operator, stamp.appended_ms
        )
        return Applied()

    @_apply.register
    def _see_host(self, record: HostSeen, stamp: Stamp) -> Effect:
        known = self._data.hosts.get(record.host)
        if known is None:
            self._data.hosts[record.host] = HostState(record, record.pool, 1)
            return Applied()
        if known.facts == record:
            return Rejected("no_change")
        self._data.hosts[record.host] = replace(known, facts=record)
        return Applied()
