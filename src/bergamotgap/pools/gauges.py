"""Metrics gauges of a node that owns pools."""

from collections.abc import Callable, Iterable

from bergamotgap.adapters.metrics import GaugeReading, Metrics
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.run_time_estimates import RunTimeSummary
from bergamotgap.domain.worker_speeds import SLOW_SPEED
from bergamotgap.pools.cap_gauges import register_cap_gauges
from bergamotgap.pools.fleet_node import FleetNode
from bergamotgap.pools.former_runs import measure_held_tasks
from bergamotgap.pools.pool import Pool


def register_gauges(metrics: Metrics, node: FleetNode, clock: Clock) -> None:
    """Register the gauges of the node and of its pools, labelled by pool and phase."""
    _register_pool_gauges(metrics, node, clock)
    register_cap_gauges(metrics, node)
    _register_run_time_gauges(metrics, node)

    def read_log_age() -> Iterable[GaugeReading]:
        yield clock.monotonic_ms() - node.registry.last_renewal_ms, {}

    def read_config() -> Iterable[GaugeReading]:
        config = node.fleet_view.config
        yield config.version if config else 0, {}

    def read_waves(column: int) -> Iterable[GaugeReading]:
        controller = node.host_controller
        for wave in controller.measure_waves() if controller else []:
            yield wave[column], {"wave": str(wave[0])}

    observe = metrics.observe_gauge
    observe(
        "wave_hosts_left",
        "Hosts of an open wave that have not returned from maintenance",
        lambda: read_waves(1),
    )
    observe(
        "wave_time_left_ms",
        "Time left for an open wave, negative if it is late",
        lambda: read_waves(2),
    )
    observe("log_age_ms", "Time since the log answered a renewal", read_log_age)
    observe("configuration_version", "Version in force, 0 if none", read_config)


def _register_pool_gauges(metrics: Metrics, node: FleetNode, clock: Clock) -> None:
    def read_jobs() -> Iterable[GaugeReading]:
        for name, pool in node.pools.items():
            for phase, count in pool.job_table.count_jobs_by_phase().items():
                yield count, {"pool": name, "phase": phase}

    def observe(name: str, description: str, read: Callable[[Pool], float]) -> None:
        metrics.observe_gauge(
            name,
            description,
            lambda: [(read(pool), {"pool": key}) for key, pool in node.pools.items()],
        )

    metrics.observe_gauge("pool_jobs", "Jobs of an owned pool by phase", read_jobs)
    observe(
        "pool_workers",
        "Usable workers of an owned pool",
        lambda pool: len(pool.run_tracker.list_usable_links(clock.monotonic_ms())),
    )
    observe(
        "pool_runs",
        "Runs on an owned pool's workers",
        lambda pool: sum(len(link.runs) for link in pool.run_tracker.links.values()),
    )
    observe(
        "pool_journal_age_ms",
        "Time since the last append",
        lambda pool: clock.monotonic_ms() - pool.journal.last_append_ms,
    )
    observe(
        "pool_slow_workers",
        "Workers whose tasks take longer than those of the others",
        lambda pool: sum(
            link.capacity.speed < SLOW_SPEED for link in pool.run_tracker.links.values()
        ),
    )
    observe(
        "pool_rejected_records",
        "Records in this term that the log can't take",
        lambda pool: pool.journal.rejected_records,
    )
    _register_job_counts(observe)


def _register_job_counts(
    observe: Callable[[str, str, Callable[[Pool], float]], None],
) -> None:
    observe(
        "pool_crashes",
        "Crashes of workers with runs in this term",
        lambda pool: pool.crash_watch.crashes,
    )
    observe(
        "pool_suspects",
        "Tasks suspected of a crash in this term",
        lambda pool: pool.crash_watch.suspects,
    )
    observe(
        "pool_given_up",
        "Jobs given up in this term because a task crashes workers",
        lambda pool: pool.crash_watch.given_up,
    )
    observe(
        "pool_run_disagreements",
        "Disagreements of jobs and workers' runs told in this term",
        lambda pool: pool.run_audit.found,
    )
    observe(
        "pool_doubled_runs",
        "Times in this term that a run of a task may have been beside another",
        lambda pool: pool.run_tracker.possible_runs.doubled,
    )
    _register_held_tasks(observe)
    observe(
        "pool_excess_jobs",
        "Jobs accepted in this term beyond the weight of their customer",
        lambda pool: pool.customer_accounts.excess,
    )
    observe(
        "pool_early_refusals",
        "Jobs refused in this term because they can't be served in time",
        lambda pool: pool.admission_check.refused,
    )


def _register_held_tasks(
    observe: Callable[[str, str, Callable[[Pool], float]], None],
) -> None:
    def measure(pool: Pool) -> tuple[int, int]:
        possible_runs = pool.run_tracker.possible_runs
        return measure_held_tasks(pool.job_table.pending.values(), possible_runs)

    observe(
        "pool_held_tasks",
        "Waiting tasks that can't start since a run of them may exist",
        lambda pool: measure(pool)[0],
    )
    observe(
        "pool_former_run_age_ms",
        "Age of the oldest run that may exist and holds a waiting task",
        lambda pool: measure(pool)[1],
    )


def _register_run_time_gauges(metrics: Metrics, node: FleetNode) -> None:
    def observe(
        name: str, description: str, read: Callable[[RunTimeSummary], float]
    ) -> None:
        def read_queues() -> Iterable[GaugeReading]:
            for key, pool in node.pools.items():
                estimates = pool.run_tracker.estimates
                for queue in estimates.queues:
                    labels = {"pool": key, "queue": queue}
                    yield read(estimates.summarize(queue)), labels

        metrics.observe_gauge(name, description, read_queues)

    observe(
        "pool_run_time_ratio",
        "Expected ratio of actual to declared run time",
        lambda summary: summary.ratio,
    )
    observe(
        "pool_run_time_error",
        "Mean difference of actual and expected run time by declared time",
        lambda summary: summary.error,
    )
    observe(
        "pool_run_time_trust",
        "Share of finished runs, as opposed to declared times, in the estimate",
        lambda summary: summary.trust,
    )
