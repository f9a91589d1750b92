"""Builders and in-memory fakes for tests of the control stream and its planner."""

from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Applied, Effect, Stamp
from bergamotgap.domain.records import CataloguePublished, HostSeen, HostUp, Record

START_MS = 1_700_000_000_000


def write_catalogue(
    pools: dict[str, tuple[int, int]], availability: float, spare: str | None = None
) -> str:
    """Return a TOML catalogue: pools with (min, max) hosts and one entry on each."""
    parts = ['[[owners]]\nname = "team"\nquota_slots = 100\n']
    for name, (least, most) in pools.items():
        parts.append(
            f'[[pools]]\nname = "{name}"\nmin_hosts = {least}\nmax_hosts = {most}\n'
            f"spare = {str(name == spare).lower()}\n"
            f'[[entries]]\nname = "run-{name}"\nowner = "team"\npool = "{name}"\n'
            'urgency = "normal"\nidempotent = true\ndeadline_ms = 1000\nrun_ms = 10\n'
            f"cpus = 1.0\nmemory_mb = 64\navailability = {availability}\n"
        )
    return "callers = []\n" + "\n".join(parts)


def see_host(host: str, pool: str, index: int = 0, address: str = "") -> HostSeen:
    """Return the record of a host in one of three data centres, two per rack."""
    centre = index % 3
    return HostSeen(
        host=host,
        address=address or f"127.0.0.1:{9000 + index}",
        data_centre=f"dc-{centre}",
        rack=f"dc-{centre}-rack-{index // 6}",
        cpus=8.0,
        memory_mb=1024,
        accelerators=0,
        slots=8,
        pool=pool,
    )


class Log:
    """Fold records one by one, as a stream would."""

    def __init__(self, state: ControlState | None = None) -> None:
        self.state = state or ControlState()
        self.offset = 0

    def add(self, record: Record) -> Effect:
        """Fold one record at the next offset, one second after the last."""
        self.offset += 1
        stamp = Stamp(self.offset, START_MS + 1000 * self.offset)
        return self.state.apply(stamp, record)

    def add_all(self, *records: Record) -> None:
        """Fold records that all have to take effect."""
        for record in records:
            effect = self.add(record)
            assert effect == Applied(), (record, effect)


def build_log(pools: dict[str, tuple[int, int, int]], availability: float) -> Log:
    """Return a log with a catalogue and serving hosts: pool -> (hosts, min, max)."""
    log = Log()
    limits = {name: (least, most) for name, (_, least, most) in pools.items()}
    document = write_catalogue(limits, availability, spare="spare")
    log.add_all(CataloguePublished(1, 0, document, "operator"))
    index = 0
    for pool, (count, _, _) in pools.items():
        for number in range(count):
            host = f"{pool}-{number}"
            log.add_all(see_host(host, pool, index), HostUp(host, "boot-1"))
            index += 1
    return log
