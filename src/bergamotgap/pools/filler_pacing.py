"""Orders the pace of the fillers on one worker."""

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.pacing import list_pace_changes
from bergamotgap.pools.worker_link import WorkerLink

log = get_logger(__name__)


def pace_fillers(link: WorkerLink) -> None:
    """Pace filler tasks by the worst tail latency of the serving tasks there."""
    runs = [live for live in link.runs.values() if not live.is_stop_requested]
    changes = dict(list_pace_changes([live.task for live in runs]))
    for live in [live for live in runs if live.task.step.is_filler]:
        task = live.task
        percent = changes.get(task, task.pace)
        if percent == task.pace and live.is_pace_set:
            continue
        log.info(
            "task paced",
            task=task.task_id,
            worker=link.worker_id,
            before=task.pace,
            percent=percent,
        )
        link.queue_pace(live, percent)
