"""What a node knows of outages of the log in which owners start runs unrecorded."""

import asyncio

import pytest

from bergamotgap.pools.outage_detector import OutageDetector
from bergamotgap.pools.ownership_registry import LOG_SILENT_MS, OwnershipRegistry
from bergamotgap.ports.pool_peer import (
    LogContactReply,
    PeerCallError,
    PoolCall,
    PoolReply,
)
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


class RegistryPeers:
    """Answer contact calls for nodes by their registries; others don't answer."""

    def __init__(self, registries: dict[str, OwnershipRegistry]) -> None:
        self.registries = registries

    async def call(self, address: str, call: PoolCall, timeout_ms: int) -> PoolReply:
        await asyncio.sleep(0.005)
        registry = self.registries.get(address)
        if registry is None:
            raise PeerCallError("silent", was_sent=True)
        age_ms = LoopClock().monotonic_ms() - registry.last_renewal_ms
        return LogContactReply(age_ms, registry.measure_steady_ms())


def build_detector(
    registry: OwnershipRegistry, peers: RegistryPeers, number: int
) -> OutageDetector:
    """Return the detector of a node with pools."""
    address = f"10.0.0.{number}:7000"
    return OutageDetector(registry, peers, address, lambda: True, SETTINGS, LoopClock())


@pytest.mark.parametrize("outage_s", [0.0, 1.5, 4.5])
@pytest.mark.parametrize("answering", [2, 1, 0])
def test_a_restarted_node_learns_from_others_whether_the_log_was_steady(
    outage_s: float, answering: int
) -> None:
    """Guards against long waits after each restart, and short ones after an outage."""

    async def main() -> None:
        store = FakeStore()
        registries = {
            f"10.0.0.{number}:7000": build_registry(store, number)
            for number in (1, 2, 3)
        }
        tasks = [start_registry(registry) for registry in registries.values()]
        await asyncio.sleep(STEADY_S)
        for task in tasks[0]:
            task.cancel()
        store.is_down = outage_s > 0
        await asyncio.sleep(outage_s)
        store.is_down = False
        restarted = build_registry(store, 1, "2")
        start_registry(restarted)
        await asyncio.sleep(1)
        answers = dict(list(registries.items())[1 : 1 + answering])
        detector = build_detector(restarted, RegistryPeers(answers), 1)
        is_known = outage_s == 0 and answering > 0
        assert await detector.is_log_steady() is is_known
        assert restarted.is_log_steady() is is_known

    run_virtual(main())


def test_what_a_node_learned_of_the_log_outlives_the_others() -> None:
    """Guards against long waits after all nodes were restarted in turn."""

    async def main() -> None:
        store = FakeStore()
        peers = RegistryPeers({})
        for number in (1, 2, 3):
            registry = build_registry(store, number)
            peers.registries[f"10.0.0.{number}:7000"] = registry
            start_registry(registry)
        await asyncio.sleep(STEADY_S)
        for number in (1, 2, 3):
            registry = build_registry(store, number, "2")
            peers.registries[f"10.0.0.{number}:7000"] = registry
            start_registry(registry)
            detector = build_detector(registry, peers, number)
            running = asyncio.create_task(detector.run())
            await asyncio.sleep(1)
            running.cancel()
            assert registry.is_log_steady()

    run_virtual(main())


def test_a_silence_that_only_one_node_saw_is_no_outage_for_all() -> None:
    """Guards against long waits of a node that was cut off for a moment."""

    async def main() -> None:
        store = FakeStore()
        peers = RegistryPeers({})
        for number in (1, 2):
            registry = build_registry(store, number)
            peers.registries[f"10.0.0.{number}:7000"] = registry
            tasks = start_registry(registry)
        await asyncio.sleep(STEADY_S)
        tasks[1].cancel()
        await asyncio.sleep(2)
        start_registry(registry)
        await asyncio.sleep(1)
        assert not registry.is_log_steady()
        assert await build_detector(registry, peers, 2).is_log_steady()

    run_virtual(main())
