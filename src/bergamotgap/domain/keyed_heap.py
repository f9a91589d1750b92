"""A priority queue whose items can be removed or re-keyed in O(1)."""

import heapq
from typing import Any, Generic, TypeVar

ItemT = TypeVar("ItemT")

MIN_GARBAGE = 16


class KeyedHeap(Generic[ItemT]):
    """Hold each item once, ordered by its key; items are hashed by identity.

    Removed and re-keyed items stay in the heap as garbage until they reach the top.
    The heap is rebuilt when more than half of it is garbage, so that a removal costs
    O(1) amortized and the memory is bounded by the number of live items.
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
        """Return the number of stored places, garbage included."""
        return len(self._heap)

    def set(self, item: ItemT, key: Any) -> None:
        """Add an item, or change its key."""
        self._sequence += 1
        place = (key, self._sequence, item)
        self._live[item] = place
        heapq.heappush(self._heap, place)
        self._limit_garbage()

    def remove(self, item: ItemT) -> None:
        """Take an item out; does nothing when it is not in."""
        if self._live.pop(item, None) is not None:
            self._limit_garbage()

    def first(self) -> tuple[Any, ItemT] | None:
        """Return the lowest key and its item, which stays in."""
        while self._heap:
            place = self._heap[0]
            if self._live.get(place[2]) is place:
                return place[0], place[2]
            heapq.heappop(self._heap)
        return None

    def is_first(self, item: ItemT) -> bool:
        """Return whether the item is the one with the lowest key."""
        first = self.first()
        return first is not None and first[1] is item

    def _limit_garbage(self) -> None:
        if len(self._heap) > 2 * len(self._live) + MIN_GARBAGE:
            self._heap = list(self._live.values())
            heapq.heapify(self._heap)
