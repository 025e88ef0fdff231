"""A small cell whose workers do what the effects say, in virtual time."""

import collections

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import settings
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces

CORE = 1_000
WORKER_SIZE = resources.Resources(cpu_millis=4 * CORE, memory_mb=8_000)


def size(cores: float = 1, memory_mb: int = 1_000) -> resources.Resources:
    """Returns a size in cores and MiB."""
    return resources.Resources(
        cpu_millis=int(cores * CORE), memory_mb=memory_mb
    )


class Cell:
    """Drives the reducer and keeps what it decided.

    Attributes:
        shard: State under test.
        now_ms: Virtual time.
        started: Live attempts by key, with the worker.
        counts: Starts by task.
        changes: Last JobChanged by job.
        effects: Every effect, in order.
    """

    def __init__(self, **changes: object) -> None:
        """Creates a cell with the workspaces north and south."""
        self.shard = state.ShardState(settings=settings.Settings(**changes))
        self.now_ms = 0
        self.started: dict[jobs.TaskKey, str] = {}
        self.counts: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.changes: dict[str, effects.JobChanged] = {}
        self.effects: list[effects.Effect] = []
        self.entitle(north={}, south={})

    def send(self, event: events.Event) -> list[effects.Effect]:
        """Reduces one event and notes the effects."""
        out = reducer.reduce(self.shard, event, self.now_ms)
        for effect in out:
            self._note(effect)
        self.effects.extend(out)
        return out

    def _note(self, effect: effects.Effect) -> None:
        if isinstance(effect, effects.StartTask | effects.DispatchRequest):
            self.started[effect.key] = effect.worker_id
            self.counts[(effect.key.job_id, effect.key.index)] += 1
        elif isinstance(effect, effects.JobChanged):
            self.changes[effect.job_id] = effect

    def entitle(self, **named: dict) -> None:
        """Puts workspaces in force, given as keyword settings."""
        self.send(
            events.EntitlementsChanged(
                entitlements=tuple(
                    workspaces.Entitlement(workspace=name, **values)
                    for name, values in named.items()
                )
            )
        )

    def join(
        self,
        worker_id: str = "w1",
        running: tuple[workers.RunningTask, ...] = (),
        **changes: object,
    ) -> list[effects.Effect]:
        """Adds a worker."""
        values = {
            "failure_domain": "a",
            "rack": "r1",
            "capacity": WORKER_SIZE,
        } | changes
        worker = workers.Worker(worker_id=worker_id, **values)
        return self.send(events.WorkerJoined(worker=worker, running=running))

    def submit(self, job_id: str, **changes: object) -> list[effects.Effect]:
        """Submits a job of one task of one core, unless changed."""
        return self.send(events.JobSubmitted(job=make_job(job_id, **changes)))

    def tick(self, after_ms: int = 50) -> list[effects.Effect]:
        """Lets time pass in ticks of at most 50 ms."""
        out = []
        while after_ms > 0:
            step_ms = min(50, after_ms)
            self.now_ms += step_ms
            after_ms -= step_ms
            out.extend(self.send(events.Ticked()))
        return out

    def acknowledge(self) -> None:
        """Has every worker acknowledge its starts."""
        for key, worker_id in self.started.items():
            self.send(events.TaskStarted(key=key, worker_id=worker_id))

    def end(
        self,
        job_id: str,
        result: jobs.TaskResult = jobs.TaskResult.SUCCEEDED,
        **changes: object,
    ) -> list[effects.Effect]:
        """Ends every live attempt of a job."""
        out = []
        for key in [key for key in self.started if key.job_id == job_id]:
            worker_id = self.started.pop(key)
            event = events.TaskEnded(
                key=key, worker_id=worker_id, result=result, **changes
            )
            out.extend(self.send(event))
        return out

    def report(
        self, worker_id: str, used: resources.Resources = resources.ZERO
    ) -> list[effects.Effect]:
        """Sends a worker's complete list."""
        running = tuple(
            workers.RunningTask(key=key, used=used)
            for key, where in self.started.items()
            if where == worker_id
        )
        return self.send(
            events.WorkerReported(worker_id=worker_id, running=running)
        )

    def count_live(self, job_id: str) -> int:
        """Returns how many attempts of a job are live."""
        return sum(key.job_id == job_id for key in self.started)

    def stops(self) -> list[effects.StopTask]:
        """Returns every stop asked for so far."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, effects.StopTask)
        ]


def make_job(job_id: str, **changes: object) -> jobs.Job:
    """Returns a job of one task of one core, unless changed."""
    values = {"workspace": "north", "need": size()} | changes
    return jobs.Job(job_id=job_id, **values)
