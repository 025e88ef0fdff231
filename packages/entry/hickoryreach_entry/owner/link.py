"""The link from an owner to one worker: renewals, commands and reports."""

from collections.abc import Callable
import dataclasses
import logging
import time

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach import exceptions
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers
from hickoryreach_entry import greenlets
from hickoryreach_entry.owner import boots
from hickoryreach_entry.owner import commands
from hickoryreach_entry.owner import grants

log = logging.getLogger(__name__)

RETRY_S = 0.2
COMMAND_LIFE_S = 1.5
CLOSE_S = 1.0
SOON_S = 0.1
MILLISECONDS = 1000
ONE_REQUEST = resources.Resources(slots=1)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Lengths:
    """Lengths of leases and intervals, in s.

    Attributes:
        grant_s: Length of a grant.
        task_lease_s: Length of a task's lease.
        sync_s: Time between syncs without commands.
    """

    grant_s: float
    task_lease_s: float
    sync_s: float


class WorkerLink:
    """Renews one worker's grant and carries commands to it.

    Attributes:
        worker: The worker.
        client: Calls to the worker.
        answered_at: Address at which it last answered, or empty.
        authority: The owner's right to act.
        commands: What waits to be sent to the worker.
        boot: Boot and clock of the last reply, or None.
        joined: Whether the reducer counts the worker in.
        reachable: Whether it answered within its grant.
        leases_until: Time, in s, by which its tasks' leases have lapsed.
        uncertain_until: Time, in s, by which unanswered syncs have lapsed.
        sent_until: Time, in s, until which the last command may arrive.
        replied_sent: When the last answered sync was sent, in s.
        requests: Job ids its minion serves, as of the last reply.
        pause_s: Time to the next sync without commands, in s.
    """

    def __init__(
        self,
        *,
        worker: workers.Worker,
        owner: str,
        term: int,
        lengths: Lengths,
        authority: grants.Authority,
        emit: Callable[[events.Event], None],
        on_stale: Callable[[int], None],
        on_reply: Callable[["WorkerLink"], None],
        may_lose: Callable[[str], bool],
        name_request: Callable[[str], jobs.TaskKey],
        leases_until: float,
        make_client: Callable[[workers.Worker], platform_workers.WorkerClient],
    ) -> None:
        """Creates a link that is not started yet."""
        self.worker = worker
        self.owner = owner
        self.term = term
        self.lengths = lengths
        self.authority = authority
        self.emit = emit
        self.on_stale = on_stale
        self.on_reply = on_reply
        self.may_lose = may_lose
        self.name_request = name_request
        self.make_client = make_client
        self.client = make_client(worker)
        self.answered_at = ""
        self.commands = commands.Commands()
        self.announced: set[jobs.TaskKey] = set()
        self.reported_ends: set[jobs.TaskKey] = set()
        self.requests: frozenset[str] = frozenset()
        self.running: frozenset[jobs.TaskKey] = frozenset()
        self.wake = gevent_event.Event()
        self.boot: boots.Boot | None = None
        self.leases_until = leases_until
        self.uncertain_until = 0.0
        self.sent_until = 0.0
        self.replied_sent = 0.0
        self.joined = False
        self.reachable = False
        self.lost = False
        self.described = False
        self.pause_s = lengths.sync_s
        self.greenlet = None

    def start(self) -> None:
        """Begins to sync."""
        self.greenlet = greenlets.spawn_vital(self.sync_forever)

    def stop(self) -> None:
        """Ends syncing; the grant lapses by itself."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)
        gevent.spawn_later(CLOSE_S, self.client.close)

    def send(self, operation: platform_workers.Operation) -> None:
        """Adds a command to the next sync, which goes at once."""
        self.commands.add(operation)
        self.wake.set()

    def sync_forever(self) -> None:
        """Syncs on a fixed interval, and at once for commands."""
        while True:
            answered = self.sync_once()
            if not answered or not self.joined:
                gevent.sleep(RETRY_S)
                continue
            if not self.commands.operations:
                self.pause_s = min(2 * self.pause_s, self.lengths.sync_s)
                self.wake.wait(self.pause_s)
            self.wake.clear()

    def sync_once(self) -> bool:
        """Makes one sync; returns whether the worker answered."""
        request = self.build_request(time.monotonic())
        sent = time.monotonic()
        answer = self.client.sync(request)
        received = time.monotonic()
        if isinstance(answer, result.Failure):
            if request.deadline_ms:
                self.uncertain_until = self.sent_until
            self.take_failure(answer.failure(), received)
            return False
        self.take_reply(answer.unwrap(), request, sent, received)
        return True

    def build_request(self, now: float) -> platform_workers.SyncRequest:
        """Returns a claim, or with authority a renewal with commands.

        What a sync renews or commands is void once the owner's authority has
        lapsed, however late it arrives: it names the worker's boot and a
        deadline by the worker's clock.
        """
        lengths = self.lengths
        claim = platform_workers.SyncRequest(
            owner=self.owner,
            term=self.term,
            grant_ms=int(lengths.grant_s * MILLISECONDS),
            task_lease_ms=int(lengths.task_lease_s * MILLISECONDS),
        )
        until = min(self.authority.until(now), now + COMMAND_LIFE_S)
        if self.boot is None or not self.joined or until <= now:
            return claim
        uncertain = now < self.uncertain_until
        acknowledged = () if uncertain else self.commands.acknowledged
        operations = self.commands.send_next()
        self.sent_until = until
        self.leases_until = max(
            self.leases_until, until + grants.lengthen(lengths.task_lease_s)
        )
        return dataclasses.replace(
            claim,
            boot_id=self.boot.boot_id,
            deadline_ms=self.boot.translate(until),
            operations=operations,
            acknowledged=tuple(acknowledged),
        )

    def take_failure(
        self, failure: exceptions.WorkerFailure, now: float
    ) -> None:
        """Reports an unreachable worker or a higher term."""
        if failure.stale_term > self.term:
            self.on_stale(failure.stale_term)
            return
        self.change_address()
        granted = self.authority.granted_until.get(self.worker.worker_id, 0.0)
        if self.reachable and now > granted:
            self.reachable = False
            if self.joined:
                self.emit(
                    events.WorkerUnreachable(worker_id=self.worker.worker_id)
                )
            log.warning(
                "worker_unreachable",
                extra={
                    "worker": self.worker.worker_id,
                    "reason": failure.reason,
                },
            )
        if self.reachable or now <= self.leases_until:
            return
        if self.may_lose(self.worker.worker_id):
            self.lose("leases lapsed")

    def lose(self, reason: str) -> None:
        """Reports that nothing of ours can run on the worker any more."""
        if self.lost:
            return
        self.lost = True
        log.warning(
            "worker_lost",
            extra={"worker": self.worker.worker_id, "reason": reason},
        )
        self.report_unsent(reason)
        self.commands.clear()
        self.announced.clear()
        self.reported_ends.clear()
        self.running = frozenset()
        if self.joined:
            self.joined = False
            self.emit(events.WorkerLost(worker_id=self.worker.worker_id))

    def report_unsent(self, reason: str) -> None:
        """Reports each start that was never sent as not run."""
        for key in self.commands.list_unsent():
            self.emit(
                events.TaskEnded(
                    key=key,
                    worker_id=self.worker.worker_id,
                    result=jobs.TaskResult.NOT_RUN,
                    reason=reason,
                )
            )

    def take_reply(
        self,
        reply: platform_workers.SyncReply,
        request: platform_workers.SyncRequest,
        sent: float,
        received: float,
    ) -> None:
        """Turns a reply into events."""
        if self.boot is not None and reply.boot_id != self.boot.boot_id:
            self.lose("worker restarted")
        self.boot = boots.Boot(
            boot_id=reply.boot_id, clock_ms=reply.clock_ms, received=received
        )
        self.reachable = True
        self.answered_at = self.client.address
        self.replied_sent = sent
        self.requests = frozenset(reply.requests)
        self.authority.take_grant(self.worker.worker_id, sent, received)
        if request.operations or self.has_changed(reply):
            self.pause_s = SOON_S / 2
        if request.deadline_ms and not reply.late and not self.lost:
            self.commands.settle(request)
            self.reported_ends.difference_update(request.acknowledged)
        self.report_running(reply, received)
        for end in reply.ended:
            self.report_end(end)
        self.on_reply(self)

    def has_changed(self, reply: platform_workers.SyncReply) -> bool:
        """Returns whether tasks began or ended since the last reply.

        More may follow soon, so the next sync comes sooner, and each one
        after it later until the full interval is reached.
        """
        listed = len(reply.running) + len(reply.requests)
        changed = listed != len(self.running) or any(
            end.key not in self.reported_ends for end in reply.ended
        )
        return changed and self.joined

    def report_running(
        self, reply: platform_workers.SyncReply, now: float
    ) -> None:
        """Reports what the worker lists; joins it once that is allowed."""
        running = self.list_running(reply)
        self.running = frozenset(task.key for task in running)
        if not self.joined:
            if self.authority.admits(self.worker.worker_id, now):
                self.joined = True
                self.lost = False
                self.join(running)
            return
        if not self.described:
            self.join(running)
            return
        for key in self.running - self.announced:
            self.emit(
                events.TaskStarted(key=key, worker_id=self.worker.worker_id)
            )
        self.announced = set(self.running)
        self.emit(
            events.WorkerReported(
                worker_id=self.worker.worker_id, running=running
            )
        )

    def list_running(
        self, reply: platform_workers.SyncReply
    ) -> tuple[workers.RunningTask, ...]:
        """Returns the tasks and requests that a worker lists."""
        tasks = tuple(
            workers.RunningTask(key=row.key, used=row.used, allocated=row.need)
            for row in reply.running
        )
        requests = tuple(
            workers.RunningTask(key=self.name_request(job_id), used=ONE_REQUEST)
            for job_id in sorted(self.requests)
        )
        return tasks + requests

    def join(self, running: tuple[workers.RunningTask, ...]) -> None:
        """Reports the worker with all it runs."""
        self.described = True
        self.announced = set(self.running)
        self.emit(events.WorkerJoined(worker=self.worker, running=running))

    def report_end(self, end: platform_workers.TaskEnd) -> None:
        """Emits an end once; the owner acknowledges it when recorded."""
        if not self.joined or end.key in self.reported_ends:
            return
        self.reported_ends.add(end.key)
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

    def change_worker(self, worker: workers.Worker) -> None:
        """Takes in a new description."""
        if worker == self.worker:
            return
        self.worker = worker
        self.described = False

    def change_address(self) -> None:
        """Tries the listed address, and the one that answered, by turns.

        The platform's list may be wrong, so a worker that answers is not
        left for another address.
        """
        addresses = [self.worker.address, self.answered_at]
        if self.client.address == self.worker.address and self.answered_at:
            addresses.reverse()
        if addresses[0] == self.client.address:
            return
        self.client.close()
        self.client = self.make_client(
            dataclasses.replace(self.worker, address=addresses[0])
        )
