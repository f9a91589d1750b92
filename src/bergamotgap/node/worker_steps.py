"""Steps on workers that maintenance and moves share."""

from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Catalogue
from bergamotgap.domain.folding import Applied, Effect
from bergamotgap.domain.records import Record
from bergamotgap.ports.worker import WorkerClient, WorkerError

# How long running tasks may go on before they are checkpointed, and then stopped.
CHECKPOINT_AFTER_MS = 30_000
STOP_AFTER_MS = 120_000

log = get_logger(__name__)

# Appends a record and returns its effect; None when its fate is unknown.
AppendRecord = Callable[[Record], Awaitable[Effect | None]]


async def end_tasks(
    client: WorkerClient, address: str, catalogue: Catalogue | None, waited_ms: int
) -> None:
    """Checkpoint or stop the tasks of a host that should have none by now.

    The worker itself names the tasks, because most were sent by other entry hosts.
    Raises WorkerError when it can't be asked.
    """
    if waited_ms < CHECKPOINT_AFTER_MS:
        return
    for item in await client.list_tasks(address):
        if waited_ms >= STOP_AFTER_MS:
            verb = "stop"
        elif _is_checkpointable(catalogue, item.entry):
            verb = "checkpoint"
        else:
            continue
        try:
            await client.control(address, item.task, verb)
            log.info("task ended for its host", task=item.task, verb=verb)
        except WorkerError as error:
            log.info("task control failed", task=item.task, verb=verb, error=str(error))


def _is_checkpointable(catalogue: Catalogue | None, name: str) -> bool:
    # A checkpointed task holds no slot, so its host is rebooted or moved next, which
    # ends the task. Only idempotent work can be run again then.
    entry = catalogue.find_entry(name) if catalogue is not None else None
    return entry is not None and entry.checkpointable and entry.idempotent


def is_applied(effect: Effect | None) -> bool:
    """Return whether a record is known to have taken effect."""
    return isinstance(effect, Applied)
