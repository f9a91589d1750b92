"""Maintenance waves against workers that fail, and planners that replace each other."""

import pytest

from bergamotgap.domain.budget import count_required_hosts
from bergamotgap.domain.control_data import count_serving_hosts, list_pool_hosts
from bergamotgap.domain.records import DrainStarted, HostDown, HostUp, WaveDeclared
from bergamotgap.ports.worker import ListedTask, WorkerStatus
from tests.fakes_control import PlannerHarness, build_log


def build_site(availability: float = 0.66) -> PlannerHarness:
    """Return six web hosts and three spare ones in one wave."""
    log = build_log({"web": (6, 2, 8), "spare": (3, 0, 12)}, availability)
    log.add_all(WaveDeclared("w", tuple(sorted(log.state.hosts)), "operator"))
    return PlannerHarness(log)


def list_draining(site: PlannerHarness) -> list[str]:
    hosts = site.state.hosts.items()
    return sorted(name for name, host in hosts if host.draining_in)


def check_budgets(site: PlannerHarness) -> None:
    catalogue = site.state.catalogue
    assert catalogue is not None
    for pool in catalogue.pools:
        hosts = list_pool_hosts(site.state.hosts, pool.name)
        serving = [
            host
            for host in hosts
            if site.workers.by_host[host.facts.host].state == "serving"
        ]
        needed = count_required_hosts(catalogue, pool.name, len(hosts))
        assert min(count_serving_hosts(hosts), len(serving)) >= needed


@pytest.mark.fault("crash", "drain")
@pytest.mark.fault("crash", "reboot")
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_wave_finishes_within_the_budgets(is_replaced: bool) -> None:
    """Guards against waves that break a budget or depend on one planner's memory."""
    site = build_site()
    for _ in range(60):
        if is_replaced:
            site.replace_planner()
        await site.step()
        check_budgets(site)
        racks = {site.state.hosts[name].facts.rack for name in list_draining(site)}
        assert len(racks) <= 1
    assert site.state.waves["w"].status == "completed"
    reboots = [worker.calls.count("reboot") for worker in site.workers.by_host.values()]
    assert reboots == [1] * 9


@pytest.mark.fault("crash", "reboot")
async def test_failures_pause_a_wave() -> None:
    """Guards against a wave that goes on while failures use up the budget."""
    site = build_site()
    for name in ("web-2", "web-4"):
        site.workers.by_host[name].is_silent = True
    await site.step(40)
    assert not site.state.hosts["web-2"].is_serving
    assert not any("drain" in site.workers.by_host[f"web-{n}"].calls for n in range(6))
    assert {"spare-0", "spare-1", "spare-2"} <= set(site.state.waves["w"].done)
    for name in ("web-2", "web-4"):
        site.workers.by_host[name].is_silent = False
    await site.step(60)
    assert site.state.waves["w"].status == "completed"


@pytest.mark.fault("platform_down", "drain")
@pytest.mark.fault("cut_from_platform", "drain")
async def test_nothing_starts_without_the_platform() -> None:
    """Guards against drains that no log record covers."""
    site = build_site()
    site.platform.is_up = False
    await site.step(10)
    assert all(worker.calls == [] for worker in site.workers.by_host.values())
    assert list_draining(site) == []
    site.platform.is_up = True
    await site.step()
    begun = list_draining(site)
    assert begun != []
    for name in begun:
        site.workers.by_host[name].busy = 1
    site.platform.is_up = False
    await site.step(5)
    for name in begun:
        site.workers.by_host[name].busy = 0
    await site.step(5)
    assert all("reboot" not in site.workers.by_host[name].calls for name in begun)


async def test_reboot_waits_for_tasks_and_then_ends_them() -> None:
    """Guards against reboots that cut off tasks, and against endless waits."""
    site = build_site()
    await site.step()
    name = list_draining(site)[0]
    worker = site.workers.by_host[name]
    worker.busy = 1
    # Sent by another entry host, so that only the worker knows of it.
    worker.tasks = [ListedTask("t", f"run-{name.partition('-')[0]}", "normal")]
    await site.step(10)
    assert worker.calls == ["drain"]
    site.clock.advance_ms(30_000)
    await site.step()
    assert worker.calls[-1] == "checkpoint t"
    site.clock.advance_ms(120_000)
    await site.step()
    assert worker.calls[-1] == "stop t"
    await site.step()
    assert worker.calls[-1] == "reboot"


@pytest.mark.fault("freeze", "drain")
async def test_paused_planner_does_not_drain_a_worker() -> None:
    """Guards against a worker that drains although its record had no effect."""
    site = build_site()
    append = site.platform.append

    async def append_late(stream: str, record_id: str, body: str) -> int:
        if "DrainStarted" in body and site.platform.appended == []:
            site.platform.log.add_all(HostDown("web-5", "boot-1"))
            site.platform.log.add_all(HostUp("web-5", "boot-1"))
        return await append(stream, record_id, body)

    site.platform.append = append_late  # type: ignore[method-assign]
    await site.step()
    assert isinstance(site.platform.appended[0], DrainStarted)
    assert list_draining(site) == []
    assert all(worker.calls == [] for worker in site.workers.by_host.values())


@pytest.mark.fault("freeze", "drain")
@pytest.mark.fault("freeze", "reboot")
@pytest.mark.parametrize("call", ["drain", "reboot"])
async def test_paused_planner_leaves_a_maintained_host_alone(call: str) -> None:
    """Guards against a second drain or reboot by a planner that read an old status."""
    site = build_site()
    if call == "reboot":
        await site.step()
    fetch_status = site.workers.fetch_status
    maintained: list[str] = []

    async def fetch_then_pause(address: str) -> WorkerStatus:
        status = await fetch_status(address)
        # While this planner is paused, another one drains and reboots the host.
        worker = site.workers.by_host[site.find_host(address)]
        worker.state, worker.boot = "serving", worker.boot + 1
        maintained.append(address)
        return status

    site.workers.fetch_status = fetch_then_pause  # type: ignore[method-assign]
    await site.step()
    workers = [site.workers.by_host[site.find_host(name)] for name in maintained]
    assert workers != []
    assert all(worker.calls.count(call) == 0 for worker in workers)
    assert all(worker.state == "serving" for worker in workers)
