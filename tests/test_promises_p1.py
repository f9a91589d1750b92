"""P1: availability budgets hold while maintenance waves and failures overlap."""

import asyncio

import pytest

from bergamotgap.domain.budget import is_within_budget
from bergamotgap.domain.control_data import count_serving_hosts, list_pool_hosts
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied
from bergamotgap.domain.records import DrainStarted, HostDown, WaveDeclared
from tests.promise_harness import (
    FoldStep,
    append_record,
    fold_stream,
    list_applied,
    read_catalogue,
    run_fleet,
    wait_until,
)
from tools.fleet import Fleet

POOL = "reconciliation"
WORKERS = 4


async def check_budgets(fleet: Fleet) -> None:
    """Check that no drain took a pool below the availability budget of an entry."""
    catalogue = read_catalogue(fleet)
    drains = 0

    def check(state: ControlState, step: FoldStep) -> None:
        nonlocal drains
        hosts = list_pool_hosts(state.hosts, POOL)
        if isinstance(step[1], DrainStarted) and isinstance(step[2], Applied):
            drains += 1
            assert is_within_budget(
                catalogue, POOL, len(hosts), count_serving_hosts(hosts)
            )
        failed = sum(host.is_down for host in hosts)
        # Failures may take the pool below its budget, but maintenance must not.
        draining = any(host.draining_in and not host.is_down for host in hosts)
        if not failed and draining:
            assert is_within_budget(
                catalogue, POOL, len(hosts), count_serving_hosts(hosts)
            )

    await fold_stream(fleet, ControlState(), check)
    assert drains >= WORKERS


async def are_waves_completed(fleet: Fleet) -> bool:
    state = await fold_stream(fleet, ControlState())
    waves = state.waves.values()
    return len(waves) > 0 and all(wave.status == "completed" for wave in waves)


async def wait_until_hosts_known(fleet: Fleet) -> None:
    """Wait until drains can begin: the boot id of every host is recorded."""

    async def is_known() -> bool:
        hosts = (await fold_stream(fleet, ControlState())).hosts.values()
        return len(hosts) == WORKERS and all(host.boot_id for host in hosts)

    await wait_until(is_known)


async def declare_wave(fleet: Fleet, wave: str, hosts: range) -> None:
    names = tuple(f"{POOL}-{number}" for number in hosts)
    await append_record(fleet, WaveDeclared(wave, names, f"operator-{wave}"))


@pytest.mark.processes
@pytest.mark.fault("crash", "drain")
@pytest.mark.fault("operator_race", "drain")
async def test_overlapping_waves_end_within_budget_while_processes_die() -> None:
    """Guards against drains beyond a budget when a worker and the planner crash."""
    async with run_fleet(
        workers_per_pool=WORKERS, node_count=2, pools=(POOL,)
    ) as fleet:
        await wait_until_hosts_known(fleet)
        fleet.kill(f"{POOL}-4")
        await asyncio.gather(
            declare_wave(fleet, "a", range(1, 4)), declare_wave(fleet, "b", range(2, 5))
        )

        async def is_down() -> bool:
            return bool(await list_applied(fleet, HostDown))

        async def is_draining() -> bool:
            return bool(await list_applied(fleet, DrainStarted))

        await wait_until(is_draining)
        fleet.kill("entry-1")
        await wait_until(is_down)
        fleet.start(f"{POOL}-4")
        await wait_until(lambda: are_waves_completed(fleet))
        await check_budgets(fleet)


@pytest.mark.processes
@pytest.mark.fault("freeze", "drain")
@pytest.mark.fault("freeze", "reboot")
async def test_planner_unfrozen_in_a_wave_drains_nothing_beyond_the_budget() -> None:
    """Guards against a resumed planner that acts on an outdated view of the wave."""
    async with run_fleet(
        workers_per_pool=WORKERS, node_count=2, pools=(POOL,), workers_per_process=4
    ) as fleet:
        await wait_until_hosts_known(fleet)
        await declare_wave(fleet, "a", range(1, 5))

        async def has_drains(count: int) -> bool:
            return len(await list_applied(fleet, DrainStarted)) >= count

        await wait_until(lambda: has_drains(1))
        fleet.freeze("entry-1")
        await wait_until(lambda: has_drains(2))
        fleet.unfreeze("entry-1")
        await wait_until(lambda: are_waves_completed(fleet))
        await check_budgets(fleet)
