"""Construction of the components that queue requests and send tasks to workers."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from typing import Self

from aiomisc import cancel_tasks

from bergamotgap.domain.admission_limits import AdmissionLimits
from bergamotgap.domain.clock import Clock
from bergamotgap.domain.task_sizes import SizeEstimates
from bergamotgap.node.admission import Admission
from bergamotgap.node.dispatch import Dispatcher
from bergamotgap.node.placement import Placer
from bergamotgap.node.preemption import Preemptor
from bergamotgap.node.preemption_requests import PreemptionRequester
from bergamotgap.node.running_tasks import RunningTasks
from bergamotgap.node.settings import Settings
from bergamotgap.node.stream_components import StreamComponents
from bergamotgap.node.supervision import supervise
from bergamotgap.node.usage import UsageMonitor
from bergamotgap.node.workers import Workers
from bergamotgap.ports.worker import WorkerClient


class RequestComponents:
    """Admission, workers, preemption and dispatch of one entry host."""

    def __init__(
        self,
        settings: Settings,
        streams: StreamComponents,
        client: WorkerClient,
        clock: Clock,
    ) -> None:
        self._stack = AsyncExitStack()
        self._tasks: list[asyncio.Task[None]] = []
        control = streams.control
        running, sizes = RunningTasks(), SizeEstimates()
        self.workers = Workers(control, client, clock)
        self._preemptor = Preemptor(
            running,
            client,
            clock,
            lambda pool, entry: self.admission.count_preemptable(pool, entry),
        )
        self.admission = self._build_admission(settings, streams, clock)
        self._preemption_requester = PreemptionRequester(
            streams.list_live_peers, streams.peer_client, clock
        )
        self._usage_monitor = UsageMonitor(running, client, clock, sizes)
        self.placer = Placer(
            lambda: control.state,
            self.workers,
            self.admission,
            settings.data_centre,
            running=running,
            sizes=sizes,
            request_preemption=self._preemption_requester.request_preemption,
        )
        self.dispatcher = Dispatcher(self.placer, client, clock, settings.progress_ms)

    def _build_admission(
        self, settings: Settings, streams: StreamComponents, clock: Clock
    ) -> Admission:
        return Admission(
            clock,
            self.workers.pool_capacity,
            streams.list_live_peers,
            node_id=settings.node_id,
            catalogue=lambda: streams.control.state.catalogue,
            expected_nodes=streams.membership.list_expected,
            preempt=self._preemptor.preempt,
            limits=AdmissionLimits(
                max_queue_ms=settings.max_queue_ms,
                headroom_part=settings.headroom_part,
                preempt_after_ms=settings.preempt_after_ms,
            ),
        )

    async def __aenter__(self) -> Self:
        """Start the background tasks for workers, queues and resource usage."""
        self._stack.push_async_callback(self._preemption_requester.close)
        self._stack.push_async_callback(self._preemptor.close)
        self._stack.push_async_callback(self.dispatcher.close)
        self._start_task("workers", self.workers.run)
        self._start_task("admission", self.admission.run)
        self._start_task("usage", self._usage_monitor.run)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop the background tasks, then end the calls in progress."""
        await cancel_tasks(self._tasks)
        await self._stack.aclose()

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self._tasks.append(asyncio.create_task(supervise(name, run), name=name))

    def preempt(self, pool: str, count: int) -> None:
        """Preempt up to `count` tasks that this entry host runs in a pool."""
        self._preemptor.preempt(pool, count)
