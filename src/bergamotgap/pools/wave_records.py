"""Stored progress of maintenance waves, for the next host controller."""

from collections.abc import Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.maintenance_plan import WaveProgress
from bergamotgap.pools.journal import Journal

RECORD_PREFIX = "@hosts/wave/"

log = get_logger(__name__)


class SavedWave(msgspec.Struct, frozen=True, array_like=True):
    """Hosts of a wave that began maintenance, and those of them that are back.

    `unanswered` are those whose order was not answered and may not have been sent. The
    wave was first seen at `started_wall_ms`, a Unix time.
    """

    begun: tuple[str, ...]
    done: tuple[str, ...]
    unanswered: tuple[str, ...] = ()
    started_wall_ms: int = 0


def restore_wave_progress(
    values: Mapping[str, bytes], now_ms: int
) -> dict[int, WaveProgress]:
    """Return the progress of each wave; maintenance counts as begun at `now_ms`."""
    waves: dict[int, WaveProgress] = {}
    for key, value in values.items():
        if not key.startswith(RECORD_PREFIX):
            continue
        try:
            saved = msgspec.msgpack.decode(value, type=SavedWave)
        except msgspec.MsgspecError as error:
            log.error("wave record not decoded", key=key, error=str(error))
            continue
        begun_ms = dict.fromkeys(saved.begun, now_ms)
        waves[int(key[len(RECORD_PREFIX) :])] = WaveProgress(
            begun_ms,
            set(saved.done),
            set(saved.unanswered),
            started_wall_ms=saved.started_wall_ms,
        )
    return waves


def save_wave_progress(journal: Journal, number: int, progress: WaveProgress) -> int:
    """Write a wave's progress to the journal; return the number of the change."""
    return journal.put(
        f"{RECORD_PREFIX}{number}",
        lambda: msgspec.msgpack.encode(
            SavedWave(
                tuple(progress.begun_ms),
                tuple(sorted(progress.done)),
                tuple(sorted(progress.unanswered)),
                progress.started_wall_ms,
            )
        ),
    )
