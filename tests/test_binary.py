"""Tests of the single-file executable."""

import asyncio
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import aiohttp
import psutil
import pytest

from tools.binary import BuildError, build, copy_distributions
from tools.fleet_plan import pick_ports

START_TIMEOUT_S = 30


@contextmanager
def run_program(program: Path, root: Path, operator: str) -> Iterator[int]:
    """Run the executable without this environment's packages; yield its process id."""
    caller, peer, platform = (f"127.0.0.1:{port}" for port in pick_ports(3))
    command = [
        *[sys._base_executable, "-I", str(program), "serve"],  # type: ignore[attr-defined]
        *["--node-id", "entry-1", "--data-centre", "riga-1"],
        *["--caller-address", caller, "--operator-address", operator],
        *["--peer-address", peer, "--platform-url", f"http://{platform}"],
    ]
    with (root / "log").open("ab") as log:
        process = subprocess.Popen(
            command,
            env={"SHIV_ROOT": str(root / "unpacked"), "HOME": str(root)},
            stderr=log,
        )
    try:
        yield process.pid
    finally:
        process.terminate()
        process.wait()


async def wait_until_live(operator: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(f"http://{operator}/healthz") as answer:
                    assert await answer.json() == {"live": True}
                    return
            except aiohttp.ClientConnectorError:
                await asyncio.sleep(0.05)


@pytest.mark.processes
async def test_the_program_serves_as_one_process(tmp_path: Path) -> None:
    """Guards against missing packages, child processes and files elsewhere."""
    program = tmp_path / "bergamotgap"
    build(program)
    for _ in range(2):
        operator = f"127.0.0.1:{pick_ports(1)[0]}"
        with run_program(program, tmp_path, operator) as process_id:
            await wait_until_live(operator)
            assert psutil.Process(process_id).children(recursive=True) == []
    # The second start reuses the packages that the first one unpacked.
    folders = [path for path in (tmp_path / "unpacked").iterdir() if path.is_dir()]
    assert len(folders) == 1
    assert not (tmp_path / ".shiv").exists()


def test_another_version_than_the_locked_one_is_refused(tmp_path: Path) -> None:
    """Guards against an executable with other package versions than the tested ones."""
    lock = tmp_path / "lock"
    lock.write_text("typer==0.0.1\n")
    with pytest.raises(BuildError, match=r"typer: .+ but 0\.0\.1 is locked"):
        copy_distributions(tmp_path / "packages", lock)


def test_a_node_is_started_without_the_libraries_of_the_command_line() -> None:
    """Guards against a node that grows by libraries which only commands need."""
    code = "import bergamotgap.platform.start, sys; print('pydantic' in sys.modules)"
    command = [sys.executable, "-c", code]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "False"
