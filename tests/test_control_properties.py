"""Property-based tests of the control fold with arbitrary sequences of records."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from bergamotgap.domain.budget import count_required_hosts
from bergamotgap.domain.control_data import count_serving_hosts, list_pool_hosts
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied
from bergamotgap.domain.records import (
    CataloguePublished,
    DrainStarted,
    HostAssigned,
    HostDown,
    HostMaintained,
    HostReleased,
    HostRemoved,
    HostUp,
    Record,
    WaveCancelled,
    WaveDeclared,
)
from tests.fakes_control import ControlLog, build_host_seen, build_log, format_catalogue

HOSTS = [f"{pool}-{n}" for pool in ("web", "spare") for n in range(4)]
POOLS = ["web", "spare", "gone"]
DOCUMENTS = [
    format_catalogue({"web": (1, 5), "spare": (0, 8)}, 0.5, "spare"),
    format_catalogue({"spare": (0, 8)}, 0.9, "spare"),
    "not a catalogue",
]

names = st.sampled_from(HOSTS)
waves = st.sampled_from(["w1", "w2"])
boots = st.sampled_from(["boot-1", "boot-2"])
# How far epochs and revisions lag behind; mostly 0, sometimes stale or in the future.
lags = st.sampled_from([0] * 12 + [1, 2, -1])

# A step is a kind of record and its random fields; epochs and revisions come from the
# state.
steps = st.tuples(
    st.sampled_from(
        ["publish", "see", "down", "up", "remove", "declare", "cancel", "maintained"]
        + ["release", "assign", "drain"] * 3
        + ["again"]
    ),
    names,
    st.sampled_from(POOLS),
    waves,
    boots,
    lags,
    lags,
)


def build_record(
    log: ControlLog,
    written: list[Record],
    step: tuple[str, str, str, str, str, int, int],
) -> Record:
    """Return the record of a step; the kind `again` repeats an earlier record."""
    kind, host, pool, wave, boot, epoch_lag, base_lag = step
    state = log.state
    known = state.hosts.get(host)
    epoch = (known.epoch if known else 1) - epoch_lag
    base = state.plan_revision - base_lag
    index = HOSTS.index(host)
    if kind == "again" and written:
        return written[-1 - (index % len(written))]
    revision = state.revision - base_lag
    records: dict[str, Record] = {
        "publish": CataloguePublished(
            revision + 1, revision, DOCUMENTS[index % 3], "operator"
        ),
        "see": build_host_seen(
            host, pool, index, address=f"127.0.0.1:{len(boot) + index}"
        ),
        "release": HostReleased(host, epoch, base),
        "assign": HostAssigned(host, pool, epoch, base),
        "down": HostDown(host, boot),
        "up": HostUp(host, boot),
        "remove": HostRemoved(host),
        "declare": WaveDeclared(wave, tuple(HOSTS[: index + 1]), "operator"),
        "cancel": WaveCancelled(wave),
        "drain": DrainStarted(host, wave, base),
        "maintained": HostMaintained(host, wave, boot),
    }
    return records.get(kind, HostUp(host, boot))


def check_budget(state: ControlState, pool: str | None) -> None:
    catalogue = state.catalogue
    if pool is None or catalogue is None or catalogue.find_pool(pool) is None:
        return
    hosts = list_pool_hosts(state.hosts, pool)
    assert count_serving_hosts(hosts) >= count_required_hosts(
        catalogue, pool, len(hosts)
    )


@settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow],
    database=None,
)
@given(st.lists(steps, min_size=30, max_size=60), st.integers(0, 29))
def test_invariants_hold_and_snapshots_are_exact(
    sequence: list[tuple[str, str, str, str, str, int, int]], cut: int
) -> None:
    """Guards against sequences of records that break promise P1, P2 or P9.

    The sequences include records that are stale, repeated or out of order.
    """
    log = build_log({"web": (4, 1, 5), "spare": (4, 0, 8)}, availability=0.5)
    log.add_all(WaveDeclared("w1", tuple(HOSTS), "operator"))
    copy: ControlLog | None = None
    written: list[Record] = []
    highest: dict[str, int] = {}
    for number, step in enumerate(sequence):
        state = log.state
        if number == cut:
            copy = ControlLog(ControlState.decode(state.encode()))
            copy.offset = log.offset
        record = build_record(log, written, step)
        written.append(record)
        before = dict(state.hosts)
        revision, plan = state.revision, state.plan_revision
        effect = log.add(record)
        assert state.revision - revision in (0, 1)
        assert state.plan_revision - plan in (0, 1)
        if effect != Applied():
            assert state.hosts == before
        if isinstance(record, DrainStarted | HostReleased) and effect == Applied():
            check_budget(state, before[record.host].pool)
        for name, host in state.hosts.items():
            assert host.epoch >= highest.get(name, 0)
            highest[name] = host.epoch
            old = before.get(name)
            if old is not None and old.pool != host.pool:
                # A move consists of a release and an assignment; each raises the epoch.
                assert None in (old.pool, host.pool) and host.epoch == old.epoch + 1
        if copy is not None:
            assert copy.add(record) == effect
            assert copy.state.encode() == state.encode()
    assert ControlState.decode(log.state.encode()).encode() == log.state.encode()
