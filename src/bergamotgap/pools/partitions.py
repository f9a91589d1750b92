"""Mapping of pools to partitions of the log."""

import xxhash

JOBS_TOPIC = "keyed.jobs"


def choose_partition(pool: str, parts: int) -> tuple[str, int]:
    """Return the topic and partition that hold a pool's records.

    Pools may share a partition: keys begin with the pool's name, and each pool has its
    own producer name for fencing.
    """
    return JOBS_TOPIC, xxhash.xxh64_intdigest(pool.encode()) % parts
