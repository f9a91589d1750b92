"""Which hosts of each wave have begun their upkeep; outlives the holder of the duty."""

from collections.abc import Mapping

import msgspec

from bergamotgap.adapters.logs import get_logger
from bergamotgap.domain.maintenance_plan import WaveProgress
from bergamotgap.pools.journal import Journal

RECORD_PREFIX = "@hosts/wave/"

log = get_logger(__name__)


class SavedWave(msgspec.Struct, frozen=True, array_like=True):
    """Hosts of a wave that began their upkeep, and those of them that are back.

    `unanswered` are those of which the order may not have been sent.
    """

    begun: tuple[str, ...]
    done: tuple[str, ...]
    unanswered: tuple[str, ...] = ()


def restore_wave_progress(
    values: Mapping[str, bytes], now_ms: int
) -> dict[int, WaveProgress]:
    """Return the progress of each wave; hosts that are not back began just now."""
    waves: dict[int, WaveProgress] = {}
    for key, value in values.items():
        if not key.startswith(RECORD_PREFIX):
            continue
        try:
            saved = msgspec.msgpack.decode(value, type=SavedWave)
        except msgspec.MsgspecError as error:
            log.error("record can't be read", key=key, error=str(error))
            continue
        begun_ms = dict.fromkeys(saved.begun, now_ms)
        waves[int(key[len(RECORD_PREFIX) :])] = WaveProgress(
            begun_ms, set(saved.done), set(saved.unanswered)
        )
    return waves


def save_wave_progress(journal: Journal, number: int, progress: WaveProgress) -> int:
    """Write a wave's progress; return the number of the change."""
    return journal.put(
        f"{RECORD_PREFIX}{number}",
        lambda: msgspec.msgpack.encode(
            SavedWave(
                tuple(progress.begun_ms),
                tuple(sorted(progress.done)),
                tuple(sorted(progress.unanswered)),
            )
        ),
    )
