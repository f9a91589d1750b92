"""Worker operations that maintenance and host moves have in common."""

from collections.abc import Awaitable, Callable

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.catalogue import Catalogue
from bergamotgap.domain.folding import Applied, Effect
from bergamotgap.domain.records import Record
from bergamotgap.ports.worker import WorkerClient, WorkerError

# How long tasks may continue before they are checkpointed, and before they are stopped.
CHECKPOINT_AFTER_MS = 30_000
STOP_AFTER_MS = 120_000

log = get_logger(__name__)

# Appends a record and returns its effect, or None if the outcome is unknown.
AppendRecord = Callable[[Record], Awaitable[Effect | None]]


async def end_tasks(
    client: WorkerClient, address: str, catalogue: Catalogue | None, waited_ms: int
) -> None:
    """Checkpoint or stop the tasks that still run on a host after `waited_ms`.

    The tasks are queried from the worker, because other entry hosts sent most of them.
    Raises WorkerError if that fails.
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
            log.info(
                "task checkpointed or stopped to free its host",
                task=item.task,
                verb=verb,
            )
        except WorkerError as error:
            log.info("task control failed", task=item.task, verb=verb, error=str(error))


def _is_checkpointable(catalogue: Catalogue | None, name: str) -> bool:
    # A checkpointed task holds no slot, so its host is then rebooted or moved, which
    # ends the task. Only idempotent work can be run again after that.
    entry = catalogue.find_entry(name) if catalogue is not None else None
    return entry is not None and entry.checkpointable and entry.idempotent


def is_applied(effect: Effect | None) -> bool:
    """Return whether a record is known to have taken effect."""
    return isinstance(effect, Applied)
