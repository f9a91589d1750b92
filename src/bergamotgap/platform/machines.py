"""Client of the service that lists, moves and maintains the platform's machines."""

import aiohttp
import msgspec

from bergamotgap.domain.fleet import HostInfo
from bergamotgap.platform.documents import HostPage
from bergamotgap.ports.fleet import MachineServiceUnavailableError

# As for the store: above a slow answer, below the time of a move.
CALL_TIMEOUT_S = 1.5


class MachineServiceClient:
    """Call the machines' service over HTTP as one holder of the duty."""

    def __init__(
        self, session: aiohttp.ClientSession, address: str, controller_id: str
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._holder = controller_id

    async def list_hosts(self) -> tuple[HostInfo, ...]:
        """Return all hosts; raises MachinesUnavailableError."""
        hosts: list[HostInfo] = []
        token: str | None = None
        while True:
            path = "/machines" + (f"?pageToken={token}" if token else "")
            status, body = await self._call("GET", path)
            if status != 200:
                raise MachineServiceUnavailableError(f"list answered {status}")
            try:
                page = msgspec.json.decode(body, type=HostPage)
            except msgspec.MsgspecError as error:
                raise MachineServiceUnavailableError(f"list: {error}") from error
            hosts += page.list_hosts()
            token = page.next_page_token
            if not token:
                return tuple(hosts)

    async def move(self, host: str, pool: str, token: int) -> str:
        """Move a host; return "" or the reason of a refusal."""
        return await self._order(
            "/machine-move", {"machine": host, "pool": pool}, token
        )

    async def start_maintenance(self, host: str, wave: int, token: int) -> str:
        """Begin a host's upkeep; return "" or the reason of a refusal."""
        body: dict[str, str | int] = {"machine": host, "wave": wave}
        return await self._order("/machine-upkeep", body, token)

    async def _order(
        self, path: str, body: dict[str, str | int] | dict[str, str], token: int
    ) -> str:
        headers = {
            "X-Duty-Holder": self._holder,
            "X-Fencing-Token": str(token),
            "Content-Type": "application/json",
        }
        status, content = await self._call(
            "POST", path, msgspec.json.encode(body), headers
        )
        if status == 200:
            return ""
        if status == 409:
            try:
                return str(msgspec.json.decode(content)["reason"])
            except (msgspec.MsgspecError, KeyError, TypeError):
                return "busy"
        if status == 400:
            return "unknown"
        raise MachineServiceUnavailableError(f"{path} answered {status}")

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        try:
            async with self._session.request(
                method,
                self._base + path,
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise MachineServiceUnavailableError(f"{path}: {error!r}") from error
