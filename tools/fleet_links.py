"""Links of a local fleet, to cut entry hosts off from peers and the platform."""

import asyncio
from contextlib import AsyncExitStack
from typing import Self

from stand_ins.link import Link
from tools.fleet_plan import NodeAddresses


class FleetLinks:
    """A link from each entry host to the platform and to each of its peers.

    An entry host uses only its own links as long as it connects to the addresses from
    its settings.
    """

    def __init__(self, nodes: list[NodeAddresses], platform_address: str) -> None:
        self._nodes = nodes
        self._stack = AsyncExitStack()
        self.platform_links = {node.name: Link(platform_address) for node in nodes}
        self.peer_links = {
            (node.name, peer.name): Link(peer.peer)
            for node in nodes
            for peer in nodes
            if peer is not node
        }

    async def __aenter__(self) -> Self:
        """Start all links."""
        for link in self._list_links():
            await self._stack.enter_async_context(link)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Reset all connections."""
        await asyncio.shield(self._stack.aclose())

    def _list_links(self) -> list[Link]:
        return [*self.platform_links.values(), *self.peer_links.values()]

    def list_peers(self, name: str) -> list[str]:
        """Return the peer addresses to set for an entry host."""
        return [
            link.address
            for (source, _), link in self.peer_links.items()
            if source == name
        ]

    def cut_data_centres(self, first: str, second: str) -> None:
        """Cut the connections between the entry hosts of two data centres."""
        data_centres = {node.name: node.data_centre for node in self._nodes}
        for (source, target), link in self.peer_links.items():
            if {data_centres[source], data_centres[target]} == {first, second}:
                link.cut()

    def restore(self) -> None:
        """Restore all links that were cut."""
        for link in self._list_links():
            link.restore()
