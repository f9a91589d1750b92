"""How fast fillers may work beside tasks that serve; a pure decision."""

# Shares of the target at which fillers stop, slow down, and speed up again. Hysteresis
# between the last two keeps the pace from changing with every look.
STOP_RATIO = 1.0
SLOW_RATIO = 0.8
FAST_RATIO = 0.6
FULL_PERCENT = 100
RAISE_PERCENT = 20


def choose_pace(percent: int, tail_ratio: float) -> int:
    """Return the pace of fillers for the worst ratio of tail to target beside them."""
    if tail_ratio >= STOP_RATIO:
        return 0
    if tail_ratio >= SLOW_RATIO:
        return percent // 2
    if tail_ratio < FAST_RATIO:
        return min(FULL_PERCENT, percent + RAISE_PERCENT)
    return percent
