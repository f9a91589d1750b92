"""Stand-in for a worker: runs tasks in slots and serves the worker API over HTTP."""

import asyncio
import functools
import secrets
import time
from collections import deque
from pathlib import Path
from typing import Annotated, Any, Literal

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from stand_ins.bodies import RepeatedBody, parse_order_body
from stand_ins.faults import FaultInjector, reject, reset_connection
from stand_ins.starts import StartLog
from stand_ins.tasks import Task, TaskTable

MAX_BODY_BYTES = 64 << 20
REFUSED_STATUS = 409


class WorkerSettings(BaseModel):
    """Settings, given at the start or changed by `PUT /fakes/settings`.

    `run_ms` is the run time of a task whose order sets none; `pause_ms` is how long a
    checkpointed task leaves its slot.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    slots: int = Field(default=8, ge=1)
    run_ms: int = Field(default=20, ge=0)
    reboot_ms: int = Field(default=200, ge=0)
    usage_lag_ms: int = Field(default=1000, ge=0)
    clock_offset_ms: int = 0
    pause_ms: int = Field(default=1000, ge=0)
    results_kept: int = Field(default=10_000, ge=0)
    state: Literal["serving", "leaving", "draining"] = "serving"


class Assignment(BaseModel):
    """The body of `PUT /v1/assignment`."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    pool: str | None
    epoch: int = Field(ge=0)


class OrderHeaders(BaseModel):
    """The headers of an order to run a task."""

    model_config = ConfigDict(frozen=True)

    epoch: int = Field(alias="Pool-Epoch", ge=0)
    lease_ms: int = Field(alias="Lease-Ms", ge=1)
    boot_id: str | None = Field(default=None, alias="Boot-Id")
    start_before_ms: int | None = Field(default=None, alias="Start-Before-Ms")
    entry: str = Field(default="", alias="Entry")
    urgency: str = Field(default="", alias="Urgency")
    cpus: Annotated[float, Field(alias="Cpus", ge=0)] = 1.0
    memory_mb: Annotated[int, Field(alias="Memory-Mb", ge=0)] = 0


