"""Keep the fleet's records in line with the platform's host list."""

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import HostSeen
from bergamotgap.node.streams import (
    AppendRefusedError,
    AppendUnknownError,
    Stream,
)
from bergamotgap.node.writer import StreamWriter
from bergamotgap.ports.platform import HostDirectory, PlatformError

PLAN_INTERVAL_MS = 1000
APPEND_TIMEOUT_MS = 5000

log = get_logger(__name__)


class Planner:
    """Append records about hosts."""

    def __init__(
        self,
        control: Stream[ControlState],
        writer: StreamWriter,
        directory: HostDirectory,
        clock: Clock,
    ) -> None:
        self._control = control
        self._writer = writer
        self._directory = directory
        self._clock = clock

    async def run(self) -> None:
        """Plan for good."""
        while True:
            try:
                await self._record_hosts()
            except (PlatformError, AppendRefusedError, AppendUnknownError) as error:
                log.warning("planning failed", error=str(error))
            await self._clock.sleep_ms(PLAN_INTERVAL_MS)

    async def _record_hosts(self) -> None:
        listing = await self._directory.list_hosts()
        for facts in listing.hosts:
            record = _build_host_seen(facts)
            known = self._control.state.hosts.get(facts.host)
            if known is None or known.facts != record:
                await self._writer.append(record, APPEND_TIMEOUT_MS)


def _build_host_seen(facts: HostFacts) -> HostSeen:
    return HostSeen(
        host=facts.host,
        address=facts.address,
        data_centre=facts.data_centre,
        rack=facts.rack,
        cpus=facts.cpus,
        memory_mb=facts.memory_mb,
        accelerators=facts.accelerators,
        slots=facts.slots,
        pool=facts.pool,
    )
