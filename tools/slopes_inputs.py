"""Catalogues, hosts and records of given sizes, as inputs of the measurements."""

import base64
import hashlib

from bergamotgap.domain.catalogue import Urgency
from bergamotgap.domain.control_state import ControlState
from bergamotgap.domain.folding import Stamp
from bergamotgap.domain.hosts import HostFacts
from bergamotgap.domain.records import (
    CataloguePublished,
    Claimed,
    Ended,
    HostSeen,
    HostUp,
    JobAccepted,
    Record,
)
from bergamotgap.domain.work_items import build_request_key

DATA_CENTRES = 8
HOSTS_PER_RACK = 16
SLOTS = 8
POOLS = 58
OWNERS = 86
ENTRIES = 172
JOB_BODY_BYTES = 1024
KEEP_MS = 660_000
# Every body, key and id below differs: repeated ones would compress better than those
# of real jobs.
NODE = "entry-1/0123456789abcdef"


def build_document(
    pools: int = POOLS, owners: int = OWNERS, entries: int = ENTRIES
) -> str:
    """Return a catalogue in which each owner has one caller for its entries."""
    lines = []
    for index in range(pools):
        spare = "true" if index == 0 else "false"
        lines.append(
            f'[[pools]]\nname = "pool-{index}"\nmin_hosts = 1\nmax_hosts = 1000\n'
            f"spare = {spare}\n"
        )
    for index in range(owners):
        lines.append(f'[[owners]]\nname = "owner-{index}"\nquota_slots = 160\n')
        names = ", ".join(f'"entry-{i}"' for i in range(index, entries, owners))
        digest = hashlib.sha256(str(index).encode()).hexdigest()
        lines.append(
            f'[[callers]]\nname = "caller-{index}"\nkey_sha256 = "{digest}"\n'
            f"entries = [{names}]\n"
        )
    classes = list(Urgency)
    for index in range(entries):
        lines.append(
            f'[[entries]]\nname = "entry-{index}"\nowner = "owner-{index % owners}"\n'
            f'pool = "pool-{index % pools}"\nurgency = "{classes[index % 3]}"\n'
            f"idempotent = {str(index % 2 == 0).lower()}\ndeadline_ms = 60000\n"
            "run_ms = 2000\ncpus = 4.0\nmemory_mb = 4096\naccelerators = 0\n"
            "max_running = 200\nmax_queued = 400\navailability = 0.5\n"
        )
    return "\n".join(lines)


def build_host(index: int, pools: int = POOLS, address: str = "") -> HostSeen:
    """Return a host; hosts are spread over pools and data centres by index."""
    data_centre = f"dc-{index % DATA_CENTRES + 1}"
    return HostSeen(
        host=f"worker-{index:05d}",
        address=address or f"10.{index % 8}.{index // 250}.{index % 250}:8080",
        data_centre=data_centre,
        rack=f"{data_centre}-rack-{index // (DATA_CENTRES * HOSTS_PER_RACK)}",
        cpus=32.0,
        memory_mb=65_536,
        accelerators=2,
        slots=SLOTS,
        pool=f"pool-{index % pools}",
    )


def build_facts(index: int) -> HostFacts:
    """Return the same host as in the platform's host list."""
    seen = build_host(index)
    return HostFacts(
        host=seen.host,
        address=seen.address,
        data_centre=seen.data_centre,
        rack=seen.rack,
        cpus=seen.cpus,
        memory_mb=seen.memory_mb,
        accelerators=seen.accelerators,
        slots=seen.slots,
        connections=64,
        pool=seen.pool,
        is_leaving=False,
    )


def list_control_records(
    hosts: int, pools: int = POOLS, revisions: int = 1
) -> list[Record]:
    """Return records that publish the catalogue revisions and report all hosts up."""
    document = build_document(pools=pools)
    records: list[Record] = [
        # The documents differ, so that they don't compress unrealistically well.
        CataloguePublished(
            number + 1, number, f"# change {number}\n{document}", f"operator-{number}"
        )
        for number in range(revisions)
    ]
    for index in range(hosts):
        seen = build_host(index, pools)
        records += [
            seen,
            HostUp(seen.host, hashlib.md5(seen.host.encode()).hexdigest()),
        ]
    return records


def fold(state: ControlState, records: list[Record]) -> ControlState:
    """Apply the records to the state and return it."""
    for offset, record in enumerate(records):
        state.apply(Stamp(offset, offset), record)
    return state


def list_jobs(count: int) -> list[Record]:
    """Return records of accepted jobs, with bodies that don't compress."""
    return [
        JobAccepted(
            job=_hash(index)[:24],
            caller="caller-1",
            request_id=_hash(index)[24:48],
            entry="entry-1",
            body=base64.b64encode(_build_body(index)).decode(),
            body_sha256=_hash(index),
            deadline_ms=60_000,
            keep_ms=KEEP_MS,
            node=NODE,
        )
        for index in range(count)
    ]


def list_claims(count: int) -> list[Record]:
    """Return records of claims of non-idempotent requests."""
    return [
        Claimed(
            key=build_request_key("caller-1", _hash(index)[24:48]),
            job=None,
            entry="entry-1",
            body_sha256=_hash(index),
            keep_ms=KEEP_MS,
            node=NODE,
            attempt=1,
            worker=f"worker-{index % 1700:05d}",
            boot_id=_hash(index % 1700)[:8],
            task=_hash(index)[:24],
            start_before_ms=1_764_800_000_000 + index,
            ownership=0,
        )
        for index in range(count)
    ]


def list_ends(claims: list[Record]) -> list[Record]:
    """Return records of the outcomes of claims, with small inline results."""
    return [
        Ended(
            key=claim.key,
            job=None,
            attempt=1,
            ownership=0,
            outcome="done",
            worker=claim.worker,
            task=claim.task,
            result_inline=base64.b64encode(claim.task.encode()).decode(),
            result_size=24,
            reason="",
        )
        for claim in claims
        if isinstance(claim, Claimed)
    ]


def _hash(index: int) -> str:
    return hashlib.sha256(str(index).encode()).hexdigest()


def _build_body(index: int) -> bytes:
    return hashlib.shake_128(str(index).encode()).digest(JOB_BODY_BYTES)
