"""Pools that a weak node owns move to a much stronger one."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from bergamotgap.pools.ownership_balance import (
    OwnershipBalancer,
    choose_pool_to_hand_over,
)
from bergamotgap.pools.ownership_registry import OwnershipRegistry
from bergamotgap.pools.pool_claims import Claim, Member
from stand_ins.pool_store import FakeStore
from stand_ins.pool_workers import SETTINGS
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.test_pool_parts import start_registry

WEAK, STRONG = "10.0.0.1:7000/1/516", "10.0.0.2:7000/1/2151"


@pytest.mark.parametrize(
    ("own", "members", "owners", "expected"),
    [
        # A weak owner beside a strong node without pools, and with one pool.
        (WEAK, (WEAK, STRONG), {"a": WEAK}, "a"),
        (WEAK, (WEAK, STRONG), {"a": WEAK, "b": STRONG}, "a"),
        # The strong node has its share already.
        (WEAK, (WEAK, STRONG), {"a": WEAK, "b": STRONG, "c": STRONG}, None),
        (STRONG, (WEAK, STRONG), {"a": STRONG, "b": STRONG}, None),
        # Nodes of one size that differ by one pool, and by more.
        ("x/1/1000", ("x/1/1000", "y/1/1000"), {"a": "x/1/1000"}, None),
        ("x/1/1000", ("x/1/1000", "y/1/1000"), dict.fromkeys("ab", "x/1/1000"), "a"),
        (
            *("x/1/1000", ("x/1/1000", "y/1/1000")),
            *({**dict.fromkeys("ab", "x/1/1000"), "c": "y/1/1000"}, None),
        ),
        ("x/1/1000", ("x/1/1000", "y/1/1000"), dict.fromkeys("abc", "x/1/1000"), "a"),
        (WEAK, (WEAK,), {"a": WEAK}, None),
        (WEAK, (), {"a": WEAK}, None),
        # Not a pool that may move, such as one taken over a moment ago.
        (WEAK, (WEAK, STRONG), {"@hosts": WEAK}, None),
    ],
)
def test_only_a_much_stronger_member_gets_a_pool(
    own: str, members: tuple[str, ...], owners: dict[str, str], expected: str | None
) -> None:
    """Guards against pools that stay on weak nodes, and that change hands for little.

    After an outage a node of half a core owned the pool of a peak for the rest of a
    day, and callers got no answer in time.
    """
    claims = {pool: Claim(owner, 1, 1) for pool, owner in owners.items()}
    movable = [pool for pool in owners if pool != "@hosts"]
    assert choose_pool_to_hand_over(own, members, claims, movable) == expected


class FakeJournal:
    """Journal whose changes are all committed, unless `is_failing`."""

    last_change = 0
    is_failing = False

    async def wait_committed_within(self, change: int, timeout_ms: int) -> bool:
        return not self.is_failing


class FakePool:
    """Record whether the pool starts tasks."""

    def __init__(self, token: int) -> None:
        self.name = "previews"
        self.term = SimpleNamespace(token=token)
        self.are_runs_recorded = True
        ownership = SimpleNamespace(
            started_ms=0, are_runs_recorded=lambda: self.are_runs_recorded
        )
        self.run_tracker = SimpleNamespace(ownership=ownership)
        self.journal = FakeJournal()
        self.is_active = True

    def stop_placement(self) -> None:
        self.is_active = False

    def resume_placement(self) -> None:
        self.is_active = True


class BalanceScene:
    """A weak node that owns a pool, and its balancer."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.weak = self.build_registry(1, 516)
        self.strong = self.build_registry(2, 2151)
        self.pools: dict[str, Any] = {}
        self.tasks = start_registry(self.weak)

    def build_registry(self, number: int, cpu: int) -> OwnershipRegistry:
        member = Member(f"10.0.0.{number}:7000", "1", cpu)
        registry = OwnershipRegistry(self.store, member, SETTINGS, LoopClock())
        registry.set_claimable_pools(frozenset({"previews"}))
        return registry

    async def start(self) -> FakePool:
        """Let the weak node claim the pool, then run its balancer."""
        await asyncio.sleep(3)
        claim = self.weak.claims["previews"]
        assert self.weak.is_own_claim(claim)
        pool = self.pools["previews"] = FakePool(claim.token)
        balancer = OwnershipBalancer(
            claim.member,
            self.weak,
            self.pools,
            lambda name, token: self.weak.is_own_claim(self.weak.claims[name]),
            LoopClock(),
        )
        self.tasks.append(asyncio.create_task(balancer.run()))
        return pool

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()


