"""Grants of customers' caps: what an owner holds and what the coordinator counts.

Performs no I/O. Safe under calls and replies that are lost, late, repeated or
overtaken, and under changes of owners and coordinators.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from bergamotgap.domain.customer_caps import (
    TOLERANCE,
    CustomerUse,
    divide_cap,
    limit_raises,
)

NO_USE = CustomerUse()
# Calls without a reply that are kept one by one; more are merged, so that an owner that
# is unreachable for long costs no memory.
MAX_SENT = 8
# Among more pools, only those that a customer uses get what remains of its cap, which
# bounds the size of the calls.
MAX_SPREAD_POOLS = 8
Grants = Mapping[str, float]


class HeldGrants:
    """What an owner of a pool was granted, by customer.

    `token` and `sequence` are the highest that a coordinator has sent.
    """

    def __init__(self, owner_token: int) -> None:
        self.owner_token = owner_token
        self.token = 0
        self.sequence = 0
        self.grants: Grants = {}
        self.permits: frozenset[str] = frozenset()

    def require_token(self, token: int) -> None:
        """Refuse coordinators before the one with this token."""
        if token > self.token:
            self.token, self.sequence = token, 0

    def apply(
        self,
        token: int,
        sequence: int,
        owner_token: int,
        grants: Grants | None,
        permits: Iterable[str],
    ) -> bool:
        """Apply a call of a coordinator; return whether more may start."""
        self.require_token(token)
        if token < self.token or sequence <= self.sequence:
            return False
        self.sequence = sequence
        if grants is None or owner_token != self.owner_token:
            return False
        former, former_permits = self.grants, self.permits
        self.grants, self.permits = dict(grants), frozenset(permits)
        return bool(self.permits - former_permits) or any(
            grant > former.get(customer, 0.0) for customer, grant in grants.items()
        )


@dataclass(frozen=True)
class Sent:
    """Grants sent to a pool's owner; None for a query."""

    sequence: int
    owner_token: int
    grants: Grants | None
    permits: frozenset[str] = frozenset()


@dataclass
class PoolView:
    """What a coordinator knows of one pool.

    `sequence` is the highest that the owner had seen at its last reply; `sent` are the
    later calls, which may still take effect.
    """

    owner_token: int = 0
    has_answered: bool = False
    base: float = 0.0
    sequence: int = 0
    uses: Mapping[str, CustomerUse] = field(default_factory=dict)
    sent: list[Sent] = field(default_factory=list)

    def measure_granted(self, customer: str) -> float:
        """Return the largest grant that the pool may hold."""
        held = self.uses.get(customer, NO_USE).held
        pending = [c.grants.get(customer, 0.0) for c in self.sent if c.grants]
        return max(held, *pending, 0.0)

    def measure_claim(self, customer: str) -> float:
        """Return the largest share beyond the base that the pool may be using."""
        used = self.uses.get(customer, NO_USE).used
        return max(self.measure_granted(customer), used - self.base)

    def may_have_permit(self, customer: str) -> bool:
        """Return whether the pool may exceed its share by a task."""
        is_held = self.uses.get(customer, NO_USE).has_permit
        return is_held or any(customer in call.permits for call in self.sent)


