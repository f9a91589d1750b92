"""Claims of pools by members of the group, and the member that is to claim next."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
import xxhash

# Assumed 1/1000 cores of a member whose name does not state them.
DEFAULT_CPU = 1000


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Claim of a pool by a member; an empty `member` releases the pool.

    `token` is unique and rises with each claim. `is_former_owner_stopped` states that
    the former owner was known not to act any more when the claim was made.
    `are_starts_recorded` states in a release that the log names the worker of each run
    of the pool; the claim that follows repeats it.
    """

    member: str
    token: int
    term: int
    is_former_owner_stopped: bool = False
    are_starts_recorded: bool = False


@dataclass(frozen=True)
class Member:
    """One incarnation of a node, at the address that its peers call.

    `cpu` is in 1/1000 cores.
    """

    address: str
    incarnation: str
    cpu: int = DEFAULT_CPU

    @property
    def name(self) -> str:
        """The member's name in the group; it includes the cores for the others."""
        return f"{self.address}/{self.incarnation}/{self.cpu}"


def parse_member_cpu(member: str) -> int:
    """Return the 1/1000 cores that a member's name states, or the default."""
    cpu = member.rpartition("/")[2]
    return int(cpu) if cpu.isdecimal() and int(cpu) else DEFAULT_CPU


def choose_claimant(
    pool: str, members: Iterable[str], claims: Mapping[str, Claim]
) -> str | None:
    """Return the member with the fewest pools per core; a hash decides ties."""
    loads = Counter(claim.member for claim in claims.values())

    def rank(member: str) -> tuple[float, int]:
        load = (loads[member] + 1) / parse_member_cpu(member)
        return (load, xxhash.xxh64_intdigest(f"{pool}|{member}".encode()))

    return min(members, key=rank, default=None)
