"""The link from an owner to one worker: renewals, commands and reports."""

from collections.abc import Callable
import logging
import time

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.decisions import events
from hickoryreach.platform import workers as platform_workers
from hickoryreach.structure import jobs
from hickoryreach.structure import workers

log = logging.getLogger(__name__)

OPERATIONS_PER_SYNC = 500
RETRY_S = 0.2


class WorkerLink:
    """Renews one worker's grant and carries commands to it.

    Attributes:
        worker: The worker.
        granted_until: Monotonic time, in s, until which its grant holds.
        leases_until: Monotonic time, in s, until which its tasks may run.
        joined: Whether it has answered under this term.
    """

    def __init__(
        self,
        *,
        worker: workers.Worker,
        owner: str,
        term: int,
        grant_ms: int,
        task_lease_ms: int,
        sync_ms: int,
        emit: Callable[[events.Event], None],
        on_stale: Callable[[int], None],
    ) -> None:
        """Creates a link that is not started yet."""
        self.worker = worker
        self.owner = owner
        self.term = term
        self.grant_ms = grant_ms
        self.task_lease_ms = task_lease_ms
        self.sync_s = sync_ms / 1000
        self.emit = emit
        self.on_stale = on_stale
        self.client = platform_workers.WorkerClient(address=worker.address)
        self.operations: list[platform_workers.Operation] = []
        self.acknowledged: list[jobs.TaskKey] = []
        self.announced: set[jobs.TaskKey] = set()
        self.reported_ends: set[jobs.TaskKey] = set()
        self.wake = gevent_event.Event()
        self.granted_until = 0.0
        self.leases_until = 0.0
        self.joined = False
        self.reachable = False
        self.greenlet = None

    def start(self) -> None:
        """Begins to sync."""
        self.greenlet = gevent.spawn(self.sync_forever)

    def stop(self) -> None:
        """Ends syncing; the grant lapses by itself."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        self.client.close()

    def send(self, operation: platform_workers.Operation) -> None:
        """Adds a command to the next sync, which goes at once."""
        self.operations.append(operation)
        self.wake.set()

    def acknowledge(self, key: jobs.TaskKey) -> None:
        """Lets the worker forget an end that is recorded."""
        self.acknowledged.append(key)

    def sync_forever(self) -> None:
        """Syncs on a fixed interval, and at once for commands."""
        while True:
            kept = self.sync_once()
            if not kept:
                gevent.sleep(RETRY_S)
                continue
            self.wake.wait(self.sync_s)
            self.wake.clear()

    def sync_once(self) -> bool:
        """Makes one sync; returns whether the worker answered."""
        operations = self.operations[:OPERATIONS_PER_SYNC]
        acknowledged = tuple(self.acknowledged)
        request = platform_workers.SyncRequest(
            owner=self.owner,
            term=self.term,
            grant_ms=self.grant_ms,
            task_lease_ms=self.task_lease_ms,
            operations=tuple(operations),
            acknowledged=acknowledged,
        )
        sent = time.monotonic()
        answer = self.client.sync(request)
        if isinstance(answer, result.Failure):
            self.take_failure(answer.failure())
            return False
        del self.operations[: len(operations)]
        del self.acknowledged[: len(acknowledged)]
        self.granted_until = sent + self.grant_ms / 1000
        self.leases_until = time.monotonic() + self.task_lease_ms / 1000
        self.take_reply(answer.unwrap(), operations)
        return True

    def take_failure(self, failure) -> None:
        """Reports an unreachable worker or a higher term."""
        if failure.stale_term:
            self.on_stale(failure.stale_term)
        if self.reachable and time.monotonic() > self.granted_until:
            self.reachable = False
            self.emit(events.WorkerUnreachable(worker_id=self.worker.worker_id))
            log.warning(
                "worker_unreachable",
                extra={
                    "worker": self.worker.worker_id,
                    "reason": failure.reason,
                },
            )

    def take_reply(
        self,
        reply: platform_workers.SyncReply,
        operations: list[platform_workers.Operation],
    ) -> None:
        """Turns a reply into events."""
        running = tuple(
            workers.RunningTask(key=row.key, used=row.used)
            for row in reply.running
        )
        if not self.reachable:
            self.reachable = True
            self.joined = True
            self.emit(events.WorkerJoined(worker=self.worker, running=running))
        else:
            self.emit(
                events.WorkerReported(
                    worker_id=self.worker.worker_id, running=running
                )
            )
        self.report_starts(running, operations)
        for end in reply.ended:
            self.report_end(end)

    def report_starts(self, running, operations) -> None:
        """Emits a start for each command the worker now lists."""
        listed = {task.key for task in running}
        for operation in operations:
            if operation.verb == "start" and operation.key in listed:
                self.emit(
                    events.TaskStarted(
                        key=operation.key, worker_id=self.worker.worker_id
                    )
                )

    def report_end(self, end: platform_workers.TaskEnd) -> None:
        """Emits an end; the owner acknowledges it once it is recorded."""
        self.emit(
            events.TaskEnded(
                key=end.key,
                worker_id=self.worker.worker_id,
                result=end.result,
                used=end.used,
                run_ms=end.run_ms,
                reason=end.reason,
            )
        )
