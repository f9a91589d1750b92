"""End-to-end tests of a fleet of separate processes."""

import asyncio

import pytest

from tools.fleet import Fleet, StartError


@pytest.mark.processes
async def test_request_is_served_end_to_end() -> None:
    """Guards against a broken path from caller through entry host to worker."""
    async with Fleet(workers_per_pool=2, node_count=3, pools=("previews",)) as fleet:
        assert await fleet.publish() == 200
        await fleet.wait_until_ready()
        await fleet.wait_until_assigned()
        async with asyncio.timeout(20):
            answer = await fleet.calls.send_request("spend-preview", b"q3", node=1)
            while answer.status != 200:
                await asyncio.sleep(0.1)
                answer = await fleet.calls.send_request("spend-preview", b"q3", node=1)
        assert (answer.outcome, answer.body) == ("done", b"q3")
        assert [start["body"] for start in fleet.read_starts()] == ["q3"]


@pytest.mark.processes
async def test_an_entry_host_is_cut_off_by_its_links() -> None:
    """Guards against links that cut nothing, which would make fault tests pointless."""
    async with Fleet(
        workers_per_pool=2,
        node_count=2,
        pools=("previews",),
        workers_per_process=2,
        links=True,
    ) as fleet:
        assert fleet.process_of("previews-2") == "workers-1"
        fleet.cut_data_centres("riga-1", "riga-2")
        for link in fleet.network.peer_links.values():
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(*link.address.split(":"))
        fleet.cut_platform("entry-1")
        fleet.cut_platform("entry-2")
        assert await fleet.publish() != 200
        fleet.restore()
        # The refused append must not have taken effect.
        assert await fleet.publish() == 200


@pytest.mark.processes
async def test_a_failed_start_leaves_no_process() -> None:
    """Guards against processes that are left running when one of them can't start."""
    fleet = Fleet(
        workers_per_pool=1,
        node_count=1,
        pools=("previews",),
        worker_settings={"slots": "none"},
    )
    with pytest.raises(StartError, match="previews-1: exit status"):
        await fleet.__aenter__()
    assert all(process.poll() is not None for process in fleet.processes.values())
    assert not fleet.path.exists()
