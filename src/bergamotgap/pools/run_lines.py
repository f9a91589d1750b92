"""Lines about runs that return their tasks to waiting."""

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import TaskId
from bergamotgap.ports.fleet import EndReport

# Outcomes of ends that have a line of their own, or change no waiting task.
OTHER_OUTCOMES = frozenset({"done", "failed"})

log = get_logger(__name__)


def log_end(end: EndReport, worker_id: str, is_current: bool) -> None:
    """Log an end that a worker listed; `is_current`: the task waits again."""
    if end.outcome not in OTHER_OUTCOMES:
        log.info(
            "run ended",
            task=end.task,
            run=end.run,
            worker=worker_id,
            outcome=end.outcome,
            sequence=end.sequence,
            is_current=is_current,
        )


def log_loss(
    task_id: TaskId, run: int, worker_id: str, reason: str, is_current: bool
) -> None:
    """Log that a run is gone without an end; a warning if its task waits again."""
    if reason == "stopped":
        log.info(
            "run ended",
            task=task_id,
            run=run,
            worker=worker_id,
            outcome="not_listed",
            sequence=0,
            is_current=is_current,
        )
        return
    if not is_current:
        log.info(
            "run lost",
            task=task_id,
            run=run,
            worker=worker_id,
            reason=reason,
            is_current=False,
        )
        return
    log.warning(
        "run lost",
        task=task_id,
        run=run,
        worker=worker_id,
        reason=reason,
        is_current=True,
    )
