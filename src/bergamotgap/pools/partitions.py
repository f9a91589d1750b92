"""Where on the log the records of a pool are."""

import xxhash

JOBS_TOPIC = "keyed.jobs"


def choose_partition(pool: str, parts: int) -> tuple[str, int]:
    """Return topic and partition of a pool.

    Pools may share a partition: keys begin with the pool's name, and each pool's owners
    fence under its own producer.
    """
    return JOBS_TOPIC, xxhash.xxh64_intdigest(pool.encode()) % parts
