"""Catalogues for the flood benchmarks."""

from pathlib import Path

from bergamotgap.domain.catalogue import Catalogue, parse_catalogue

ROOT = Path(__file__).resolve().parent.parent
CATALOGUES = {
    name: (ROOT / "catalogues" / f"{name}.toml").read_text()
    for name in ("association", "vestfjord")
}


def build_mixed_catalogue() -> Catalogue:
    """Return a catalogue in which all urgencies share a pool, beside the spare pool."""
    base = parse_catalogue(CATALOGUES["association"])
    shared = [
        entry.model_copy(update={"pool": "previews"})
        for entry in base.entries
        if entry.pool != "miscellaneous"
    ]
    rest = [entry for entry in base.entries if entry.pool == "miscellaneous"]
    pools = [p for p in base.pools if p.name in ("previews", "miscellaneous")]
    return base.model_copy(
        update={"entries": (*shared, *rest), "pools": tuple(pools)},
    )


def build_quota_catalogue() -> Catalogue:
    """Return the association catalogue with quotas below the slots of one pool."""
    base = parse_catalogue(CATALOGUES["association"])
    owners = tuple(o.model_copy(update={"quota_slots": 30}) for o in base.owners)
    return base.model_copy(update={"owners": owners})


def build_all() -> dict[str, Catalogue]:
    """Return all catalogues by name: both deployments, mixed urgencies, low quotas."""
    catalogues = {name: parse_catalogue(text) for name, text in CATALOGUES.items()}
    catalogues["mixed"] = build_mixed_catalogue()
    catalogues["quota"] = build_quota_catalogue()
    return catalogues
