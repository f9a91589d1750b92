"""Client of the entry hosts of a local fleet, for callers and operators."""

import asyncio
import base64
import secrets
from dataclasses import dataclass
from typing import Any

import aiohttp

from tools.fleet_plan import NodeAddresses

POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class CallerAnswer:
    """The response to a caller; `outcome` is its header `Outcome`."""

    status: int
    outcome: str | None
    body: bytes
    payload: Any = None

    @property
    def code(self) -> str | None:
        """Return the error code of the response, None if it has none."""
        return self.payload.get("code") if isinstance(self.payload, dict) else None


class FleetCalls:
    """Sends calls to entry hosts, which are selected by index."""

    def __init__(
        self, nodes: list[NodeAddresses], session: aiohttp.ClientSession
    ) -> None:
        self._nodes = nodes
        self._session = session

    async def _call(self, method: str, url: str, **options: Any) -> CallerAnswer:
        async with self._session.request(method, url, **options) as answer:
            body = await answer.read()
            is_json = answer.content_type.endswith("json")
            return CallerAnswer(
                status=answer.status,
                outcome=answer.headers.get("Outcome"),
                body=body,
                payload=await answer.json(content_type=None) if is_json else None,
            )

    async def call_operator(
        self, method: str, path: str, body: Any = None, node: int = 0
    ) -> CallerAnswer:
        """Call the operator API."""
        url = f"http://{self._nodes[node].operator}{path}"
        return await self._call(method, url, json=body)

    async def call_jobs(
        self, method: str, path: str, key: str, body: Any = None, node: int = 0
    ) -> CallerAnswer:
        """Call the job API; `path` is the part after `/v1/jobs`."""
        url = f"http://{self._nodes[node].caller}/v1/jobs{path}"
        headers = {"Authorization": f"Bearer {key}"}
        return await self._call(method, url, headers=headers, json=body)

    async def send_request(
        self,
        entry: str,
        body: bytes = b"",
        key: str = "founder-key",
        node: int = 0,
        request_id: str | None = None,
        deadline_ms: int | None = None,
    ) -> CallerAnswer:
        """Send a synchronous request and return the response."""
        headers = {
            "Authorization": f"Bearer {key}",
            "Request-Id": request_id or secrets.token_hex(8),
        }
        if deadline_ms is not None:
            headers["Deadline-Ms"] = str(deadline_ms)
        url = f"http://{self._nodes[node].caller}/v1/requests/{entry}"
        return await self._call("POST", url, headers=headers, data=body)

    async def submit_job(
        self,
        entry: str,
        body: bytes = b"",
        key: str = "founder-key",
        node: int = 0,
        request_id: str | None = None,
        deadline_ms: int | None = None,
    ) -> CallerAnswer:
        """Submit a job; its id is in the field `job` of the response."""
        payload: dict[str, str | int] = {
            "entry": entry,
            "request_id": request_id or secrets.token_hex(8),
            "body_base64": base64.b64encode(body).decode(),
        }
        if deadline_ms is not None:
            payload["deadline_ms"] = deadline_ms
        return await self.call_jobs("POST", "", key, payload, node)

    async def wait_for_job(
        self, job: str, key: str, timeout_s: float = 30.0, node: int = 0
    ) -> CallerAnswer:
        """Return the job's status once it has an outcome; raises TimeoutError."""
        async with asyncio.timeout(timeout_s):
            while True:
                answer = await self.call_jobs("GET", f"/{job}", key, node=node)
                if isinstance(answer.payload, dict) and answer.payload.get("outcome"):
                    return answer
                await asyncio.sleep(POLL_INTERVAL_S)
