"""Customers of callers and operators, by the key that a call carries."""

from dataclasses import dataclass

from bergamotgap.domain.customers import digest_key
from bergamotgap.domain.fleet import FleetConfig, Queue
from bergamotgap.ports.pool_peer import KeyUse


@dataclass(frozen=True)
class Caller:
    """The customer that a call comes from, and its key; empty if none is needed."""

    customer: str = ""
    key: KeyUse | None = None


def identify_caller(config: FleetConfig, queue: Queue, key: str) -> Caller | None:
    """Return the caller; None if the queue needs a key that is not known."""
    if config.customers is None or not config.needs_key(queue):
        return Caller()
    digest = digest_key(key)
    customer = config.customers.find_by_digest(digest)
    if customer is None:
        return None
    return Caller(customer.name, KeyUse(digest, config.version))
