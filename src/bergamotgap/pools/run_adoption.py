"""Adopts or stops runs that a worker lists and that its owner does not track there."""

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.task_state import Task, TaskPhase
from bergamotgap.pools.job_table import JobTable
from bergamotgap.pools.link_interface import build_adopted_run
from bergamotgap.pools.stop_lines import log_unwanted_run
from bergamotgap.pools.worker_runs import WorkerRuns
from bergamotgap.ports.fleet import RunReport

log = get_logger(__name__)


def adopt_or_stop_run(
    link: WorkerRuns, report: RunReport, job_table: JobTable, now_ms: int
) -> None:
    """Adopt a run whose task waits; stop any other."""
    job = job_table.jobs.get(report.task.job)
    task = job.get_task(report.task) if job and job.spec.steps else None
    if job is None or task is None or report.task in link.runs:
        # The run's size is not known, so the worker gets no work until it is gone.
        link.stop_unknown_run(report)
        return
    if job.phase.is_final or task.phase is not TaskPhase.WAITING:
        # The run is not wanted, but holds capacity until it is gone.
        task = Task(report.task, task.step)
        link.add_run(build_adopted_run(task, report.run, now_ms))
        log_unwanted_run(report, link.worker_id)
        if not job.phase.is_final:
            # A successor must wait for this run as well.
            job_table.record_assigned_worker(job, task, link.worker_id)
        link.queue_stop(report.task, report.run)
        return
    task.begin_run(
        TaskPhase.RUNNING, report.run, link.worker_id, now_ms, report.percent
    )
    link.add_run(build_adopted_run(task, report.run, now_ms))
    job_table.record_assigned_worker(job, task, link.worker_id)
    job.mark_started()
    log.info("run adopted", task=report.task, run=report.run, worker=link.worker_id)
