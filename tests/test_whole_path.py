"""The whole path, as separate processes."""

import asyncio

import aiohttp
import pytest

from tools.fleet import Fleet

FOUNDER = {"Authorization": "Bearer founder-key"}


@pytest.mark.processes
async def test_request_is_served_end_to_end() -> None:
    """Guards against a broken path from caller through entry host to worker."""
    fleet = Fleet(workers_per_pool=2, node_count=3, pools=("previews",))
    async with fleet, aiohttp.ClientSession() as session:
        assert await fleet.publish() == 200
        await fleet.wait_until_ready()
        url = f"http://{fleet.nodes[1].caller}/v1/requests/spend-preview"
        async with asyncio.timeout(20):
            while True:
                async with session.post(url, headers=FOUNDER, data=b"q3") as response:
                    if response.status == 200:
                        assert response.headers["Outcome"] == "done"
                        assert await response.read() == b"q3"
                        return
                await asyncio.sleep(0.1)
