"""Pure decisions on jobs, placement, sizes of pools and upkeep."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from bergamotgap.domain.fleet import HostInfo, JobPhase, Queue, StepSpec, TaskId, Wave
from bergamotgap.domain.job_state import Job, StepRun, Task, TaskPhase
from bergamotgap.domain.maintenance_plan import (
    WaveProgress,
    is_wave_completed,
    list_drain_candidates,
    record_in_maintenance,
    record_returned,
)
from bergamotgap.domain.pacing import choose_pace
from bergamotgap.domain.pool_sizes import (
    IdleHost,
    PoolDemand,
    SpareHost,
    estimate_offered_load,
    forecast_demand,
    list_short_pools,
    plan_moves,
)
from bergamotgap.domain.run_estimates import RunEstimates
from bergamotgap.domain.task_placement import (
    LATE,
    ON_TIME,
    WORTHLESS,
    WorkerCapacity,
    choose_task_worker,
    is_still_best_worker,
    place_gang,
    rank_job,
)
from stand_ins.pools import build_job, build_worker

SIZES = st.builds(
    StepSpec,
    count=st.integers(1, 5),
    cpu=st.integers(0, 9000),
    memory_mb=st.integers(0, 9000),
    max_per_host=st.integers(0, 2),
    is_long_running=st.booleans(),
    is_filler=st.booleans(),
)


@given(st.lists(SIZES, max_size=12))
def test_no_worker_is_filled_above_its_capacity(steps: list[StepSpec]) -> None:
    """Guards against starts that the worker does not refuse and can't hold."""
    rooms = [WorkerCapacity(build_worker(number)) for number in range(3)]
    for number, step in enumerate(steps):
        for index in range(step.count):
            task = Task(TaskId("job", 0, number, index), step)
            room = choose_task_worker(rooms, task)
            if room is not None:
                room.reserve(task)
    for room in rooms:
        assert room.used_cpu <= room.info.capacity.cpu
        assert room.used_memory_mb <= room.info.capacity.memory_mb
        for (_, _, number), count in room.tasks_of_step.items():
            limit = steps[number].max_per_host
            assert not limit or count <= limit


def test_a_task_goes_only_where_its_requirement_is_met() -> None:
    """Guards against a start on a worker without the label."""
    rooms = [WorkerCapacity(build_worker(number)) for number in (1, 2)]
    step = StepSpec(count=1, requirement="r0")
    room = choose_task_worker(rooms, Task(TaskId("job", 0, 0, 0), step))
    assert room is rooms[1]
    missing = StepSpec(count=1, requirement="none")
    assert choose_task_worker(rooms, Task(TaskId("job", 0, 0, 0), missing)) is None


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    """Guards against members that wait for others without room."""
    rooms = [WorkerCapacity(build_worker(number)) for number in (1, 2)]
    job = Job(build_job(steps=(StepSpec(count=4, cpu=4000, is_gang=True),)), 0)
    job.open_due_occurrences(0)
    step = next(job.steps)
    placed = place_gang(rooms, step)
    assert placed is not None
    assert len(placed) == 4
    assert place_gang(rooms[:1], step) is None
    assert all(room.used_cpu == 0 for room in rooms)


def test_steps_wait_for_those_before_and_the_last_task_completes() -> None:
    """Guards against a job that is shown as completed too early."""
    job = Job(build_job(), 0)
    job.open_due_occurrences(0)
    assert [step.number for step in job.list_ready_steps()] == [0]
    for task in job.list_tasks()[:3]:
        assert job.phase is JobPhase.QUEUED
        job.record_done(task)
        job.record_done(task)
    assert [step.number for step in job.list_ready_steps()] == [1]
    for task in job.list_tasks()[3:]:
        job.record_done(task)
    assert job.phase is JobPhase.COMPLETED


def test_what_was_saved_is_taken_over() -> None:
    """Guards against ends and attempts that a change of owner forgets."""
    job = Job(build_job(), 0)
    job.open_due_occurrences(0)
    tasks = job.list_tasks()
    for task in tasks[:4]:
        job.record_done(task)
    tasks[4].failures, tasks[4].counted_run, tasks[4].checkpoint = 2, 7, "abc"
    heir = Job(build_job(), 0)
    heir.restore(job.save())
    phases = [task.phase is TaskPhase.DONE for task in heir.list_tasks()]
    assert phases == [True] * 4 + [False]
    last = heir.list_tasks()[4]
    assert (last.failures, last.counted_run, last.checkpoint) == (2, 7, "abc")


