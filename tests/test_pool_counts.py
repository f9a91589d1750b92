"""Counts of hosts by pool that the planner caches during a round."""

from bergamotgap.domain.catalogue import Catalogue, parse_catalogue
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Stamp
from bergamotgap.domain.records import HostDown, WaveDeclared
from bergamotgap.domain.waves import choose_drains
from tools.slopes_inputs import build_document, fold, list_control_records


def test_drains_chosen_in_one_round_stay_within_the_budget() -> None:
    """Guards against a cached count that misses drains chosen earlier in the round."""
    state = fold(ControlState(), list_control_records(16, pools=2))
    down = state.hosts["worker-00000"]
    state.apply(Stamp(100, 0), HostDown("worker-00000", down.boot_id or ""))
    for number in range(8):
        wave = WaveDeclared(f"wave-{number}", tuple(state.hosts), "operator")
        state.apply(Stamp(101 + number, 0), wave)
    chosen = [
        state.hosts[drain.host].pool
        for drain in choose_drains(state, lambda host: True)
    ]
    # Half of a pool's eight hosts must serve; one in the first pool is already down.
    assert chosen.count("pool-0") == 3
    assert chosen.count("pool-1") == 4


def test_highest_availability_counts_for_each_pool() -> None:
    """Guards against a lenient availability that hides a stricter one."""
    document = build_document(pools=2, owners=1, entries=4)
    strict = document.replace("availability = 0.5", "availability = 0.9", 1)
    catalogue: Catalogue = parse_catalogue(strict)
    assert catalogue.availability_by_pool == {"pool-0": 0.9, "pool-1": 0.5}
    assert parse_catalogue(document).availability_by_pool["pool-0"] == 0.5
