"""Wall time of a host whose time of day jumps, and what is reckoned by it.

Guards against what users saw on such a morning: work that was due later ran at once or
again, and finished jobs were forgotten.
"""

import asyncio

from bergamotgap.domain.clock import OFFSET_SAMPLES, SAMPLE_INTERVAL_MS, SystemClock
from bergamotgap.domain.fleet import JobPhase
from stand_ins.pools import build_job
from stand_ins.virtual_time import LoopClock, run_virtual
from tests.pool_scene import Scene

WALL_MS = 1_700_000_000_000


class JumpingHost:
    """Clocks of a host whose time of day is off by `jump_ms`."""

    def __init__(self) -> None:
        self.now_ms = 0
        self.jump_ms = 0
        self.clock = SystemClock(
            lambda: WALL_MS + self.now_ms + self.jump_ms, lambda: self.now_ms
        )

    def run_for(self, duration_ms: int) -> None:
        """Let time pass while the process reads its clock."""
        for _ in range(0, duration_ms, 200):
            self.now_ms += 200
            self.clock.wall_ms()

    @property
    def error_ms(self) -> int:
        return self.clock.wall_ms() - WALL_MS - self.now_ms


def test_a_jump_of_the_time_of_day_does_not_show() -> None:
    """Guards against a timed job that starts early because one host's clock jumped."""
    host = JumpingHost()
    host.run_for(20_000)
    for jump_ms in (2400, -2400, 60_000):
        host.jump_ms = jump_ms
        host.run_for(8000)
        assert host.error_ms == 0
        host.jump_ms = 0
        host.run_for(12_000)
        assert host.error_ms == 0


def test_a_lasting_change_of_the_time_of_day_is_followed() -> None:
    """Guards against a host that keeps a wrong time after its clock was corrected."""
    host = JumpingHost()
    host.jump_ms = -5000
    host.run_for(10_000)
    assert host.error_ms == -5000
    host.jump_ms = 0
    host.run_for(OFFSET_SAMPLES * SAMPLE_INTERVAL_MS)
    assert host.error_ms == 0


def test_an_ended_job_is_kept_for_its_time_whatever_the_time_of_day() -> None:
    """Guards against 410 for a job that ended seconds ago, before the clock jumped."""

    class JumpingClock(LoopClock):
        """Clock whose wall time is off by `jump_ms`."""

        jump_ms = 0

        def wall_ms(self) -> int:
            return super().wall_ms() + self.jump_ms

    async def main() -> None:
        scene = Scene()
        clock = scene.clock = JumpingClock()
        async with scene.run_owner(1) as (pool, _):
            await pool.submit(build_job("ended"))
            await asyncio.sleep(5)
            clock.jump_ms = 3_600_000
            await asyncio.sleep(60)
            phase = pool.job_table.get_durable_phase("ended")
            assert phase is JobPhase.COMPLETED
            clock.jump_ms = -3_600_000
        async with scene.run_owner(2, term_number=2) as (pool, _):
            await asyncio.sleep(60)
            phase = pool.job_table.get_durable_phase("ended")
            assert phase is JobPhase.COMPLETED
            await asyncio.sleep(120)
            assert pool.job_table.get_durable_phase("ended") is None

    run_virtual(main())
