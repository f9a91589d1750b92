"""State of catalogue, hosts and waves, folded from the `control` stream."""

from dataclasses import replace
from functools import singledispatchmethod
from typing import Self

import msgspec

from bergamotgap.domain.budget import can_drain, can_release
from bergamotgap.domain.catalogue import Catalogue, parse_catalogue
from bergamotgap.domain.control_data import (
    ControlData,
    HostState,
    Revision,
    Wave,
    count_serving_hosts,
    list_pool_hosts,
)
from bergamotgap.domain.folding import Applied, Effect, Rejected, Stamp
from bergamotgap.domain.records import (
    CataloguePublished,
    DrainStarted,
    HostAssigned,
    HostDown,
    HostMaintained,
    HostReleased,
    HostRemoved,
    HostSeen,
    HostUp,
    Record,
    WaveCancelled,
    WaveDeclared,
)

__all__ = ["ControlState", "HostState", "Revision", "Wave", "is_news"]

# History kept for operators. Larger values would make every snapshot larger.
KEPT_REVISIONS = 50
KEPT_CLOSED_WAVES = 50


def is_news(known: HostState | None, record: HostSeen) -> bool:
    """Return whether a `HostSeen` record changes what is known of the host.

    The home pool of a known host is ignored: a host changes its pool only by
    `HostReleased` and `HostAssigned`.
    """
    if known is None:
        return True
    # Fast path: most records are equal, and `replace` costs more than a comparison.
    if record == known.facts:
        return False
    return replace(record, pool=known.facts.pool) != known.facts


