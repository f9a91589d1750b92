"""Stand-in for a worker: runs tasks in slots and answers over HTTP."""

import asyncio
import secrets
import time
from dataclasses import dataclass
from typing import Any

from aiohttp import web

MAX_BODY_BYTES = 64 << 20
DEFAULT_RUN_MS = 20


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


@dataclass
class Task:
    """One task that the worker knows of."""

    state: str
    started: bool
    result: bytes = b""


class Worker:
    """Hold the assignment and the tasks of one worker; serve them over HTTP.

    The body of a task is echoed as its result. The headers `Run-Ms` and
    `Result-Bytes` of an order, or the same keys in a JSON body, set the true run
    time and the size of the result.
    """

    def __init__(self, name: str, slots: int, run_ms: int = DEFAULT_RUN_MS) -> None:
        self._name = name
        self._slots = slots
        self._run_ms = run_ms
        self._boot_id = secrets.token_hex(4)
        self._pool: str | None = None
        self._epoch = 0
        self._state = "serving"
        self._busy = 0
        self._tasks: dict[str, Task] = {}
        self.starts: dict[str, int] = {}

    def build_app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_get("/v1/status", self._status)
        app.router.add_put("/v1/assignment", self._assign)
        app.router.add_post("/v1/tasks/{task}", self._run)
        app.router.add_get("/v1/tasks/{task}", self._task_status)
        app.router.add_get("/v1/tasks/{task}/result", self._result)
        app.router.add_post("/v1/tasks/{task}/cancel", self._cancel)
        app.router.add_post("/v1/drain", self._drain)
        app.router.add_post("/v1/reboot", self._reboot)
        return app

    async def _status(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "worker": self._name,
                "time_ms": _now_ms(),
                "boot_id": self._boot_id,
                "pool": self._pool,
                "epoch": self._epoch,
                "state": self._state,
                "slots": self._slots,
                "busy": self._busy,
                "usage": {"cpus": float(self._busy), "memory_mb": 0},
                "usage_as_of_ms": _now_ms(),
            },
        )

    async def _assign(self, request: web.Request) -> web.Response:
        payload = await request.json()
        if payload["epoch"] < self._epoch:
            body = {"code": "stale_epoch", "epoch": self._epoch}
            return web.json_response(body, status=409)
        self._pool = payload["pool"]
        self._epoch = payload["epoch"]
        return web.json_response({"epoch": self._epoch})

    def _refusal(self, request: web.Request, task_id: str) -> str | None:
        headers = request.headers
        known = self._tasks.get(task_id)
        if known is not None:
            return "cancelled" if known.state == "refused" else "duplicate"
        if self._state != "serving":
            return "leaving" if self._state == "leaving" else "draining"
        if int(headers["Pool-Epoch"]) != self._epoch or self._pool is None:
            return "stale_epoch"
        if headers.get("Boot-Id", self._boot_id) != self._boot_id:
            return "wrong_boot"
        if _now_ms() > int(headers.get("Start-Before-Ms", _now_ms())):
            return "too_late"
        return "busy" if self._busy >= self._slots else None

    def _answer_headers(self, task_id: str) -> dict[str, str]:
        return {
            "Task-Id": task_id,
            "Worker-Time-Ms": str(_now_ms()),
            "Worker-Busy": str(self._busy),
            "Boot-Id": self._boot_id,
        }

    async def _run(self, request: web.Request) -> web.StreamResponse:
        task_id = request.match_info["task"]
        body = await request.read()
        refusal = self._refusal(request, task_id)
        headers = self._answer_headers(task_id)
        if refusal is not None:
            return web.json_response(
                {"code": refusal},
                status=409,
                headers={**headers, "Task-Refused": refusal},
            )
        task = Task(state="running", started=True)
        self._tasks[task_id] = task
        self.starts[task_id] = self.starts.get(task_id, 0) + 1
        self._busy += 1
        try:
            await asyncio.sleep(int(request.headers.get("Run-Ms", self._run_ms)) / 1000)
        finally:
            self._busy -= 1
        task.result = body
        task.state = "done"
        return web.Response(body=task.result, headers=self._answer_headers(task_id))

    async def _task_status(self, request: web.Request) -> web.Response:
        return web.json_response(self._describe(request.match_info["task"]))

    def _describe(self, task_id: str) -> dict[str, Any]:
        task = self._tasks.get(task_id) or Task(state="unknown", started=False)
        return {
            "state": task.state,
            "started": task.started,
            "size": len(task.result),
            "boot_id": self._boot_id,
        }

    async def _result(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        task = self._tasks.get(task_id)
        if task is None or task.state != "done":
            return web.json_response({"code": "no_result"}, status=404)
        return web.Response(body=task.result, headers=self._answer_headers(task_id))

    async def _cancel(self, request: web.Request) -> web.Response:
        task_id = request.match_info["task"]
        if task_id not in self._tasks:
            self._tasks[task_id] = Task(state="refused", started=False)
        return web.json_response(self._describe(task_id))

    async def _drain(self, request: web.Request) -> web.Response:
        self._state = "draining"
        return web.json_response({})

    async def _reboot(self, request: web.Request) -> web.Response:
        self._boot_id = secrets.token_hex(4)
        self._tasks.clear()
        self._state = "serving"
        return web.json_response({})