def test_an_occurrence_does_not_begin_before_its_time() -> None:
    """Guards against a timed job that starts early."""
    job = Job(build_job(repetitions=3, start_at_ms=1000, interval_ms=500), 0)
    assert not job.open_due_occurrences(999)
    assert job.open_due_occurrences(1500)
    assert len(job.list_ready_steps()) == 2
    assert job.next_due_ms == 2000


def test_work_that_can_be_in_time_goes_before_late_work() -> None:
    """Guards against late work that makes other work late."""
    queue = Queue("q-previews", "", "", "", stretch=1.6, target_latency_ms=600)
    job = Job(build_job(), 0)
    job.open_due_occurrences(0)
    ranks = [rank_job(job, queue, now, 1.0)[0] for now in (0, 3000, 30_000)]
    assert ranks == [ON_TIME, LATE, WORTHLESS]


def idle(number: int, ms: int = 10_000) -> IdleHost:
    return IdleHost(f"m{number}", f"w{number}", 8000, ms)


def demand(pool: str, wanted: int, workers: int, *hosts: IdleHost) -> PoolDemand:
    return PoolDemand(pool, wanted, wanted, 8000 * workers, 0, workers, hosts)


def test_hosts_move_to_where_work_waits_spare_ones_first() -> None:
    """Guards against a pool that waits beside idle hosts."""
    demands = [demand("a", 30_000, 2), demand("b", 0, 3, idle(1), idle(2), idle(3))]
    moves = plan_moves(demands, [SpareHost("m9", "misc", 8000)], "misc")
    to_a = [move.host for move in moves if move.target == "a"]
    assert to_a == ["m9", "m1", "m2"]
    assert all(move.target == "a" for move in moves)


def test_the_last_worker_of_a_pool_stays() -> None:
    """Guards against a pool that can't start anything."""
    moves = plan_moves([demand("a", 0, 2, idle(1), idle(2))], [], "misc")
    assert [(move.host, move.target) for move in moves] == [("m1", "misc")]


def test_a_pool_gets_the_workers_that_its_tasks_must_be_spread_over() -> None:
    """Guards against lasting tasks that wait beside free cores of one worker."""
    narrow = dataclasses.replace(demand("a", 0, 1), least_workers=3)
    spare = [SpareHost(f"m{number}", "misc", 8000) for number in range(4)]
    assert [move.target for move in plan_moves([narrow], spare, "misc")] == ["a", "a"]
    served = dataclasses.replace(narrow, arriving_workers=2)
    assert plan_moves([served], spare, "misc") == []
    full = dataclasses.replace(
        demand("a", 0, 3, idle(1), idle(2), idle(3)), least_workers=3
    )
    assert plan_moves([full], [], "misc") == []


def test_a_pool_gets_a_host_with_the_label_that_a_task_requires() -> None:
    """Guards against a task that waits for a kind of worker that stays elsewhere."""
    plain, large = (
        SpareHost("m1", "misc", 8000, frozenset({"small"})),
        SpareHost("m2", "misc", 8000, frozenset({"large"})),
    )
    wanting = dataclasses.replace(demand("a", 0, 1), labels=frozenset({"large"}))
    moves = plan_moves([wanting], [plain, large], "misc")
    assert [(move.host, move.target) for move in moves] == [("m2", "a")]
    assert plan_moves([wanting], [plain], "misc") == []


def test_a_host_that_idles_shortly_is_kept() -> None:
    """Guards against moves that cost more than the host does."""
    assert plan_moves([demand("a", 0, 2, idle(1, 100), idle(2, 100))], [], "m") == []


def test_a_pool_that_gets_nothing_is_short() -> None:
    """Guards against late work that keeps hosts from work that can be in time."""
    demands = [demand("a", 80_000, 2), demand("b", 0, 1)]
    assert list_short_pools(demands, plan_moves(demands, [], "misc")) == {"a"}


def test_a_pool_that_lacks_hosts_for_late_work_only_is_not_short() -> None:
    """Guards against two pools whose late work yields to the other's for ever."""
    late = dataclasses.replace(demand("a", 80_000, 2), on_time_cpu=1000)
    assert list_short_pools([late, demand("b", 0, 1)], []) == set()


