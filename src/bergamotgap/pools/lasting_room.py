"""Room that new long-running tasks leave to the short work of their pool."""

from bergamotgap.domain.amounts import Amount
from bergamotgap.domain.fleet import Size, StepSpec
from bergamotgap.domain.job_state import Job, StepOccurrence
from bergamotgap.domain.pool_sizes import HEADROOM_FACTOR, forecast_need
from bergamotgap.pools.worker_link import WorkerLink
from bergamotgap.ports.pool_peer import DemandReply

# Jobs that are older don't wait for hosts of their own. A move takes 1,500 ms, and up
# to 1,000 ms pass until it is ordered and its worker is found.
OWN_HOST_WAIT_MS = 3000
# A measurement is in force for this time; the host controller asks every 100 ms.
LASTING_ROOM_MS = 500


class LastingRoom:
    """Hold how much room short work leaves, as of the latest measurement."""

    def __init__(self) -> None:
        self._room = Amount()
        self._until_ms = 0
        # The last job whose tasks were held back.
        self.held_job = ""

    def update(self, reply: DemandReply, lead_ms: int, now_ms: int) -> None:
        """Apply a measurement of the pool's demand."""
        held = reply.capacity - reply.lasting
        work = reply.waiting_work
        need = forecast_need(reply.used, work, reply.offered, held, lead_ms)
        self._room = held - need.scale(HEADROOM_FACTOR)
        self._until_ms = now_ms + LASTING_ROOM_MS

    def list_workers(
        self,
        job: Job,
        step: StepOccurrence,
        waiting: int,
        links: list[WorkerLink],
        now_ms: int,
    ) -> list[WorkerLink]:
        """Return the workers that the waiting tasks of a step may use.

        Records the job if its tasks are held back.
        """
        if not self.holds_back(job, step.spec, waiting, now_ms):
            self.held_job = ""
            return links
        self.held_job = job.job_id
        return [link for link in links if accepts_held_back(link)]

    def holds_back(self, job: Job, step: StepSpec, waiting: int, now_ms: int) -> bool:
        """Return whether short work needs the room of the waiting tasks of a step.

        They may then use only workers that hold lasting tasks already or run nothing. A
        restarted task doesn't wait, since its job is older than OWN_HOST_WAIT_MS.
        """
        is_in_force = now_ms < self._until_ms
        is_new = now_ms - job.arrived_ms < OWN_HOST_WAIT_MS
        if not step.is_lasting or not is_in_force or not is_new:
            return False
        return not self._room.covers(Amount(*step.size).scale(waiting))

    def take(self, size: Size, count: int) -> None:
        """Subtract the room of tasks that started."""
        self._room -= Amount(*size).scale(count)


def accepts_held_back(link: WorkerLink) -> bool:
    """Return whether a worker may get a lasting task whose room short work needs."""
    return bool(link.capacity.lasting_tasks) or link.is_empty
