"""Steps on workers that maintenance and moves share."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.folding import Applied, Effect
from bergamotgap.domain.records import Record
from bergamotgap.ports.worker import WorkerClient, WorkerError

# How long running tasks may go on before they are checkpointed, and then stopped.
CHECKPOINT_AFTER_MS = 30_000
STOP_AFTER_MS = 120_000

log = get_logger(__name__)

# Appends a record and returns its effect; None when its fate is unknown.
Append = Callable[[Record], Awaitable[Effect | None]]


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task on a worker, as far as this node knows of it."""

    task: str
    is_checkpointable: bool


# Returns the tasks that are known to run on a host.
TasksOn = Callable[[str], Sequence[RunningTask]]


async def end_tasks(
    client: WorkerClient, address: str, tasks: Sequence[RunningTask], waited_ms: int
) -> None:
    """Checkpoint or stop the tasks of a host that should have none by now."""
    for item in tasks:
        if waited_ms >= STOP_AFTER_MS:
            verb = "stop"
        elif waited_ms >= CHECKPOINT_AFTER_MS and item.is_checkpointable:
            verb = "checkpoint"
        else:
            continue
        try:
            await client.control(address, item.task, verb)
        except WorkerError as error:
            log.info("task control failed", task=item.task, verb=verb, error=str(error))


def is_applied(effect: Effect | None) -> bool:
    """Return whether a record is known to have taken effect."""
    return isinstance(effect, Applied)
