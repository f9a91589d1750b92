"""Append records for operators and tell what became of them."""

from collections.abc import Mapping

from bergamotgap.adapters.operator_problems import ProblemError
from bergamotgap.domain.folding import Applied, Effect
from bergamotgap.domain.records import Record
from bergamotgap.node.streams import AppendRefusedError, AppendUnknownError
from bergamotgap.node.writer import StreamWriter

APPEND_TIMEOUT_MS = 10_000
CONFLICT = 409
# Codes of the fold that mean something else than a conflict with the current state.
STATUS_BY_CODE: Mapping[str, int] = {
    "invalid_catalogue": 422,
    "unknown_wave": 404,
    "unknown_host": 422,
    "empty_wave": 422,
}


async def append_record(writer: StreamWriter, record: Record) -> Effect:
    """Append and return the effect; raises ProblemError when there is none to tell."""
    try:
        return await writer.append(record, APPEND_TIMEOUT_MS)
    except AppendRefusedError as error:
        raise ProblemError(503, "platform_unavailable", str(error)) from error
    except AppendUnknownError as error:
        detail = f"{error}; the record may be in the stream or may yet appear"
        raise ProblemError(504, "outcome_unknown", detail, "unknown") from error


async def append_and_check(writer: StreamWriter, record: Record) -> None:
    """Append a record that must take effect; raises ProblemError if it does not."""
    effect = await append_record(writer, record)
    if isinstance(effect, Applied):
        return
    status = STATUS_BY_CODE.get(effect.code, CONFLICT)
    raise ProblemError(status, effect.code, effect.detail)
