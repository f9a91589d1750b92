"""Type of the function by which the host controller calls owners of pools."""

from collections.abc import Awaitable, Callable

from bergamotgap.pools.request_outcomes import NoReply
from bergamotgap.ports.pool_peer import PoolCall, PoolReply

# Returns the owner's reply, or a NoReply with the reason if no owner answered.
CallOwner = Callable[[PoolCall], Awaitable[PoolReply | NoReply]]
