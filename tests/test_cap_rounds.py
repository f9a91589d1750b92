"""Rounds of the cap coordinator: calls, pools that come and go, and demand."""

import asyncio
import dataclasses

import pytest

from bergamotgap.domain.customer_caps import BASE_SETTLE_MS
from bergamotgap.domain.fleet import FleetConfig, Size
from stand_ins.virtual_time import run_virtual
from tests.cap_scene import CAP_CORES, CapScene, build_config, submit_stream


def test_demand_includes_what_the_cap_permits() -> None:
    """Guards against a pool without hosts that never gets any for a capped customer."""

    async def main() -> None:
        scene = CapScene(workers=0)
        async with scene.run():
            await scene.submit("p1", "job", tasks=40)
            await asyncio.sleep(1)
            demand = scene.owners["p1"].measure_demand(must_yield=False)
            # 13 of the 40 tasks, each of one core for 300 ms.
            assert (demand.waiting_work + demand.late_work).cpu == 13 * 1000 * 300

    run_virtual(main())


@pytest.mark.parametrize(
    "config", [build_config(), build_config(acme=None), build_config(acme=Size())]
)
def test_without_caps_no_message_is_sent(config: FleetConfig) -> None:
    """Guards against costs for deployments whose customers have no caps."""

    async def main() -> None:
        scene = CapScene(config)
        async with scene.run():
            await scene.submit("p1", "job", tasks=24)
            await asyncio.sleep(0.2)
            assert scene.count_cores() == 24
        assert scene.calls == []

    run_virtual(main())


def test_calls_are_few_in_a_fleet_of_many_pools() -> None:
    """Guards against a coordinator whose calls take a core, and against slow grants."""

    async def main() -> None:
        scene = CapScene(build_config(58, **{f"c{n}": 8 for n in range(86)}), workers=1)
        async with scene.run():
            await asyncio.sleep(1)
            scene.calls.clear()
            await asyncio.sleep(2)
            assert len(scene.calls) <= 300
            await scene.submit("p7", "job", tasks=6, customer="c5")
            await asyncio.sleep(1.5)
            assert scene.measure_peak("c5") == 6
            scene.calls.clear()
            await asyncio.sleep(2)
            sent = {name for call in scene.calls for name in call.grants or {}}
            assert sent <= {"c5"}

    run_virtual(main())


def test_one_unreachable_pool_does_not_delay_the_others() -> None:
    """Guards against rounds that wait for the slowest owner."""

    async def main() -> None:
        scene = CapScene()
        async with scene.run():
            await asyncio.sleep(0.5)
            scene.choose_delays = lambda call: (
                (None, None) if call.pool == "p4" else (0.002, 0.002)
            )
            await scene.submit("p1", "job", tasks=40)
            await asyncio.sleep(0.3)
            assert scene.count_cores(pool="p1") == 13

    run_virtual(main())


def test_new_and_removed_pools_keep_the_cap() -> None:
    """Guards against base shares above a quarter while nodes differ in version."""

    async def main() -> None:
        scene = CapScene(build_config(4, acme=CAP_CORES), run_s=0.5)
        small = dataclasses.replace(scene.config, services=("p1", "p2", "misc"))
        scene.config = small
        removed = ("p3", "p4")
        scene.pools = ["p1", "p2"]
        async with scene.run():
            for pool in scene.pools:
                await scene.submit(pool, f"j-{pool}", tasks=900)
            await asyncio.sleep(1)
            assert scene.count_cores() >= CAP_CORES - 2
            # Owners of new pools know the new version first.
            scene.config = dataclasses.replace(
                small, version=2, services=("p1", "p2", *removed, "misc")
            )
            for pool in removed:
                await scene.start_owner(pool, first_term=1)
                await scene.submit(pool, f"j-{pool}", tasks=900)
            await asyncio.sleep(2)
            scene.set_config(scene.config)
            await asyncio.sleep(2 + BASE_SETTLE_MS / 1000)
            assert scene.count_cores(pool="p3") >= 3
            scene.set_config(dataclasses.replace(small, version=3))
            await asyncio.sleep(2 + BASE_SETTLE_MS / 1000)
            assert scene.count_cores(pool="p1") >= 4
        assert scene.measure_peak() <= CAP_CORES

    run_virtual(main())


def test_small_jobs_of_a_customer_do_not_keep_back_its_large_one() -> None:
    """Guards against a large task that never starts beside a stream of small ones."""

    async def main() -> None:
        scene = CapScene(build_config(acme=8))
        async with scene.run():
            await scene.submit("p1", "first", tasks=6)
            await asyncio.sleep(0.5)
            stream = asyncio.create_task(submit_stream(scene, "p1", 6.0, 40))
            await scene.submit("p1", "large", tasks=1, cores=6)
            await stream
            started = {t.job for w in scene.workers["p1"].values() for t, _ in w.starts}
            assert "large" in started

    run_virtual(main())
