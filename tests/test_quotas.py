"""Quotas of owners and limits of entries."""

import pytest

from bergamotgap.domain.quotas import divide_shares
from bergamotgap.domain.scheduler import Ticket
from tests.admission_cases import (
    BATCH,
    NORMAL,
    SPARE,
    URGENT,
    Host,
    Peer,
    build_catalogue,
    build_entry,
)

NAMES = ("entry-1", "entry-2", "entry-3")


def count_running(host: Host, owner: str) -> int:
    return host.policy.quotas.running[owner]


def test_quota_holds_over_all_entry_hosts() -> None:
    """Guards against an owner that multiplies its quota by the entry hosts."""
    quota = 6
    catalogue = build_catalogue(quota=quota)
    hosts = [Host(catalogue, name=name) for name in NAMES]
    for round_number in range(40):
        for host in hosts:
            host.now_ms = round_number * 200
            peers = [
                Peer(
                    name,
                    dict(other.policy.pool_demand),
                    dict(other.policy.owner_demand),
                )
                for name, other in zip(NAMES, hosts, strict=True)
                if other is not host
            ]
            host.refresh(*peers, known=NAMES)
        # All demand moves from the first host to the last one.
        host = hosts[0] if round_number < 20 else hosts[2]
        for _ in range(5):
            host.policy.admit(NORMAL, host.now_ms + 1000, host.now_ms)
        if round_number == 15:
            assert count_running(hosts[0], "team") >= quota - 2
        if round_number == 20:
            for ticket in [t for t in hosts[0].notified if t.started_ms is not None]:
                if not ticket.ended:
                    hosts[0].policy.release(ticket, host.now_ms)
        assert sum(count_running(item, "team") for item in hosts) <= quota
    assert count_running(hosts[2], "team") >= quota - 2


@pytest.mark.fault("cut_between_data_centres", "queue")
def test_quota_is_divided_equally_when_cut_off() -> None:
    """Guards against a lone entry host that takes the whole quota for itself."""
    host = Host(build_catalogue(quota=6))
    host.refresh(known=NAMES)
    tickets = [host.offer(NORMAL) for _ in range(6)]
    assert sum(ticket.started_ms is not None for ticket in tickets) == 2


def test_full_owner_gives_the_next_slot_to_its_idle_entry() -> None:
    """Guards against a flood that takes its owner's quota from another entry."""
    flood = build_entry("flood", URGENT.urgency, weight=4)
    other = build_entry("other", pool="buffer")
    catalogue = build_catalogue(flood, other, quota=4)
    host = Host(catalogue, slots={"main": 8, "buffer": 8})
    flooding = [host.offer(flood) for _ in range(20)]
    waiting = host.offer(other)
    assert waiting.started_ms is None
    host.policy.release(flooding[0], 1)
    assert waiting.started_ms == 1


def test_max_running_of_an_entry_holds() -> None:
    """Guards against an entry above its `max_running`."""
    entry = build_entry("few", max_running=3)
    host = Host(build_catalogue(entry, URGENT))
    tickets = [host.offer(entry) for _ in range(6)]
    assert sum(ticket.started_ms is not None for ticket in tickets) == 3
    assert host.offer(URGENT).started_ms is not None
    host.policy.release(tickets[0], 1)
    assert tickets[3].started_ms == 1


def test_lowered_quota_starts_nothing_new() -> None:
    """Guards against a smaller quota that is only followed after a restart."""
    host = Host(build_catalogue(quota=6))
    tickets = [host.offer(NORMAL) for _ in range(10)]
    host.policy.use_catalogue(build_catalogue(quota=4))
    host.now_ms = 200
    host.refresh()
    for ticket in tickets[:3]:
        host.policy.release(ticket, 201)
    assert count_running(host, "team") == 4


def test_owner_gains_no_share_from_many_entries() -> None:
    """Guards against an owner that splits its work to gain slots."""
    many = [build_entry(f"many-{number}") for number in range(9)]
    shares = divide_shares(build_catalogue(*many, BATCH, SPARE))
    assert shares["main", "batch"] == pytest.approx(0.5)
    assert sum(part for (pool, _), part in shares.items() if pool == "main") == (
        pytest.approx(1)
    )


def test_peers_hear_of_an_entry_only_above_its_floor() -> None:
    """Guards against digests that grow with the catalogue."""
    host = Host(build_catalogue())
    assert isinstance(host.offer(NORMAL), Ticket)
    host.now_ms = 200
    host.refresh(known=NAMES)
    assert set(host.policy.owner_demand) == {"team"}
