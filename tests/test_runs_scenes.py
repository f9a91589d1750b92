"""A task is never on two workers at once, whatever happens to its workers."""

import os

import pytest

from stand_ins.virtual_time import run_virtual
from tests.runs_scene import RunsScene
from tests.waiting_scene import play

# The seeds of the random scenes, as FIRST:END.
FIRST_SEED, END_SEED = map(int, os.environ.get("RUNS_SEEDS", "0:8").split(":"))
SEEDS = range(FIRST_SEED, END_SEED)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_is_on_two_workers_at_once_under_random_disruptions(seed: int) -> None:
    """Guards against a start elsewhere before the former run has certainly ended."""

    async def main() -> None:
        scene = RunsScene(seed)
        await play(scene)
        assert not scene.problems, "\n".join([*scene.events, *scene.problems])

    run_virtual(main())
