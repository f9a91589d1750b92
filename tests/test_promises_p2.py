"""P2: a host belongs to exactly one pool at any time."""

import asyncio
import json

import pytest

from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.records import HostAssigned, HostReleased
from stand_ins.link import Link
from tests.promise_harness import (
    append_record,
    check_pool_membership,
    count_starts,
    fold_stream,
    list_applied,
    run_fleet,
    send,
    wait_until,
    wait_until_served,
)
from tools.fleet import Fleet

ORDER_DELAY_MS = 3000


async def route_through_link(fleet: Fleet, host: str, link: Link) -> None:
    """Make the entry hosts connect to a worker through a link."""
    facts = next(item for item in fleet.hosts if item["host"] == host)
    await fleet._put_json(
        fleet.platform_address, f"/hosts/{host}", {**facts, "address": link.address}
    )

    async def is_known() -> bool:
        state = await fold_stream(fleet, ControlState())
        return state.hosts[host].facts.address == link.address

    await wait_until(is_known)


async def release_host(fleet: Fleet, host: str) -> None:
    """Append a release, like a planner that crashes right after it."""

    async def is_released() -> bool:
        state = await fold_stream(fleet, ControlState())
        known = state.hosts[host]
        if known.pool is None or known.epoch > 1:
            return True
        await append_record(fleet, HostReleased(host, known.epoch, state.plan_revision))
        return False

    await wait_until(is_released)


async def is_assigned(fleet: Fleet, host: str) -> bool:
    return any(
        record.host == host for record in await list_applied(fleet, HostAssigned)
    )


@pytest.mark.processes
@pytest.mark.fault("freeze", "move_assign")
@pytest.mark.fault("freeze", "dispatch")
async def test_order_of_a_frozen_host_starts_nothing_in_the_next_pool() -> None:
    """Guards against a task of the old pool that starts after the assignment.

    The order is in transit when its sender freezes and the host moves to another pool.
    A late deadline makes sure that the start-before time doesn't reject the order.
    """
    host = "audits-1"
    async with (
        run_fleet(
            workers_per_pool=2,
            node_count=2,
            pools=("audits", "miscellaneous"),
            workers_per_process=4,
        ) as fleet,
        Link(fleet.worker_address(host)) as link,
    ):
        await route_through_link(fleet, host, link)
        # Only this worker accepts audits, so the order goes through the link.
        await fleet.set_worker_faults("audits-2", down=True, paths=["tasks"])
        await wait_until_served(fleet, "audit-export", "nightly-key", range(1, 2))
        link.delay_ms = ORDER_DELAY_MS
        orders = [
            asyncio.create_task(
                send(
                    fleet,
                    "audit-export",
                    b"in-flight",
                    "nightly-key",
                    1,
                    deadline_ms=20_000,
                )
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.3)
        fleet.freeze("entry-2")
        link.delay_ms = 0
        await fleet.set_worker_faults("audits-2")
        await release_host(fleet, host)
        await wait_until(lambda: is_assigned(fleet, host))
        assert (
            count_starts(fleet, "in-flight") == 0
        ), "the orders arrived before the assignment"
        await asyncio.sleep(ORDER_DELAY_MS / 1000)
        assert count_starts(fleet, "in-flight") == 0
        fleet.unfreeze("entry-2")
        answers = await asyncio.gather(*orders)
        assert {answer.body for answer in answers if answer.outcome == "done"} <= {
            b"in-flight"
        }
        await check_pool_membership(fleet)


@pytest.mark.processes
@pytest.mark.fault("crash", "move_release")
@pytest.mark.fault("crash", "move_assign")
async def test_another_planner_finishes_the_move_of_a_crashed_one() -> None:
    """Guards against a host that stays in no pool or in two after a planner crash."""
    async with run_fleet(
        workers_per_pool=3,
        node_count=3,
        pools=("audits", "reconciliation"),
        workers_per_process=3,
        slots=2,
    ) as fleet:
        await wait_until_served(fleet, "audit-export", "finance-key", range(3))
        await wait_until_served(
            fleet, "invoice-reconciliation", "finance-key", range(3)
        )

        def start(entry: str, node: int, run_ms: int) -> asyncio.Task[object]:
            body = json.dumps({"run_ms": run_ms}).encode()
            return asyncio.create_task(
                send(fleet, entry, body, "finance-key", node, deadline_ms=25_000)
            )

        # All hosts of the donor pool are busy, so that the planner must wait between
        # the release and the assignment.
        work = [start("audit-export", 1 + at % 2, 2500) for at in range(3)]
        work += [start("invoice-reconciliation", 1 + at % 2, 400) for at in range(60)]

        async def is_released() -> bool:
            return bool(await list_applied(fleet, HostReleased))

        await wait_until(is_released)
        fleet.kill("entry-1")
        released = {r.host for r in await list_applied(fleet, HostReleased)}
        for host in released:
            await wait_until(lambda host=host: is_assigned(fleet, host))
        answers = await asyncio.gather(*work)
        assert [answer.outcome for answer in answers] == ["done"] * len(answers)
        await check_pool_membership(fleet)
