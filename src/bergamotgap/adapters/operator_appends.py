"""Append records for operators and report failures as problems."""

from collections.abc import Mapping

from bergamotgap.adapters.operator_problems import ProblemError
from bergamotgap.domain.folding import Applied, Effect
from bergamotgap.domain.records import Record
from bergamotgap.node.streams import AppendRefusedError, AppendUnknownError
from bergamotgap.node.writer import StreamWriter

APPEND_TIMEOUT_MS = 10_000
CONFLICT = 409
# Rejections by the fold that are not a conflict with the current state.
STATUS_BY_CODE: Mapping[str, int] = {
    "invalid_catalogue": 422,
    "unknown_wave": 404,
    "unknown_host": 422,
    "empty_wave": 422,
}


async def append_record(writer: StreamWriter, record: Record) -> Effect:
    """Append a record and return its effect.

    Raises ProblemError if the append is refused or its outcome is unknown.
    """
    try:
        return await writer.append(record, APPEND_TIMEOUT_MS)
    except AppendRefusedError as error:
        raise ProblemError(503, "platform_unavailable", str(error)) from error
    except AppendUnknownError as error:
        detail = f"{error}; the record may be in the stream or may still appear"
        raise ProblemError(504, "outcome_unknown", detail, "unknown") from error


async def append_and_check(writer: StreamWriter, record: Record) -> None:
    """Append a record; raises ProblemError unless it takes effect."""
    effect = await append_record(writer, record)
    if isinstance(effect, Applied):
        return
    status = STATUS_BY_CODE.get(effect.code, CONFLICT)
    raise ProblemError(status, effect.code, effect.detail)
