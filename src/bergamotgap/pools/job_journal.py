"""Records of a pool's jobs in its partition: what is written, read and deleted."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.fleet import JobPhase, JobSpec
from bergamotgap.domain.job_blocks import TaskBlock
from bergamotgap.domain.job_records import JobProgress
from bergamotgap.domain.job_state import Job
from bergamotgap.domain.task_state import Task
from bergamotgap.pools.journal import Journal

log = get_logger(__name__)


class RecordKind(StrEnum):
    """Kind of a record: the second part of its key `pool/kind/name`.

    The name is a job's id, for `TASKS` with `/` and the number of a block of tasks, or
    a queue for `RUN_TIMES` and `HOLDING`.
    """

    SPEC = "j"
    PROGRESS = "p"
    TASKS = "t"
    # Never has a value; see `JobTable._refuse`.
    REFUSED = "r"
    RUN_TIMES = "e"
    # See `QueueHoldings`.
    HOLDING = "h"


def format_record_key(pool: str, kind: str, name: str) -> str:
    """Return the key of a record of a job or queue in its pool's partition."""
    return f"{pool}/{kind}/{name}"


@dataclass
class StoredJobs:
    """Records of jobs by the job's id."""

    specs: dict[str, JobSpec] = field(default_factory=dict)
    progress: dict[str, JobProgress] = field(default_factory=dict)
    blocks: defaultdict[str, list[TaskBlock]] = field(
        default_factory=lambda: defaultdict(list)
    )


class JobJournal:
    """Write the records of jobs to the journal; each returns its change's number.

    The tasks of a large job are in blocks of their own, since a record has a limit, and
    since each change writes its record whole.
    """

    def __init__(self, pool: str, journal: Journal) -> None:
        self._pool = pool
        self._journal = journal
        # By job: the phase that was written last, and the blocks that the log may hold.
        self._written_phases: dict[str, JobPhase] = {}
        self._written_blocks: defaultdict[str, set[int]] = defaultdict(set)
        # Ended jobs with blocks, and the changes that make their ends durable.
        self._obsolete: dict[str, int] = {}

    def read(self, values: Mapping[str, bytes]) -> StoredJobs:
        """Return the records of the pool's jobs; leaves out what can't be decoded."""
        stored = StoredJobs()
        prefix = f"{self._pool}/"
        for key, value in values.items():
            if not key.startswith(prefix):
                continue
            kind, _, name = key[len(prefix) :].partition("/")
            try:
                self._read_record(kind, name, value, stored)
            except (msgspec.MsgspecError, ValueError) as error:
                log.error("job record not decoded", key=key, error=str(error))
        return stored

    def _read_record(
        self, kind: str, name: str, value: bytes, stored: StoredJobs
    ) -> None:
        match kind:
            case RecordKind.SPEC:
                stored.specs[name] = msgspec.msgpack.decode(value, type=JobSpec)
            case RecordKind.PROGRESS:
                progress = msgspec.msgpack.decode(value, type=JobProgress)
                stored.progress[name] = progress
                self._written_phases[name] = progress.phase
            case RecordKind.TASKS:
                job_id, _, number = name.rpartition("/")
                self._written_blocks[job_id].add(int(number))
                block = msgspec.msgpack.decode(value, type=TaskBlock)
                stored.blocks[job_id].append(block)

    def put_spec(self, spec: JobSpec) -> int:
        """Write the specification of a job."""
        key = self._format_key(RecordKind.SPEC, spec.job_id)
        return self._journal.put(key, lambda: msgspec.msgpack.encode(spec))

    def put_tasks(self, job: Job, tasks: Iterable[Task]) -> int:
        """Write the progress of tasks of an open job; 0 if there is no change."""
        if not job.numbering.is_in_blocks:
            return self._put_progress(job)
        change = 0
        blocks = {job.numbering.find_block(task.task_id) for task in tasks}
        for block in sorted(blocks):
            change = self._put_block(job, block)
        if job.phase is not self._written_phases.get(job.job_id):
            change = self._put_progress(job)
        return change

    def put_end(self, job: Job) -> int:
        """Write the end of a job in place of its specification."""
        # Without its end, a job whose specification is gone could not go on.
        change = self._put_progress(job)
        if job.spec.steps:
            self._journal.put(
                self._format_key(RecordKind.SPEC, job.job_id), lambda: None
            )
        if job.job_id in self._written_blocks:
            self._obsolete[job.job_id] = change
        return change

    def divide_progress(self, job: Job) -> None:
        """Write blocks for a large job whose whole progress is one record.

        They are appended before the record that replaces it.
        """
        for block in job.numbering.list_blocks():
            if job.save_block(block).has_state:
                self._put_block(job, block)
        self._put_progress(job)
        log.info(
            "progress divided",
            job=job.job_id,
            pool=self._pool,
            tasks=job.numbering.task_count,
        )

    def mark_obsolete(self, job_id: str) -> None:
        """Let the blocks of a job that has ended, or is unknown, be deleted."""
        self._obsolete[job_id] = 0

    def delete_obsolete_blocks(self) -> None:
        """Delete the blocks of jobs whose ends are durable."""
        for job_id, change in list(self._obsolete.items()):
            if self._journal.is_committed(change):
                del self._obsolete[job_id]
                for block in sorted(self._written_blocks.pop(job_id, ())):
                    self._journal.put(self._format_block_key(job_id, block), _delete)

    def delete_progress(self, job_id: str) -> None:
        """Delete the progress of a job."""
        self._written_phases.pop(job_id, None)
        self._journal.put(self._format_key(RecordKind.PROGRESS, job_id), _delete)

    def find_job_of_progress(self, key: str) -> str | None:
        """Return the id of the job whose progress a key is for, if any."""
        kind, _, name = key.removeprefix(f"{self._pool}/").partition("/")
        if kind == RecordKind.PROGRESS:
            return name
        return name.rpartition("/")[0] if kind == RecordKind.TASKS else None

    def _put_progress(self, job: Job) -> int:
        self._written_phases[job.job_id] = job.phase
        return self._journal.put(
            self._format_key(RecordKind.PROGRESS, job.job_id),
            lambda: msgspec.msgpack.encode(job.save()),
        )

    def _put_block(self, job: Job, block: int) -> int:
        self._written_blocks[job.job_id].add(block)
        return self._journal.put(
            self._format_block_key(job.job_id, block),
            lambda: msgspec.msgpack.encode(job.save_block(block)),
        )

    def _format_block_key(self, job_id: str, block: int) -> str:
        return self._format_key(RecordKind.TASKS, f"{job_id}/{block}")

    def _format_key(self, kind: RecordKind, name: str) -> str:
        return format_record_key(self._pool, kind, name)


def _delete() -> None:
    """Encode the deletion of a key."""
