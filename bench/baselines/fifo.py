"""Global first in first out, first fit by declared size.

Work that fits nowhere is passed over by later work of another shape. There
is no preemption, no learning and no reservation; limits hold strictly and a
gang starts whole or not at all. Failed idempotent tasks are repeated.
"""

import bisect
import collections
import dataclasses

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces

ATTEMPT_LIMIT = 5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, order=True)
class Ticket:
    """One task, or a whole gang, in the queue.

    Attributes:
        number: Order of arrival.
        job_id: The job.
        index: The task; -1 for all tasks of a gang.
    """

    number: int
    job_id: str
    index: int


@dataclasses.dataclass(kw_only=True, slots=True)
class Entry:
    """A job and its progress."""

    job: jobs.Job
    entry: str
    open: bool = True
    ran: jobs.ExecutionStatus = jobs.ExecutionStatus.NOT_RUN
    running: dict[jobs.TaskKey, str] = dataclasses.field(default_factory=dict)
    attempts: dict[int, int] = dataclasses.field(default_factory=dict)
    settled: dict[int, jobs.TaskResult] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(kw_only=True, slots=True)
class Machine:
    """A worker and its free capacity."""

    worker: workers.Worker
    free: resources.Resources
    usable: bool = True
    placed: dict[jobs.TaskKey, None] = dataclasses.field(default_factory=dict)


Shape = tuple[resources.Resources, str, int]


