"""Batches of the journal: their order, their size, and records that the log rejects."""

import asyncio
from collections.abc import Sequence

import pytest

from bergamotgap.domain.record_limits import RecordLimits
from bergamotgap.pools.journal import Journal
from bergamotgap.ports.fleet import AppendRejectedError, Fence, KeyedRecord
from stand_ins.pool_store import FakeStore
from stand_ins.virtual_time import LoopClock, run_virtual

LIMITS = RecordLimits(record_bytes=1000, call_bytes=4000)


def build_journal(store: FakeStore) -> Journal:
    """Return a journal with small limits, whose store has them too."""
    store.max_record_bytes = LIMITS.record_bytes
    return Journal(
        store, "t", 0, Fence("p", 1, 0), LoopClock(), lambda: None, limits=LIMITS
    )


def test_a_change_is_committed_while_others_keep_coming() -> None:
    """Guards against changes that wait until no others are queued."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store)
        running = asyncio.create_task(journal.run())
        change = journal.put("first", lambda: b"x")

        async def keep_busy() -> None:
            for number in range(100_000):
                journal.put(f"key-{number % 50}", lambda: b"y" * 900)
                await asyncio.sleep(0.0001)

        busy = asyncio.create_task(keep_busy())
        await asyncio.sleep(0.1)
        assert journal.is_committed(change)
        change = journal.put("key-7", lambda: b"z")
        await asyncio.sleep(0.3)
        assert journal.is_committed(change)
        busy.cancel()
        running.cancel()

    run_virtual(main())


def test_keys_are_appended_in_the_order_of_their_first_changes() -> None:
    """Guards against a record that is deleted before what replaces it is stored."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store)
        for key in ("a", "b", "c"):
            journal.put(key, lambda: b"1")
        journal.put("a", lambda: b"2")
        running = asyncio.create_task(journal.run())
        await asyncio.sleep(0.1)
        records = store.get("t", 0).records
        assert [(r.key, r.value) for r in records] == [
            ("a", b"2"),
            ("b", b"1"),
            ("c", b"1"),
        ]
        running.cancel()

    run_virtual(main())


def test_no_batch_is_larger_than_a_call() -> None:
    """Guards against a batch that is closed only once it is past its limit."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store)
        sizes = []
        append = store.append

        async def measure(
            topic: str, part: int, records: Sequence[KeyedRecord], *, fence: Fence
        ) -> int:
            sizes.append(sum(len(r.key) + len(r.value or b"") + 5 for r in records))
            return await append(topic, part, records, fence=fence)

        store.append = measure  # type: ignore[method-assign, assignment]
        for number in range(20):
            journal.put(f"key-{number}", lambda: b"x" * 900)
        running = asyncio.create_task(journal.run())
        await asyncio.sleep(0.5)
        assert journal.is_committed(journal.last_change)
        assert max(sizes) <= LIMITS.call_bytes
        assert len(sizes) == 5
        running.cancel()

    run_virtual(main())


@pytest.mark.parametrize(
    ("key", "size"), [("key", 1001), ("k" * 256, 1), ("rejected", 1)]
)
def test_a_record_that_the_log_rejects_fails_alone(key: str, size: int) -> None:
    """Guards against a record that is appended again and again in vain."""

    async def main() -> None:
        store = FakeStore()
        store.rejected_keys = {"rejected"}
        journal = build_journal(store)
        rejected: list[str] = []
        journal.on_rejected = rejected.append
        first = journal.put("first", lambda: b"x")
        bad = journal.put(key, lambda: b"x" * size)
        last = journal.put("last", lambda: b"x")
        waiting = asyncio.create_task(journal.wait_committed(bad))
        running = asyncio.create_task(journal.run())
        await asyncio.sleep(0.2)
        assert journal.is_committed(first)
        assert journal.is_committed(last)
        assert journal.has_failed(bad)
        assert await waiting is False
        assert not await journal.wait_committed_within(bad, 100)
        assert rejected == [key]
        assert journal.rejected_records == 1
        running.cancel()

    run_virtual(main())


def test_a_log_that_rejects_everything_is_taken_for_lost() -> None:
    """Guards against jobs that fail because the log is in trouble."""

    async def main() -> None:
        store = FakeStore()
        journal = build_journal(store)
        append = store.append

        async def reject(*call: object, **options: object) -> int:
            raise AppendRejectedError("append answered 400")

        store.append = reject  # type: ignore[method-assign, assignment]
        change = journal.put("key", lambda: b"x")
        running = asyncio.create_task(journal.run())
        await asyncio.sleep(3)
        assert journal.is_failing
        assert not journal.has_failed(change)
        store.append = append  # type: ignore[method-assign]
        await asyncio.sleep(3)
        assert not journal.is_failing
        assert journal.is_committed(change)
        assert KeyedRecord("key", b"x") in store.get("t", 0).records
        running.cancel()

    run_virtual(main())
