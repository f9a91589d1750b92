"""How the holder of the hosts' duty asks the owners of pools."""

from collections.abc import Awaitable, Callable

from bergamotgap.pools.requests import NoReply
from bergamotgap.ports.pool_peer import PoolCall, PoolReply

# Returns the owner's reply, or why there is none.
CallOwner = Callable[[PoolCall], Awaitable[PoolReply | NoReply]]