class FifoFirstFit:
    """The baseline's state and decisions.

    Attributes:
        machines: Workers by id.
        entries: Jobs by id.
        entitlements: Workspaces by name.
        used: What each workspace has set aside.
        queues: Tickets in order of arrival, by shape.
        parked: Tickets of workspaces that are at their limit.
        blocked: Shapes that fitted nowhere since capacity was last freed.
        numbers: Tickets handed out.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self.machines: dict[str, Machine] = {}
        self.entries: dict[str, Entry] = {}
        self.entitlements: dict[str, workspaces.Entitlement] = {}
        self.used: dict[str, resources.Resources] = {}
        self.queues: dict[Shape, collections.deque[Ticket]] = {}
        self.parked: dict[str, dict[Shape, list[Ticket]]] = {}
        self.blocked: set[Shape] = set()
        self.numbers = 0

    def admit(self, job: jobs.Job) -> bool:
        """Returns whether some worker could hold one task."""
        return job.workspace in self.entitlements and any(
            job.need.fits_in(machine.worker.capacity)
            for machine in self.machines.values()
        )

    def reduce(self, event: events.Event, now_ms: int) -> list[effects.Effect]:
        """Returns the effects of an event."""
        out = self._take_in(event)
        out += self._place()
        return out

    def _take_in(self, event: events.Event) -> list[effects.Effect]:
        match event:
            case events.EntitlementsChanged():
                self._change(event)
            case events.WorkerJoined():
                self._join(event.worker)
            case events.WorkerUnreachable():
                self._set_usable(event.worker_id, False)
            case events.WorkerLost():
                return self._lose(event.worker_id)
            case events.JobSubmitted():
                self._submit(event)
            case events.JobCancelled():
                return self._cancel(event.job_id)
            case events.WaveCancelled():
                return self._cancel_wave(event)
            case events.TaskStarted():
                return self._confirm(event.key)
            case events.TaskEnded():
                return self._end(event)
        return []

    def _change(self, event: events.EntitlementsChanged) -> None:
        for entitlement in event.entitlements:
            self.entitlements[entitlement.workspace] = entitlement
            self.used.setdefault(entitlement.workspace, resources.ZERO)

    def _join(self, worker: workers.Worker) -> None:
        self.machines[worker.worker_id] = Machine(
            worker=worker, free=worker.capacity
        )
        self.blocked.clear()

    def _set_usable(self, worker_id: str, usable: bool) -> None:
        if worker_id in self.machines:
            self.machines[worker_id].usable = usable

    def _lose(self, worker_id: str) -> list[effects.Effect]:
        machine = self.machines.get(worker_id)
        if machine is None:
            return []
        out = []
        for key in list(machine.placed):
            out += self._end(
                events.TaskEnded(
                    key=key,
                    worker_id=worker_id,
                    result=jobs.TaskResult.UNKNOWN,
                )
            )
        self.machines.pop(worker_id)
        return out

    def _submit(self, event: events.JobSubmitted) -> None:
        job = event.job
        self.entries[job.job_id] = Entry(job=job, entry=event.entry)
        if job.kind is jobs.Kind.GANG:
            self._enqueue(job, -1)
            return
        for index in range(job.tasks):
            self._enqueue(job, index)

    def _enqueue(self, job: jobs.Job, index: int) -> None:
        self.numbers += 1
        ticket = Ticket(number=self.numbers, job_id=job.job_id, index=index)
        shape = _shape_of(job, index)
        self.queues.setdefault(shape, collections.deque()).append(ticket)

    def _place(self) -> list[effects.Effect]:
        out = []
        while True:
            heads = [
                (queue[0].number, shape)
                for shape, queue in self.queues.items()
                if queue and shape not in self.blocked
            ]
            if not heads:
                return out
            out += self._place_head(min(heads, key=lambda head: head[0])[1])

    def _place_head(self, shape: Shape) -> list[effects.Effect]:
        queue = self.queues[shape]
        ticket = queue[0]
        entry = self.entries[ticket.job_id]
        if not entry.open:
            queue.popleft()
            self._unpark(entry.job.workspace, shape)
            return []
        job = entry.job
        indexes = [ticket.index] if ticket.index >= 0 else range(job.tasks)
        wanted = self.used[job.workspace] + job.need.times(len(indexes))
        limit = self.entitlements[job.workspace].limit
        if limit is not None and not wanted.fits_in(limit):
            queue.popleft()
            self._park(job.workspace, shape, ticket)
            return []
        found = self._find(job, len(indexes))
        if found is None:
            self.blocked.add(shape)
            return []
        queue.popleft()
        self._unpark(job.workspace, shape)
        return [
            self._start(entry, index, machine)
            for index, machine in zip(indexes, found, strict=True)
        ]

    def _find(self, job: jobs.Job, count: int) -> list[Machine] | None:
        found = []
        for machine in self.machines.values():
            if not machine.usable or machine.worker.departing:
                continue
            if job.service and machine.worker.service != job.service:
                continue
            free = machine.free
            while len(found) < count and job.need.fits_in(free):
                found.append(machine)
                free = free - job.need
            if len(found) == count:
                return found
        return None

    def _start(
        self, entry: Entry, index: int, machine: Machine
    ) -> effects.Effect:
        job = entry.job
        attempt = entry.attempts.get(index, 0) + 1
        entry.attempts[index] = attempt
        key = jobs.TaskKey(job_id=job.job_id, index=index, attempt=attempt)
        worker_id = machine.worker.worker_id
        entry.running[key] = worker_id
        machine.placed[key] = None
        machine.free = machine.free - job.need
        self.used[job.workspace] = self.used[job.workspace] + job.need
        if job.kind is jobs.Kind.REQUEST:
            return effects.DispatchRequest(
                key=key, worker_id=worker_id, job=job, entry=entry.entry
            )
        return effects.StartTask(
            key=key, worker_id=worker_id, need=job.need, job=job
        )

    def _confirm(self, key: jobs.TaskKey) -> list[effects.Effect]:
        entry = self.entries[key.job_id]
        if entry.ran is jobs.ExecutionStatus.RAN or key not in entry.running:
            return []
        entry.ran = jobs.ExecutionStatus.RAN
        return [
            effects.JobChanged(
                job_id=key.job_id, state=jobs.JobState.RUNNING, ran=entry.ran
            )
        ]

    def _end(self, event: events.TaskEnded) -> list[effects.Effect]:
        key = event.key
        entry = self.entries[key.job_id]
        worker_id = entry.running.pop(key, None)
        if worker_id is None:
            return []
        self._release(entry.job, key, worker_id)
        if event.result is not jobs.TaskResult.NOT_RUN:
            entry.ran = jobs.ExecutionStatus.RAN
        if not entry.open:
            return []
        if _may_repeat(entry, key, event.result):
            self._enqueue(entry.job, key.index)
            return []
        entry.settled[key.index] = event.result
        return [
            effects.TaskSettled(key=key, result=event.result),
            *self._finish(entry),
        ]

    def _release(
        self, job: jobs.Job, key: jobs.TaskKey, worker_id: str
    ) -> None:
        machine = self.machines[worker_id]
        machine.placed.pop(key, None)
        machine.free = machine.free + job.need
        self.used[job.workspace] = self.used[job.workspace] - job.need
        self.blocked = {
            shape
            for shape in self.blocked
            if shape[2] == 1 and not shape[0].fits_in(machine.free)
        }
        for shape in list(self.parked.get(job.workspace, ())):
            self._unpark(job.workspace, shape)

    def _park(self, workspace: str, shape: Shape, ticket: Ticket) -> None:
        shapes = self.parked.setdefault(workspace, {})
        bisect.insort(shapes.setdefault(shape, []), ticket)

    def _unpark(self, workspace: str, shape: Shape) -> None:
        tickets = self.parked.get(workspace, {}).get(shape)
        if tickets:
            bisect.insort(self.queues[shape], tickets.pop(0))

    def _finish(self, entry: Entry) -> list[effects.Effect]:
        if len(entry.settled) < entry.job.tasks:
            return []
        results = set(entry.settled.values())
        entry.open = False
        state = jobs.JobState.FAILED
        if results == {jobs.TaskResult.SUCCEEDED}:
            state = jobs.JobState.SUCCEEDED
        elif jobs.TaskResult.UNKNOWN in results:
            state = jobs.JobState.UNKNOWN
        return [
            effects.JobChanged(
                job_id=entry.job.job_id, state=state, ran=entry.ran
            )
        ]

    def _cancel(self, job_id: str) -> list[effects.Effect]:
        entry = self.entries.get(job_id)
        if entry is None or not entry.open:
            return []
        entry.open = False
        stops = [
            effects.StopTask(key=key, worker_id=where, reason="cancelled")
            for key, where in entry.running.items()
        ]
        return [
            *stops,
            effects.JobChanged(
                job_id=job_id, state=jobs.JobState.CANCELLED, ran=entry.ran
            ),
        ]

    def _cancel_wave(self, event: events.WaveCancelled) -> list[effects.Effect]:
        return [
            effect
            for job_id, entry in self.entries.items()
            if entry.job.workspace == event.workspace
            and entry.job.wave == event.wave
            for effect in self._cancel(job_id)
        ]


def _shape_of(job: jobs.Job, index: int) -> Shape:
    return (job.need, job.service, job.tasks if index < 0 else 1)


def _may_repeat(
    entry: Entry, key: jobs.TaskKey, outcome: jobs.TaskResult
) -> bool:
    if outcome is jobs.TaskResult.SUCCEEDED:
        return False
    if outcome is jobs.TaskResult.NOT_RUN:
        return True
    if entry.job.kind is jobs.Kind.SERVICE:
        return True
    stopped = outcome in (
        jobs.TaskResult.STOPPED,
        jobs.TaskResult.CHECKPOINTED,
    )
    return entry.job.idempotent and (stopped or key.attempt < ATTEMPT_LIMIT)
