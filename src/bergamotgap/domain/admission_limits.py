"""Settings of the admission policy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Settings of the policy.

    Urgent work that can't start within `urgent_queue_ms` is refused, so that it can be
    tried elsewhere while there is time. `headroom_part` of the slots only run urgent
    work. `preempt_after_ms` is how long an urgent request waits before less urgent
    tasks are asked to give way.
    """

    max_queue_ms: int = 30_000
    urgent_queue_ms: int = 1000
    headroom_part: float = 0.1
    preempt_after_ms: int = 300
    preempt_every_ms: int = 200
