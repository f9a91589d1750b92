"""Which queues a pool may accept jobs of, and where the older jobs of these are."""

import asyncio
from collections.abc import Iterable, Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.fleet import FleetConfig
from bergamotgap.pools.job_journal import RecordKind, format_record_key
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.journal import Journal
from bergamotgap.pools.owner_calls import CallOwner
from bergamotgap.ports.pool_peer import QueuesReleasedReply, ReleaseQueuesCall

# Pools that have not released a queue are asked again after this time.
RETRY_MS = 100
# Longest wait for the record of a release.
RELEASE_WAIT_MS = 600

log = get_logger(__name__)


class QueueHoldings:
    """Hold the queues whose jobs this pool alone may accept.

    A configuration may send a queue to another pool, while its accepted jobs stay. So a
    pool accepts jobs of a queue only once all other pools have released it, each with
    the ids of its jobs: a job that is submitted again is known then. A holding is
    recorded with the pools that had jobs, so that a successor asks only these again.

    `call_owner` is None if there are no other pools.
    """

    def __init__(
        self,
        pool: str,
        job_table: JobTable,
        journal: Journal,
        call_owner: CallOwner | None,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._job_table = job_table
        self._journal = journal
        self._call_owner = call_owner
        self._clock = clock
        self._config: FleetConfig | None = None
        self._own_queues: frozenset[str] = frozenset()
        self._other_pools: tuple[str, ...] = ()
        # By queue held: the other pools with jobs of it.
        self._holdings: dict[str, tuple[str, ...]] = {}
        # By queue, and by pool that released it: the ids of the pool's jobs.
        self._released: dict[str, dict[str, frozenset[str]]] = {}
        self._config_changed = asyncio.Event()

    def restore(self, values: Mapping[str, bytes]) -> None:
        """Restore the holdings that a former owner recorded."""
        prefix = format_record_key(self._pool, RecordKind.HOLDING, "")
        for key, value in values.items():
            if not key.startswith(prefix):
                continue
            try:
                self._holdings[key[len(prefix) :]] = decode_holding(value)
            except msgspec.MsgspecError as error:
                # The other pools are asked again.
                log.error("queue holding not decoded", key=key, error=str(error))

    def update_config(self, config: FleetConfig) -> None:
        """Give up the queues that a newer configuration sends elsewhere."""
        self._config = config
        own = [queue.name for queue in config.queues if queue.service == self._pool]
        self._own_queues = frozenset(own)
        if self._call_owner is not None:
            self._other_pools = config.list_other_pools(self._pool)
        for queue in (self._holdings.keys() | self._released.keys()) - self._own_queues:
            self._give_up(queue)
        self._take_released_queues()
        self._config_changed.set()

    def holds(self, queue: str) -> bool:
        """Return whether jobs of a queue may be accepted."""
        is_held = queue in self._own_queues and queue in self._holdings
        return is_held and not self._list_unasked(queue)

    def is_elsewhere(self, queue: str, job_id: str) -> bool:
        """Return whether another pool had the job when it released the queue."""
        return any(job_id in ids for ids in self._released.get(queue, {}).values())

    def list_other_pools(self, queue: str) -> tuple[str, ...]:
        """Return the other pools that may have jobs of a queue."""
        return self._holdings[queue] if self.holds(queue) else self._other_pools

    async def release(
        self, queues: Iterable[str], version: int
    ) -> dict[str, tuple[str, ...]]:
        """Give up queues by a configuration; return the ids of the jobs of each.

        Queues that this owner's configuration sends here, or that it can't judge by an
        older one, are left out. So are all where the log does not show that there is no
        newer owner of the pool.
        """
        if self._config is None or self._config.version < version:
            return {}
        given_up = [queue for queue in queues if queue not in self._own_queues]
        change = max((self._give_up(queue) for queue in given_up), default=0)
        if not await self._journal.wait_committed_within(change, RELEASE_WAIT_MS):
            return {}
        return {
            queue: self._list_jobs(queue)
            for queue in given_up
            if queue not in self._own_queues
        }

    def _give_up(self, queue: str) -> int:
        self._holdings.pop(queue, None)
        self._released.pop(queue, None)
        return self._journal.put(self._format_key(queue), lambda: None)

    def _format_key(self, queue: str) -> str:
        return format_record_key(self._pool, RecordKind.HOLDING, queue)

    def _list_jobs(self, queue: str) -> tuple[str, ...]:
        """Return the ids of a queue's jobs, and of those of no present queue.

        A queue may have got another name, and ended jobs are kept without theirs.
        """
        names = {other.name for other in self._config.queues} if self._config else set()
        return tuple(
            job.job_id
            for job in self._job_table.jobs.values()
            if job.spec.queue == queue or job.spec.queue not in names
        )

    def _list_unasked(self, queue: str) -> list[str]:
        others, released = self._other_pools, self._released.get(queue, {})
        pools = self._holdings.get(queue, others)
        return [pool for pool in pools if pool in others and pool not in released]

    async def run(self) -> None:
        """Ask other pools for the queues that the configuration sends here."""
        while True:
            await self._config_changed.wait()
            self._config_changed.clear()
            while not all(self.holds(queue) for queue in self._own_queues):
                await self._ask_for_queues()
                await self._clock.sleep_ms(RETRY_MS)

    async def _ask_for_queues(self) -> None:
        unasked: dict[str, list[str]] = {}
        for queue in self._own_queues:
            for pool in self._list_unasked(queue):
                unasked.setdefault(pool, []).append(queue)
        await asyncio.gather(*(self._ask(*item) for item in unasked.items()))
        self._take_released_queues()

    async def _ask(self, pool: str, queues: list[str]) -> None:
        config = self._config
        if config is None or self._call_owner is None:
            return
        call = ReleaseQueuesCall(pool, tuple(queues), config.version)
        reply = await self._call_owner(call)
        if self._config is not config or not isinstance(reply, QueuesReleasedReply):
            # By a newer configuration, the queue may have been elsewhere meanwhile.
            return
        for queue, ids in reply.jobs.items():
            self._released.setdefault(queue, {})[pool] = frozenset(ids)

    def _take_released_queues(self) -> None:
        """Record the holdings of queues that all other pools have released."""
        for queue in self._own_queues:
            if self._list_unasked(queue):
                continue
            released = self._released.get(queue, {})
            pools = tuple(sorted(pool for pool, ids in released.items() if ids))
            if self._holdings.get(queue) != pools:
                self._holdings[queue] = pools
                log.info(
                    "queue taken", pool=self._pool, queue=queue, others=",".join(pools)
                )
                self._record_holding(queue, pools)

    def _record_holding(self, queue: str, pools: tuple[str, ...]) -> None:
        if self._call_owner is None:
            return
        value = msgspec.msgpack.encode(pools)
        self._journal.put(self._format_key(queue), lambda: value)


def decode_holding(value: bytes) -> tuple[str, ...]:
    """Return the other pools that had jobs of a queue when its holding was recorded."""
    return msgspec.msgpack.decode(value, type=tuple[str, ...])