def test_the_offered_work_follows_a_turn_and_not_one_job() -> None:
    """Guards against sizes that follow a turn late or take one job for a turn."""
    turn = [(10_000 + 50 * n, 8000 * 100.0) for n in range(12)]
    # A host is due within half a second of a turn, so half of its rate must be seen.
    assert estimate_offered_load(turn, 10_600) > 0.5 * 8000 * 100 / 50
    assert estimate_offered_load(turn, 14_000) == 0
    one = [(10_000, 8000 * 1000.0)]
    assert estimate_offered_load(one, 10_100) < 8000


def test_a_pool_asks_for_what_gathers_until_hosts_arrive() -> None:
    """Guards against a pool that never catches up with its turn."""
    balanced = forecast_demand(8000, 0, 8000, 16_000, 1800)
    assert balanced == 8000
    assert forecast_demand(8000, 0, 80_000, 16_000, 1800) > 100_000


def test_learned_run_times_replace_declared_ones() -> None:
    """Guards against objectives that follow wrong declarations."""
    estimates = RunEstimates()
    assert estimates.get_ratio("q") == 1.0
    for _ in range(100):
        estimates.record_run("q", 1000, 2000)
    assert 1.8 < estimates.get_ratio("q") <= 2.0


def hosts(*states: str) -> dict[str, HostInfo]:
    return {
        f"m{n}": HostInfo(f"m{n}", "previews", state, f"w{n}", "dc-1")
        for n, state in enumerate(states)
    }


def test_an_upkeep_of_a_former_holder_counts_against_the_cap() -> None:
    """Guards against more hosts in upkeep than a wave allows."""
    wave = Wave(1, ("m0", "m1", "m2"), 20_000, 1)
    progress = WaveProgress()
    listed = hosts("upkeep", "up", "up")
    record_in_maintenance(wave, progress, listed, 1000)
    assert progress.list_in_maintenance() == {"m0"}
    record_returned(progress, listed, 9000, 2000)
    assert progress.list_in_maintenance() == {"m0"}
    record_returned(progress, hosts("up", "up", "up"), 9000, 2000)
    assert progress.done == {"m0"}


def test_an_unanswered_upkeep_is_repeated_and_not_taken_for_done() -> None:
    """Guards against a wave that is completed without one of its hosts."""
    wave = Wave(1, ("m0", "m1"), 20_000, 1)
    progress = WaveProgress({"m0": 0}, set(), {"m0"})
    listed = hosts("up", "up")
    record_returned(progress, listed, 9000, 2000)
    assert not progress.done
    candidates = list_drain_candidates(wave, progress, listed, frozenset())
    assert candidates[0].host == "m0"
    assert not is_wave_completed(wave, progress, listed)


def test_fillers_yield_to_a_tail_over_its_target() -> None:
    """Guards against fillers that hold a serving task over its target."""
    assert choose_pace(100, 1.1) == 0
    assert choose_pace(100, 0.85) == 50
    assert choose_pace(50, 0.7) == 50
    assert choose_pace(90, 0.3) == 100


@given(
    st.lists(st.integers(0, 8000), min_size=1, max_size=6),
    st.integers(100, 4000),
    st.integers(1, 12),
    st.booleans(),
)
def test_tasks_of_a_step_go_where_a_full_search_puts_them(
    used: list[int], cpu: int, count: int, is_far: bool
) -> None:
    """Guards against a step that is placed elsewhere to save a search."""
    spec = StepSpec(count=count, cpu=cpu, data_rack="r1" if is_far else "")
    rooms = [
        WorkerCapacity(build_worker(number), taken) for number, taken in enumerate(used)
    ]
    searched = [
        WorkerCapacity(build_worker(number), taken) for number, taken in enumerate(used)
    ]
    last: WorkerCapacity | None = None
    for task in StepRun("job", 0, 0, spec).tasks:
        if last is None or not is_still_best_worker(last, task):
            last = choose_task_worker(rooms, task)
        best = choose_task_worker(searched, task)
        assert (last and last.info) == (best and best.info)
        if last is None or best is None:
            break
        last.reserve(task)
        best.reserve(task)
