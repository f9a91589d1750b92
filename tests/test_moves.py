"""Tests of host moves: any planner can continue them, a stale one changes nothing."""

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
from tests.fakes_control import PlannerHarness, build_log, format_catalogue

PEAK_SLOTS = 80.0


@pytest.fixture
def harness() -> PlannerHarness:
    harness = PlannerHarness(
        build_log({"web": (6, 3, 12), "spare": (9, 3, 12)}, availability=0.5)
    )
    harness.demand = {"web": PEAK_SLOTS}
    return harness


def list_hosts_of(harness: PlannerHarness, pool: str | None) -> list[str]:
    hosts = harness.state.hosts.items()
    return sorted(name for name, host in hosts if host.pool == pool)


@pytest.mark.fault("crash", "move_release")
@pytest.mark.fault("crash", "move_assign")
@pytest.mark.parametrize("is_replaced", [False, True])
async def test_short_pool_gets_hosts_from_the_spare_pool(is_replaced: bool) -> None:
    """Guards against moves that only the planner that started them can finish."""
    harness = PlannerHarness(
        build_log({"web": (6, 3, 12), "spare": (9, 3, 12)}, availability=0.5)
    )
    harness.demand = {"web": PEAK_SLOTS}
    for _ in range(8):
        if is_replaced:
            harness.replace_planner()
        await harness.step()
    assert len(list_hosts_of(harness, "web")) >= PEAK_SLOTS / 8
    assert list_hosts_of(harness, None) == []
    for name, host in harness.state.hosts.items():
        worker = harness.workers.by_host[name]
        assert (worker.pool, worker.epoch) == (host.pool, host.epoch)
    moves = len(harness.platform.appended)
    await harness.step(10)
    assert len(harness.platform.appended) == moves


@pytest.mark.fault("lapsed_lease", "move_assign")
async def test_host_is_assigned_only_when_its_worker_has_no_task(
    harness: PlannerHarness,
) -> None:
    """Guards against a host that serves two pools at once (promise P2)."""
    for worker in harness.workers.by_host.values():
        worker.busy = 1
    await harness.step(5)
    released = list_hosts_of(harness, None)
    assert released != [] and len(list_hosts_of(harness, "web")) == 6
    assert all(harness.workers.by_host[name].pool is None for name in released)
    for worker in harness.workers.by_host.values():
        worker.busy = 0
    await harness.step()
    assert list_hosts_of(harness, None) == []


@pytest.mark.fault("silent_connection", "move_release")
async def test_release_without_acknowledgement_is_not_assigned(
    harness: PlannerHarness,
) -> None:
    """Guards against assigning a host whose worker still accepts tasks of its old pool.

    The worker first doesn't answer, then answers without applying the release.
    """
    await harness.step()
    harness.demand = {}
    stuck = "web-5"
    worker = harness.workers.by_host[stuck]
    host = harness.state.hosts[stuck]
    worker.is_silent = True
    plan_base = harness.state.plan_revision
    harness.platform.log.add_all(HostReleased(stuck, host.epoch, plan_base))
    await harness.step(3)
    assert harness.state.hosts[stuck].pool is None
    worker.is_silent, worker.ignores_assignments = False, True
    await harness.step(3)
    assert harness.state.hosts[stuck].pool is None
    worker.ignores_assignments = False
    await harness.step(3)
    assert harness.state.hosts[stuck].pool is not None
    assert worker.calls[0].startswith("assign None")


@pytest.mark.fault("freeze", "move_release")
@pytest.mark.fault("freeze", "move_assign")
@pytest.mark.parametrize("kind", [HostReleased, HostAssigned])
async def test_paused_planner_moves_nothing(
    harness: PlannerHarness, kind: type[HostReleased] | type[HostAssigned]
) -> None:
    """Guards against a planner that acts on an outdated plan after a pause."""
    append = harness.platform.append
    late: list[str] = []

    async def append_late(stream: str, record_id: str, body: str) -> int:
        if kind.__name__ in body and not late:
            # While this planner was paused, another one changed the plan.
            late.append(record_id)
            harness.platform.log.add_all(HostUp("web-0", "boot-9"))
        return await append(stream, record_id, body)

    harness.platform.append = append_late  # type: ignore[method-assign]
    await harness.step()
    stale = next(item for item in harness.platform.appended if isinstance(item, kind))
    host = harness.state.hosts[stale.host]
    assert host.epoch == stale.epoch
    calls = harness.workers.by_host[stale.host].calls
    assert f"assign web {stale.epoch + 1}" not in calls
    assert f"assign None {stale.epoch + 1}" not in calls


async def test_hosts_of_a_dropped_pool_find_a_new_one(harness: PlannerHarness) -> None:
    """Guards against hosts that stay in a pool that the catalogue no longer has."""
    harness.demand = {}
    document = format_catalogue({"other": (0, 20)}, 0.5, spare="other")
    harness.platform.log.add_all(CataloguePublished(2, 1, document, "operator"))
    await harness.step(3)
    assert len(list_hosts_of(harness, "other")) == 15


async def test_moves_keep_least_size_and_budget_of_the_donor(
    harness: PlannerHarness,
) -> None:
    """Guards against a peak in one pool that empties the other pools."""
    harness.demand = {"web": 1000.0}
    await harness.step(10)
    assert len(list_hosts_of(harness, "web")) == 12
    assert len(list_hosts_of(harness, "spare")) == 3


def test_policy_keeps_its_promises_on_the_trace_of_the_benchmark() -> None:
    """Guards against a policy that moves or reserves more hosts, or misses work."""
    results = compare()
    static = results[0]
    rows = {(item.policy, item.hosts): item for item in results}
    ours, greedy = rows["bergamotgap", 29], rows["greedy mover", 29]
    assert ours.missed == static.missed == greedy.missed == 0
    assert ours.spare_host_seconds < static.spare_host_seconds / 2
    assert ours.moves < greedy.moves / 4


@pytest.mark.fault("crash", "move_release")
async def test_release_that_waits_too_long_ends_the_tasks(
    harness: PlannerHarness,
) -> None:
    """Guards against tasks of other entry hosts that block a released host forever."""
    for worker in harness.workers.by_host.values():
        worker.busy = 1
        worker.tasks = [ListedTask("t", "run-spare", "batch")]
    await harness.step(5)
    released = list_hosts_of(harness, None)
    workers = [harness.workers.by_host[name] for name in released]
    assert not {"checkpoint t", "stop t"} & {c for w in workers for c in w.calls}
    harness.clock.advance_ms(CHECKPOINT_AFTER_MS)
    await harness.step()
    assert all(worker.calls[-1] == "checkpoint t" for worker in workers)
    harness.clock.advance_ms(STOP_AFTER_MS)
    await harness.step(2)
    assert all("stop t" in worker.calls for worker in workers)
    assert all(harness.state.hosts[name].pool is not None for name in released)
