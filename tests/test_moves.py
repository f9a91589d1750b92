"""Host moves: each step from any planner, and stale planners without effect."""

import pytest

from bench.moves import compare
from bergamotgap.domain.records import (
    CataloguePublished,
    HostAssigned,
    HostReleased,
    HostUp,
)
from bergamotgap.node.worker_steps import CHECKPOINT_AFTER_MS, STOP_AFTER_MS
from bergamotgap.ports.worker import ListedTask
from tests.fakes_control import PlannerHarness, build_log, write_catalogue

PEAK_SLOTS = 80.0


@pytest.fixture
def site() -> PlannerHarness:
    site = PlannerHarness(
        build_log({"web": (6, 3, 12), "spare": (9, 3, 12)}, availability=0.5)
    )
    site.demand = {"web": PEAK_SLOTS}
    return site


def list_hosts_of(site: PlannerHarness, pool: str | None) -> list[str]:
    hosts = site.state.hosts.items()
    return sorted(name for name, host in hosts if host.pool == pool)


@pytest.mark.fault("crash", "move_release")
@pytest.mark.fault("crash", "move_assign")
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_short_pool_gets_hosts_from_the_spare_pool(is_replaced: bool) -> None:
    """Guards against moves that only the planner that began them can finish."""
    site = PlannerHarness(
        build_log({"web": (6, 3, 12), "spare": (9, 3, 12)}, availability=0.5)
    )
    site.demand = {"web": PEAK_SLOTS}
    for _ in range(8):
        if is_replaced:
            site.replace_planner()
        await site.step()
    assert len(list_hosts_of(site, "web")) >= PEAK_SLOTS / 8
    assert list_hosts_of(site, None) == []
    for name, host in site.state.hosts.items():
        worker = site.workers.by_host[name]
        assert (worker.pool, worker.epoch) == (host.pool, host.epoch)
    moves = len(site.platform.appended)
    await site.step(10)
    assert len(site.platform.appended) == moves


@pytest.mark.fault("lapsed_lease", "move_assign")
async def test_host_is_assigned_only_when_its_worker_has_no_task(
    site: PlannerHarness,
) -> None:
    """Guards against a host that serves two pools at once (P2)."""
    for worker in site.workers.by_host.values():
        worker.busy = 1
    await site.step(5)
    released = list_hosts_of(site, None)
    assert released != [] and len(list_hosts_of(site, "web")) == 6
    assert all(site.workers.by_host[name].pool is None for name in released)
    for worker in site.workers.by_host.values():
        worker.busy = 0
    await site.step()
    assert list_hosts_of(site, None) == []


@pytest.mark.fault("silent_connection", "move_release")
async def test_release_without_acknowledgement_is_not_assigned(
    site: PlannerHarness,
) -> None:
    """Guards against assigning a host whose worker still takes tasks of its pool."""
    await site.step()
    site.demand = {}
    stuck = "web-5"
    worker = site.workers.by_host[stuck]
    host = site.state.hosts[stuck]
    worker.is_silent = True
    plan_base = site.state.plan_revision
    site.platform.log.add_all(HostReleased(stuck, host.epoch, plan_base))
    await site.step(3)
    assert site.state.hosts[stuck].pool is None
    worker.is_silent, worker.ignores_assignments = False, True
    await site.step(3)
    assert site.state.hosts[stuck].pool is None
    worker.ignores_assignments = False
    await site.step(3)
    assert site.state.hosts[stuck].pool is not None
    assert worker.calls[0].startswith("assign None")


@pytest.mark.fault("freeze", "move_release")
@pytest.mark.fault("freeze", "move_assign")
@pytest.mark.parametrize("kind", [HostReleased, HostAssigned])
async def test_paused_planner_moves_nothing(
    site: PlannerHarness, kind: type[HostReleased] | type[HostAssigned]
) -> None:
    """Guards against a planner that resumes and acts on a plan of long ago."""
    append = site.platform.append
    late: list[str] = []

    async def append_late(stream: str, record_id: str, body: str) -> int:
        if kind.__name__ in body and not late:
            # While this planner was paused, another one changed the plan.
            late.append(record_id)
            site.platform.log.add_all(HostUp("web-0", "boot-9"))
        return await append(stream, record_id, body)

    site.platform.append = append_late  # type: ignore[method-assign]
    await site.step()
    stale = next(item for item in site.platform.appended if isinstance(item, kind))
    host = site.state.hosts[stale.host]
    assert host.epoch == stale.epoch
    calls = site.workers.by_host[stale.host].calls
    assert f"assign web {stale.epoch + 1}" not in calls
    assert f"assign None {stale.epoch + 1}" not in calls


async def test_hosts_of_a_dropped_pool_find_a_new_one(site: PlannerHarness) -> None:
    """Guards against hosts lost to a pool that the catalogue no longer has."""
    site.demand = {}
    document = write_catalogue({"other": (0, 20)}, 0.5, spare="other")
    site.platform.log.add_all(CataloguePublished(2, 1, document, "operator"))
    await site.step(3)
    assert len(list_hosts_of(site, "other")) == 15


async def test_moves_keep_least_size_and_budget_of_the_donor(
    site: PlannerHarness,
) -> None:
    """Guards against a peak that empties the other pools."""
    site.demand = {"web": 1000.0}
    await site.step(10)
    assert len(list_hosts_of(site, "web")) == 12
    assert len(list_hosts_of(site, "spare")) == 3


def test_policy_keeps_its_promises_on_the_trace_of_the_benchmark() -> None:
    """Guards against a policy that moves or holds more hosts, or misses work."""
    results = compare()
    static = results[0]
    rows = {(item.policy, item.hosts): item for item in results}
    ours, greedy = rows["bergamotgap", 29], rows["greedy mover", 29]
    assert ours.missed == static.missed == greedy.missed == 0
    assert ours.spare_host_seconds < static.spare_host_seconds / 2
    assert ours.moves < greedy.moves / 4


@pytest.mark.fault("crash", "move_release")
async def test_release_that_waits_too_long_ends_the_tasks(site: PlannerHarness) -> None:
    """Guards against a released host held for good by tasks of other entry hosts."""
    for worker in site.workers.by_host.values():
        worker.busy = 1
        worker.tasks = [ListedTask("t", "run-spare", "batch")]
    await site.step(5)
    released = list_hosts_of(site, None)
    workers = [site.workers.by_host[name] for name in released]
    assert not {"checkpoint t", "stop t"} & {c for w in workers for c in w.calls}
    site.clock.advance_ms(CHECKPOINT_AFTER_MS)
    await site.step()
    assert all(worker.calls[-1] == "checkpoint t" for worker in workers)
    site.clock.advance_ms(STOP_AFTER_MS)
    await site.step(2)
    assert all("stop t" in worker.calls for worker in workers)
    assert all(site.state.hosts[name].pool is not None for name in released)
