"""Runs a host controller for a scene that has the log, the hosts and the owners."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Protocol

from bergamotgap.domain.fleet import Wave
from bergamotgap.pools.fleet_view import DocumentFormat, FleetView
from bergamotgap.pools.host_controller import HostController
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.pools.wave_records import restore_wave_progress
from bergamotgap.ports.fleet import Fence, MachineService
from bergamotgap.ports.pool_peer import PoolCall, PoolReply
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock


class ControlledScene(Protocol):
    """What a host controller works on."""

    clock: LoopClock
    store: FakeStore
    machines: MachineService
    fleet_view: FleetView
    is_confirmed: bool
    call_owner: Callable[[PoolCall], Awaitable[PoolReply | NoReply]]
    report_wave: Callable[[Wave, bool], Awaitable[None]]


def build_fleet_view(clock: LoopClock) -> FleetView:
    """Return a view that reads no documents; tests set its configuration and waves."""
    return FleetView(DocumentFormat("config", "wave/", *[_fail_if_called] * 3), clock)


def _fail_if_called(*_: object) -> None:  # type: ignore[misc]
    raise AssertionError


@asynccontextmanager
async def run_host_controller(
    scene: ControlledScene, token: int, partition: tuple[str, int]
) -> AsyncIterator[HostController]:
    """Run a host controller until the context ends, then kill it."""
    fence = Fence("@hosts", token, 0)
    journal = Journal(scene.store, *partition, fence, scene.clock, lambda: None)
    newest = await scene.store.read_newest_values(*partition)
    controller = HostController(
        token,
        0,
        journal,
        restore_wave_progress(newest.values, scene.clock.monotonic_ms()),
        scene.machines,
        scene.fleet_view,
        scene.call_owner,
        scene.report_wave,
        lambda: scene.is_confirmed,
        SETTINGS,
        scene.clock,
    )
    tasks = [asyncio.create_task(run()) for run in (journal.run, controller.run)]
    try:
        yield controller
    finally:
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        errors = [r for r in results if isinstance(r, Exception)]
        assert not errors, errors
