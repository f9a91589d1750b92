"""Queues of a pool's jobs: as they are configured, or as the jobs were accepted."""

import msgspec

from bergamotgap.domain.fleet import FleetConfig, JobSpec, Queue
from bergamotgap.domain.job_state import Job


class JobQueues:
    """Look up the queue of a job, which may be configured differently or removed.

    Its attempts belong to the accepted job; the rest follows the configuration while
    the queue is there.
    """

    def __init__(self) -> None:
        self._queues: dict[str, Queue] = {}

    def update_config(self, config: FleetConfig) -> None:
        """Apply a newer configuration."""
        self._queues = {queue.name: queue for queue in config.queues}

    def get(self, job: Job) -> Queue | None:
        """Return the queue of a job, or None if it is not known."""
        return self._queues.get(job.spec.queue) or job.spec.build_queue()

    def get_attempts(self, job: Job) -> int:
        """Return after how many failures of a task the job fails."""
        if job.spec.terms is not None:
            return job.spec.terms.attempts
        queue = self._queues.get(job.spec.queue)
        return queue.attempts if queue else 1

    def add_terms(self, spec: JobSpec) -> JobSpec:
        """Return the specification of a new job with the terms of its queue."""
        queue = self._queues.get(spec.queue)
        return msgspec.structs.replace(spec, terms=queue.terms) if queue else spec
