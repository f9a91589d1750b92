"""Hosts that fail, leave or are listed wrongly, as the planner sees them."""

import pytest

from bergamotgap.domain.records import HostDown, HostRemoved
from bergamotgap.node.planner import choose_planner
from tests.fakes_control import PlannerHarness, build_host_seen, build_log, list_hosts


@pytest.fixture
def site() -> PlannerHarness:
    return PlannerHarness(
        build_log({"web": (6, 2, 8), "spare": (3, 0, 12)}, availability=0.5)
    )


@pytest.mark.fault("cut_between_data_centres", "running")
async def test_most_hosts_silent_means_this_node_is_cut_off(
    site: PlannerHarness,
) -> None:
    """Guards against a cut-off node that records the whole fleet as down."""
    for worker in site.workers.by_host.values():
        worker.is_silent = True
    await site.step(5)
    assert site.platform.appended == []


@pytest.mark.fault("crash", "running")
async def test_failed_data_centre_is_recorded_and_comes_back(
    site: PlannerHarness,
) -> None:
    """Guards against budgets that count silent hosts as serving."""
    failed = ["web-0", "web-3", "spare-0"]
    for name in failed:
        site.workers.by_host[name].is_silent = True
    await site.step()
    down = [name for name, host in site.state.hosts.items() if host.is_down]
    assert sorted(down) == sorted(failed)
    for name in failed:
        site.workers.by_host[name].is_silent = False
        site.workers.by_host[name].boot = 2
    await site.step()
    assert all(host.is_serving for host in site.state.hosts.values())
    assert {site.state.hosts[name].boot_id for name in failed} == {"boot-2"}


async def test_leaving_host_gets_no_work_and_counts_as_down(
    site: PlannerHarness,
) -> None:
    """Guards against new work for a host that leaves (P7)."""
    now_ms = site.clock.wall_ms()
    site.platform.listing = list_hosts(site.state, now_ms, leaving=("web-0",))
    site.workers.by_host["web-1"].state = "leaving"
    await site.step()
    usable = [
        name for name, host in site.state.hosts.items() if site.planner.is_usable(host)
    ]
    assert len(usable) == 7 and not {"web-0", "web-1"} & set(usable)
    assert HostDown("web-1", "boot-1") in site.platform.appended
    for name in ("web-0", "web-1"):
        assert site.host_list.is_leaving(name, site.workers.view(name))


@pytest.mark.fault("host_list_wrong", "dispatch")
async def test_list_that_shows_all_hosts_leaving_is_not_believed(
    site: PlannerHarness,
) -> None:
    """Guards against a wrong list that takes every host out of service."""
    now_ms = site.clock.wall_ms()
    names = tuple(site.state.hosts)
    site.platform.listing = list_hosts(site.state, now_ms, leaving=names)
    await site.step()
    assert all(site.planner.is_usable(host) for host in site.state.hosts.values())
    # An older listing that arrives late is passed over.
    site.platform.listing = list_hosts(site.state, now_ms - 1, leaving=("web-0",))
    await site.step()
    assert site.planner.is_usable(site.state.hosts["web-0"])


@pytest.mark.fault("host_list_wrong", "running")
async def test_host_missing_from_the_list_stays_while_it_answers(
    site: PlannerHarness,
) -> None:
    """Guards against a wrong list that removes hosts at work."""
    await site.step()
    shown = list_hosts(site.state, 0).hosts
    for number in range(40):
        now_ms = site.clock.wall_ms() + number
        hosts = tuple(facts for facts in shown if facts.host != "web-0")
        site.platform.listing = type(list_hosts(site.state, 0))(now_ms, hosts)
        await site.step()
    assert "web-0" in site.state.hosts
    site.workers.by_host["web-0"].is_silent = True
    await site.step(2)
    assert HostRemoved("web-0") in site.platform.appended


async def test_new_address_is_recorded_once(site: PlannerHarness) -> None:
    """Guards against records that repeat each second and fill the log."""
    moved = build_host_seen("web-0", "web", 0, address="127.0.0.1:9999")
    site.platform.log.add_all(moved)
    shown = list_hosts(site.state, site.clock.wall_ms())
    site.platform.log.add_all(build_host_seen("web-0", "web", 0))
    site.platform.listing = shown
    await site.step(3)
    assert site.platform.appended == [moved]


@pytest.mark.fault("cut_from_platform", "drain")
def test_lowest_node_that_reaches_the_platform_plans() -> None:
    """Guards against no planner, or a planner that can't reach the log."""
    assert choose_planner("entry-1", True, ["entry-2"])
    assert not choose_planner("entry-2", True, ["entry-1"])
    assert choose_planner("entry-2", True, ["entry-3"])
    assert not choose_planner("entry-1", False, [])
