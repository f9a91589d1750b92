"""P1: availability budgets hold while maintenance waves and failures overlap."""

import asyncio

import pytest

from bergamotgap.domain.budget import is_within_budget
from bergamotgap.domain.control_data import count_serving_hosts, list_pool_hosts
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied
from bergamotgap.domain.records import DrainStarted, HostDown, WaveDeclared
from tests.promise_scene import (
    Step,
    append,
    fold,
    list_applied,
    poll,
    read_catalogue,
    run_fleet,
)
from tools.fleet import Fleet

POOL = "reconciliation"
WORKERS = 4


async def check_budgets(fleet: Fleet) -> None:
    """Check that no drain took effect that left an entry short of its budget."""
    catalogue = read_catalogue(fleet)
    drains = 0

    def check(state: ControlState, step: Step) -> None:
        nonlocal drains
        hosts = list_pool_hosts(state.hosts, POOL)
        if isinstance(step[1], DrainStarted) and isinstance(step[2], Applied):
            drains += 1
            assert is_within_budget(
                catalogue, POOL, len(hosts), count_serving_hosts(hosts)
            )
        failed = sum(host.is_down for host in hosts)
        # Only failures may take the pool below its budget, never maintenance.
        draining = any(host.draining_in and not host.is_down for host in hosts)
        if not failed and draining:
            assert is_within_budget(
                catalogue, POOL, len(hosts), count_serving_hosts(hosts)
            )

    await fold(fleet, ControlState(), check)
    assert drains >= WORKERS


async def are_waves_completed(fleet: Fleet) -> bool:
    state = await fold(fleet, ControlState())
    waves = state.waves.values()
    return len(waves) > 0 and all(wave.status == "completed" for wave in waves)


async def wait_until_known(fleet: Fleet) -> None:
    """Wait until a drain may begin: each host's boot id is recorded."""

    async def is_known() -> bool:
        hosts = (await fold(fleet, ControlState())).hosts.values()
        return len(hosts) == WORKERS and all(host.boot_id for host in hosts)

    await poll(is_known)


async def declare(fleet: Fleet, wave: str, hosts: range) -> None:
    names = tuple(f"{POOL}-{number}" for number in hosts)
    await append(fleet, WaveDeclared(wave, names, f"operator-{wave}"))


@pytest.mark.processes
@pytest.mark.fault("crash", "drain")
@pytest.mark.fault("operator_race", "drain")
async def test_overlapping_waves_end_within_budget_while_processes_die() -> None:
    """Guards against drains beyond a budget when a worker and the planner die."""
    async with run_fleet(
        workers_per_pool=WORKERS, node_count=2, pools=(POOL,)
    ) as fleet:
        await wait_until_known(fleet)
        fleet.kill(f"{POOL}-4")
        await asyncio.gather(
            declare(fleet, "a", range(1, 4)), declare(fleet, "b", range(2, 5))
        )

        async def is_down() -> bool:
            return bool(await list_applied(fleet, HostDown))

        async def is_draining() -> bool:
            return bool(await list_applied(fleet, DrainStarted))

        await poll(is_draining)
        fleet.kill("entry-1")
        await poll(is_down)
        fleet.start(f"{POOL}-4")
        await poll(lambda: are_waves_completed(fleet))
        await check_budgets(fleet)


@pytest.mark.processes
@pytest.mark.fault("freeze", "drain")
@pytest.mark.fault("freeze", "reboot")
async def test_planner_thawed_in_a_wave_drains_nothing_beyond_the_budget() -> None:
    """Guards against a paused planner that goes on with an old view of the wave."""
    async with run_fleet(
        workers_per_pool=WORKERS, node_count=2, pools=(POOL,), workers_per_process=4
    ) as fleet:
        await wait_until_known(fleet)
        await declare(fleet, "a", range(1, 5))

        async def has_drains(count: int) -> bool:
            return len(await list_applied(fleet, DrainStarted)) >= count

        await poll(lambda: has_drains(1))
        fleet.freeze("entry-1")
        await poll(lambda: has_drains(2))
        fleet.unfreeze("entry-1")
        await poll(lambda: are_waves_completed(fleet))
        await check_budgets(fleet)
