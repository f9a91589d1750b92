"""Test that a configuration is in force on all nodes in seconds and never reverts."""

import asyncio
from collections.abc import Iterable
from typing import Any

import pytest

from tools.fleet import Fleet

ROLL_OUT_S = 15.0


async def read_dump(fleet: Fleet, node: int) -> dict[str, Any]:
    answer = await fleet.calls.call_operator("GET", "/v1/dump", node=node)
    assert isinstance(answer.payload, dict)
    return answer.payload


async def wait_for_revision(fleet: Fleet, revision: int, nodes: Iterable[int]) -> None:
    """Wait until exactly this revision is in force on each of the nodes."""
    async with asyncio.timeout(ROLL_OUT_S):
        for node in nodes:
            while (await read_dump(fleet, node))["catalogue_revision"] != revision:
                await asyncio.sleep(0.02)


async def publish_first_revision(fleet: Fleet) -> None:
    assert await fleet.publish() == 200
    await fleet.wait_until_ready()


def small_fleet(links: bool = False) -> Fleet:
    return Fleet(workers_per_pool=1, node_count=6, pools=("previews",), links=links)


@pytest.mark.processes
@pytest.mark.fault("freeze", "publish")
async def test_frozen_reader_of_a_data_centre_delays_by_seconds_only() -> None:
    """Guards against a data centre whose configuration depends on one entry host."""
    async with small_fleet() as fleet:
        await publish_first_revision(fleet)
        fleet.freeze("entry-2")
        assert await fleet.publish(base_revision=1) == 200
        await wait_for_revision(fleet, 2, (0, 2, 3, 4, 5))
        fleet.unfreeze("entry-2")
        await wait_for_revision(fleet, 2, (1,))


@pytest.mark.processes
@pytest.mark.fault("crash", "publish")
@pytest.mark.fault("platform_down", "start")
async def test_restart_during_an_outage_keeps_the_configuration() -> None:
    """Guards against an entry host that starts with an old or empty catalogue."""
    async with small_fleet() as fleet:
        await publish_first_revision(fleet)
        assert await fleet.publish(base_revision=1) == 200
        await wait_for_revision(fleet, 2, range(6))
        fleet.freeze("platform")
        fleet.kill("entry-3")
        fleet.start("entry-3")
        await fleet.wait_until_ready()
        assert (await read_dump(fleet, 2))["catalogue_revision"] == 2
        fleet.unfreeze("platform")
        assert await fleet.publish(base_revision=2) == 200
        await wait_for_revision(fleet, 3, range(6))


@pytest.mark.processes
@pytest.mark.fault("cut_from_platform", "publish")
async def test_data_centre_cut_from_the_platform_follows_another_one() -> None:
    """Guards against an old configuration while peers elsewhere have the new one."""
    async with small_fleet(links=True) as fleet:
        await publish_first_revision(fleet)
        fleet.cut_platform("entry-1")
        fleet.cut_platform("entry-4")
        assert await fleet.publish(base_revision=1) == 200
        await wait_for_revision(fleet, 2, range(6))


@pytest.mark.processes
@pytest.mark.fault("cut_between_data_centres", "publish")
@pytest.mark.fault("cut_from_platform", "publish")
async def test_isolated_data_centre_keeps_its_configuration_and_catches_up() -> None:
    """Guards against reverting or refusing to serve while completely isolated."""
    async with small_fleet(links=True) as fleet:
        await publish_first_revision(fleet)
        own = fleet.nodes[0].data_centre
        for other in {node.data_centre for node in fleet.nodes} - {own}:
            fleet.cut_data_centres(own, other)
        fleet.cut_platform("entry-1")
        fleet.cut_platform("entry-4")
        publish = fleet.calls.call_operator(
            "POST",
            "/v1/catalogue",
            {"base_revision": 1, "document": fleet.document, "operator": "operator"},
            node=1,
        )
        assert (await publish).status == 200
        await wait_for_revision(fleet, 2, (1, 2, 4, 5))
        isolated = [await read_dump(fleet, node) for node in (0, 3)]
        assert [dump["catalogue_revision"] for dump in isolated] == [1, 1]
        assert [dump["is_ready"] for dump in isolated] == [True, True]
        fleet.restore()
        await wait_for_revision(fleet, 2, (0, 3))


@pytest.mark.processes
@pytest.mark.fault("operator_race", "publish")
async def test_racing_publications_end_in_one_accepted() -> None:
    """Guards against merged or overwritten documents when operators race."""
    async with small_fleet() as fleet:
        await publish_first_revision(fleet)
        documents = [f"# operator {index}\n{fleet.document}" for index in range(6)]
        answers = await asyncio.gather(
            *(
                fleet.calls.call_operator(
                    "POST",
                    "/v1/catalogue",
                    {"base_revision": 1, "document": document, "operator": f"op-{at}"},
                    node=at,
                )
                for at, document in enumerate(documents)
            ),
        )
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [200, 409, 409, 409, 409, 409]
        winner = next(at for at, answer in enumerate(answers) if answer.status == 200)
        await wait_for_revision(fleet, 2, range(6))
        current = await fleet.calls.call_operator("GET", "/v1/catalogue", node=5)
        assert current.payload["document"] == documents[winner]
