"""Errors that callers of jobs and non-idempotent requests are told."""


class RequestRefusedError(Exception):
    """The request can't be served; `outcome` is what became of the work.

    `code` is stable, `status` is the HTTP status.
    """

    def __init__(
        self, status: int, code: str, outcome: str = "not_run", detail: str = ""
    ) -> None:
        super().__init__(detail or code)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.detail = detail
