"""Tests of the planner with hosts that fail, leave or are listed wrongly."""

import pytest

from bergamotgap.domain.records import HostDown, HostRemoved
from bergamotgap.node.planner import is_planner_node
from tests.fakes_control import PlannerHarness, build_host_seen, build_log, list_hosts


@pytest.fixture
def harness() -> PlannerHarness:
    return PlannerHarness(
        build_log({"web": (6, 2, 8), "spare": (3, 0, 12)}, availability=0.5)
    )


@pytest.mark.fault("cut_between_data_centres", "running")
async def test_most_hosts_silent_means_this_node_is_cut_off(
    harness: PlannerHarness,
) -> None:
    """Guards against an isolated node that records the whole fleet as down."""
    for worker in harness.workers.by_host.values():
        worker.is_silent = True
    await harness.step(5)
    assert harness.platform.appended == []


@pytest.mark.fault("crash", "running")
async def test_failed_data_centre_is_recorded_and_comes_back(
    harness: PlannerHarness,
) -> None:
    """Guards against budgets that count silent hosts as serving."""
    failed = ["web-0", "web-3", "spare-0"]
    for name in failed:
        harness.workers.by_host[name].is_silent = True
    await harness.step()
    down = [name for name, host in harness.state.hosts.items() if host.is_down]
    assert sorted(down) == sorted(failed)
    for name in failed:
        harness.workers.by_host[name].is_silent = False
        harness.workers.by_host[name].boot = 2
    await harness.step()
    assert all(host.is_serving for host in harness.state.hosts.values())
    assert {harness.state.hosts[name].boot_id for name in failed} == {"boot-2"}


async def test_leaving_host_gets_no_work_and_counts_as_down(
    harness: PlannerHarness,
) -> None:
    """Guards against new work for a host that is leaving (promise P7)."""
    now_ms = harness.clock.wall_ms()
    harness.platform.listing = list_hosts(harness.state, now_ms, leaving=("web-0",))
    harness.workers.by_host["web-1"].state = "leaving"
    await harness.step()
    usable = [
        name
        for name, host in harness.state.hosts.items()
        if harness.planner.is_usable(host)
    ]
    assert len(usable) == 7 and not {"web-0", "web-1"} & set(usable)
    assert HostDown("web-1", "boot-1") in harness.platform.appended
    for name in ("web-0", "web-1"):
        assert harness.host_list.is_leaving(name, harness.workers.view(name))


@pytest.mark.fault("host_list_wrong", "dispatch")
async def test_list_that_shows_all_hosts_leaving_is_not_believed(
    harness: PlannerHarness,
) -> None:
    """Guards against a wrong list that takes every host out of service."""
    now_ms = harness.clock.wall_ms()
    names = tuple(harness.state.hosts)
    harness.platform.listing = list_hosts(harness.state, now_ms, leaving=names)
    await harness.step()
    assert all(harness.planner.is_usable(host) for host in harness.state.hosts.values())
    # An older listing that arrives late is ignored.
    harness.platform.listing = list_hosts(harness.state, now_ms - 1, leaving=("web-0",))
    await harness.step()
    assert harness.planner.is_usable(harness.state.hosts["web-0"])


@pytest.mark.fault("host_list_wrong", "running")
async def test_host_missing_from_the_list_stays_while_it_answers(
    harness: PlannerHarness,
) -> None:
    """Guards against a wrong list that removes hosts that are working."""
    await harness.step()
    shown = list_hosts(harness.state, 0).hosts
    for number in range(40):
        now_ms = harness.clock.wall_ms() + number
        hosts = tuple(facts for facts in shown if facts.host != "web-0")
        harness.platform.listing = type(list_hosts(harness.state, 0))(now_ms, hosts)
        await harness.step()
    assert "web-0" in harness.state.hosts
    harness.workers.by_host["web-0"].is_silent = True
    await harness.step(2)
    assert HostRemoved("web-0") in harness.platform.appended


async def test_new_address_is_recorded_once(harness: PlannerHarness) -> None:
    """Guards against a record that is repeated every second and fills the log."""
    moved = build_host_seen("web-0", "web", 0, address="127.0.0.1:9999")
    harness.platform.log.add_all(moved)
    shown = list_hosts(harness.state, harness.clock.wall_ms())
    harness.platform.log.add_all(build_host_seen("web-0", "web", 0))
    harness.platform.listing = shown
    await harness.step(3)
    assert harness.platform.appended == [moved]


@pytest.mark.fault("cut_from_platform", "drain")
def test_lowest_node_that_reaches_the_platform_plans() -> None:
    """Guards against no planner, or a planner that can't reach the log."""
    assert is_planner_node("entry-1", True, ["entry-2"])
    assert not is_planner_node("entry-2", True, ["entry-1"])
    assert is_planner_node("entry-2", True, ["entry-3"])
    assert not is_planner_node("entry-1", False, [])
