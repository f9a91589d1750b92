"""Quotas of owners and `max_running` limits of entries."""

import pytest

from bergamotgap.domain.quotas import divide_shares
from bergamotgap.domain.scheduler import Ticket
from tests.admission_cases import (
    BATCH,
    NORMAL,
    SPARE,
    URGENT,
    EntryHost,
    Peer,
    build_catalogue,
    build_entry,
)

NAMES = ("entry-1", "entry-2", "entry-3")


def count_running(host: EntryHost, owner: str) -> int:
    return host.policy.quotas.running[owner]


def test_quota_holds_over_all_entry_hosts() -> None:
    """Guards against an owner that gets its full quota on every entry host."""
    quota = 6
    catalogue = build_catalogue(quota=quota)
    hosts = [EntryHost(catalogue, name=name) for name in NAMES]
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
        # After 20 rounds all demand shifts from the first host to the last one.
        host = hosts[0] if round_number < 20 else hosts[2]
        for _ in range(5):
            host.policy.admit(NORMAL, host.now_ms + 1000, host.now_ms)
        if round_number == 15:
            assert count_running(hosts[0], "team") >= quota - 2
        if round_number == 20:
            for ticket in [t for t in hosts[0].notified if t.started_ms is not None]:
                if not ticket.is_ended:
                    hosts[0].policy.release(ticket, host.now_ms)
        assert sum(count_running(item, "team") for item in hosts) <= quota
    assert count_running(hosts[2], "team") >= quota - 2


@pytest.mark.fault("cut_between_data_centres", "queue")
def test_quota_is_divided_equally_when_cut_off() -> None:
    """Guards against a partitioned entry host that uses the whole quota."""
    host = EntryHost(build_catalogue(quota=6))
    host.refresh(known=NAMES)
    tickets = [host.admit(NORMAL) for _ in range(6)]
    assert sum(ticket.started_ms is not None for ticket in tickets) == 2


def test_full_owner_gives_the_next_slot_to_its_idle_entry() -> None:
    """Guards against one entry's flood that uses up its owner's whole quota."""
    flood = build_entry("flood", URGENT.urgency, weight=4)
    other = build_entry("other", pool="buffer")
    catalogue = build_catalogue(flood, other, quota=4)
    host = EntryHost(catalogue, slots={"main": 8, "buffer": 8})
    flooding = [host.admit(flood) for _ in range(20)]
    waiting = host.admit(other)
    assert waiting.started_ms is None
    host.policy.release(flooding[0], 1)
    assert waiting.started_ms == 1


def test_max_running_of_an_entry_holds() -> None:
    """Guards against an entry that runs more tasks than its `max_running`."""
    entry = build_entry("few", max_running=3)
    host = EntryHost(build_catalogue(entry, URGENT))
    tickets = [host.admit(entry) for _ in range(6)]
    assert sum(ticket.started_ms is not None for ticket in tickets) == 3
    assert host.admit(URGENT).started_ms is not None
    host.policy.release(tickets[0], 1)
    assert tickets[3].started_ms == 1


def test_lowered_quota_starts_nothing_new() -> None:
    """Guards against a lowered quota that only applies after a restart."""
    host = EntryHost(build_catalogue(quota=6))
    tickets = [host.admit(NORMAL) for _ in range(10)]
    host.policy.use_catalogue(build_catalogue(quota=4))
    host.now_ms = 200
    host.refresh()
    for ticket in tickets[:3]:
        host.policy.release(ticket, 201)
    assert count_running(host, "team") == 4


def test_owner_gains_no_share_from_many_entries() -> None:
    """Guards against an owner that gains slots by splitting its work."""
    many = [build_entry(f"many-{number}") for number in range(9)]
    shares = divide_shares(build_catalogue(*many, BATCH, SPARE))
    assert shares["main", "batch"] == pytest.approx(0.5)
    assert sum(share for (pool, _), share in shares.items() if pool == "main") == (
        pytest.approx(1)
    )


def test_entry_demand_is_reported_only_above_its_floor() -> None:
    """Guards against digests that grow with the catalogue."""
    host = EntryHost(build_catalogue())
    assert isinstance(host.admit(NORMAL), Ticket)
    host.now_ms = 200
    host.refresh(known=NAMES)
    assert set(host.policy.owner_demand) == {"team"}
