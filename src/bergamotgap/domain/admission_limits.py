"""Settings of admission control."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Time limits and reserves of `AdmissionPolicy`.

    Urgent work that can't start within `urgent_queue_ms` is rejected, so that the
    caller can still try elsewhere. `headroom_part` is the fraction of the slots
    reserved for urgent work. An urgent request that has waited for `preempt_after_ms`
    triggers the preemption of less urgent tasks, at most once in `preempt_every_ms`.
    """

    max_queue_ms: int = 30_000
    urgent_queue_ms: int = 1000
    headroom_part: float = 0.1
    preempt_after_ms: int = 300
    preempt_every_ms: int = 200
