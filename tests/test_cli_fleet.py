"""Test the operators' commands with entry hosts that run as processes."""

import asyncio
import json
import signal
import sys

import pytest

from tools.fleet import ROOT, Fleet


async def run(fleet: Fleet, *arguments: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "bergamotgap", *arguments),
        *("--server", fleet.nodes[0].operator),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


@pytest.mark.processes
async def test_operator_publishes_waits_and_reads_the_status() -> None:
    """Guards against commands that can't process the answers of a real entry host."""
    async with Fleet(workers_per_pool=1, node_count=2, pools=("previews",)) as fleet:
        file = fleet.path / "catalogue.toml"
        file.write_text(fleet.document)
        publish = ("catalogue", "publish", str(file), "--base", "0", "--wait")
        code, output = await run(fleet, *publish, "--output", "json")
        assert (code, json.loads(output)["in_force_on"]) == (0, ["entry-1", "entry-2"])
        await fleet.wait_until_assigned()
        code, output = await run(fleet, "status")
        assert code == 0
        assert "entry-2" in output and "previews-1" in output
        code, output = await run(fleet, "dump")
        dump = json.loads(output)
        assert dump["node_id"] == "entry-1"
        assert dump["hosts"][0]["pool"] == "previews"
        assert {"streams", "peers", "platform", "admission", "work"} <= dump.keys()
        fleet.processes["entry-1"].send_signal(signal.SIGUSR1)
        line = await wait_for_line(fleet, "entry-1", "state dump")
        assert "catalogue_revision" in line


async def wait_for_line(fleet: Fleet, name: str, text: str) -> str:
    async with asyncio.timeout(20):
        while True:
            for line in fleet.read_log(name).splitlines():
                if text in line:
                    return line
            await asyncio.sleep(0.05)
