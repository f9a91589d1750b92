"""Carry one idempotent request from admission to the whole answer."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from bergamotgap.domain.catalogue import Entry
from bergamotgap.domain.clock import Clock
from bergamotgap.node.placement import Placement, Placer
from bergamotgap.ports.worker import TaskAnswer, TaskOrder, WorkerClient

PROGRESS_MS = 5000


class Dispatcher:
    """Run idempotent requests on workers."""

    def __init__(self, placer: Placer, client: WorkerClient, clock: Clock) -> None:
        self._placer = placer
        self._client = client
        self._clock = clock

    @asynccontextmanager
    async def run(
        self, entry: Entry, body: bytes, deadline_at_ms: int
    ) -> AsyncIterator[TaskAnswer]:
        """Run a request and yield the answer while it arrives.

        Raises NotAdmittedError or a WorkerError; `deadline_at_ms` is monotonic.
        """
        started_ms = self._clock.monotonic_ms()
        async with self._placer.place(entry, deadline_at_ms) as placement:
            order = build_order(entry, placement, body, deadline_at_ms - started_ms)
            async with self._client.run(
                placement.address, order, PROGRESS_MS
            ) as answer:
                yield answer
            run_ms = self._clock.monotonic_ms() - started_ms
            self._placer.note_success(entry, placement.host, run_ms)


def build_order(
    entry: Entry,
    placement: Placement,
    body: bytes,
    lease_ms: int,
    task: str | None = None,
    start_before_ms: int | None = None,
) -> TaskOrder:
    """Return the order for a placed task; a random task id unless one is given."""
    return TaskOrder(
        task=task or secrets.token_hex(12),
        entry=entry.name,
        urgency=entry.urgency,
        epoch=placement.epoch,
        boot_id=placement.boot_id,
        start_before_ms=start_before_ms,
        lease_ms=lease_ms,
        cpus=entry.cpus,
        memory_mb=entry.memory_mb,
        accelerators=entry.accelerators,
        body=body,
    )
