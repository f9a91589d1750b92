"""P9, P10: a cut-off data centre serves what is safe; readers catch up after a cut."""

import asyncio

import pytest

from tests.promise_harness import (
    build_small_document,
    count_starts,
    run_fleet,
    send,
    wait_until,
    wait_until_served,
)
from tools.fleet import Fleet


@pytest.mark.processes
@pytest.mark.fault("cut_between_data_centres", "accept")
@pytest.mark.fault("cut_from_platform", "accept")
@pytest.mark.fault("cut_from_platform", "claim")
async def test_cut_off_data_centre_serves_what_needs_no_claim() -> None:
    """Guards against a cut-off host that refuses all work, or runs unclaimed work."""
    async with run_fleet(
        workers_per_pool=2,
        node_count=2,
        pools=("previews", "reconciliation"),
        workers_per_process=4,
        links=True,
    ) as fleet:
        for entry, key in (
            ("spend-preview", "founder-key"),
            ("rollup-invoice", "nightly-key"),
        ):
            await wait_until_served(fleet, entry, key, range(2))
        first, second = fleet.nodes
        fleet.cut_data_centres(first.data_centre, second.data_centre)
        fleet.cut_platform(first.name)
        # Long enough for every component to detect the cut.
        await asyncio.sleep(4)
        for number in range(20):
            body = f"cut-{number}".encode()
            served = await send(fleet, "spend-preview", body, "founder-key", 0)
            assert (served.outcome, served.body) == ("done", body)
        refused = [
            await send(fleet, "rollup-invoice", b"unclaimed", "nightly-key", 0)
            for _ in range(3)
        ]
        assert {(a.status, a.outcome, a.code) for a in refused} == {
            (503, "unknown", "platform_unavailable")
        }
        job = await fleet.calls.submit_job(
            "rollup-invoice", b"unclaimed", "nightly-key"
        )
        assert (job.outcome, job.code) == ("unknown", "platform_unavailable")
        other = await send(fleet, "rollup-invoice", b"claimed", "nightly-key", 1)
        assert other.outcome == "done"
        fleet.restore()
        await wait_until_served(fleet, "rollup-invoice", "nightly-key", range(1))
        assert count_starts(fleet, "unclaimed") == 0


async def publish_often(fleet: Fleet, first: int, last: int) -> None:
    for base in range(first, last):
        document = f"# edit {base}\n{build_small_document(fleet)}"
        assert await fleet.publish(document, base) == 200


@pytest.mark.processes
@pytest.mark.fault("freeze", "snapshot")
async def test_host_frozen_past_the_retention_catches_up() -> None:
    """Guards against a reader that is stuck, or reverts, after records were dropped."""
    async with run_fleet(
        workers_per_pool=1,
        node_count=2,
        pools=("previews",),
    ) as fleet:
        fleet.freeze("entry-2")
        await publish_often(fleet, 1, 30)

        url = f"http://{fleet.platform_address}/streams/control/records?from=0"
        await fleet.set_platform_settings(retention_ms=500)
        await asyncio.sleep(1)
        async with fleet._session.get(url) as response:
            assert response.status == 410, "the records have not been dropped"
        fleet.unfreeze("entry-2")

        async def read_revision() -> int:
            answer = await fleet.calls.call_operator("GET", "/v1/dump", node=1)
            return int(answer.payload["catalogue_revision"])

        seen: list[int] = []

        async def is_caught_up() -> bool:
            seen.append(await read_revision())
            return seen[-1] == 30

        await wait_until(is_caught_up)
        assert seen == sorted(seen), "the host applied an older catalogue revision"
