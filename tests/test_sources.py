"""Choice of the source that an entry host reads a stream from."""

from bergamotgap.domain.sources import PLATFORM, SourceCandidate, rank_sources


def build_candidate(
    name: str, centre: str = "dc-1", reachable: bool = True, offset: int = 5
) -> SourceCandidate:
    return SourceCandidate(name, centre, reachable, offset)


def test_lowest_reaching_host_reads_the_platform() -> None:
    """Guards against a data centre with several platform readers, or none."""
    one, two = build_candidate("a"), build_candidate("b")
    assert rank_sources(one, [two])[0] == PLATFORM
    assert rank_sources(two, [one])[:2] == ("a", PLATFORM)


def test_host_cut_from_the_platform_is_no_reader() -> None:
    """Guards against following a host that can't reach the platform."""
    cut, other = build_candidate("a", reachable=False), build_candidate("b")
    assert rank_sources(other, [cut])[0] == PLATFORM
    assert rank_sources(cut, [other])[0] == "b"


def test_cut_data_centre_follows_another_one() -> None:
    """Guards against stale state while another data centre reaches the platform."""
    own = build_candidate("a", reachable=False)
    local = build_candidate("b", reachable=False)
    remote = build_candidate("c", "dc-2")
    behind = build_candidate("d", "dc-2", offset=1)
    ranked = rank_sources(own, [local, behind, remote])
    assert ranked == ("c", "d", "b", PLATFORM)
