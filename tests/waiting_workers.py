"""Workers and orders of a random scene, which check each start as it is executed."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Sequence
from typing import TYPE_CHECKING

from bergamotgap.domain.fleet import TaskId, WorkerInfo, sum_sizes
from bergamotgap.domain.task_placement import StepKey
from bergamotgap.ports.fleet import (
    Accepted,
    Lease,
    OrderOutcome,
    PollReply,
    Refused,
    StartOrder,
    Tickets,
)
from stand_ins.pool_workers import FakeRun, FakeWorker
from stand_ins.pools import FakeOrders

if TYPE_CHECKING:
    from tests.waiting_scene import WaitingScene

# Run time of what does not end by itself.
LASTING_RUN_S = 1e6
STARTUP_S = 0.4
# A gang whose members don't all start within this time ends `alone`.
GANG_TIMEOUT_S = 2.0
STALLED_PERCENT = 7
ADVISED_SHARE = 0.6
# For how long tickets of the advice service hold.
VALIDITIES_MS = (3000, 15_000, 60_000)


class SceneWorker(FakeWorker):
    """A worker whose long-running tasks serve soon, and whose tasks checkpoint."""

    def __init__(self, info: WorkerInfo, scene: WaitingScene) -> None:
        super().__init__(info)
        self._scene = scene
        self.choose_run_s = self._draw_run_s

    def _draw_run_s(self, order: StartOrder) -> float:
        step = self._scene.get_step(order.task)
        if step.is_long_running or step.is_gang:
            return LASTING_RUN_S
        return step.estimated_ms / 1000 * self._scene.rng.uniform(0.5, 1.5)

    def get_percent(self, run: FakeRun) -> int:
        passed_s = self._scene.now_s() - run.start_s
        if run.end_s - run.start_s >= LASTING_RUN_S:
            return 100 if passed_s > STARTUP_S else 50
        if self.is_stalled:
            return STALLED_PERCENT
        return int(100 * passed_s / (run.end_s - run.start_s))

    def end_poll(self, lease: Lease) -> PollReply | Refused:
        reply = super().end_poll(lease)
        if isinstance(reply, Refused):
            return reply
        rows = [
            (
                dataclasses.replace(row, checkpoint=f"{row.task} {row.run}")
                if self._scene.get_step(row.task).is_checkpointing
                else row
            )
            for row in reply.running
        ]
        return dataclasses.replace(reply, running=tuple(rows))


class SceneOrders(FakeOrders):
    """Orders of one owner, which check each start."""

    def __init__(self, workers: dict[str, FakeWorker], scene: WaitingScene) -> None:
        super().__init__(workers)
        self._scene = scene
        self.unreachable_workers = scene.cut_workers

    def execute_start(
        self, worker: FakeWorker, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        former = worker.running.get(order.task)
        advice = self._scene.advice
        if advice is not None and order.ticket != advice.issue(worker):
            return Refused("ticket", worker.now_ms())
        outcome = super().execute_start(worker, order, lease)
        if isinstance(outcome, Accepted):
            self._check_start(worker, order, former)
        return outcome

    def _check_start(
        self, worker: FakeWorker, order: StartOrder, former: FakeRun | None
    ) -> None:
        """Record whether a start breaks a limit of its worker or step."""
        scene, task = self._scene, order.task
        step = scene.get_step(task)
        where = f"{task} run {order.run} on {worker.info.worker_id}"
        if former is not None and former.order.run != order.run:
            scene.report(f"two runs: {where} beside run {former.order.run}")
        used = sum_sizes(*(scene.get_step(other).size for other in worker.running))
        if any(u > c for u, c in zip(used, worker.info.capacity, strict=True)):
            scene.report(f"over capacity: {where} uses {used}")
        if step.requirement and step.requirement not in worker.info.labels:
            scene.report(f"without its label: {where}")
        count = sum(other[:3] == task[:3] for other in worker.running)
        if step.max_per_host and count > step.max_per_host:
            scene.report(f"over the limit per host: {where}")


class SceneAdvice:
    """Allow some hosts for each step, always the same."""

    def __init__(self, scene: WaitingScene) -> None:
        self._scene = scene
        self._validity_ms = random.Random(scene.seed).choice(VALIDITIES_MS)

    def issue(self, worker: FakeWorker) -> str:
        """Return the ticket of a worker's present life."""
        return f"{worker.info.worker_id} {worker.info.incarnation_ms}"

    def allows(self, step: StepKey, host: str) -> bool:
        """Return whether the policy lets a step run on a host."""
        drawn = random.Random(f"{self._scene.seed} {step} {host}").random()
        return drawn < ADVISED_SHARE

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        await asyncio.sleep(0.1)
        asked = [self._scene.workers[name] for name in workers]
        allowed = [
            worker for worker in asked if self.allows(task[:3], worker.info.host)
        ]
        tickets = {worker.info.worker_id: self.issue(worker) for worker in allowed}
        return Tickets(tickets, self._validity_ms)


class Gangs:
    """End the members of each gang together, as their workers do."""

    def __init__(self, scene: WaitingScene) -> None:
        self._scene = scene
        # Gangs and runs of which all members were present.
        self._whole: set[tuple[StepKey, int]] = set()

    def end_due_runs(self) -> None:
        """End the members that are done, or that miss another one."""
        gangs: dict[tuple[StepKey, int], list[tuple[FakeWorker, TaskId]]] = {}
        for worker in self._scene.workers.values():
            for task, run in worker.running.items():
                if self._scene.get_step(task).is_gang:
                    key = (task[:3], run.order.run)
                    gangs.setdefault(key, []).append((worker, task))
        for key, members in gangs.items():
            for worker, task in members if (end := self._end(key, members)) else ():
                worker.end_run(task, end)

    def _end(
        self, key: tuple[StepKey, int], members: list[tuple[FakeWorker, TaskId]]
    ) -> str:
        step = self._scene.get_step(members[0][1])
        starts_s = [worker.running[task].start_s for worker, task in members]
        now_s = self._scene.now_s()
        if len(members) == step.count:
            self._whole.add(key)
            is_done = now_s > max(starts_s) + step.estimated_ms / 1000
            return "done" if is_done else ""
        if key in self._whole:
            return "broken"
        return "alone" if now_s > min(starts_s) + GANG_TIMEOUT_S else ""
