"""The host controller orders maintenance once, and only on hosts that are empty."""

import asyncio
import socket
import struct
from collections.abc import Callable

from bergamotgap.domain.fleet import FleetConfig, HostInfo, Wave
from bergamotgap.domain.maintenance_plan import IN_MAINTENANCE, UP
from bergamotgap.platform.node import open_resetting_socket
from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.ports.fleet import MachineServiceUnavailableError
from bergamotgap.ports.pool_peer import DrainCall, DrainReply, PoolCall, PoolReply
from stand_ins.pool_store import FakeStore
from stand_ins.pools import CONFIG
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.controller_harness import build_fleet_view, run_host_controller

PARTITION = ("keyed.jobs", 3)
WAVE = Wave(1, ("m1", "m2"), 20_000, 2)
MAINTENANCE_S = 2.0


class FakeMachineService:
    """Hosts of one pool; maintenance orders for `unreachable_hosts` never arrive.

    Orders for hosts in `unanswered_hosts` are executed without an answer.
    """

    def __init__(self) -> None:
        self.maintained_hosts: list[str] = []
        self.unreachable_hosts: set[str] = set()
        self.unanswered_hosts: set[str] = set()
        self.unlisted_hosts: set[str] = set()
        self._back_s: dict[str, float] = {}

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts."""
        now_s = asyncio.get_running_loop().time()
        return tuple(
            HostInfo(
                host,
                "previews",
                IN_MAINTENANCE if now_s < self._back_s.get(host, 0) else UP,
                f"w-{host}",
                "dc-1",
                8000,
            )
            for host in WAVE.hosts
            if host not in self.unlisted_hosts
        )

    async def move(self, host: str, pool: str, token: int) -> str:
        """Refuse every move."""
        return "busy"

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Begin the maintenance of a host."""
        await asyncio.sleep(0.005)
        if host in self.unreachable_hosts:
            await asyncio.sleep(1)
            raise MachineServiceUnavailableError("lost")
        self.maintained_hosts.append(host)
        self._back_s[host] = asyncio.get_running_loop().time() + MAINTENANCE_S
        if host in self.unanswered_hosts:
            raise MachineServiceUnavailableError("no answer")
        return ""


