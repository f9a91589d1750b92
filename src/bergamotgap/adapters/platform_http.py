"""HTTP client of the platform's log and host directory."""

from typing import Any

import aiohttp

from bergamotgap.domain.hosts import HostFacts
from bergamotgap.ports.platform import (
    HostListing,
    LogPage,
    LogRecord,
    OffsetDroppedError,
    PlatformBusyError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)

APPEND_TIMEOUT_MS = 3000
READ_TIMEOUT_MARGIN_MS = 3000
CONNECT_TIMEOUT_MS = 1000
TOO_MANY_REQUESTS = 429
GONE = 410

_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpPlatformClient:
    """Appends to and reads from the platform's streams, and lists its hosts."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")

    async def append(self, stream: str, record_id: str, body: str) -> int:
        """Append one record and return its offset."""
        url = f"{self._base_url}/streams/{stream}/records"
        payload = {"id": record_id, "body": body}
        try:
            async with self._session.post(
                url, json=payload, timeout=_build_timeout(APPEND_TIMEOUT_MS)
            ) as response:
                if response.status >= 500:
                    raise PlatformOutcomeUnknownError(f"status {response.status}")
                if response.status == TOO_MANY_REQUESTS:
                    raise PlatformBusyError("append rate exceeded")
                if response.status != 200:
                    raise PlatformUnavailableError(f"status {response.status}")
                return int((await response.json())["offset"])
        except _CONNECT_ERRORS as error:
            raise PlatformUnavailableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise PlatformOutcomeUnknownError(repr(error)) from error

    async def read(self, stream: str, offset: int, limit: int, wait_ms: int) -> LogPage:
        """Read from an offset on, waiting up to `wait_ms` for the first record."""
        url = f"{self._base_url}/streams/{stream}/records"
        query = {"from": str(offset), "max": str(limit), "wait_ms": str(wait_ms)}
        status, payload = await self._get_json(
            url, query, wait_ms + READ_TIMEOUT_MARGIN_MS
        )
        if status == GONE:
            raise OffsetDroppedError(int(payload["first_offset"]))
        return LogPage(
            records=tuple(LogRecord(**record) for record in payload["records"]),
            first_offset=int(payload["first_offset"]),
            next_offset=int(payload["next_offset"]),
        )

    async def list_hosts(self) -> HostListing:
        """Return the platform's host directory, which may be out of date."""
        _, payload = await self._get_json(
            f"{self._base_url}/hosts", {}, READ_TIMEOUT_MARGIN_MS
        )
        hosts = tuple(_parse_host(item) for item in payload["hosts"])
        return HostListing(as_of_ms=int(payload["as_of_ms"]), hosts=hosts)

    async def _get_json(
        self, url: str, query: dict[str, str], timeout_ms: int
    ) -> tuple[int, Any]:
        try:
            async with self._session.get(
                url, params=query, timeout=_build_timeout(timeout_ms)
            ) as response:
                if response.status not in (200, GONE):
                    raise PlatformUnavailableError(f"status {response.status}")
                return response.status, await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise PlatformUnavailableError(repr(error)) from error


def _build_timeout(total_ms: int) -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(
        total=total_ms / 1000, sock_connect=CONNECT_TIMEOUT_MS / 1000
    )


def _parse_host(item: dict[str, Any]) -> HostFacts:
    facts = {key: value for key, value in item.items() if key != "state"}
    return HostFacts(**facts, is_leaving=item.get("state") == "leaving")
