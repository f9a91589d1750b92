"""The kinds of clients by name, for crowds that run in a process of their own."""

from multiprocessing.synchronize import Event

import msgspec

from stand_ins import crowd_clients as clients
from stand_ins.crowd_clients import BODY_LIMIT, Behaviour, Target, run_crowd

MANY_TASKS = msgspec.json.encode(
    {"specification": "s", "steps": [{"count": 100_000, "cpu": 1000}]}
)
LONG_SPECIFICATION = msgspec.json.encode(
    {"specification": "s" * 262_000, "steps": [{"count": 1}]}
)
MANY_STEPS = msgspec.json.encode({"steps": [{"count": 1}] * (BODY_LIMIT // 14)})
BEHAVIOURS: dict[str, Behaviour] = {
    "long-field": clients.send_long_field,
    "endless-head-4k": clients.send_endless_head(4096),
    "endless-head-5": clients.send_endless_head(5),
    "endless-line": clients.send_endless_line,
    "empty-lines": clients.send_empty_lines,
    "most-of-body": clients.send_most_of_body(BODY_LIMIT),
    "most-of-body-in-pieces": clients.send_most_of_body(8192),
    "whole-bodies": clients.send_whole_bodies,
    "one-large-chunk": clients.send_one_large_chunk,
    "large-chunks": clients.send_chunks(8192),
    "small-chunks": clients.send_chunks(1),
    "endless-chunks": clients.send_endless_chunks,
    "trailers": clients.send_trailers,
    "nothing": clients.send_nothing,
    "after-upgrade": clients.send_after_upgrade,
    "without-reading": clients.send_without_reading,
    "many-tasks": clients.send_documents(lambda number: MANY_TASKS),
    "long-specification": clients.send_documents(lambda number: LONG_SPECIFICATION),
    "many-steps": clients.send_documents(lambda number: MANY_STEPS),
    "legal-jobs": clients.send_legal_jobs,
    "large-jobs": clients.send_large_jobs,
    "drops": clients.send_drops,
    "mix": clients.send_mix,
}
# Behaviours whose clients read no answers.
SILENT_READERS = frozenset({"without-reading"})


def run_named_crowd(target: Target, name: str, count: int, over: Event) -> None:
    """Run a crowd of one kind until `over` is set."""
    run_crowd(
        target, BEHAVIOURS[name], count, over.is_set, reads=name not in SILENT_READERS
    )
