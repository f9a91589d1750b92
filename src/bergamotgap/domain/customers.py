"""Customers of a configuration: their keys, weights and caps; performs no I/O."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bergamotgap.domain.fleet import Size

MAX_KEY_CHARS = 512
NO_CAP = Size()


@dataclass(frozen=True)
class Customer:
    """A customer that submits jobs.

    `weight` is its share of scarce room, and the jobs per second that it may submit.
    `cap` limits what it has running in all pools together; 0 is no limit.
    """

    name: str
    weight: float = 1.0
    cap: Size = NO_CAP


class InvalidCustomersError(ValueError):
    """Customers or their keys contradict each other or can't be used."""


@dataclass(frozen=True)
class Customers:
    """The customers of one configuration, by name and by digest of a key."""

    by_name: Mapping[str, Customer] = field(default_factory=dict)
    names_by_digest: Mapping[str, str] = field(default_factory=dict)

    def get(self, name: str) -> Customer | None:
        """Return the customer with this name."""
        return self.by_name.get(name)

    def find_by_digest(self, digest: str) -> Customer | None:
        """Return the customer to which the key with this digest belongs."""
        return self.by_name.get(self.names_by_digest.get(digest, ""))


def digest_key(key: str) -> str:
    """Return the digest by which a key is known; the key itself is not kept."""
    return hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()


def build_customers(rows: Iterable[tuple[Customer, Iterable[str]]]) -> Customers:
    """Return the customers with their keys; raises InvalidCustomersError."""
    by_name: dict[str, Customer] = {}
    names_by_digest: dict[str, str] = {}
    for customer, keys in rows:
        if not customer.name or customer.name in by_name:
            raise InvalidCustomersError(
                f"customer {customer.name!r} has no name or the name of another one"
            )
        by_name[customer.name] = customer
        for key in keys:
            if not _is_usable_key(key):
                raise InvalidCustomersError(
                    f"a key of customer {customer.name!r} is empty, too long or has "
                    "characters that no header can hold"
                )
            owner = names_by_digest.setdefault(digest_key(key), customer.name)
            if owner != customer.name:
                raise InvalidCustomersError(
                    f"customers {owner!r} and {customer.name!r} have the same key"
                )
    return Customers(by_name, names_by_digest)


def _is_usable_key(key: str) -> bool:
    is_short = 0 < len(key) <= MAX_KEY_CHARS
    return is_short and key.isprintable() and key == key.strip()
