"""What of a job's state its owner records for a successor."""

import msgspec

from bergamotgap.domain.fleet import JobPhase, JobSpec


def measure_spec_record(spec: JobSpec) -> int:
    """Return the bytes of the record of a job's specification."""
    return len(msgspec.msgpack.encode(spec))


class Exposure(msgspec.Struct, frozen=True, array_like=True):
    """One life of a worker that may have a run of a task, or was lost with it.

    If that life crashes, a task that `is_suspect` may have caused it: the run is known
    to have started (`is_confirmed`), or nothing else can have been at its start.
    `is_blamed`: no other job can have caused it.
    """

    worker_id: str
    incarnation_ms: int
    host: str
    is_suspect: bool = False
    is_blamed: bool = False
    is_confirmed: bool = False


class TaskRecord(msgspec.Struct, frozen=True, array_like=True):
    """Persisted state of a task whose step is not done; fields as in `Task`.

    Of what grows with each loss of a worker, the latest entries are kept.
    """

    occurrence: int
    step: int
    number: int
    counted_run: int
    failures: int
    is_done: bool
    checkpoint: str
    exposures: tuple[Exposure, ...] = ()
    crashed_workers: tuple[str, ...] = ()
    blamed_crashes: int = 0
    runs_alone: bool = False
    confirmed_crashes: int = 0
    counted_runs: tuple[int, ...] = ()


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """Persisted state of a job beside its specification; `ended_ms` in Unix ms.

    `workers` names the workers that may have runs of the job. `spec` is set, without
    its payload, if the job ended while it had any: its specification is deleted then.
    Open jobs with many tasks have their tasks and workers in blocks; former versions
    wrote those of all jobs here.
    """

    phase: JobPhase
    ended_ms: int = 0
    done_steps: tuple[tuple[int, int], ...] = ()
    tasks: tuple[TaskRecord, ...] = ()
    workers: tuple[str, ...] = ()
    spec: JobSpec | None = None