class Worker:
    """One worker: its pool assignment and its tasks, served over HTTP."""

    def __init__(
        self,
        name: str,
        settings: WorkerSettings | None = None,
        starts_file: Path | None = None,
    ) -> None:
        self._name = name
        self._settings = settings or WorkerSettings()
        self._boot_id = secrets.token_hex(4)
        self._pool: str | None = None
        self._epoch = 0
        self._state: str = self._settings.state
        self._tasks = TaskTable(self._settings.results_kept)
        self._starts = StartLog(starts_file)
        self._usage: deque[tuple[int, float, int]] = deque([(0, 0.0, 0)])
        self._faults = FaultInjector(handles_fail_switch=True)
        self._reboot_task: asyncio.Task[None] | None = None

    def build_app(self) -> web.Application:
        """Build the web application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        self._faults.add_to(app)
        app.router.add_get("/v1/status", self._get_status)
        app.router.add_put("/v1/assignment", self._assign)
        app.router.add_get("/v1/tasks", self._list_tasks)
        app.router.add_post("/v1/tasks/{task}", self._run_task)
        app.router.add_get("/v1/tasks/{task}", self._get_task)
        app.router.add_get("/v1/tasks/{task}/result", self._get_result)
        app.router.add_post("/v1/tasks/{task}/cancel", self._cancel)
        app.router.add_post(
            "/v1/tasks/{task}/{verb:renew|checkpoint|throttle|stop}", self._control_task
        )
        app.router.add_post("/v1/drain", self._drain)
        app.router.add_post("/v1/reboot", self._reboot)
        app.router.add_get("/fakes/starts", self._get_starts)
        app.router.add_put("/fakes/settings", self._put_settings)
        return app

    def _now_ms(self) -> int:
        return time.time_ns() // 1_000_000 + self._settings.clock_offset_ms

    def _sample_usage(self) -> tuple[int, float, int]:
        """Record the present usage; return the newest sample old enough to report."""
        now_ms = self._now_ms()
        limit_ms = now_ms - self._settings.usage_lag_ms
        self._usage.append((now_ms, *self._tasks.usage))
        while len(self._usage) > 1 and self._usage[1][0] <= limit_ms:
            self._usage.popleft()
        return self._usage[0]

    async def _get_status(self, request: web.Request) -> web.Response:
        as_of_ms, cpus, memory_mb = self._sample_usage()
        return web.json_response(
            {
                "worker": self._name,
                "time_ms": self._now_ms(),
                "boot_id": self._boot_id,
                "pool": self._pool,
                "epoch": self._epoch,
                "state": self._state,
                "slots": self._settings.slots,
                "busy": self._tasks.busy_slots,
                "usage": {"cpus": cpus, "memory_mb": memory_mb},
                "usage_as_of_ms": as_of_ms,
            },
        )

    async def _assign(self, request: web.Request) -> web.Response:
        try:
            assignment = Assignment.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_assignment", str(error))
        if assignment.epoch < self._epoch:
            body = {"code": "stale_epoch", "epoch": self._epoch}
            return web.json_response(body, status=REFUSED_STATUS)
        self._pool = assignment.pool
        self._epoch = assignment.epoch
        self._tasks.stop_paused(self._epoch)
        return web.json_response({"epoch": self._epoch})

    def _find_refusal(self, task_id: str, order: OrderHeaders) -> str | None:
        known = self._tasks.get(task_id)
        if known is not None:
            return "duplicate" if known.was_started else "cancelled"
        if self._state != "serving":
            return "leaving" if self._state == "leaving" else "draining"
        if order.epoch != self._epoch or self._pool is None:
            return "stale_epoch"
        if order.boot_id not in (None, self._boot_id):
            return "wrong_boot"
        start_before_ms = order.start_before_ms
        if start_before_ms is not None and self._now_ms() > start_before_ms:
            return "too_late"
        return "busy" if self._tasks.busy_slots >= self._settings.slots else None

    def _build_answer_headers(self, task_id: str) -> dict[str, str]:
        return {
            "Task-Id": task_id,
            "Worker-Time-Ms": str(self._now_ms()),
            "Worker-Busy": str(self._tasks.busy_slots),
            "Boot-Id": self._boot_id,
        }

    async def _run_task(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        try:
            order = OrderHeaders.model_validate(
                {name.title(): value for name, value in request.headers.items()}
            )
        except ValidationError as error:
            return reject("bad_order", str(error))
        body = await request.read()
        # No await between the check and the start: the assignment could change.
        refusal = self._find_refusal(task_id, order)
        if refusal is not None:
            headers = {**self._build_answer_headers(task_id), "Task-Refused": refusal}
            body_json = {"code": refusal}
            return web.json_response(body_json, status=REFUSED_STATUS, headers=headers)
        task = self._start_task(task_id, order, body, self._faults.is_failing(request))
        await task.ended.wait()
        return self._build_task_answer(request, task_id, task)

    def _start_task(
        self, task_id: str, order: OrderHeaders, body: bytes, is_failing: bool
    ) -> Task:
        behaviour = parse_order_body(body)
        run_ms = self._settings.run_ms if behaviour.run_ms is None else behaviour.run_ms
        task = Task(
            state="running",
            epoch=self._epoch,
            entry=order.entry,
            urgency=order.urgency,
            body=body,
            remaining_ms=0 if is_failing else run_ms,
            lease_ms=order.lease_ms,
            fails=is_failing or behaviour.fail,
            cpus=order.cpus if behaviour.cpus is None else behaviour.cpus,
            memory_mb=(
                order.memory_mb if behaviour.memory_mb is None else behaviour.memory_mb
            ),
        )
        self._tasks.start(task_id, task, behaviour, self._settings.slots)
        self._starts.record_start(
            task=task_id,
            epoch=self._epoch,
            pool=self._pool,
            entry=order.entry,
            boot_id=self._boot_id,
            key=behaviour.key,
            body=body,
        )
        self._sample_usage()
        return task

    def _build_task_answer(
        self, request: web.Request, task_id: str, task: Task
    ) -> web.Response:
        self._sample_usage()
        if task.state == "lost":
            return reset_connection(request)
        headers = self._build_answer_headers(task_id)
        if task.state != "done":
            body = {"code": f"task_{task.state}"}
            return web.json_response(body, status=500, headers=headers)
        hold = functools.partial(self._faults.wait_while_silent, request)
        return web.Response(
            body=RepeatedBody(task.body, task.size, hold), headers=headers
        )

    def _build_task_status(self, task_id: str) -> web.Response:
        task = self._tasks.get(task_id)
        body = {
            "state": "unknown" if task is None else task.state,
            "started": task is not None and task.was_started,
            "size": task.size if task is not None and task.state == "done" else 0,
            "boot_id": self._boot_id,
        }
        return web.json_response(body, headers=self._build_answer_headers(task_id))

    async def _list_tasks(self, request: web.Request) -> web.Response:
        tasks = []
        for task_id, task in self._tasks.list_running():
            cpus, memory_mb = task.find_usage(self._settings.usage_lag_ms)
            names = {"task": task_id, "entry": task.entry, "urgency": task.urgency}
            tasks.append({**names, "cpus": cpus, "memory_mb": memory_mb})
        return web.json_response({"boot_id": self._boot_id, "tasks": tasks})

    async def _get_task(self, request: web.Request) -> web.Response:
        return self._build_task_status(request.match_info["task"])

    async def _get_result(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        task = self._tasks.get(task_id)
        if task is None or not task.has_result:
            return reject("no_result", "there is no result of this task", 404)
        return self._build_task_answer(request, task_id, task)

    async def _cancel(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        self._tasks.refuse(task_id)
        return self._build_task_status(task_id)

    async def _control_task(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        task = self._tasks.get(task_id)
        if task is not None and task.state == "running":
            self._apply_verb(task, request.match_info["verb"])
            self._sample_usage()
        return self._build_task_status(task_id)

    def _apply_verb(self, task: Task, verb: str) -> None:
        if verb == "renew":
            self._tasks.renew(task)
        elif verb == "throttle":
            self._tasks.throttle(task)
        elif verb == "checkpoint":
            self._tasks.checkpoint(task, self._settings.pause_ms)
        else:
            self._tasks.stop(task)

    def _names_another_boot(self, request: web.Request) -> bool:
        return request.headers.get("Boot-Id", self._boot_id) != self._boot_id

    async def _drain(self, request: web.Request) -> web.Response:
        if self._names_another_boot(request):
            return web.json_response({"code": "wrong_boot"}, status=REFUSED_STATUS)
        if self._state != "rebooting":
            self._state = "draining"
        return web.json_response({})

    async def _reboot(self, request: web.Request) -> web.Response:
        if self._names_another_boot(request):
            return web.json_response({"code": "wrong_boot"}, status=REFUSED_STATUS)
        if self._state != "rebooting":
            self._state = "rebooting"
            # The boot id must change when the tasks are forgotten: under the old id,
            # an unknown task means one that never started.
            self._boot_id = secrets.token_hex(4)
            self._tasks.forget_all()
            self._reboot_task = asyncio.create_task(self._finish_reboot())
        return web.json_response({})

    async def _finish_reboot(self) -> None:
        await asyncio.sleep(self._settings.reboot_ms / 1000)
        self._state = "serving"

    async def _get_starts(self, request: web.Request) -> web.Response:
        return web.json_response(self._starts.entries)

    async def _put_settings(self, request: web.Request) -> web.Response:
        try:
            changes = WorkerSettings.model_validate_json(await request.read())
        except ValidationError as error:
            return reject("bad_settings", str(error))
        update: dict[str, Any] = changes.model_dump(exclude_unset=True)
        self._settings = self._settings.model_copy(update=update)
        self._tasks.results_kept = self._settings.results_kept
        if "state" in update:
            self._state = changes.state
        return web.json_response(self._settings.model_dump())
