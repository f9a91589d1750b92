"""Keep a stream up to date by reading it from the platform or from a peer's relay."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Generic, TypeVar

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.folding import FoldedState
from bergamotgap.domain.sources import PLATFORM, SourceCandidate, rank_sources
from bergamotgap.node.membership import Membership
from bergamotgap.node.platform_health import PlatformHealth
from bergamotgap.node.snapshots import read_newest_snapshot
from bergamotgap.node.streams import Stream
from bergamotgap.ports.peer import PeerClient, PeerError, RelayBatch, StateCopy
from bergamotgap.ports.platform import OffsetDroppedError, PlatformError

MAX_PAGE_RECORDS = 500
LONG_POLL_MS = 1000
RELAY_HEARTBEAT_INTERVAL_MS = 500
RELAY_TIMEOUT_MS = 1500
# A relay that has no new records is abandoned if its last contact with the platform is
# older than this.
MAX_RELAY_AGE_MS = 4000
FAILED_SOURCE_COOLDOWN_MS = 3000
RETRY_DELAY_MS = 500
# Age that a relay reports for a stream without any contact with the platform so far.
NO_CONTACT_AGE_MS = 1 << 40

S = TypeVar("S", bound=FoldedState)

log = get_logger(__name__)


class SourceLostError(Exception):
    """The source sent nothing, or only stale data, for too long."""


async def relay_stream(stream: Stream[S], offset: int) -> AsyncIterator[RelayBatch]:
    """Yield batches of a stream's records from memory; empty ones are heartbeats.

    If the offset is older than the records in memory, yields one empty batch whose
    `first_offset` is the first available offset, and ends.
    """
    next_offset = offset
    while True:
        first_offset = stream.first_tail_offset
        records = stream.list_tail(next_offset)[:MAX_PAGE_RECORDS]
        if next_offset < first_offset:
            records = ()
        age_ms = stream.age_ms
        yield RelayBatch(
            records, NO_CONTACT_AGE_MS if age_ms is None else age_ms, first_offset
        )
        if next_offset < first_offset:
            return
        if records:
            next_offset = records[-1].offset + 1
        if next_offset >= stream.next_offset:
            await stream.wait_for_records(RELAY_HEARTBEAT_INTERVAL_MS)


class StreamFollower(Generic[S]):
    """Reads one stream from the best available source."""

    def __init__(
        self,
        stream: Stream[S],
        decode: Callable[[bytes], S],
        platform: PlatformHealth,
        peers: PeerClient,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._decode = decode
        self._platform = platform
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._source_failed_ms: dict[str, int] = {}
        self._source: str | None = None
        self._is_caught_up = False

    @property
    def stream(self) -> Stream[S]:
        """Return the stream that this follower updates."""
        return self._stream

    @property
    def source(self) -> str | None:
        """Return the current source: PLATFORM or the node id of a peer."""
        return self._source

    @property
    def is_caught_up(self) -> bool:
        """Return whether the stream has ever reached the end reported by a source."""
        return self._is_caught_up

    async def run(self) -> None:
        """Load an initial state, then follow the stream until it halts."""
        while not self._stream.is_loaded:
            await self._try_load_state()
        while self._stream.halt_reason is None:
            self._source = self._choose_source()
            try:
                await self._follow(self._source)
            except OffsetDroppedError:
                await self._try_load_state()
            except (PlatformError, PeerError, SourceLostError) as error:
                self._record_source_failure(self._source, error)
                await self._pause_if_all_failed()

    def _record_source_failure(self, source: str, error: Exception) -> None:
        # While the platform is down every source fails in turn; one warning for each
        # is enough.
        write = log.debug if source in self._source_failed_ms else log.warning
        write(
            "stream source lost",
            stream=self._stream.name,
            source=source,
            error=str(error),
        )
        self._source_failed_ms[source] = self._clock.monotonic_ms()

    def _record_source_recovery(self, source: str) -> None:
        if self._source_failed_ms.pop(source, None) is not None:
            log.info("stream source back", stream=self._stream.name, source=source)

    async def _try_load_state(self) -> None:
        """Load the newest state from a snapshot or, failing that, from a peer."""
        best, first_offset = await self._read_platform_state()
        best_offset = best.next_offset if best is not None else 0
        if first_offset is None or best_offset < first_offset:
            # Query peers only if the platform has no usable state: an unresponsive
            # peer would delay every start by its timeout.
            for copy in await self._fetch_peer_states():
                if best is None or copy.next_offset > best.next_offset:
                    best = copy
        if best is not None and best.next_offset >= (first_offset or 0):
            if self._stream.load_state(self._decode(best.state), best.next_offset):
                log.info(
                    "state loaded",
                    stream=self._stream.name,
                    next_offset=best.next_offset,
                )
            # If the platform is unreachable, no state newer than the peers' is
            # available, so this entry host serves with it.
            self._is_caught_up = self._is_caught_up or first_offset is None
            return
        if first_offset == 0:
            self._stream.record_contact()
            return
        log.warning(
            "no state to start from",
            stream=self._stream.name,
            first_offset=first_offset,
        )
        await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _read_platform_state(self) -> tuple[StateCopy | None, int | None]:
        try:
            newest = await read_newest_snapshot(self._platform, self._stream.name)
            try:
                page = await self._platform.read(self._stream.name, 0, 1, 0)
                first_offset = page.first_offset
            except OffsetDroppedError as error:
                first_offset = error.first_offset
        except PlatformError as error:
            log.warning("snapshot not read", error=str(error))
            return None, None
        return (newest.copy if newest else None), first_offset

    async def _fetch_peer_states(self) -> list[StateCopy]:
        async def fetch(address: str) -> StateCopy | None:
            try:
                return await self._peers.fetch_state(address, self._stream.name)
            except PeerError:
                return None

        addresses = self._membership.list_addresses()
        copies = await asyncio.gather(*(fetch(address) for address in addresses))
        return [copy for copy in copies if copy is not None]

    def _rank_sources(self) -> tuple[str, ...]:
        return rank_sources(
            SourceCandidate(
                self._membership.node_id,
                self._membership.data_centre,
                self._platform.is_reachable,
                self._stream.next_offset,
            ),
            [
                SourceCandidate(
                    peer.node_id,
                    peer.data_centre,
                    peer.is_platform_reachable,
                    peer.get_offset(self._stream.name),
                )
                for peer in self._membership.list_live()
            ],
        )

    def _is_source_failed(self, source: str) -> bool:
        failed_ms = self._source_failed_ms.get(source)
        if failed_ms is None:
            return False
        return self._clock.monotonic_ms() - failed_ms < FAILED_SOURCE_COOLDOWN_MS

    def _choose_source(self) -> str:
        ranked = self._rank_sources()
        usable = [source for source in ranked if not self._is_source_failed(source)]
        if usable:
            return usable[0]
        return min(ranked, key=lambda source: self._source_failed_ms[source])

    async def _pause_if_all_failed(self) -> None:
        if all(self._is_source_failed(source) for source in self._rank_sources()):
            await self._clock.sleep_ms(RETRY_DELAY_MS)

    async def _follow(self, source: str) -> None:
        if source == PLATFORM:
            await self._follow_platform()
            return
        peer = self._membership.find_peer(source)
        if peer is None:
            raise SourceLostError("the peer is no longer known")
        await self._follow_peer(peer.contact_address, source)

    async def _follow_platform(self) -> None:
        while self._choose_source() == PLATFORM and self._stream.halt_reason is None:
            page = await self._platform.read(
                self._stream.name,
                self._stream.next_offset,
                MAX_PAGE_RECORDS,
                LONG_POLL_MS,
            )
            self._stream.record_contact()
            self._record_source_recovery(PLATFORM)
            if page.next_offset < self._stream.next_offset:
                # The log lost records. The folded state stays, it is not rolled back.
                log.error(
                    "log ends before the folded offset",
                    stream=self._stream.name,
                    log_offset=page.next_offset,
                    folded_offset=self._stream.next_offset,
                )
                await self._clock.sleep_ms(LONG_POLL_MS)
            self._stream.fold_records(page.records)
            if self._stream.next_offset >= page.next_offset:
                self._is_caught_up = True

    async def _follow_peer(self, address: str, source: str) -> None:
        batches = self._peers.follow(
            address, self._stream.name, self._stream.next_offset
        )
        try:
            while self._choose_source() == source and self._stream.halt_reason is None:
                batch = await asyncio.wait_for(anext(batches), RELAY_TIMEOUT_MS / 1000)
                await self._apply_batch(address, batch)
                if batch.age_ms <= MAX_RELAY_AGE_MS:
                    self._record_source_recovery(source)
        except (TimeoutError, StopAsyncIteration) as error:
            raise SourceLostError(
                "the relay ended or sent nothing within the timeout"
            ) from error
        finally:
            aclose = getattr(batches, "aclose", None)
            if aclose is not None:
                await aclose()

    async def _apply_batch(self, address: str, batch: RelayBatch) -> None:
        if batch.first_offset > self._stream.next_offset:
            copy = await self._peers.fetch_state(address, self._stream.name)
            if copy is not None:
                self._stream.load_state(self._decode(copy.state), copy.next_offset)
            raise SourceLostError("the relay no longer has the requested offset")
        self._stream.fold_records(batch.records)
        if batch.age_ms < NO_CONTACT_AGE_MS:
            self._stream.record_contact(batch.age_ms)
        # A batch that is not full reached the relay's end, also while records come
        # without a pause.
        if len(batch.records) < MAX_PAGE_RECORDS:
            self._is_caught_up = True
        if batch.age_ms > MAX_RELAY_AGE_MS and not batch.records:
            raise SourceLostError("the relay itself has no contact with the platform")
