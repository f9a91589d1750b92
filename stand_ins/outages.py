"""Outages of a store, and the entries of workers that lapse in them."""

import asyncio
import random
from collections.abc import Callable, Iterable

# A worker writes every 1.5 s, and its entry lapses after 4.5 s of silence, so one may
# lapse in an outage that is 1.5 s shorter.
MIN_LAPSE_S = 3.0
# All entries are back this long after the store.
RETURN_S = 2.0


class Outages:
    """Switch for outages; `on_return` is called with the duration in s of each."""

    def __init__(self) -> None:
        self._down_since_s: float | None = None
        self.on_return: Callable[[float], None] = lambda duration_s: None

    @property
    def is_down(self) -> bool:
        """Whether all calls are refused."""
        return self._down_since_s is not None

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        if is_down is self.is_down:
            return
        now_s = asyncio.get_running_loop().time()
        since_s, self._down_since_s = self._down_since_s, now_s if is_down else None
        if since_s is not None:
            self.on_return(now_s - since_s)


class LapsedEntries:
    """Tell which entries are missing after an outage.

    `on_change` is called as they lapse and as each is back, in an order that follows
    from `seed`.
    """

    def __init__(self, on_change: Callable[[], None], seed: int = 0) -> None:
        self._on_change = on_change
        self._draw = random.Random(seed)
        # When each entry is back, by the loop's clock.
        self._back_s: dict[str, float] = {}

    def lapse(self, worker_ids: Iterable[str], outage_s: float) -> None:
        """Let the entries lapse at the end of an outage, if it was long enough."""
        if outage_s < MIN_LAPSE_S:
            return
        loop = asyncio.get_running_loop()
        for worker_id in worker_ids:
            self._back_s[worker_id] = loop.time() + self._draw.uniform(0, RETURN_S)
            loop.call_at(self._back_s[worker_id], self._on_change)
        self._on_change()

    def is_missing(self, worker_id: str) -> bool:
        """Return whether an entry has lapsed and is not back yet."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self._back_s.get(worker_id, now_s)
