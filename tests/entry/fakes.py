"""Small fakes of the store, of workers and of time."""

import contextlib
import time
from unittest import mock

from returns import result

from hickoryreach import exceptions
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import store
from hickoryreach.trial import workers as platform_workers

FAILURE = exceptions.StoreFailure(reason="down", effect_unknown=True)


class Clock:
    """Time that stands still until it is moved."""

    def __init__(self, now: float = 1_000.0) -> None:
        """Creates a clock."""
        self.now = now

    def __call__(self) -> float:
        """Returns the time, in s."""
        return self.now

    def move(self, seconds: float) -> None:
        """Lets time pass."""
        self.now += seconds

    @contextlib.contextmanager
    def in_force(self):
        """Makes every reading of the monotonic clock show this time."""
        with mock.patch.object(time, "monotonic", self):
            yield self


class FakeStore:
    """Values with compare-and-swap; may be down, or lose its answers.

    Attributes:
        down: Whether calls fail without effect.
        losing: Number of writes whose answer is lost after the effect.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.index = 10
        self.values: dict[str, store.Value] = {}
        self.down = False
        self.losing = 0
        self.writes = 0
        self.before_write = lambda key: None

    def save(self) -> tuple:
        """Returns the whole state, as a backup."""
        return self.index, dict(self.values)

    def restore(self, backup: tuple) -> None:
        """Goes back to a backup."""
        self.index, values = backup
        self.values = dict(values)

    def get(self, key: str) -> store.Read:
        """Reads one key."""
        if self.down:
            return result.Failure(FAILURE)
        found = self.values.get(key)
        values = (found,) if found else ()
        return result.Success(store.Snapshot(values=values, index=self.index))

    def get_prefix(self, prefix: str, *, timeout_s: float = 0.0) -> store.Read:
        """Reads the keys below a prefix."""
        if self.down:
            return result.Failure(FAILURE)
        values = tuple(
            value
            for key, value in sorted(self.values.items())
            if key.startswith(prefix)
        )
        return result.Success(store.Snapshot(values=values, index=self.index))

    def put_if(
        self, key: str, data: bytes, *, index: int, lease: str = ""
    ) -> store.Write:
        """Writes a key if its index still is `index`."""
        if self.down:
            return result.Failure(FAILURE)
        self.before_write(key)
        found = self.values.get(key)
        if (found.index if found else 0) != index:
            return result.Failure(exceptions.Conflict(key=key))
        self.index += 1
        self.writes += 1
        self.values[key] = store.Value(key=key, data=data, index=self.index)
        if self.losing:
            self.losing -= 1
            return result.Failure(FAILURE)
        return result.Success(self.index)

    def delete(self, keys: list[str]) -> store.Write:
        """Deletes keys."""
        if self.down:
            return result.Failure(FAILURE)
        self.index += 1
        for key in keys:
            self.values.pop(key, None)
        return result.Success(self.index)


class FakeWorker:
    """A worker that keeps to the least that is assumed of one.

    Attributes:
        clock: Its own clock.
        down: Whether syncs fail without effect.
        losing: Whether answers are lost after the effect.
        held_back: Syncs that were sent and have not arrived yet.
    """

    def __init__(self, *, clock: Clock, address: str = "w:1") -> None:
        """Creates an idle worker."""
        self.clock = clock
        self.address = address
        self.term = 0
        self.boot = 1
        self.down = False
        self.losing = False
        self.delaying = False
        self.held_back: list[platform_workers.SyncRequest] = []
        self.tasks: dict[jobs.TaskKey, float] = {}
        self.ended: dict[jobs.TaskKey, jobs.TaskResult] = {}
        self.started: list[jobs.TaskKey] = []
        self.requests: tuple[str, ...] = ()

    @property
    def boot_id(self) -> str:
        """Identity of its boot."""
        return f"boot-{self.boot}"

    def close(self) -> None:
        """Closes nothing."""

    def restart(self) -> None:
        """Loses every task and end."""
        self.boot += 1
        self.tasks.clear()
        self.ended.clear()

    def sweep(self) -> None:
        """Stops tasks whose lease has lapsed."""
        for key, until in list(self.tasks.items()):
            if until < self.clock():
                del self.tasks[key]
                self.ended[key] = jobs.TaskResult.STOPPED

    def sync(self, request: platform_workers.SyncRequest):
        """Takes in a sync over a faulty line."""
        if self.down:
            return result.Failure(exceptions.WorkerFailure(reason="down"))
        if self.delaying:
            self.held_back.append(request)
            return result.Failure(exceptions.WorkerFailure(reason="timeout"))
        reply = self.receive(request)
        if self.losing:
            return result.Failure(exceptions.WorkerFailure(reason="lost"))
        return reply

    def deliver(self) -> None:
        """Lets what was held back arrive."""
        late, self.held_back = self.held_back, []
        for request in late:
            self.receive(request)

    def receive(self, request: platform_workers.SyncRequest):
        """Takes in a sync that arrived."""
        self.sweep()
        if request.term < self.term:
            return result.Failure(
                exceptions.WorkerFailure(reason="stale", stale_term=self.term)
            )
        self.term = request.term
        late = (
            request.boot_id != self.boot_id
            or self.clock() * 1000 > request.deadline_ms
        )
        if not late:
            self.carry_out(request)
        return result.Success(
            platform_workers.SyncReply(
                term=self.term,
                boot_id=self.boot_id,
                clock_ms=int(self.clock() * 1000),
                late=late,
                running=tuple(
                    platform_workers.TaskRow(key=key) for key in self.tasks
                ),
                ended=tuple(
                    platform_workers.TaskEnd(key=key, result=how)
                    for key, how in self.ended.items()
                ),
                requests=self.requests,
            )
        )

    def carry_out(self, request: platform_workers.SyncRequest) -> None:
        """Renews leases, forgets ends and follows commands."""
        lease_until = self.clock() + request.task_lease_ms / 1000
        for key in self.tasks:
            self.tasks[key] = lease_until
        for key in request.acknowledged:
            self.ended.pop(key, None)
        for operation in request.operations:
            key = operation.key
            known = key in self.tasks or key in self.ended
            if operation.verb == "start" and not known:
                self.tasks[key] = lease_until
                self.started.append(key)
            elif operation.verb == "stop" and key in self.tasks:
                self.end(key, jobs.TaskResult.STOPPED)

    def end(self, key: jobs.TaskKey, how: jobs.TaskResult) -> None:
        """Ends a task."""
        del self.tasks[key]
        self.ended[key] = how


def make_worker(name: str = "w1", slots: int = 8) -> workers.Worker:
    """Returns the description of a worker."""
    return workers.Worker(
        worker_id=name,
        failure_domain="a",
        rack="r1",
        capacity=resources.Resources(
            cpu_millis=16_000, memory_mb=32_000, slots=slots
        ),
        address="127.0.0.1:1",
        minion_address="127.0.0.1:2",
        service="registry",
    )