class ControlState:
    """Fold of the `control` stream."""

    def __init__(self, data: ControlData | None = None) -> None:
        self._data = data or ControlData()
        self._catalogue: Catalogue | None = None
        if self._data.revisions:
            self._catalogue = parse_catalogue(self._data.revisions[-1].document)

    @property
    def revision(self) -> int:
        """Return the catalogue revision in force; 0 before the first."""
        return self._data.revisions[-1].revision if self._data.revisions else 0

    @property
    def catalogue(self) -> Catalogue | None:
        """Return the catalogue in force."""
        return self._catalogue

    @property
    def hosts(self) -> dict[str, HostState]:
        """Return hosts by name; callers must not modify the result."""
        return self._data.hosts

    @property
    def revisions(self) -> dict[int, Revision]:
        """Return the retained revisions by number, oldest first."""
        return {revision.revision: revision for revision in self._data.revisions}

    @property
    def older_revisions(self) -> int:
        """Return how many revisions were dropped from the history."""
        return self._data.older_revisions

    @property
    def waves(self) -> dict[str, Wave]:
        """Return open and recently closed waves; callers must not modify the result."""
        return self._data.waves

    @property
    def plan_revision(self) -> int:
        """Return the version of the host plan.

        It grows with each applied release, assignment and start of a drain, and when a
        host comes up or reports a new boot id.
        """
        return self._data.plan_revision

    def encode(self) -> bytes:
        """Encode the whole state; equal states encode to equal bytes."""
        return msgspec.json.encode(self._data)

    @classmethod
    def decode(cls, encoded: bytes) -> Self:
        """Restore a state encoded by `encode`."""
        return cls(msgspec.json.decode(encoded, type=ControlData))

    @singledispatchmethod
    def _apply(self, record: Record, stamp: Stamp) -> Effect:
        return Rejected("wrong_stream", type(record).__name__)

    def apply(self, stamp: Stamp, record: Record) -> Effect:
        """Apply one record; records must be applied in offset order."""
        return self._apply(record, stamp)

    @_apply.register
    def _publish_catalogue(self, record: CataloguePublished, stamp: Stamp) -> Effect:
        current = self.revision
        if record.base_revision != current or record.revision != current + 1:
            detail = f"revision {current} is in force, not {record.base_revision}"
            return Rejected("revision_conflict", detail)
        try:
            self._catalogue = parse_catalogue(record.document)
        except ValueError as error:
            return Rejected("invalid_catalogue", str(error))
        revisions = self._data.revisions
        revisions.append(
            Revision(
                record.revision, record.document, record.operator, stamp.appended_ms
            )
        )
        while len(revisions) > KEPT_REVISIONS:
            del revisions[0]
            self._data.older_revisions += 1
        return Applied()

    @_apply.register
    def _update_host_facts(self, record: HostSeen, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        if not is_news(known, record):
            return Rejected("no_change")
        if known is None:
            epoch = self._data.epoch_floor + 1
            self.hosts[record.host] = HostState(record, record.pool, epoch)
        else:
            self.hosts[record.host] = replace(known, facts=record)
        return Applied()

    @_apply.register
    def _release_host(self, record: HostReleased, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        problem = self._check_move(known, record)
        if problem is not None or known is None:
            return problem or Rejected("unknown_host")
        if known.pool is None or not known.is_serving:
            return Rejected("not_serving", record.host)
        hosts = list_pool_hosts(self.hosts, known.pool)
        if self._catalogue is None:
            return Rejected("no_catalogue")
        if not can_release(
            self._catalogue, known.pool, len(hosts), count_serving_hosts(hosts)
        ):
            return Rejected("budget", f"pool {known.pool} needs all its serving hosts")
        return self._change_pool(
            replace(known, pool=None, changed_ms=stamp.appended_ms)
        )

    @_apply.register
    def _assign_host(self, record: HostAssigned, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        problem = self._check_move(known, record)
        if problem is not None or known is None:
            return problem or Rejected("unknown_host")
        if known.pool is not None:
            return Rejected("in_pool", known.pool)
        if known.is_down:
            return Rejected("host_down", record.host)
        pool = self._catalogue.find_pool(record.pool) if self._catalogue else None
        if pool is None:
            return Rejected("unknown_pool", record.pool)
        if len(list_pool_hosts(self.hosts, pool.name)) >= pool.max_hosts:
            return Rejected("pool_full", pool.name)
        return self._change_pool(
            replace(known, pool=pool.name, assigned_ms=stamp.appended_ms)
        )

    def _check_move(
        self, known: HostState | None, record: HostReleased | HostAssigned
    ) -> Rejected | None:
        if known is None:
            return Rejected("unknown_host", record.host)
        if known.epoch != record.epoch:
            return Rejected("stale_epoch", f"current epoch is {known.epoch}")
        return self._check_plan_base(record.plan_base)

    def _check_plan_base(self, plan_base: int) -> Rejected | None:
        if plan_base != self.plan_revision:
            return Rejected("stale_plan", f"plan revision is now {self.plan_revision}")
        return None

    def _change_pool(self, host: HostState) -> Effect:
        self.hosts[host.facts.host] = replace(host, epoch=host.epoch + 1)
        self._data.plan_revision += 1
        return Applied()

    @_apply.register
    def _mark_host_down(self, record: HostDown, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        if known is None:
            return Rejected("unknown_host", record.host)
        if known.is_down:
            return Rejected("no_change")
        if known.boot_id is not None and known.boot_id != record.boot_id:
            return Rejected("stale_boot", f"current boot id is {known.boot_id}")
        self.hosts[record.host] = replace(known, is_down=True)
        return Applied()

    @_apply.register
    def _mark_host_up(self, record: HostUp, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        if known is None:
            return Rejected("unknown_host", record.host)
        # A draining host keeps the boot id from the start of the drain: comparing it
        # with the current one tells the next planner whether the host has rebooted.
        is_draining = known.draining_in is not None
        boot_id = known.boot_id if is_draining else record.boot_id
        if not known.is_down and boot_id == known.boot_id:
            return Rejected("no_change")
        self.hosts[record.host] = replace(known, is_down=False, boot_id=boot_id)
        # Invalidates drains that were planned with the old boot id.
        self._data.plan_revision += 1
        return Applied()

    @_apply.register
    def _remove_host(self, record: HostRemoved, stamp: Stamp) -> Effect:
        known = self.hosts.pop(record.host, None)
        if known is None:
            return Rejected("unknown_host", record.host)
        self._data.epoch_floor = max(self._data.epoch_floor, known.epoch)
        for name in list(self.waves):
            wave = self.waves.get(name)
            if wave is not None and record.host in wave.pending:
                removed = (*wave.removed, record.host)
                self._update_wave(replace(wave, removed=removed))
        return Applied()

    @_apply.register
    def _declare_wave(self, record: WaveDeclared, stamp: Stamp) -> Effect:
        if record.wave in self.waves:
            return Rejected("known_wave", record.wave)
        hosts = tuple(dict.fromkeys(record.hosts))
        unknown = [host for host in hosts if host not in self.hosts]
        if unknown:
            return Rejected("unknown_host", ", ".join(unknown))
        if not hosts:
            return Rejected("empty_wave", record.wave)
        self.waves[record.wave] = Wave(
            wave=record.wave,
            hosts=hosts,
            operator=record.operator,
            declared_ms=stamp.appended_ms,
            declared_offset=stamp.offset,
        )
        return Applied()

    @_apply.register
    def _cancel_wave(self, record: WaveCancelled, stamp: Stamp) -> Effect:
        wave = self.waves.get(record.wave)
        if wave is None:
            return Rejected("unknown_wave", record.wave)
        if wave.status != "open":
            return Rejected("closed_wave", wave.status)
        self.waves[record.wave] = replace(wave, status="cancelled")
        self._drop_closed_waves()
        return Applied()

    @_apply.register
    def _start_drain(self, record: DrainStarted, stamp: Stamp) -> Effect:
        wave = self.waves.get(record.wave)
        if wave is None or wave.status != "open":
            return Rejected("closed_wave", record.wave)
        known = self.hosts.get(record.host)
        if known is None or record.host not in wave.pending:
            return Rejected("not_in_wave", record.host)
        problem = self._check_plan_base(record.plan_base)
        if problem is not None:
            return problem
        if known.pool is None or not known.is_serving:
            return Rejected("not_serving", record.host)
        if known.boot_id is None:
            return Rejected("boot_unknown", record.host)
        hosts = list_pool_hosts(self.hosts, known.pool)
        if self._catalogue is None:
            return Rejected("no_catalogue")
        if not can_drain(
            self._catalogue, known.pool, len(hosts), count_serving_hosts(hosts)
        ):
            return Rejected("budget", f"pool {known.pool} needs all its serving hosts")
        self.hosts[record.host] = replace(
            known, draining_in=record.wave, changed_ms=stamp.appended_ms
        )
        self._data.plan_revision += 1
        return Applied()

    @_apply.register
    def _finish_maintenance(self, record: HostMaintained, stamp: Stamp) -> Effect:
        known = self.hosts.get(record.host)
        if known is None or known.draining_in != record.wave:
            return Rejected("not_draining", record.host)
        if known.boot_id == record.boot_id:
            return Rejected("same_boot", "the host has not rebooted")
        self.hosts[record.host] = replace(
            known, draining_in=None, is_down=False, boot_id=record.boot_id
        )
        wave = self.waves[record.wave]
        self._update_wave(replace(wave, done=(*wave.done, record.host)))
        return Applied()

    def _update_wave(self, wave: Wave) -> None:
        if wave.status == "open" and not wave.pending:
            wave = replace(wave, status="completed")
        self.waves[wave.wave] = wave
        self._drop_closed_waves()

    def _drop_closed_waves(self) -> None:
        in_use = {host.draining_in for host in self.hosts.values()}
        closed = [
            wave
            for wave in self.waves.values()
            if wave.status != "open" and wave.wave not in in_use
        ]
        closed.sort(key=lambda wave: (wave.declared_offset, wave.wave))
        for wave in closed[: max(0, len(closed) - KEPT_CLOSED_WAVES)]:
            del self.waves[wave.wave]
            self._data.older_waves += 1
