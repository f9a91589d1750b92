"""Divides the caps of customers among the owners of the pools, by their demand."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from aiomisc import cancel_tasks

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.cap_grants import GrantLedger, Sent
from bergamotgap.domain.clock import MS_PER_SECOND, Clock
from bergamotgap.domain.customer_caps import (
    list_caps,
    list_pools,
    measure_base_share,
)
from bergamotgap.domain.fleet import FleetConfig
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.ports.pool_peer import CapCall, CapReply

ROUND_INTERVAL_MS = 100
# Calls to owners per second in a fleet with many pools. Each takes about half a
# millisecond of a core on both sides.
MAX_CALLS_PER_S = 200
# Among more pools than can be called in each round, one without jobs or use of capped
# customers is called in every third round; it has its base share meanwhile.
IDLE_ROUNDS = 3
# The owner of a removed pool that has not answered for this time has lost its leases,
# so nothing runs there any more.
FORMER_POOL_MS = 10_000
# Shortest time between two lines about the grants of one pool.
LOG_GAP_MS = 1000
# Grants are logged again when one has changed by this part of a cap.
LOGGED_CHANGE = 0.05

log = get_logger(__name__)


@dataclass
class PoolCalls:
    """Calls of the coordinator to one pool's owner."""

    answered_ms: int
    task: asyncio.Task[None] | None = None
    rounds_to_skip: int = 0
    logged_ms: int = 0
    logged: dict[str, float] = field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether a call waits for its reply."""
        return self.task is not None and not self.task.done()


class CapCoordinator:
    """Call the owners of all pools in rounds; only one node in the fleet does so.

    `list_claims` returns the token of each pool's owner. Does nothing unless a customer
    has a cap.
    """

    def __init__(
        self,
        token: int,
        list_claims: Callable[[], Mapping[str, int]],
        get_config: Callable[[], FleetConfig | None],
        call_owner: CallOwner,
        may_act: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.token = token
        self._list_claims = list_claims
        self._get_config = get_config
        self._call_owner = call_owner
        self._may_act = may_act
        self._clock = clock
        self._ledger = GrantLedger(token, dict(list_claims()))
        self._calls: dict[str, PoolCalls] = {}
        self._was_complete = False
        self._ended_pools: set[str] = set()

    async def run(self) -> None:
        """Run rounds until cancelled or until there is a newer coordinator."""
        try:
            while not self._ledger.is_superseded:
                config = self._get_config()
                calls = 0
                if config is not None and list_caps(config) and self._may_act():
                    calls = self._run_round(config)
                calls_ms = calls * MS_PER_SECOND / MAX_CALLS_PER_S
                await self._clock.sleep_ms(max(ROUND_INTERVAL_MS, calls_ms))
            log.warning("cap coordinator superseded", token=self.token)
        finally:
            tasks = [calls.task for calls in self._calls.values() if calls.task]
            await cancel_tasks(tasks)

    def _run_round(self, config: FleetConfig) -> int:
        """Send the grants that are due; return the number of calls."""
        self._update_pools(config)
        ledger = self._ledger
        bases = {pool: measure_base_share(config, pool) for pool in ledger.views}
        grants, permits = ledger.plan(bases, list_caps(config))
        if ledger.may_raise() is not self._was_complete:
            self._was_complete = ledger.may_raise()
            silent = sorted(
                pool for pool, view in ledger.views.items() if not view.has_answered
            )
            log.info("customer caps divided", pools=len(bases), silent=",".join(silent))
        sent_calls = 0
        may_skip = (
            len(self._calls) * MS_PER_SECOND > MAX_CALLS_PER_S * ROUND_INTERVAL_MS
        )
        for pool, calls in self._calls.items():
            if calls.is_busy:
                continue
            if may_skip and calls.rounds_to_skip > 0 and not grants[pool]:
                calls.rounds_to_skip -= 1
                continue
            sent = ledger.build_call(pool, grants[pool], sorted(permits[pool]))
            call = self._call_pool(pool, sent)
            calls.task = asyncio.create_task(call)
            sent_calls += 1
        return sent_calls

    def _update_pools(self, config: FleetConfig) -> None:
        now_ms = self._clock.monotonic_ms()
        current = list_pools(config)
        former = set(self._list_claims()) - current - config.spare_services
        former = (former | set(self._calls)) - current
        self._ended_pools -= current
        self._ended_pools |= {
            pool
            for pool in former & set(self._calls)
            if now_ms - self._calls[pool].answered_ms >= FORMER_POOL_MS
        }
        pools = current | (former - self._ended_pools)
        self._ledger.update_pools(pools)
        self._calls = {
            pool: self._calls.get(pool, PoolCalls(now_ms)) for pool in sorted(pools)
        }

    async def _call_pool(self, pool: str, sent: Sent) -> None:
        calls, grants = self._calls[pool], sent.grants
        reply = await self._call_owner(
            CapCall(
                pool,
                self.token,
                sent.sequence,
                sent.owner_token,
                None if grants is None else dict(grants),
                tuple(sorted(sent.permits)),
            )
        )
        if not isinstance(reply, CapReply):
            return
        calls.answered_ms = self._clock.monotonic_ms()
        self._ledger.record_reply(
            pool,
            reply.owner_token,
            reply.token,
            reply.sequence,
            reply.base,
            reply.uses,
        )
        calls.rounds_to_skip = 0 if reply.uses else IDLE_ROUNDS - 1
        self._log_grants(pool, calls, reply)

    def _log_grants(self, pool: str, calls: PoolCalls, reply: CapReply) -> None:
        """Log the grants that an owner holds when they have changed."""
        held = {name: use.held for name, use in reply.uses.items() if use.held}
        changed = [
            name
            for name in sorted({*held, *calls.logged})
            if abs(held.get(name, 0.0) - calls.logged.get(name, 0.0)) >= LOGGED_CHANGE
        ]
        now_ms = self._clock.monotonic_ms()
        if not changed or now_ms - calls.logged_ms < LOG_GAP_MS:
            return
        log.info(
            "cap grants changed",
            pool=pool,
            grants=",".join(f"{name}:{held.get(name, 0.0):.3f}" for name in changed),
            used=",".join(
                f"{name}:{reply.uses[name].used:.3f}"
                for name in changed
                if name in reply.uses
            ),
        )
        calls.logged_ms, calls.logged = now_ms, held
