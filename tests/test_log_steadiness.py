"""What a node knows of outages of the log in which owners start runs unrecorded."""

import asyncio

import pytest

from bergamotgap.pools.ownership_registry import LOG_SILENT_MS
from stand_ins.pool_store import CALL_LATENCY_S, FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.test_pool_parts import build_registry, start_registry

STEADY_S = SETTINGS.restarted_lease_ms / 1000 + 1


@pytest.mark.parametrize(("latency_s", "is_steady"), [(0.005, True), (0.09, False)])
def test_a_log_that_peers_were_told_is_silent_is_not_steady(
    latency_s: float, is_steady: bool
) -> None:
    """Guards against unrecorded runs that a successor takes to be recorded.

    An owner that asks a node while its renewal is slow is told that the log is silent.
    """

    async def main() -> None:
        store = FakeStore()
        registry = build_registry(store, 1)
        start_registry(registry)
        await asyncio.sleep(STEADY_S)
        assert registry.is_log_steady()
        store.latency_s = latency_s
        ages_ms = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            ages_ms.append(LoopClock().monotonic_ms() - registry.last_renewal_ms)
        assert (max(ages_ms) < LOG_SILENT_MS) is is_steady
        store.latency_s = CALL_LATENCY_S
        await asyncio.sleep(1)
        assert registry.is_log_steady() is is_steady

    run_virtual(main())


def test_a_silent_log_is_not_steady() -> None:
    """Guards against a log that counts as steady until it answers again."""

    async def main() -> None:
        store = FakeStore()
        registry = build_registry(store, 1)
        start_registry(registry)
        await asyncio.sleep(STEADY_S)
        store.is_down = True
        await asyncio.sleep(LOG_SILENT_MS / 1000 + 0.5)
        assert not registry.is_log_steady()

    run_virtual(main())
