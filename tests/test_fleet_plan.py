"""Ports of local fleets that several test processes start at the same time."""

import subprocess
import sys

from tools.fleet_plan import pick_ports

RESERVE = "import sys; from tools.fleet_plan import reserve_port as r;"


def test_a_port_is_not_picked_by_another_process() -> None:
    """Guards against an entry host that can't bind a port which two suites picked."""
    port = pick_ports(1)[0]
    command = [sys.executable, "-c", f"{RESERVE} sys.exit(7 if r({port}) else 0)"]
    assert subprocess.run(command, check=False).returncode == 0
    (other,) = pick_ports(1)
    assert other != port
