"""Retry budgets, limits and backoff."""

import random

from bergamotgap.domain.catalogue import Entry, Urgency

# Ten requests earn one retry, so that retries add at most a tenth to the load.
TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 20.0
# Retries of one request after attempts that may have run; they consume the budget.
MAX_RETRIES = 2
# Attempts of one request that workers may refuse. They consume no budget, because
# nothing ran. With backoff they span about 15 s, which is longer than a lease: the
# tasks of a dead entry host may occupy the slots for that long.
MAX_REFUSALS = 64
FIRST_WAIT_MS = 4.0
MAX_WAIT_MS = 500.0
# Urgent work must start within 1.1 s, so it has to find a freed slot quickly.
MAX_URGENT_WAIT_MS = 100.0

# Refusal codes that prove that the task has not started. `duplicate` is not among them:
# the worker knows the task, so it may have run.
NOT_STARTED_CODES = frozenset(
    {
        "stale_epoch",
        "wrong_boot",
        "too_late",
        "cancelled",
        "busy",
        "leaving",
        "draining",
        "unreachable",
    },
)


class RetryBudget:
    """A token bucket per entry, filled by the entry's requests."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def record_request(self, entry: str) -> None:
        """Add the fraction of a retry earned by one request."""
        tokens = self._tokens.get(entry, 0.0) + TOKENS_PER_REQUEST
        self._tokens[entry] = min(tokens, MAX_TOKENS)

    def try_spend(self, entry: str) -> bool:
        """Spend one retry if the budget has one, and return whether it had."""
        tokens = self._tokens.get(entry, 0.0)
        # The tolerance is needed because ten additions of 0.1 sum to slightly less
        # than 1.
        if tokens < 1.0 - 1e-9:
            return False
        self._tokens[entry] = tokens - 1.0
        return True


class RetryPlan:
    """Counts the attempts of one request and decides whether to make another one."""

    def __init__(
        self, entry: Entry, deadline_at_ms: int, budget: RetryBudget, rng: random.Random
    ) -> None:
        self._entry = entry
        self._deadline_at_ms = deadline_at_ms
        self._budget = budget
        self._rng = rng
        self._retries = 0
        self._refusals = 0

    def next_wait_after_failure(self, now_ms: int) -> float | None:
        """Return the wait in ms before a retry, or None if none may be made.

        Charges the retry to the budget. Used after attempts that may have run; only
        idempotent work is run again.
        """
        if not self._entry.idempotent or self._retries >= MAX_RETRIES:
            return None
        wait_ms = self._draw_wait_ms(self._retries)
        if now_ms + wait_ms >= self._deadline_at_ms:
            return None
        if not self._budget.try_spend(self._entry.name):
            return None
        self._retries += 1
        return wait_ms

    def next_wait_after_refusal(self, now_ms: int) -> float | None:
        """Count a refusal and return the wait in ms before the next attempt, if any.

        Used after attempts that are known not to have started.
        """
        self._refusals += 1
        if self._refusals >= MAX_REFUSALS:
            return None
        wait_ms = self._draw_wait_ms(self._refusals - 1)
        return wait_ms if now_ms + wait_ms < self._deadline_at_ms else None

    def _draw_wait_ms(self, number: int) -> float:
        is_urgent = self._entry.urgency is Urgency.URGENT
        limit_ms = MAX_URGENT_WAIT_MS if is_urgent else MAX_WAIT_MS
        return self._rng.uniform(0.0, min(FIRST_WAIT_MS * 2**number, limit_ms))
