"""Exit codes of the commands, and the error that carries one."""

from collections.abc import Mapping
from typing import Any

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
EXIT_NO_CONFIGURATION = 5
EXIT_NO_QUEUE = 6
EXIT_MALFORMED_JOB = 7
EXIT_NO_OWNER = 8

EXIT_CODES_HELP = (
    "Exit codes: 0 done; 1 refused or invalid; 2 wrong usage or setting; "
    "3 entry host not reachable, nothing was changed; "
    "4 outcome unknown or not confirmed in time."
)


class CommandError(Exception):
    """Ends a command with an exit code; `code` is stable, `detail` is for people.

    `text`, such as a diff, is printed to standard output before the detail.
    """

    def __init__(
        self,
        exit_code: int,
        code: str,
        detail: str,
        payload: Mapping[str, Any] | None = None,
        text: str = "",
    ) -> None:
        super().__init__(detail)
        self.exit_code = exit_code
        self.code = code
        self.detail = detail
        self.payload = dict(payload or {})
        self.text = text
