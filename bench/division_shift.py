"""Measure how far the slots of a pool are exceeded while demand shifts between hosts.

Each entry host decides by digests that are up to `DIGEST_INTERVAL_MS` plus
`DIGEST_DELAY_MS` old. All demand moves from one half of the entry hosts to the other
half every `SHIFT_INTERVAL_MS`.
"""

from collections import deque

from bench.figures import Figure, list_figures, print_figures
from bench.flood_policy import NODES, Snapshot
from bergamotgap.domain.division import SlotDivider
from bergamotgap.domain.slots import Allowance

TOTAL_SLOTS = 48
DIGEST_INTERVAL_MS = 250
DIGEST_DELAY_MS = 50
REFRESH_INTERVAL_MS = 200
SHIFT_INTERVAL_MS = 5000
# All hosts start at the same time, before any knows the demand of the others.
WARM_UP_MS = 2000
END_MS = 60_000
STEP_MS = 10
HIGH_DEMAND = 40.0
RUN_MS = 300
GRANT_HOLDS_MS = (0, 300, 600, 1200)


class EntryHost:
    """An entry host with enough queued requests to use its whole allowance."""

    def __init__(self, number: int, hold_ms: int) -> None:
        self.number = number
        self.name = f"entry-{number}"
        self.division = SlotDivider(self.name)
        self.allowance = Allowance(hold_ms)
        self.ends_ms: deque[int] = deque()

    def demand(self, now_ms: int) -> float:
        """Return the present demand in slots."""
        is_first_half = self.number < NODES // 2
        is_first_turn = (now_ms // SHIFT_INTERVAL_MS) % 2 == 0
        return HIGH_DEMAND if is_first_half == is_first_turn else 0.0

    def run(self, now_ms: int) -> None:
        """End finished tasks and start new ones up to the allowance."""
        while self.ends_ms and self.ends_ms[0] <= now_ms:
            self.ends_ms.popleft()
        while self.demand(now_ms) and len(self.ends_ms) < self.allowance.value:
            self.ends_ms.append(now_ms + RUN_MS)


def measure(hold_ms: int) -> dict[str, float]:
    """Return the overshoot if grants are held for `hold_ms`."""
    hosts = [EntryHost(number, hold_ms) for number in range(NODES)]
    names = [host.name for host in hosts]
    sent: dict[str, deque[tuple[int, Snapshot]]] = {name: deque() for name in names}
    worst = {"allowances": 0, "running": 0}
    over = steps = used = 0
    for now_ms in range(0, END_MS, STEP_MS):
        for host in hosts:
            local_ms = now_ms + 30 * host.number
            if local_ms % DIGEST_INTERVAL_MS == 0:
                values = dict(host.division.pool_demand)
                snapshot = Snapshot(host.name, values, {})
                sent[host.name].append((now_ms + DIGEST_DELAY_MS, snapshot))
            if local_ms % REFRESH_INTERVAL_MS == 0:
                peers = [
                    pick_newest_digest(sent[name], now_ms)
                    for name in names
                    if name != host.name
                ]
                known_peers = [peer for peer in peers if peer is not None]
                host.division.update_demand(now_ms, {"p": host.demand(now_ms)}, {})
                host.division.update_peers(now_ms, known_peers, names)
                target = host.division.divide_pool("p", TOTAL_SLOTS)
                host.allowance.update(target, now_ms)
            host.run(now_ms)
        if now_ms < WARM_UP_MS:
            continue
        allowed = sum(host.allowance.value for host in hosts)
        running = sum(len(host.ends_ms) for host in hosts)
        worst["allowances"] = max(worst["allowances"], allowed - TOTAL_SLOTS)
        worst["running"] = max(worst["running"], running - TOTAL_SLOTS)
        over += running > TOTAL_SLOTS
        used += min(running, TOTAL_SLOTS)
        steps += 1
    return {
        "most_allowances_above": worst["allowances"] / TOTAL_SLOTS,
        "most_running_above": worst["running"] / TOTAL_SLOTS,
        "part_of_time_above": over / steps,
        "slots_in_use": used / steps / TOTAL_SLOTS,
    }


def pick_newest_digest(
    sent: deque[tuple[int, Snapshot]], now_ms: int
) -> Snapshot | None:
    """Return the newest digest that has arrived, or None."""
    while len(sent) > 1 and sent[1][0] <= now_ms:
        sent.popleft()
    return sent[0][1] if sent and sent[0][0] <= now_ms else None


def main() -> list[Figure]:
    """Return the overshoot for each hold time."""
    figures = []
    for hold_ms in GRANT_HOLDS_MS:
        figures += list_figures(f"division, hold {hold_ms} ms", measure(hold_ms))
    return figures


if __name__ == "__main__":
    print_figures(main())
