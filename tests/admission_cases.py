"""Catalogues and helpers shared by the admission tests."""

from dataclasses import dataclass, field

from bergamotgap.domain.admission import AdmissionPolicy
from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.catalogue import Catalogue, Entry, Owner, Pool, Urgency
from bergamotgap.domain.scheduler import Ticket

SLOTS = 8
FAR_MS = 1_000_000


def build_entry(name: str, urgency: Urgency = Urgency.NORMAL, **more: object) -> Entry:
    values: dict[str, object] = {
        "name": name,
        "owner": "team",
        "pool": "main",
        "urgency": urgency,
        "idempotent": True,
        "deadline_ms": FAR_MS,
        "run_ms": 100,
        "cpus": 1,
        "memory_mb": 1,
        "availability": 0,
        **more,
    }
    return Entry.model_validate(values)


URGENT = build_entry("urgent", Urgency.URGENT)
NORMAL = build_entry("normal", weight=2)
BATCH = build_entry("batch", Urgency.BATCH, owner="others")
SPARE = build_entry("spare", Urgency.BATCH, owner="others", pool="buffer")


def build_catalogue(*entries: Entry, quota: int = 1000) -> Catalogue:
    return Catalogue(
        pools=(
            Pool(name="main", min_hosts=0, max_hosts=9),
            Pool(name="buffer", min_hosts=0, max_hosts=9, spare=True),
        ),
        owners=(
            Owner(name="team", quota_slots=quota),
            Owner(name="others", quota_slots=quota),
        ),
        callers=(),
        entries=entries or (URGENT, NORMAL, BATCH, SPARE),
    )


@dataclass(frozen=True)
class Peer:
    node_id: str
    pool_demand: dict[str, float] = field(default_factory=dict)
    owner_demand: dict[str, float] = field(default_factory=dict)


class EntryHost:
    """The admission policy of one entry host and the notifications it sent."""

    def __init__(
        self,
        catalogue: Catalogue,
        slots: dict[str, int] | None = None,
        limits: AdmissionLimits | None = None,
        name: str = "entry-1",
    ) -> None:
        self.slots = {"main": SLOTS, "buffer": 0} if slots is None else slots
        self.notified: list[Ticket] = []
        self.now_ms = 0
        limits = limits or AdmissionLimits(max_queue_ms=FAR_MS, urgent_queue_ms=FAR_MS)
        self.policy = AdmissionPolicy(name, limits, self.notified.append)
        self.policy.use_catalogue(catalogue)
        self.refresh()

    def refresh(self, *peers: Peer, known: tuple[str, ...] = ()) -> None:
        self.policy.refresh_allowances(
            self.now_ms, 0, peers, known, lambda p: self.slots[p]
        )

    def admit(self, entry: Entry, within_ms: int = FAR_MS) -> Ticket:
        ticket = self.policy.admit(entry, self.now_ms + within_ms, self.now_ms)
        assert isinstance(ticket, Ticket), ticket
        return ticket
