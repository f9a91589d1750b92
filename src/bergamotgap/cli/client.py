"""HTTP client of an entry host's operator interface."""

import asyncio
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp

from bergamotgap.cli.exits import (
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    CommandError,
)

CONNECT_TIMEOUT_S = 3.0
# Longer than the entry host waits for the platform, so that the entry host reports the
# outcome before this timeout.
CALL_TIMEOUT_S = 15.0
MAX_ERROR_TEXT = 200

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@dataclass(frozen=True, slots=True)
class OperatorAnswer:
    """An answer of the operator interface; `payload` is the decoded JSON."""

    status: int
    outcome: str
    payload: Any

    @property
    def is_ok(self) -> bool:
        """Return whether the call took effect."""
        return 200 <= self.status < 300

    @property
    def code(self) -> str:
        """Return the stable code of a problem, or an empty text."""
        return str(self._get_field("code"))

    @property
    def detail(self) -> str:
        """Return the description of a problem, or an empty text."""
        return str(self._get_field("detail"))

    def _get_field(self, name: str) -> Any:
        return self.payload.get(name, "") if isinstance(self.payload, dict) else ""


class OutcomeUnknownError(CommandError):
    """The call may have taken effect or may still take effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(EXIT_UNKNOWN, "outcome_unknown", detail)


class OperatorClient:
    """Calls one entry host at `server` (IP:PORT)."""

    def __init__(self, server: str) -> None:
        self.server = server

    def get(self, path: str) -> Any:
        """Return the payload of a GET; raises CommandError."""
        answer = self.fetch_answer(path)
        if not answer.is_ok:
            raise build_refusal_error(answer)
        return answer.payload

    def fetch_answer(self, path: str) -> OperatorAnswer:
        """Return the answer to a GET, refusals included.

        Raises CommandError if no answer arrived.
        """
        try:
            return asyncio.run(self._call("GET", path, None))
        except OutcomeUnknownError as error:
            raise self._build_unreachable(error.detail) from error

    def read(
        self, path: str, body: bytes, headers: Mapping[str, str]
    ) -> OperatorAnswer:
        """Return the answer to a POST that changes nothing, refusals included.

        Raises CommandError if no answer arrived.
        """
        try:
            return asyncio.run(self._call("POST", path, body, headers))
        except OutcomeUnknownError as error:
            raise self._build_unreachable(error.detail) from error

    def send_change(self, method: str, path: str, body: Any = None) -> OperatorAnswer:
        """Return the answer to a call that changes something.

        Raises OutcomeUnknownError if it may have taken effect, and CommandError if
        nothing was sent.
        """
        answer = asyncio.run(self._call(method, path, body))
        is_outcome_known = answer.outcome == "not_run" or answer.status < 500
        if answer.outcome == "unknown" or not is_outcome_known:
            raise OutcomeUnknownError(f"{answer.status} {answer.code} {answer.detail}")
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        headers: Mapping[str, str] | None = None,
    ) -> OperatorAnswer:
        url = f"http://{self.server}{path}"
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        data = body
        if body is not None and not isinstance(body, bytes):
            data = json.dumps(body, ensure_ascii=False).encode()
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(method, url, data=data, headers=headers) as response,
            ):
                return OperatorAnswer(
                    status=response.status,
                    outcome=response.headers.get("Outcome", ""),
                    payload=json.loads(await response.read()),
                )
        except _CONNECT_ERRORS as error:
            raise self._build_unreachable(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = f"no usable answer from {self.server}: {error!r}"
            raise OutcomeUnknownError(detail[:MAX_ERROR_TEXT]) from error

    def _build_unreachable(self, detail: str) -> CommandError:
        text = f"{self.server} is not reachable: {detail}"
        return CommandError(EXIT_UNREACHABLE, "unreachable", text)


def build_refusal_error(answer: OperatorAnswer) -> CommandError:
    """Return the error for a call that was refused."""
    detail = f"{answer.code}: {answer.detail}".strip(": ")
    payload = answer.payload if isinstance(answer.payload, dict) else {}
    return CommandError(EXIT_REFUSED, answer.code, detail, payload)
