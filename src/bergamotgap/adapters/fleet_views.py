"""JSON views of pools, hosts and entry hosts for the operators' interface."""

from collections.abc import Callable, Mapping
from typing import Any

from bergamotgap.domain.budget import count_required_hosts
from bergamotgap.domain.catalogue import Catalogue, Pool
from bergamotgap.domain.control_data import HostState, count_serving_hosts
from bergamotgap.domain.control_state import ControlState
from bergamotgap.node.membership import Membership, PeerView
from bergamotgap.ports.worker import WorkerStatus

StatusSource = Callable[[str], WorkerStatus | None]
View = dict[str, Any]


def describe_pools(state: ControlState) -> list[View]:
    """Return each pool of the catalogue with its hosts and its availability budget."""
    catalogue = state.catalogue
    if catalogue is None:
        return []
    by_pool: dict[str | None, list[HostState]] = {}
    for host in state.hosts.values():
        by_pool.setdefault(host.pool, []).append(host)
    return [
        _describe_pool(catalogue, pool, by_pool.get(pool.name, []))
        for pool in catalogue.pools
    ]


def _describe_pool(catalogue: Catalogue, pool: Pool, hosts: list[HostState]) -> View:
    entries = catalogue.list_pool_entries(pool.name)
    return {
        "pool": pool.name,
        "is_spare": pool.spare,
        "min_hosts": pool.min_hosts,
        "max_hosts": pool.max_hosts,
        "hosts": len(hosts),
        "serving": count_serving_hosts(hosts),
        "draining": sum(host.draining_in is not None for host in hosts),
        "down": sum(host.is_down for host in hosts),
        "must_serve": count_required_hosts(catalogue, pool.name, len(hosts)),
        "slots": sum(host.facts.slots for host in hosts),
        "entries": [entry.name for entry in entries],
    }


def _get_host_state_name(host: HostState) -> str:
    if host.is_down:
        return "down"
    if host.draining_in is not None:
        return "draining"
    return "serving" if host.pool is not None else "moving"


def describe_hosts(
    state: ControlState, read_status: StatusSource, now_ms: int
) -> list[View]:
    """Return each host with its location, pool, epoch and last worker status."""
    return [
        _describe_host(name, host, read_status(name), now_ms)
        for name, host in sorted(state.hosts.items())
    ]


def _describe_host(
    name: str, host: HostState, status: WorkerStatus | None, now_ms: int
) -> View:
    return {
        "host": name,
        "address": host.facts.address,
        "data_centre": host.facts.data_centre,
        "rack": host.facts.rack,
        "pool": host.pool,
        "epoch": host.epoch,
        "state": _get_host_state_name(host),
        "wave": host.draining_in,
        "slots": host.facts.slots,
        "worker": _describe_status(status, now_ms),
    }


def _describe_status(status: WorkerStatus | None, now_ms: int) -> View | None:
    if status is None:
        return None
    return {
        "age_ms": now_ms - status.arrived_ms,
        "state": status.state,
        "boot_id": status.boot_id,
        "pool": status.pool,
        "epoch": status.epoch,
        "busy": status.busy,
        "slots": status.slots,
    }


def describe_nodes(
    membership: Membership, own_state: Mapping[str, Any], now_ms: int
) -> list[View]:
    """Return this entry host, then its known peers.

    `own_state` holds the fields that this entry host reports in digests.
    """
    info = membership.info
    own_view = {
        "node_id": info.node_id,
        "is_self": True,
        "is_live": True,
        "is_leaving": membership.is_leaving,
        "age_ms": 0,
        "data_centre": info.data_centre,
        "incarnation_ms": info.incarnation_ms,
        "operator_address": info.operator_address,
        "peer_address": info.peer_address,
        **own_state,
    }
    peers = sorted(membership.list_known(), key=lambda peer: peer.node_id)
    live = {peer.node_id for peer in membership.list_live()}
    return [own_view, *(_describe_peer(p, p.node_id in live, now_ms) for p in peers)]


def _describe_peer(peer: PeerView, is_live: bool, now_ms: int) -> View:
    return {
        "node_id": peer.node_id,
        "is_self": False,
        "is_live": is_live,
        "is_leaving": peer.is_leaving,
        "age_ms": now_ms - peer.last_contact_ms,
        "data_centre": peer.data_centre,
        "incarnation_ms": peer.incarnation_ms,
        "operator_address": peer.operator_address,
        "peer_address": peer.peer_address,
        "catalogue_revision": peer.catalogue_revision,
        "control_offset": peer.control_offset,
        "work_offset": peer.work_offset,
        "is_platform_reachable": peer.is_platform_reachable,
    }
