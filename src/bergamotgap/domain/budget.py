"""Availability budgets: the part of a pool's hosts that must be able to serve."""

import math

from bergamotgap.domain.catalogue import Catalogue

# Keeps a product such as 0.66 * 50, which is a little above 33 in binary, from
# being rounded up to the next host.
ROUNDING_TOLERANCE = 1e-9


def count_required_hosts(catalogue: Catalogue, pool: str, size: int) -> int:
    """Return how many of `size` hosts must serve for every entry on the pool."""
    fraction = catalogue.availability_by_pool.get(pool, 0.0)
    return math.ceil(fraction * size - ROUNDING_TOLERANCE)


def is_within_budget(catalogue: Catalogue, pool: str, size: int, serving: int) -> bool:
    """Return whether `serving` of `size` hosts suffice for every entry on the pool."""
    return serving >= count_required_hosts(catalogue, pool, size)


def can_drain(catalogue: Catalogue, pool: str, size: int, serving: int) -> bool:
    """Return whether one serving host of the pool may stop serving."""
    return is_within_budget(catalogue, pool, size, serving - 1)


def can_release(catalogue: Catalogue, pool: str, size: int, serving: int) -> bool:
    """Return whether one serving host may leave the pool.

    A pool that the catalogue no longer has may lose all its hosts.
    """
    known = catalogue.find_pool(pool)
    if known is None:
        return True
    if size - 1 < known.min_hosts:
        return False
    return is_within_budget(catalogue, pool, size - 1, serving - 1)
