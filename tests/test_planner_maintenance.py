"""Tests of maintenance waves with failing workers and changing planners."""

import pytest

from bergamotgap.domain.budget import count_required_hosts
from bergamotgap.domain.control_data import count_serving_hosts, list_pool_hosts
from bergamotgap.domain.records import DrainStarted, HostDown, HostUp, WaveDeclared
from bergamotgap.ports.worker import ListedTask, WorkerStatus
from tests.fakes_control import PlannerHarness, build_log


def build_harness(availability: float = 0.66) -> PlannerHarness:
    """Return a planner with a wave of six hosts of `web` and three of `spare`."""
    log = build_log({"web": (6, 2, 8), "spare": (3, 0, 12)}, availability)
    log.add_all(WaveDeclared("w", tuple(sorted(log.state.hosts)), "operator"))
    return PlannerHarness(log)


def list_draining(harness: PlannerHarness) -> list[str]:
    hosts = harness.state.hosts.items()
    return sorted(name for name, host in hosts if host.draining_in)


def check_budgets(harness: PlannerHarness) -> None:
    catalogue = harness.state.catalogue
    assert catalogue is not None
    for pool in catalogue.pools:
        hosts = list_pool_hosts(harness.state.hosts, pool.name)
        serving = [
            host
            for host in hosts
            if harness.workers.by_host[host.facts.host].state == "serving"
        ]
        needed = count_required_hosts(catalogue, pool.name, len(hosts))
        assert min(count_serving_hosts(hosts), len(serving)) >= needed


@pytest.mark.fault("crash", "drain")
@pytest.mark.fault("crash", "reboot")
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_wave_finishes_within_the_budgets(is_replaced: bool) -> None:
    """Guards against waves that exceed a budget or need one planner's memory."""
    harness = build_harness()
    for _ in range(60):
        if is_replaced:
            harness.replace_planner()
        await harness.step()
        check_budgets(harness)
        racks = {
            harness.state.hosts[name].facts.rack for name in list_draining(harness)
        }
        assert len(racks) <= 1
    assert harness.state.waves["w"].status == "completed"
    reboots = [
        worker.calls.count("reboot") for worker in harness.workers.by_host.values()
    ]
    assert reboots == [1] * 9


@pytest.mark.fault("crash", "reboot")
async def test_failures_pause_a_wave() -> None:
    """Guards against a wave that continues while failures use up the budget."""
    harness = build_harness()
    for name in ("web-2", "web-4"):
        harness.workers.by_host[name].is_silent = True
    await harness.step(40)
    assert not harness.state.hosts["web-2"].is_serving
    assert not any(
        "drain" in harness.workers.by_host[f"web-{n}"].calls for n in range(6)
    )
    assert {"spare-0", "spare-1", "spare-2"} <= set(harness.state.waves["w"].done)
    for name in ("web-2", "web-4"):
        harness.workers.by_host[name].is_silent = False
    await harness.step(60)
    assert harness.state.waves["w"].status == "completed"


@pytest.mark.fault("platform_down", "drain")
@pytest.mark.fault("cut_from_platform", "drain")
async def test_nothing_starts_without_the_platform() -> None:
    """Guards against drains and reboots while no record can be appended."""
    harness = build_harness()
    harness.platform.is_up = False
    await harness.step(10)
    assert all(worker.calls == [] for worker in harness.workers.by_host.values())
    assert list_draining(harness) == []
    harness.platform.is_up = True
    await harness.step()
    begun = list_draining(harness)
    assert begun != []
    for name in begun:
        harness.workers.by_host[name].busy = 1
    harness.platform.is_up = False
    await harness.step(5)
    for name in begun:
        harness.workers.by_host[name].busy = 0
    await harness.step(5)
    assert all("reboot" not in harness.workers.by_host[name].calls for name in begun)


async def test_reboot_waits_for_tasks_and_then_ends_them() -> None:
    """Guards against reboots that interrupt tasks, and against waiting forever."""
    harness = build_harness()
    await harness.step()
    name = list_draining(harness)[0]
    worker = harness.workers.by_host[name]
    worker.busy = 1
    # Sent by another entry host, so that only the worker knows of it.
    worker.tasks = [ListedTask("t", f"run-{name.partition('-')[0]}", "normal")]
    await harness.step(10)
    assert worker.calls == ["drain"]
    harness.clock.advance_ms(30_000)
    await harness.step()
    assert worker.calls[-1] == "checkpoint t"
    harness.clock.advance_ms(120_000)
    await harness.step()
    assert worker.calls[-1] == "stop t"
    await harness.step()
    assert worker.calls[-1] == "reboot"


@pytest.mark.fault("freeze", "drain")
async def test_paused_planner_does_not_drain_a_worker() -> None:
    """Guards against draining a worker although the drain's record had no effect."""
    harness = build_harness()
    append = harness.platform.append

    async def append_late(stream: str, record_id: str, body: str) -> int:
        if "DrainStarted" in body and harness.platform.appended == []:
            harness.platform.log.add_all(HostDown("web-5", "boot-1"))
            harness.platform.log.add_all(HostUp("web-5", "boot-1"))
        return await append(stream, record_id, body)

    harness.platform.append = append_late  # type: ignore[method-assign]
    await harness.step()
    assert isinstance(harness.platform.appended[0], DrainStarted)
    assert list_draining(harness) == []
    assert all(worker.calls == [] for worker in harness.workers.by_host.values())


@pytest.mark.fault("freeze", "drain")
@pytest.mark.fault("freeze", "reboot")
@pytest.mark.parametrize("call", ["drain", "reboot"])
async def test_paused_planner_leaves_a_maintained_host_alone(call: str) -> None:
    """Guards against a second drain or reboot by a planner that read an old status."""
    harness = build_harness()
    if call == "reboot":
        await harness.step()
    fetch_status = harness.workers.fetch_status
    maintained: list[str] = []

    async def fetch_then_pause(address: str) -> WorkerStatus:
        status = await fetch_status(address)
        # While this planner is paused, another one drains and reboots the host.
        worker = harness.workers.by_host[harness.find_host(address)]
        worker.state, worker.boot = "serving", worker.boot + 1
        maintained.append(address)
        return status

    harness.workers.fetch_status = fetch_then_pause  # type: ignore[method-assign]
    await harness.step()
    workers = [harness.workers.by_host[harness.find_host(name)] for name in maintained]
    assert workers != []
    assert all(worker.calls.count(call) == 0 for worker in workers)
    assert all(worker.state == "serving" for worker in workers)