def test_a_strong_node_that_comes_back_gets_the_pool() -> None:
    """Guards against a hand-over with two owners, or without a successor."""

    async def main() -> None:
        scene = BalanceScene()
        pool = await scene.start()
        await asyncio.sleep(3)
        assert pool.is_active and scene.pools
        scene.tasks += start_registry(scene.strong)
        await asyncio.sleep(3)
        claim = scene.strong.claims["previews"]
        assert scene.strong.is_own_claim(claim)
        assert claim.is_former_owner_stopped
        assert not pool.is_active
        assert not scene.pools
        term = claim.term
        await asyncio.sleep(10)
        assert scene.strong.claims["previews"].term == term
        scene.stop()

    run_virtual(main())


def test_a_pool_that_can_not_be_released_is_kept() -> None:
    """Guards against a pool without an owner when the log fails during a hand-over."""

    async def main() -> None:
        scene = BalanceScene()
        pool = await scene.start()
        scene.tasks += start_registry(scene.strong)
        append = scene.store.append

        async def refuse_releases(*call: Any, **options: Any) -> int:
            scene.store.is_down = call[0] == "keyed.owners"
            try:
                return await append(*call, **options)
            finally:
                scene.store.is_down = False

        scene.store.append = refuse_releases  # type: ignore[method-assign]
        await asyncio.sleep(4)
        assert pool.is_active
        assert scene.pools == {"previews": pool}
        assert scene.weak.is_own_claim(scene.weak.claims["previews"])
        scene.store.append = append  # type: ignore[method-assign]
        await asyncio.sleep(3)
        assert scene.strong.is_own_claim(scene.strong.claims["previews"])
        scene.stop()

    run_virtual(main())


@pytest.mark.parametrize("is_flushed", [True, False])
def test_a_release_tells_whether_all_runs_are_recorded(is_flushed: bool) -> None:
    """Guards against a successor that waits for the leases of recorded runs.

    A release with a full journal must not tell so, nor the claim after the next one.
    """

    async def main() -> None:
        scene = BalanceScene()
        pool = await scene.start()
        pool.journal.is_failing = not is_flushed
        strong = start_registry(scene.strong)
        await asyncio.sleep(3)
        claim = scene.weak.claims["previews"]
        assert scene.strong.is_own_claim(claim)
        assert claim.are_starts_recorded is is_flushed
        for task in strong:
            task.cancel()
        scene.store.members.discard(claim.member)
        await asyncio.sleep(4)
        claim = scene.weak.claims["previews"]
        assert scene.weak.is_own_claim(claim)
        assert not claim.are_starts_recorded
        scene.stop()

    run_virtual(main())


def test_a_pool_with_unknown_runs_is_not_handed_over() -> None:
    """Guards against restored jobs that wait for leases anew with each owner.

    After an outage a stronger node got a pool 2 s after its claim, while its jobs
    waited for the leases of unrecorded runs.
    """

    async def main() -> None:
        scene = BalanceScene()
        pool = await scene.start()
        pool.are_runs_recorded = False
        scene.tasks += start_registry(scene.strong)
        await asyncio.sleep(4)
        assert scene.weak.is_own_claim(scene.weak.claims["previews"])
        pool.are_runs_recorded = True
        await asyncio.sleep(2)
        assert scene.strong.is_own_claim(scene.strong.claims["previews"])
        scene.stop()

    run_virtual(main())
