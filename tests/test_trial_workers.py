"""The choice of workers for trials, without the owner of a pool."""

import dataclasses
from typing import cast

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bergamotgap.domain.fleet import Size, StepSpec, TaskId
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.placement_explanation import find_obstacle
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.link_interface import LiveRun
from bergamotgap.pools.possible_runs import PossibleRuns
from bergamotgap.pools.run_lease import RunLease
from bergamotgap.pools.tracked_worker import TrackedWorker
from bergamotgap.pools.trial_workers import TrialWorkers
from bergamotgap.pools.worker_life import WorkerLife
from bergamotgap.pools.worker_link import WorkerLink
from stand_ins.pool_workers import SETTINGS
from stand_ins.pools import build_job, build_worker
from stand_ins.virtual_time import LoopClock

# A trial begins this long after runs of others have ended, or earlier.
TRIAL_WAIT_MS = 8000
STEP_MS = 500


class ManualClock(LoopClock):
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_ms = 0

    def monotonic_ms(self) -> int:
        """Return the time that the test has set."""
        return self.now_ms


@dataclasses.dataclass(frozen=True)
class Load:
    """What one worker runs, and for how long its short tasks do."""

    siblings: int
    lasting: int
    short: int
    short_ms: int
    has_label: bool


LOADS = st.builds(
    Load,
    siblings=st.integers(0, 2),
    lasting=st.integers(0, 3),
    short=st.integers(0, 3),
    short_ms=st.integers(0, 8000),
    has_label=st.booleans(),
)


def build_link(number: int, load: Load, clock: ManualClock) -> TrackedWorker:
    labels = frozenset({"a"} if load.has_label else ())
    info = dataclasses.replace(
        build_worker(number), capacity=Size(4000, 4000, 0), labels=labels
    )
    lease = RunLease(1, SETTINGS.run_lease_ms, SETTINGS.max_lease_ms, 0, clock)
    return TrackedWorker(info, WorkerLife(lease), PossibleRuns(clock), clock)


def add_runs(
    link: TrackedWorker, name: str, count: int, step: StepSpec
) -> list[LiveRun]:
    runs = [
        LiveRun(Task(TaskId(f"{name}-{link.worker_id}", 0, 0, n), step), 1)
        for n in range(count)
    ]
    for live in runs:
        link.add_run(live)
    return runs


def add_sibling(link: TrackedWorker, task: Task) -> LiveRun:
    live = LiveRun(task, 1)
    link.add_run(live)
    return live


@example([Load(1, 0, 0, 0, True), Load(0, 2, 0, 0, True)], 1, False, True, 1000)
@settings(max_examples=100, deadline=None)
@given(
    st.lists(LOADS, min_size=1, max_size=6),
    st.integers(0, 2),
    st.booleans(),
    st.booleans(),
    st.integers(500, 4000),
)
def test_a_trial_begins_exactly_if_the_task_can_start_once_short_runs_end(
    loads: list[Load], limit: int, needs_label: bool, is_long_running: bool, cpu: int
) -> None:
    """Guards against reservations by another rule than that of the start."""
    clock = ManualClock()
    links = {
        link.worker_id: link
        for number, load in enumerate(loads, 1)
        for link in [build_link(number, load, clock)]
    }
    step = StepSpec(
        count=1 + sum(load.siblings for load in loads),
        cpu=cpu,
        requirement="a" if needs_label else "",
        max_per_host=limit,
        is_long_running=is_long_running,
    )
    job = Job(build_job("job", steps=(step,)), 0)
    job.begin_due_occurrences(0)
    suspect, *siblings = job.list_tasks()
    suspect.runs_alone = True
    ends: list[tuple[int, TrackedWorker, LiveRun]] = []
    for link, load in zip(links.values(), loads, strict=True):
        running = [add_sibling(link, siblings.pop()) for _ in range(load.siblings)]
        lasting = StepSpec(1, cpu=500, is_long_running=True)
        add_runs(link, "lasting", load.lasting, lasting)
        short = add_runs(link, "short", load.short, StepSpec(1, cpu=1000))
        if not is_long_running:
            short += running
        ends += [(load.short_ms, link, live) for live in short]
    trial_workers = TrialWorkers(cast(dict[str, WorkerLink], links), clock)
    started: TrackedWorker | None = None
    last_end_ms = max((end_ms for end_ms, _, _ in ends), default=0)
    while started is None and clock.now_ms <= last_end_ms + TRIAL_WAIT_MS:
        for end_ms, link, live in ends:
            if end_ms <= clock.now_ms:
                link.remove_run(live)
        trial_workers.begin_pass({"job": job})
        usable = cast(list[WorkerLink], list(links.values()))
        started = trial_workers.choose(job, suspect, usable, True)
        if started is None:
            clock.now_ms += STEP_MS
    if started is not None:
        assert find_obstacle(started.capacity, suspect) == ""
    else:
        assert all(find_obstacle(link.capacity, suspect) for link in links.values())