class GrantLedger:
    """Claims of all pools as one coordinator knows them.

    `owner_tokens` are the tokens of the owners when this coordinator claimed its duty:
    an answer of an earlier owner doesn't show what a later one was granted since.
    """

    def __init__(self, token: int, owner_tokens: Mapping[str, int]) -> None:
        self.token = token
        self.is_superseded = False
        self._owner_tokens = owner_tokens
        self._sequence = 0
        self.views: dict[str, PoolView] = {}

    def update_pools(self, pools: Iterable[str]) -> None:
        """Set the pools whose owners have to answer before a grant is raised."""
        self.views = {pool: self.views.get(pool, PoolView()) for pool in pools}

    def may_raise(self) -> bool:
        """Return whether the owner of every pool refuses all former coordinators."""
        return not self.is_superseded and all(
            view.has_answered for view in self.views.values()
        )

    def record_reply(
        self,
        pool: str,
        owner_token: int,
        token: int,
        sequence: int,
        base: float,
        uses: Mapping[str, CustomerUse],
    ) -> None:
        """Record the reply of an owner, unless a later one is known."""
        if token > self.token:
            self.is_superseded = True
            return
        view = self.views.get(pool)
        if view is None or owner_token < max(
            view.owner_token, self._owner_tokens.get(pool, 0)
        ):
            return
        if owner_token == view.owner_token and sequence < view.sequence:
            return
        view.sent = [
            call
            for call in view.sent
            if call.sequence > sequence and call.owner_token == owner_token
        ]
        view.owner_token, view.sequence, view.has_answered = owner_token, sequence, True
        view.base, view.uses = base, uses

    def build_call(
        self, pool: str, grants: Grants | None, permits: Iterable[str] = ()
    ) -> Sent:
        """Return the next call to a pool's owner and count it as sent."""
        self._sequence += 1
        view = self.views[pool]
        if not view.has_answered:
            grants = None
        call = Sent(self._sequence, view.owner_token, grants, frozenset(permits))
        if grants is not None:
            view.sent.append(call)
            if len(view.sent) > MAX_SENT:
                view.sent = [_merge(view.sent)]
        return call

    def plan(
        self, bases: Mapping[str, float], customers: Iterable[str]
    ) -> tuple[dict[str, dict[str, float]], dict[str, set[str]]]:
        """Return the grants to send and the permits, by pool and customer.

        `bases` are the base shares by the coordinator's configuration.
        """
        grants: dict[str, dict[str, float]] = {pool: {} for pool in self.views}
        permits: dict[str, set[str]] = {pool: set() for pool in self.views}
        base_total = sum(
            max(view.base, bases.get(pool, 0.0)) for pool, view in self.views.items()
        )
        capped = set(customers)
        uses: dict[str, dict[str, CustomerUse]] = {}
        for pool, view in self.views.items():
            for customer, use in view.uses.items():
                if customer in capped:
                    uses.setdefault(customer, {})[pool] = use
        unconfirmed = {pool for pool, view in self.views.items() if view.sent}
        may_raise = self.may_raise()
        spread = self.views if len(self.views) <= MAX_SPREAD_POOLS else ()
        for customer, by_pool in uses.items():
            for pool in spread:
                by_pool.setdefault(pool, NO_USE)
            planned, holder = self._plan_customer(
                customer, by_pool, max(0.0, 1 - base_total), unconfirmed, may_raise
            )
            for pool, grant in planned.items():
                if grant > 0:
                    grants[pool][customer] = grant
            if holder:
                permits[holder].add(customer)
        return grants, permits

    def _plan_customer(
        self,
        customer: str,
        uses: Mapping[str, CustomerUse],
        budget: float,
        unconfirmed: Iterable[str],
        may_raise: bool,
    ) -> tuple[dict[str, float], str]:
        """Return one customer's grants by pool, and the pool with a permit, if any."""
        involved = {*uses, *unconfirmed}
        claims = {pool: self.views[pool].measure_claim(customer) for pool in involved}
        free = budget - sum(claims.values())
        division = divide_cap(uses, {p: self.views[p].base for p in uses}, budget)
        if may_raise:
            granted = {
                pool: self.views[pool].measure_granted(customer) for pool in uses
            }
            planned = limit_raises(division, granted, claims, budget)
        else:
            planned = {
                pool: min(target, uses[pool].held)
                for pool, target in division.targets.items()
            }
        holder = division.permit
        # A permit that another pool may still hold, or whose task exceeds the cap, must
        # be given back first; otherwise two pools could exceed their shares by a task.
        is_taken = any(
            self.views[pool].may_have_permit(customer)
            for pool in involved
            if pool != holder
        )
        is_new = may_raise and free >= -TOLERANCE
        is_kept = bool(holder) and self.views[holder].may_have_permit(customer)
        return planned, holder if not is_taken and (is_kept or is_new) else ""


def _merge(calls: Iterable[Sent]) -> Sent:
    """Return a call that counts as much as any of several calls to one owner."""
    grants: dict[str, float] = {}
    permits: frozenset[str] = frozenset()
    for call in calls:
        permits |= call.permits
        for customer, grant in (call.grants or {}).items():
            grants[customer] = max(grant, grants.get(customer, 0.0))
    return Sent(call.sequence, call.owner_token, grants, permits)
