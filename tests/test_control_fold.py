"""The fold of the control stream: which records are applied and which rejected."""

import pytest

from bergamotgap.domain.control_state import KEPT_REVISIONS, ControlState
from bergamotgap.domain.folding import Applied, Effect, Rejected
from bergamotgap.domain.records import (
    CataloguePublished,
    DrainStarted,
    HostAssigned,
    HostDown,
    HostMaintained,
    HostReleased,
    HostRemoved,
    HostUp,
    WaveCancelled,
    WaveDeclared,
)
from tests.fakes_control import ControlLog, build_host_seen, build_log, format_catalogue


def get_code(effect: Effect) -> str:
    return effect.code if isinstance(effect, Rejected) else "applied"


def drain(log: ControlLog, host: str, wave: str = "w") -> str:
    return get_code(log.add(DrainStarted(host, wave, log.state.plan_revision)))


def release(log: ControlLog, host: str) -> str:
    known = log.state.hosts[host]
    record = HostReleased(host, known.epoch, log.state.plan_revision)
    return get_code(log.add(record))


@pytest.fixture
def log() -> ControlLog:
    log = build_log({"web": (6, 2, 8), "spare": (3, 0, 12)}, availability=0.66)
    hosts = tuple(sorted(log.state.hosts))
    log.add_all(WaveDeclared("w", hosts, "operator"))
    return log


@pytest.mark.fault("operator_race", "drain")
def test_drain_beyond_the_budget_has_no_effect(log: ControlLog) -> None:
    """Guards against a wave that drains more hosts than an entry's budget allows."""
    assert [drain(log, f"web-{n}") for n in range(3)] == ["applied"] * 2 + ["budget"]
    log.add_all(HostMaintained("web-0", "w", "boot-2"))
    assert drain(log, "web-2") == "applied"


@pytest.mark.fault("crash", "drain")
def test_hosts_down_outside_the_wave_use_up_the_budget(log: ControlLog) -> None:
    """Guards against a budget that ignores hosts which are down for other reasons."""
    log.add_all(HostDown("web-4", "boot-1"), HostDown("web-5", "boot-1"))
    assert drain(log, "web-0") == "budget"
    assert drain(log, "spare-0") == "applied"
    log.add_all(HostUp("web-4", "boot-1"))
    assert drain(log, "web-0") == "applied"


@pytest.mark.fault("freeze", "drain")
def test_drain_of_a_paused_planner_has_no_effect(log: ControlLog) -> None:
    """Guards against two planners that both act on the same view of the fleet."""
    seen = log.state.plan_revision
    log.add_all(DrainStarted("web-0", "w", seen))
    assert get_code(log.add(DrainStarted("spare-1", "w", seen))) == "stale_plan"


@pytest.mark.fault("freeze", "move_release")
def test_release_of_a_paused_planner_has_no_effect(log: ControlLog) -> None:
    """Guards against a stale release of a host that has moved to another pool."""
    stale = HostReleased("web-0", 1, log.state.plan_revision)
    assert release(log, "web-0") == "applied"
    log.add_all(HostAssigned("web-0", "spare", 2, log.state.plan_revision))
    assert get_code(log.add(stale)) == "stale_epoch"
    later = HostReleased("web-0", 3, stale.plan_base)
    assert get_code(log.add(later)) == "stale_plan"
    assert log.state.hosts["web-0"].pool == "spare"


@pytest.mark.fault("freeze", "move_assign")
def test_second_assignment_has_no_effect(log: ControlLog) -> None:
    """Guards against two planners that assign the same host to two pools."""
    assert release(log, "web-0") == "applied"
    base = log.state.plan_revision
    log.add_all(HostAssigned("web-0", "spare", 2, base))
    assert get_code(log.add(HostAssigned("web-0", "web", 2, base))) == "stale_epoch"
    assert get_code(log.add(HostAssigned("web-0", "web", 3, base + 1))) == "in_pool"
    assert (log.state.hosts["web-0"].pool, log.state.hosts["web-0"].epoch) == (
        "spare",
        3,
    )


def test_release_can_not_break_budget_or_least_size(log: ControlLog) -> None:
    """Guards against moves that violate a pool's budget or its `min_hosts`."""
    log.add_all(HostDown("web-5", "boot-1"), HostDown("web-4", "boot-1"))
    assert release(log, "web-0") == "budget"
    assert release(log, "web-5") == "not_serving"
    small = build_log({"web": (2, 2, 8)}, availability=0.0)
    assert release(small, "web-0") == "budget"


