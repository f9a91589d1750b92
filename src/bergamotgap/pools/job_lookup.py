"""Looks jobs up in the log, for submissions that reached no owner."""

import contextlib
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import Queue
from bergamotgap.pools.fleet_view import FleetView
from bergamotgap.pools.job_journal import RecordKind, format_record_key
from bergamotgap.pools.partitions import choose_partition
from bergamotgap.pools.queue_holdings import decode_holding
from bergamotgap.ports.fleet import Store, StoreError

# Returns whether the log holds a job of a queue, in whichever pool; None if the log
# does not answer.
IsStored = Callable[[Queue, str], Awaitable[bool | None]]

log = get_logger(__name__)


def build_job_lookup(store: Store, log_parts: int, fleet_view: FleetView) -> IsStored:
    """Return a function that looks a job up in the log."""

    async def read_pool(pool: str) -> Mapping[str, bytes]:
        topic, part = choose_partition(pool, log_parts)
        return (await store.read_newest_values(topic, part)).values

    async def is_stored(queue: Queue, job_id: str) -> bool | None:
        pools = [queue.service]
        for pool in pools:
            try:
                values = await read_pool(pool)
            except StoreError as error:
                log.warning(
                    "job lookup in the log failed", job=job_id, error=str(error)
                )
                return None
            kinds = (RecordKind.SPEC, RecordKind.PROGRESS)
            if any(format_record_key(pool, kind, job_id) in values for kind in kinds):
                return True
            if pool == queue.service:
                pools += _list_other_pools(queue, values, fleet_view)
        return False

    return is_stored


def _list_other_pools(
    queue: Queue, values: Mapping[str, bytes], fleet_view: FleetView
) -> tuple[str, ...]:
    """Return the other pools that may have jobs of a queue.

    The queue's pool records which; without a record, each pool may.
    """
    holding = values.get(
        format_record_key(queue.service, RecordKind.HOLDING, queue.name)
    )
    with contextlib.suppress(msgspec.MsgspecError):
        if holding is not None:
            return decode_holding(holding)
    config = fleet_view.config
    return config.list_other_pools(queue.service) if config else ()
