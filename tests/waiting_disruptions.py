"""Disruptions of a random scene; each takes its choices from the scene's seed."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import TYPE_CHECKING

from bergamotgap.domain.fleet import WorkerState
from bergamotgap.ports.pool_peer import MaintenanceCall
from stand_ins.pool_workers import SETTINGS, FakeWorker
from stand_ins.pools import build_worker

if TYPE_CHECKING:
    from tests.waiting_scene import WaitingScene

# A host is back this long after a crash; the former report stays listed longer.
DOWN_S = 3.0
LISTED_S = 4.5
# A host that is moved or maintained is back sooner.
MOVE_S = 1.5
MAINTENANCE_S = 2.0
# What an owner finds out by itself: that the log is down for all, that it is replaced.
DETECTION_S = 0.8
# After an outage of the log, owners may have started runs without records.
STEADY_AFTER_S = SETTINGS.former_lease_ms / 1000
# A worker that started a run this lately counts as being at a start.
FRESH_S = 0.2
CALL_INTERVAL_S = 0.1


async def crash(scene: WaitingScene) -> None:
    """Crash a worker; its host returns under a new id, or never."""
    name, worker = scene.choose_worker(FRESH_S)
    is_lost = len(scene.list_up()) > 3 and scene.rng.random() < 0.2
    scene.note(f"crash {name} {'for good' if is_lost else ''}")
    _end_worker(worker)
    await _replace(scene, name, LISTED_S, DOWN_S, is_lost)


def _end_worker(worker: FakeWorker) -> None:
    worker.crash()
    worker.is_silent = True


async def _replace(
    scene: WaitingScene, name: str, listed_s: float, down_s: float, is_lost: bool
) -> None:
    """Unlist a worker later, and list a new one of its host unless it is lost."""
    unlisting = asyncio.create_task(_unlist(scene, name, listed_s))
    if not is_lost:
        await asyncio.sleep(down_s)
        former = scene.workers[name].info
        born_ms = former.incarnation_ms + scene.clock.monotonic_ms()
        scene.add_worker(
            dataclasses.replace(former, state=WorkerState.READY, incarnation_ms=born_ms)
        )
    await unlisting


async def _unlist(scene: WaitingScene, name: str, listed_s: float) -> None:
    await asyncio.sleep(listed_s)
    scene.infos.pop(name, None)
    scene.publish()


async def restart(scene: WaitingScene) -> None:
    """Restart a worker under its id; its report shows that early or late."""
    name, worker = scene.choose_worker(FRESH_S)
    scene.note(f"restart {name}")
    _end_worker(worker)
    await asyncio.sleep(scene.rng.uniform(0.3, 4))
    info = worker.restart()
    worker.is_silent = False
    await asyncio.sleep(scene.rng.uniform(0, 1.5))
    scene.list_life(name, info)


async def cut(scene: WaitingScene) -> None:
    """Cut a worker off the owners, for less than a poll or for longer than a lease."""
    name, _ = scene.choose_worker(FRESH_S)
    duration_s = scene.rng.choice((0.3, 1, 3, 5, 8)) * scene.rng.uniform(0.5, 1)
    scene.note(f"cut {name} for {duration_s:.1f}")
    scene.cut_workers.add(name)
    await asyncio.sleep(duration_s)
    scene.cut_workers.discard(name)


async def disturb_orders(scene: WaitingScene) -> None:
    """Lose, drop or delay the next orders."""
    orders = scene.orders
    if orders is None:
        return
    kind = scene.rng.randrange(5)
    scene.note(f"orders disturbed, kind {kind}")
    count = scene.rng.randint(1, 4)
    delays_s = [scene.rng.uniform(0.05, 5) for _ in range(count)]
    if kind == 0:
        orders.lose_starts += count
    elif kind == 1:
        orders.drop_starts += count
    elif kind == 2:
        orders.drop_stops += count
    elif kind == 3:
        orders.start_delays_s += delays_s
    else:
        orders.stop_delays_s += delays_s


async def drain(scene: WaitingScene) -> None:
    """Drain a worker for a while, as the host controller does for a move."""
    name, worker = scene.choose_worker(FRESH_S)
    stops_late = scene.rng.random() < 0.3
    is_moved = len(scene.list_up()) > 3 and scene.rng.random() < 0.5
    scene.note(f"drain {name} is_moved={is_moved}")
    for _ in range(scene.rng.randint(1, 40)):
        await asyncio.sleep(CALL_INTERVAL_S)
        if scene.pool is None or worker.is_silent:
            continue
        reply = scene.pool.drain_worker(name, True, stops_late)
        if reply.is_empty and is_moved:
            _end_worker(worker)
            is_lost = scene.rng.random() < 0.3
            await _replace(scene, name, LISTED_S, MOVE_S, is_lost)
            return


async def maintain(scene: WaitingScene) -> None:
    """Announce maintenance of a host, vacate it, and begin once it is empty."""
    name, worker = scene.choose_worker(FRESH_S)
    host = worker.info.host
    scene.note(f"maintenance of {name}")
    turn_ms = scene.rng.randint(0, 4000)
    for number in range(60):
        await asyncio.sleep(CALL_INTERVAL_S)
        if scene.pool is None:
            continue
        left_ms = max(0, turn_ms - 100 * number)
        call = MaintenanceCall("previews", {host: left_ms}, 2000, (host,))
        scene.pool.prepare_maintenance(call)
        if left_ms or worker.is_silent or name not in scene.infos:
            continue
        if scene.pool.drain_worker(name, True, host=host).is_empty:
            _end_worker(worker)
            await _replace(scene, name, LISTED_S, MAINTENANCE_S, False)
            return


async def leave(scene: WaitingScene) -> None:
    """Let a worker announce that it drains, and leave or go on."""
    name, worker = scene.choose_worker(FRESH_S)
    leaves = len(scene.list_up()) > 3 and scene.rng.random() < 0.6
    scene.note(f"{name} drains leaves={leaves}")
    _set_state(scene, name, WorkerState.DRAINING)
    await asyncio.sleep(scene.rng.uniform(1, 6))
    if leaves and not worker.is_silent:
        _end_worker(worker)
        await _replace(scene, name, 0.5, MOVE_S, scene.rng.random() < 0.3)
    else:
        _set_state(scene, name, WorkerState.READY)


def _set_state(scene: WaitingScene, name: str, state: WorkerState) -> None:
    worker = scene.workers[name]
    worker.info = dataclasses.replace(worker.info, state=state)
    if name in scene.infos:
        scene.infos[name] = worker.info
        scene.publish()


async def scale_out(scene: WaitingScene) -> None:
    """Add a worker on another host."""
    name = scene.add_worker(build_worker(100 + len(scene.workers)))
    scene.note(f"scale out {name}")


async def fail_tasks(scene: WaitingScene) -> None:
    """Let some running tasks end `failed`."""
    runs = [(worker, task) for _, worker in scene.list_up() for task in worker.running]
    for worker, task in scene.rng.sample(runs, min(len(runs), 3)):
        scene.note(f"{task} fails")
        worker.end_run(task, "failed")


async def stall(scene: WaitingScene) -> None:
    """Let the runs of a worker make no progress for a while."""
    name, worker = scene.choose_worker(FRESH_S)
    scene.note(f"stall {name}")
    worker.is_stalled = True
    await asyncio.sleep(scene.rng.uniform(1, 6))
    worker.is_stalled = False


async def lose_log(scene: WaitingScene) -> None:
    """Let the log be down for all, or lose answers of it."""
    if scene.rng.random() < 0.4:
        scene.note("log loses answers")
        scene.store.lose_answers += scene.rng.randint(1, 5)
        return
    if scene.store.is_down:
        return
    duration_s = scene.rng.uniform(0.3, 6)
    scene.note(f"log down for {duration_s:.1f}")
    scene.confirmation_lost_ms = scene.clock.monotonic_ms()
    scene.log_steady_s = math.inf
    scene.store.is_down, scene.is_confirmed = True, False
    detected_s = min(duration_s, DETECTION_S)
    await asyncio.sleep(detected_s)
    scene.is_log_down_for_all = True
    await asyncio.sleep(duration_s - detected_s)
    scene.log_steady_s = scene.now_s() + STEADY_AFTER_S
    scene.is_log_down_for_all, scene.is_confirmed = False, True
    scene.store.is_down = False


async def take_over(scene: WaitingScene) -> None:
    """Replace the owner: killed, released in order, or superseded."""
    async with scene.takeover_lock:
        owner = scene.owner
        kind = scene.rng.choice(("killed", "released", "superseded"))
        scene.note(f"owner {kind}")
        if kind == "superseded":
            # It learns only from the log and the workers that it has a successor.
            await scene.start_owner(is_former_owner_stopped=False)
            await asyncio.sleep(scene.rng.uniform(0, 2))
            await scene.stop_owner(owner)
            return
        if kind == "released":
            journal = owner.pool.journal
            owner.pool.stop_placement()
            with suppress(TimeoutError):
                async with asyncio.timeout(5):
                    await journal.wait_committed(journal.last_change)
        await scene.stop_owner(owner)
        is_killed = kind == "killed"
        await asyncio.sleep(scene.rng.uniform(0.1, 3 if is_killed else 0.5))
        await scene.start_owner(is_former_owner_stopped=not is_killed)


# Some kinds are drawn more often.
DISRUPTIONS: tuple[Callable[[WaitingScene], Awaitable[None]], ...] = (
    *(crash, crash, restart, cut, cut, disturb_orders, disturb_orders, drain),
    *(maintain, take_over, lose_log, leave, scale_out, fail_tasks, stall),
)
