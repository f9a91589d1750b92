"""A priority queue whose items can be removed or re-keyed."""

import heapq
from typing import Any, Generic, TypeVar

ItemT = TypeVar("ItemT")

MIN_GARBAGE = 16


class KeyedHeap(Generic[ItemT]):
    """Priority queue that holds each item once, ordered by its key.

    Items must be hashable, usually by identity. Entries of removed and re-keyed items
    stay in the heap as garbage until they reach the top. The heap is rebuilt when more
    than half of it is garbage, so that a removal takes amortized O(1) time and memory
    is bounded by the number of live items.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[Any, int, ItemT]] = []
        self._live: dict[ItemT, tuple[Any, int, ItemT]] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._live)

    def __contains__(self, item: ItemT) -> bool:
        return item in self._live

    @property
    def heap_size(self) -> int:
        """Return the number of entries in the heap, garbage included."""
        return len(self._heap)

    def set(self, item: ItemT, key: Any) -> None:
        """Add an item or change its key."""
        self._sequence += 1
        entry = (key, self._sequence, item)
        self._live[item] = entry
        heapq.heappush(self._heap, entry)
        self._limit_garbage()

    def remove(self, item: ItemT) -> None:
        """Remove an item; does nothing if it is not in the queue."""
        if self._live.pop(item, None) is not None:
            self._limit_garbage()

    def first(self) -> tuple[Any, ItemT] | None:
        """Return the lowest key and its item without removing them."""
        while self._heap:
            entry = self._heap[0]
            if self._live.get(entry[2]) is entry:
                return entry[0], entry[2]
            heapq.heappop(self._heap)
        return None

    def is_first(self, item: ItemT) -> bool:
        """Return whether the item has the lowest key."""
        first = self.first()
        return first is not None and first[1] is item

    def _limit_garbage(self) -> None:
        if len(self._heap) > 2 * len(self._live) + MIN_GARBAGE:
            self._heap = list(self._live.values())
            heapq.heapify(self._heap)
