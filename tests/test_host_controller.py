"""The holder of the hosts' duty: upkeep that is ordered once, and only where it may."""

import asyncio
from collections.abc import Callable

from bergamotgap.domain.fleet import FleetConfig, HostInfo, Wave
from bergamotgap.domain.maintenance_plan import IN_MAINTENANCE, UP
from bergamotgap.pools.fleet_view import DocumentFormat, FleetView
from bergamotgap.pools.host_controller import HostController
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.requests import NoReply
from bergamotgap.pools.wave_records import restore_wave_progress
from bergamotgap.ports.fleet import Fence, MachineServiceUnavailableError
from bergamotgap.ports.pool_peer import DrainCall, DrainReply, PoolCall, PoolReply
from stand_ins.pools import CONFIG, SETTINGS, FakeStore
from stand_ins.virtual_time import LoopClock, run_virtual

PARTITION = ("keyed.jobs", 3)
WAVE = Wave(1, ("m1", "m2"), 20_000, 2)
UPKEEP_S = 2.0


class FakeMachines:
    """Hosts of one pool; orders to those in `lose` never arrive."""

    def __init__(self) -> None:
        self.upkeeps: list[str] = []
        self.lose: set[str] = set()
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
        )

    async def move(self, host: str, pool: str, token: int) -> str:
        """Refuse."""
        return "busy"

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Begin an upkeep."""
        await asyncio.sleep(0.005)
        if host in self.lose:
            await asyncio.sleep(1)
            raise MachineServiceUnavailableError("lost")
        self.upkeeps.append(host)
        self._back_s[host] = asyncio.get_running_loop().time() + UPKEEP_S
        return ""


class Scene:
    """The log, the hosts, and holders of the duty one after the other."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.store = FakeStore()
        self.machines = FakeMachines()
        self.reports: list[bool] = []
        self.is_confirmed = True
        self.is_empty: Callable[[str], bool] = lambda worker_id: True
        documents = DocumentFormat("config", "wave/", _never, _never, _never)
        self.directory = FleetView(documents, self.clock)
        self.directory.waves[1] = WAVE
        self.directory.config = FleetConfig(1, CONFIG.queues, ("previews",))

    async def ask(self, call: PoolCall) -> PoolReply | NoReply:
        await asyncio.sleep(0.005)
        if not isinstance(call, DrainCall):
            return NoReply("no_owner", was_sent=False)
        return DrainReply(self.is_empty(call.worker_id))

    async def report(self, wave: Wave, is_completed: bool) -> None:
        self.reports.append(is_completed)

    async def hold(self, token: int, duration_s: float) -> None:
        """Hold the duty for a time, then vanish."""
        fence = Fence("@hosts", token, 0)
        journal = Journal(self.store, *PARTITION, fence, self.clock, lambda: None)
        newest = await self.store.read_newest_values(*PARTITION)
        duty = HostController(
            token,
            0,
            journal,
            restore_wave_progress(newest.values, self.clock.monotonic_ms()),
            self.machines,
            self.directory,
            self.ask,
            self.report,
            lambda: self.is_confirmed,
            SETTINGS,
            self.clock,
        )
        work = [asyncio.create_task(run()) for run in (journal.run, duty.run)]
        await asyncio.sleep(duration_s)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)


def _never(*_: object) -> None:  # type: ignore[misc]
    raise AssertionError


def test_an_upkeep_that_was_written_and_not_ordered_is_ordered_by_the_next() -> None:
    """Guards against a wave said to be completed without the upkeep of a host."""

    async def main() -> None:
        scene = Scene()
        scene.machines.lose = {"m2"}
        # The first holder vanishes while its order for m2 is on its way.
        await scene.hold(1, 0.5)
        assert scene.machines.upkeeps == ["m1"]
        scene.machines.lose = set()
        await scene.hold(2, 8)
        assert "m2" in scene.machines.upkeeps
        assert scene.reports[-1]

    run_virtual(main())


def test_an_upkeep_waits_if_the_worker_got_work_while_it_was_written() -> None:
    """Guards against an upkeep that ends tasks which a new owner started."""

    async def main() -> None:
        scene = Scene()
        asked = 0

        def is_empty(worker_id: str) -> bool:
            nonlocal asked
            asked += worker_id == "w-m1"
            # The pool gets another owner after the first question about m1.
            return worker_id != "w-m1" or asked == 1

        scene.is_empty = is_empty
        await scene.hold(1, 4)
        assert asked > 1
        assert "m1" not in scene.machines.upkeeps
        assert "m2" in scene.machines.upkeeps

    run_virtual(main())


def test_a_repeated_upkeep_waits_until_the_worker_is_empty() -> None:
    """Guards against a successor's order that ends the tasks of a worker in use."""

    async def main() -> None:
        scene = Scene()
        scene.machines.lose = {"m1", "m2"}
        await scene.hold(1, 0.5)
        scene.machines.lose = set()
        scene.is_empty = lambda worker_id: False
        await scene.hold(2, 3)
        assert scene.machines.upkeeps == []
        scene.is_empty = lambda worker_id: True
        await scene.hold(3, 8)
        assert sorted(scene.machines.upkeeps) == ["m1", "m2"]
        assert scene.reports[-1]

    run_virtual(main())


def test_a_holder_that_was_frozen_in_a_round_orders_nothing() -> None:
    """Guards against an order with a lower token after a successor's."""

    async def main() -> None:
        scene = Scene()

        def freeze(worker_id: str) -> bool:
            scene.is_confirmed = False
            return True

        scene.is_empty = freeze
        await scene.hold(1, 3)
        assert scene.machines.upkeeps == []

    run_virtual(main())