class Scene:
    """The log, the hosts, and one host controller after the other."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = FakeStore()
        self.machines = FakeMachineService()
        self.reports: list[bool] = []
        self.is_confirmed = True
        self.is_empty: Callable[[str], bool] = lambda worker_id: True
        self.fleet_view = build_fleet_view(self.clock)
        self.fleet_view.waves[1] = WAVE
        self.fleet_view.config = FleetConfig(1, CONFIG.queues, ("previews",))

    async def call_owner(self, call: PoolCall) -> PoolReply | NoReply:
        await asyncio.sleep(0.005)
        if not isinstance(call, DrainCall):
            return NoReply("no_owner", was_sent=False)
        return DrainReply(self.is_empty(call.worker_id))

    async def report_wave(self, wave: Wave, is_completed: bool) -> None:
        self.reports.append(is_completed)

    async def run_controller(self, token: int, duration_s: float) -> None:
        """Run a host controller for a time, then kill it."""
        async with run_host_controller(self, token, PARTITION):
            await asyncio.sleep(duration_s)


def test_recorded_maintenance_without_an_order_is_ordered_by_a_successor() -> None:
    """Guards against a completed wave in which a host was never maintained.

    The first controller records the maintenance of m2 and is killed while the order is
    on its way.
    """

    async def main() -> None:
        scene = Scene()
        scene.machines.unreachable_hosts = {"m2"}
        # The first controller is killed while its order for m2 is on its way.
        await scene.run_controller(1, 0.5)
        assert scene.machines.maintained_hosts == ["m1"]
        scene.machines.unreachable_hosts = set()
        await scene.run_controller(2, 8)
        assert "m2" in scene.machines.maintained_hosts
        assert scene.reports[-1]

    run_virtual(main())


def test_maintenance_waits_if_the_worker_got_tasks_while_it_was_recorded() -> None:
    """Guards against maintenance that ends tasks which a new owner has started.

    The pool changes its owner while the controller writes the wave's progress.
    """

    async def main() -> None:
        scene = Scene()
        drain_calls = 0

        def is_empty(worker_id: str) -> bool:
            nonlocal drain_calls
            drain_calls += worker_id == "w-m1"
            # The pool gets another owner after the first drain call for m1.
            return worker_id != "w-m1" or drain_calls == 1

        scene.is_empty = is_empty
        await scene.run_controller(1, 4)
        assert drain_calls > 1
        assert "m1" not in scene.machines.maintained_hosts
        assert "m2" in scene.machines.maintained_hosts

    run_virtual(main())


def test_repeated_maintenance_waits_until_the_worker_is_empty() -> None:
    """Guards against a repeated order that ends the tasks of a worker in use.

    The first controller is killed before its orders arrive, so its successor repeats
    them, though the workers have got tasks by then.
    """

    async def main() -> None:
        scene = Scene()
        scene.machines.unreachable_hosts = {"m1", "m2"}
        await scene.run_controller(1, 0.5)
        scene.machines.unreachable_hosts = set()
        scene.is_empty = lambda worker_id: False
        await scene.run_controller(2, 3)
        assert scene.machines.maintained_hosts == []
        scene.is_empty = lambda worker_id: True
        await scene.run_controller(3, 8)
        assert sorted(scene.machines.maintained_hosts) == ["m1", "m2"]
        assert scene.reports[-1]

    run_virtual(main())


def test_a_controller_that_was_paused_in_a_round_orders_nothing() -> None:
    """Guards against an order that a paused controller sends after its successor's.

    The controller loses its confirmation during the last drain call before the order.
    """

    async def main() -> None:
        scene = Scene()

        def lose_confirmation(worker_id: str) -> bool:
            scene.is_confirmed = False
            return True

        scene.is_empty = lose_confirmation
        await scene.run_controller(1, 3)
        assert scene.machines.maintained_hosts == []

    run_virtual(main())


def test_a_host_that_is_not_listed_for_some_seconds_is_still_maintained() -> None:
    """Guards against a completed wave without maintenance of a host of a lost rack.

    The host is not listed while its rack is down.
    """

    async def main() -> None:
        scene = Scene()
        scene.machines.unlisted_hosts = {"m2"}
        running = asyncio.create_task(scene.run_controller(1, 16))
        await asyncio.sleep(8)
        assert scene.machines.maintained_hosts == ["m1"]
        assert scene.reports == [False]
        scene.machines.unlisted_hosts = set()
        await running
        assert scene.machines.maintained_hosts == ["m1", "m2"]
        assert scene.reports == [False, True]

    run_virtual(main())


def test_a_host_that_has_left_is_no_longer_waited_for() -> None:
    """Guards against waves that never complete, and against a second completion.

    A host that is added later under the same name belongs to no wave.
    """

    async def main() -> None:
        scene = Scene()
        scene.machines.unlisted_hosts = {"m2"}
        await scene.run_controller(1, 12)
        assert scene.reports == [False, True]
        scene.machines.unlisted_hosts = set()
        await scene.run_controller(2, 5)
        assert scene.machines.maintained_hosts == ["m1"]
        assert scene.reports[-1]

    run_virtual(main())


def test_a_host_seen_in_maintenance_answers_its_order() -> None:
    """Guards against a second maintenance after an order without an answer."""

    async def main() -> None:
        scene = Scene()
        scene.machines.unanswered_hosts = {"m1"}
        await scene.run_controller(1, 6)
        assert sorted(scene.machines.maintained_hosts) == ["m1", "m2"]
        assert scene.reports == [False, True]

    run_virtual(main())


def test_a_wave_is_reported_as_soon_as_its_last_host_is_back() -> None:
    """Guards against reports that wait longer than the next rounds."""

    async def main() -> None:
        scene = Scene()
        running = asyncio.create_task(scene.run_controller(1, 6))
        while len(scene.machines.maintained_hosts) < 2:
            await asyncio.sleep(0.01)
        await asyncio.sleep(MAINTENANCE_S + 0.25)
        assert scene.reports == [False, True]
        await running

    run_virtual(main())


def test_an_order_that_is_not_answered_delays_no_other_host() -> None:
    """Guards against rounds that wait for one host after the other."""

    async def main() -> None:
        scene = Scene()
        scene.machines.unreachable_hosts = {"m1"}
        running = asyncio.create_task(scene.run_controller(1, 3))
        await asyncio.sleep(1)
        assert scene.machines.maintained_hosts == ["m2"]
        await running

    run_virtual(main())


def test_an_outage_of_the_log_only_postpones_maintenance() -> None:
    """Guards against orders without a record, which a successor would not know of."""

    async def main() -> None:
        scene = Scene()
        running = asyncio.create_task(scene.run_controller(1, 14))
        await asyncio.sleep(0.05)
        scene.store.is_down = True
        await asyncio.sleep(5)
        assert scene.machines.maintained_hosts == []
        scene.store.is_down = False
        await running
        assert sorted(scene.machines.maintained_hosts) == ["m1", "m2"]
        assert scene.reports[-1]

    run_virtual(main())


async def test_an_order_to_a_host_is_dropped_when_its_socket_closes() -> None:
    """Guards against a delayed order that arrives after one from a later controller.

    A network partition holds the order up; closing the socket must discard it.
    """
    address = (socket.AF_INET, socket.SOCK_STREAM, 0, "", ("127.0.0.1", 1))
    with open_resetting_socket(address) as opened:
        value = opened.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
    assert struct.unpack("ii", value) == (1, 0)
