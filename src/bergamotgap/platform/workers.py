"""HTTP clients for the platform's workers and for its advice service."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from bergamotgap.adapters.life_connector import (
    LifeConnector,
    OtherLifeError,
    limit_to_life,
)
from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import TaskId, WorkerInfo
from bergamotgap.platform.documents import (
    decode_document,
    format_task_name,
    parse_task_name,
)
from bergamotgap.platform.figures import Figure, Natural, Quantity
from bergamotgap.pools.fleet_view import UnreadableDocumentError
from bergamotgap.ports.fleet import (
    Accepted,
    EndReport,
    Lease,
    LifeEnded,
    OrderOutcome,
    OtherInstance,
    PollOutcome,
    PollReply,
    Refused,
    RunReport,
    StartOrder,
    Tickets,
    Unanswered,
)

# 100 times as long as a call between data centres (5 ms). A worker whose connection is
# silent is tried again well within its lease.
ORDER_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.4
ADVICE_TIMEOUT_S = 3.0
BUSY_REASON = "busy"
# Most ends that a worker lists in one reply.
ENDS_PER_REPLY = 500
NO_TICKETS = Tickets({}, 0)

log = get_logger(__name__)


class _OrderPayload(msgspec.Struct):
    clockMs: Natural | None = None  # noqa: N815
    reason: str = BUSY_REASON


class _RunRow(msgspec.Struct, array_like=True):
    """A row of `running`.

    The last field is the tail latency or the CPU use of the last half second,
    depending on the kind of task.
    """

    task: str
    run: Natural
    saved: str | None
    percent: Figure
    latency_or_cpu: Figure | None = 0


class _EndRow(msgspec.Struct, array_like=True):
    """A row of `ended`."""

    sequence: Natural
    task: str
    run: Natural
    outcome: str
    saved: str | None = ""


class _PollPayload(msgspec.Struct):
    clockMs: Natural  # noqa: N815
    running: list[_RunRow]
    ended: list[_EndRow]
    born: Natural = 0


class _TicketRow(msgspec.Struct, array_like=True):
    worker: str
    ticket: str


class _TicketsPayload(msgspec.Struct):
    good: list[_TicketRow]
    validityMs: Quantity = 0  # noqa: N815


class WorkerOrderClient:
    """Send orders to workers over HTTP, on the connections of one session.

    An order with a lease goes out only on a connection on which its life has answered.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        if not isinstance(session.connector, LifeConnector):
            raise TypeError("the session of orders to workers needs a LifeConnector")
        self._session = session
        self._connector = session.connector

    async def start(
        self, worker: WorkerInfo, order: StartOrder, lease: Lease
    ) -> OrderOutcome:
        """Start a run."""
        body: dict[str, Any] = {
            "task": format_task_name(order.task),
            "run": order.run,
            "specification": order.payload,
            "deadlineMs": lease.deadline_ms,
            "fencingToken": lease.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ORDER_TIMEOUT_S
        while True:
            try:
                return await self._send_order(worker, "/run-start", body, lease.life_ms)
            except OtherLifeError:
                is_kept, outcome = await self._check_life(worker, lease)
            if outcome is None and loop.time() >= end_s:
                outcome = Unanswered(was_sent=False)
            if outcome is not None:
                _log_held_back(worker, lease, "start")
                return outcome
            if not is_kept:
                # This worker closes its connections, and its life has just answered.
                return await self._send_order(worker, "/run-start", body)

    async def _check_life(
        self, worker: WorkerInfo, lease: Lease
    ) -> tuple[bool, OrderOutcome | None]:
        """Return why an order can't be sent to the life of a lease; None if it can.

        Returns before that whether the worker keeps the connection.
        """
        body = {"fencingToken": lease.token, "ackedThrough": 0}
        reply, is_kept = await self._poll_life(worker, body, 0)
        if isinstance(reply, PollReply):
            is_life = reply.incarnation_ms == lease.life_ms
            return is_kept, None if is_life else LifeEnded()
        if isinstance(reply, Unanswered):
            return is_kept, Unanswered(was_sent=False)
        return is_kept, reply

    async def stop(
        self, worker: WorkerInfo, task: TaskId, run: int, token: int
    ) -> OrderOutcome:
        """Stop a run; the worker refuses any later order to start it."""
        body = {"task": format_task_name(task), "run": run, "fencingToken": token}
        return await self._send_order(worker, "/run-stop", body)

    async def pace(
        self, worker: WorkerInfo, task: TaskId, run: int, percent: int, token: int
    ) -> OrderOutcome:
        """Limit a task to `percent` of its full speed."""
        body = {
            "task": format_task_name(task),
            "run": run,
            "percent": percent,
            "fencingToken": token,
        }
        return await self._send_order(worker, "/pace", body)

    async def poll(
        self, worker: WorkerInfo, lease: Lease, acked_through: int, wait_ms: int
    ) -> PollOutcome:
        """Renew the lease and return what runs and what ended.

        Waits up to `wait_ms` for an end. Acknowledges the ends up to sequence number
        `acked_through`. Renews nothing on a new connection, as its life is not known.
        """
        body: dict[str, Any] = {
            "deadlineMs": lease.deadline_ms,
            "fencingToken": lease.token,
            "ackedThrough": acked_through,
        }
        if not lease.deadline_ms:
            del body["deadlineMs"]
        if wait_ms:
            body["waitMs"] = wait_ms
        life_ms = lease.life_ms if lease.deadline_ms else 0
        try:
            reply, _ = await self._poll_life(worker, body, life_ms)
            return reply
        except OtherLifeError:
            _log_held_back(worker, lease, "poll")
        # The numbers of ends are those of the former life, too.
        reading = {"fencingToken": lease.token, "ackedThrough": 0}
        reply, is_kept = await self._poll_life(worker, reading, 0)
        if is_kept or not isinstance(reply, PollReply):
            return reply
        if reply.incarnation_ms != life_ms:
            return reply
        # This worker closes its connections, and its life has just answered.
        reply, _ = await self._poll_life(worker, body, 0)
        return reply

    async def _poll_life(
        self, worker: WorkerInfo, body: dict[str, Any], life_ms: int
    ) -> tuple[PollOutcome, bool]:
        """Return the outcome of a poll, and whether its connection is kept."""
        with limit_to_life(life_ms) as call:
            reply = await self._post(worker, "/hold", body, body.get("waitMs", 0))
        if not isinstance(reply, tuple):
            return reply, False
        status, content = reply
        if status != 200:
            return _convert_refusal(status, content), call.is_connected
        try:
            poll_reply = _decode_poll_reply(content)
        except UnreadableDocumentError as error:
            log.warning(
                "poll reply not decoded", worker=worker.worker_id, error=str(error)
            )
            return Unanswered(was_sent=True), call.is_connected
        self._connector.record_life(call, worker.worker_id, poll_reply.incarnation_ms)
        return poll_reply, call.is_connected

    async def _send_order(
        self, worker: WorkerInfo, path: str, body: dict[str, Any], life_ms: int = 0
    ) -> OrderOutcome:
        with limit_to_life(life_ms):
            reply = await self._post(worker, path, body, 0)
        if not isinstance(reply, tuple):
            return reply
        status, content = reply
        if status == 200:
            return Accepted(_decode_order_payload(content).clockMs or 0)
        return _convert_refusal(status, content)

    async def _post(
        self, worker: WorkerInfo, path: str, body: dict[str, Any], wait_ms: int
    ) -> tuple[int, bytes] | Unanswered:
        timeout = aiohttp.ClientTimeout(
            total=ORDER_TIMEOUT_S + wait_ms / 1000, sock_connect=CONNECT_TIMEOUT_S
        )
        headers = {
            "Content-Type": "application/json",
            "X-Expected-Instance": worker.worker_id,
        }
        try:
            async with self._session.post(
                f"http://{worker.address}{path}",
                data=msgspec.json.encode(body),
                headers=headers,
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Unanswered(was_sent=False)
        except TimeoutError:
            return Unanswered(was_sent=True)
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
            return Unanswered(was_sent=True, is_cut_off=True)
        except (aiohttp.ClientError, OSError):
            return Unanswered(was_sent=True)


class AdviceServiceClient:
    """Request tickets from the advice service over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address

    async def request_tickets(self, task: TaskId, workers: Sequence[str]) -> Tickets:
        """Return a ticket for each of the workers that may run the task's step."""
        step = f"{task.job}.{task.occurrence}.{task.step}"
        body = msgspec.json.encode({"step": step, "workers": list(workers)})
        try:
            async with self._session.post(
                f"http://{self._address}/advise",
                data=body,
                headers={"Content-Type": "application/json"},
                timeout=aiohttp.ClientTimeout(total=ADVICE_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    log.warning(
                        "advice request refused", job=task.job, status=response.status
                    )
                    return NO_TICKETS
                answer = decode_document(await response.read(), _TicketsPayload)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            UnreadableDocumentError,
        ) as e:
            log.warning("advice request failed", job=task.job, error=repr(e))
            return NO_TICKETS
        tickets = {row.worker: row.ticket for row in answer.good}
        return Tickets(tickets, int(answer.validityMs))


def _log_held_back(worker: WorkerInfo, lease: Lease, order: str) -> None:
    log.info(
        "lease held back", order=order, worker=worker.worker_id, life=lease.life_ms
    )


def _convert_refusal(status: int, content: bytes) -> Refused | OtherInstance:
    if status == 421:
        return OtherInstance()
    answer = _decode_order_payload(content)
    return Refused(answer.reason if status == 409 else BUSY_REASON, answer.clockMs)


def _decode_order_payload(content: bytes) -> _OrderPayload:
    try:
        return decode_document(content, _OrderPayload)
    except UnreadableDocumentError:
        # Some refusals have no body, such as those of an unhealthy worker.
        return _OrderPayload()


def _decode_poll_reply(content: bytes) -> PollReply:
    answer = decode_document(content, _PollPayload)
    return PollReply(
        answer.clockMs,
        answer.born,
        tuple(_convert_run(row) for row in answer.running),
        tuple(_convert_end(row) for row in answer.ended),
        may_have_more_ends=len(answer.ended) >= ENDS_PER_REPLY,
    )


def _convert_run(row: _RunRow) -> RunReport:
    return RunReport(
        parse_task_name(row.task),
        row.run,
        row.saved or "",
        int(row.percent),
        int(row.latency_or_cpu or 0),
    )


def _convert_end(row: _EndRow) -> EndReport:
    return EndReport(
        row.sequence, parse_task_name(row.task), row.run, row.outcome, row.saved or ""
    )
