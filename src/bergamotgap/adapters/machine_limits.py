"""Limits that the machine and the operating system set to this process."""

import os
import resource

from bergamotgap.domain.client_limits import MIB

# Stands for no limit of descriptors.
MANY_DESCRIPTORS = 1 << 20


def find_memory_mb() -> int:
    """Return the machine's memory in MiB."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") // MIB


def find_descriptors() -> int:
    """Return how many descriptors this process may have open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MANY_DESCRIPTORS if soft == resource.RLIM_INFINITY else soft