def test_assignment_keeps_to_known_pools_and_their_size() -> None:
    """Guards against assignments to unknown pools or beyond `max_hosts`."""
    log = build_log({"web": (2, 0, 2), "spare": (1, 0, 4)}, availability=0.0)
    assert release(log, "spare-0") == "applied"
    base = log.state.plan_revision
    full = log.add(HostAssigned("spare-0", "web", 2, base))
    unknown = log.add(HostAssigned("spare-0", "gone", 2, base))
    assert (get_code(full), get_code(unknown)) == ("pool_full", "unknown_pool")


def test_maintenance_needs_a_reboot_and_closes_the_wave() -> None:
    """Guards against hosts that count as maintained without a reboot."""
    log = build_log({"web": (2, 0, 2)}, availability=0.5)
    log.add_all(WaveDeclared("w", ("web-0", "web-1", "web-0"), "operator"))
    assert drain(log, "web-0") == "applied"
    # The host restarts while draining; its boot id from the drain's start is kept.
    log.add_all(HostDown("web-0", "boot-1"), HostUp("web-0", "boot-2"))
    assert get_code(log.add(HostMaintained("web-0", "w", "boot-1"))) == "same_boot"
    assert get_code(log.add(HostMaintained("web-0", "v", "boot-2"))) == "not_draining"
    log.add_all(HostMaintained("web-0", "w", "boot-2"))
    assert drain(log, "web-0") == "not_in_wave"
    log.add_all(HostRemoved("web-1"))
    wave = log.state.waves["w"]
    assert (wave.status, wave.done, wave.removed) == (
        "completed",
        ("web-0",),
        ("web-1",),
    )


def test_cancelled_wave_finishes_only_what_it_began(log: ControlLog) -> None:
    """Guards against a host that stays drained after its wave was cancelled."""
    assert drain(log, "web-0") == "applied"
    log.add_all(WaveCancelled("w"))
    assert drain(log, "spare-0") == "closed_wave"
    log.add_all(HostMaintained("web-0", "w", "boot-2"))
    assert log.state.hosts["web-0"].is_serving
    assert get_code(log.add(WaveCancelled("w"))) == "closed_wave"
    assert get_code(log.add(WaveDeclared("w", ("web-1",), "o"))) == "known_wave"


def test_removed_while_draining_and_back_with_a_higher_epoch(log: ControlLog) -> None:
    """Guards against a returned host with a lower epoch, which its worker rejects."""
    assert drain(log, "web-0") == "applied"
    assert release(log, "web-1") == "applied"
    log.add_all(HostRemoved("web-0"), HostRemoved("web-1"))
    late = log.add(HostMaintained("web-0", "w", "boot-2"))
    assert get_code(late) == "not_draining"
    log.add_all(build_host_seen("web-0", "web"), build_host_seen("web-1", "web"))
    assert [log.state.hosts[f"web-{n}"].epoch for n in (0, 1)] == [3, 3]
    assert drain(log, "web-0") == "not_in_wave"


def test_catalogue_without_a_pool_leaves_its_hosts_to_the_planner(
    log: ControlLog,
) -> None:
    """Guards against hosts stuck in a pool that was removed from the catalogue."""
    document = format_catalogue({"spare": (0, 12)}, 0.66, spare="spare")
    log.add_all(CataloguePublished(2, 1, document, "operator"))
    assert log.state.hosts["web-0"].pool == "web"
    assert [release(log, f"web-{n}") for n in range(6)] == ["applied"] * 6


@pytest.mark.fault("operator_race", "publish")
def test_history_is_bounded_and_survives_a_snapshot() -> None:
    """Guards against snapshots that grow with each edit and unnoticed conflicts."""
    log = ControlLog()
    document = format_catalogue({"web": (0, 9)}, 0.5)
    for base in range(KEPT_REVISIONS + 3):
        log.add_all(CataloguePublished(base + 1, base, document, "operator"))
    late = log.add(CataloguePublished(KEPT_REVISIONS + 3, 52, document, "other"))
    assert get_code(late) == "revision_conflict"
    restored = ControlState.decode(log.state.encode())
    assert (restored.revision, restored.older_revisions) == (KEPT_REVISIONS + 3, 3)
    assert len(restored.revisions) == KEPT_REVISIONS


def test_late_report_of_an_earlier_boot_has_no_effect(log: ControlLog) -> None:
    """Guards against a paused node that marks a rebooted host as down."""
    log.add_all(HostUp("web-0", "boot-2"))
    assert get_code(log.add(HostDown("web-0", "boot-1"))) == "stale_boot"
    assert log.add(HostDown("web-0", "boot-2")) == Applied()
