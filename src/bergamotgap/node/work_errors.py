"""Errors that are reported to callers of jobs and non-idempotent requests."""


class RequestRefusedError(Exception):
    """The request can't be served.

    `outcome` is the outcome of the work, `status` the HTTP status and `code` a stable
    error code. `retry_after_ms` is when to come back, if that is known.
    """

    def __init__(
        self,
        status: int,
        code: str,
        outcome: str = "not_run",
        detail: str = "",
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(detail or code)
        self.status = status
        self.code = code
        self.outcome = outcome
        self.detail = detail
        self.retry_after_ms = retry_after_ms
