"""Log lines about the hosts of a wave that wait, each with its reason."""

from bergamotgap.adapters.logs import get_logger

# A host and reason are logged at most this often.
WAIT_LOG_GAP_MS = 1000
# Reason for which most hosts of a wave wait; it is logged only once for each host.
REASON_TURN = "turn"

log = get_logger(__name__)


class WaitLog:
    """Remember why each host of a wave waits, and log it in bounded numbers."""

    def __init__(self, wave: int) -> None:
        self._wave = wave
        # Why the last drain or order of a host did not go on.
        self.reasons: dict[str, str] = {}
        # When a line about each host and reason was last logged.
        self._logged_ms: dict[tuple[str, str], int] = {}

    def record(
        self, host: str, reason: str, turn_ms: int, left_ms: int, now_ms: int
    ) -> None:
        """Log why a host waits, unless a line about it is too new."""
        last_ms = self._logged_ms.get((host, reason))
        is_too_new = last_ms is not None and now_ms - last_ms < WAIT_LOG_GAP_MS
        if is_too_new or (reason == REASON_TURN and last_ms is not None):
            return
        self._logged_ms[host, reason] = now_ms
        log.info(
            "host waits for maintenance",
            wave=self._wave,
            host=host,
            reason=reason,
            turn_ms=turn_ms,
            left_ms=left_ms,
        )

    def forget(self, host: str) -> None:
        """Forget the reason of a host that no longer waits."""
        self.reasons.pop(host, None)
