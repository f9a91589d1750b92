"""HTTP client for the platform's machine service; the platform calls hosts machines."""

from urllib.parse import quote

import aiohttp
import msgspec

from bergamotgap.domain.fleet import HostInfo
from bergamotgap.platform.documents import HostPage, decode_document
from bergamotgap.pools.fleet_view import UnreadableDocumentError
from bergamotgap.ports.fleet import MachineServiceUnavailableError

# The same as for the store. It is longer than a slow response takes, and shorter than
# a move of a host.
CALL_TIMEOUT_S = 1.5
# An order that waits longer for a connection is not sent: this node may have been
# paused meanwhile, and another one may have become the controller.
CONNECT_TIMEOUT_S = 0.2
RATE_LIMIT_EXCEEDED = 429


class MachineServiceClient:
    """Call the machine service over HTTP as one host controller."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, controller_id: str
    ) -> None:
        self._session = session
        self._base_url = f"http://{address}"
        self._controller_id = controller_id

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts; raises MachineServiceUnavailableError."""
        hosts: list[HostInfo] = []
        token: str | None = None
        while True:
            path = "/machines" + (f"?pageToken={quote(token, '')}" if token else "")
            status, body = await self._request("GET", path)
            if status != 200:
                raise MachineServiceUnavailableError(
                    f"list of machines answered {status}"
                )
            try:
                page = decode_document(body, HostPage)
            except UnreadableDocumentError as error:
                raise MachineServiceUnavailableError(
                    f"malformed list of machines: {error}"
                ) from error
            hosts += page.list_hosts()
            token = page.next_page_token
            if not token:
                return tuple(hosts)

    async def move(self, host: str, pool: str, token: int) -> str:
        """Move a host to a pool; return "" or the reason for a refusal."""
        return await self._send_order(
            "/machine-move", {"machine": host, "pool": pool}, token
        )

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Start a host's maintenance; return "" or the reason for a refusal."""
        body: dict[str, str | int] = {"machine": host, "wave": wave}
        return await self._send_order("/machine-upkeep", body, token)

    async def _send_order(
        self, path: str, body: dict[str, str | int] | dict[str, str], token: int
    ) -> str:
        headers = {
            "X-Duty-Holder": self._controller_id,
            "X-Fencing-Token": str(token),
            "Content-Type": "application/json",
        }
        status, content = await self._request(
            "POST", path, msgspec.json.encode(body), headers
        )
        if status == 200:
            return ""
        if status == 409:
            try:
                return str(msgspec.json.decode(content)["reason"])
            except (
                msgspec.MsgspecError,
                ValueError,
                RecursionError,
                LookupError,
                TypeError,
            ):
                return "busy"
        if status == 400:
            return "unknown"
        raise MachineServiceUnavailableError(
            f"{path} answered {status}",
            may_have_executed=status != RATE_LIMIT_EXCEEDED,
        )

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise MachineServiceUnavailableError(
                f"{path}: {error}", may_have_executed=False
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise MachineServiceUnavailableError(f"{path}: {error!r}") from error
