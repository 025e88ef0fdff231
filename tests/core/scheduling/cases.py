"""Test case with a small cell that drives the reducer."""

import itertools
import unittest

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import settings
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps

SERVICE = "ledger"


def build_need(cpu: int = 1_000, memory: int = 100) -> resources.Resources:
    """Returns the resources that a task needs."""
    return resources.Resources(cpu_millis=cpu, memory_mb=memory)


def build_step(count: int = 1, cpu: int = 1_000, **words) -> steps.Step:
    """Returns a step whose tasks have the same size."""
    return steps.Step(
        count=count,
        need=build_need(cpu),
        **({"estimate_ms": 1_000} | words),
    )


def build_listed_run(
    key: steps.TaskKey, number: int, minion_id: str = "m0"
) -> effects.StartTask:
    """Returns the start of a run that a minion is to list."""
    return effects.StartTask(
        key=key,
        number=number,
        minion_id=minion_id,
        payload="",
        checkpoint="",
        ticket="",
        valid_until_ms=0,
    )


class CellCase(unittest.TestCase):
    """Drives the reducer in the same way as an owner.

    Attributes:
        cell: State of the cell.
        now_ms: Current time on the owner's clock.
        last_effects: Effects of the last event and the pass after it.
    """

    minion_cpu = 4_000
    minion_count = 2
    epoch = 1
    advice = None
    limit = resources.ZERO

    def setUp(self) -> None:
        """Creates a cell whose minions have been polled."""
        self.cell = state.CellState(
            settings=self.build_settings(), epoch=self.epoch
        )
        self.now_ms = 10_000
        self.last_effects: list[effects.Effect] = []
        self.end_numbers = itertools.count(1)
        self.job_numbers = itertools.count(1)
        self.configure()
        for index in range(self.minion_count):
            self.add_minion(f"m{index}")
            self.poll(f"m{index}")

    def build_settings(self) -> settings.Settings:
        """Returns settings without capacity reserved for the first rank."""
        return settings.Settings(urgent_fraction=0.0, reserved_fraction=1.0)

    def build_queue(self, name: str = "runs", rank: int = 1) -> cells.Queue:
        """Returns a queue."""
        return cells.Queue(
            name=name,
            host="h",
            prefix=f"/{name}/",
            service=SERVICE,
            rank=rank,
            attempts=2,
            stretch=2.0,
            objective_ms=1_000,
            advice=self.advice,
        )

    def build_workspaces(self) -> list[cells.Workspace]:
        """Returns the workspaces of the cell."""
        return [cells.Workspace(name="hydro", share=1_000.0, limit=self.limit)]

    def configure(self) -> None:
        """Activates a configuration."""
        queues = [self.build_queue(), self.build_queue("checks", rank=0)]
        self.configuration = cells.Configuration(
            version=1,
            queues={queue.name: queue for queue in queues},
            services={SERVICE: cells.Service(name=SERVICE)},
            workspaces={each.name: each for each in self.build_workspaces()},
        )
        self.apply(
            events.ConfigurationChanged(configuration=self.configuration)
        )

    def apply(self, event: events.Event, elapsed_ms: int = 0) -> None:
        """Applies an event and runs a placement pass."""
        self.now_ms += elapsed_ms
        self.last_effects = reducer.reduce(self.cell, event, self.now_ms)
        self.last_effects += reducer.advance(self.cell, self.now_ms)

    def tick(self, elapsed_ms: int = 100) -> None:
        """Applies a tick after a delay."""
        self.apply(events.Ticked(wall_ms=self.now_ms), elapsed_ms)

    def add_minion(self, name: str, **words) -> None:
        """Registers a minion."""
        minion = cells.Minion(
            minion_id=name,
            service=SERVICE,
            address="127.0.0.1:1",
            failure_domain="z",
            **(
                {
                    "capacity": build_need(self.minion_cpu, 32_000),
                    "labels": ("a", "r1"),
                }
                | words
            ),
        )
        self.apply(events.MinionRegistered(minion=minion))

    def poll(
        self,
        name: str,
        *,
        running: tuple = (),
        ends: tuple = (),
        incarnation: int = 1,
        sent_ms: int | None = None,
    ) -> None:
        """Applies a poll reply that lists the runs of some starts and ends."""
        sent = self.now_ms if sent_ms is None else sent_ms
        self.now_ms += 1
        self.apply(
            events.MinionPolled(
                minion_id=name,
                reply=minions.PollReply(
                    incarnation=incarnation,
                    clock_ms=self.now_ms,
                    running=tuple(
                        minions.RunningTask(
                            key=start.key,
                            run=start.number,
                            checkpoint="",
                            percent=10,
                        )
                        for start in running
                    ),
                    ends=ends,
                ),
                sent_ms=sent,
                lists_all_ends=len(ends) < minions.MAX_LISTED_ENDS,
            )
        )

    def end(
        self, start: effects.StartTask, kind: str = "done", checkpoint: str = ""
    ) -> None:
        """Applies a poll reply that lists the end of one run of a minion."""
        others = tuple(
            each
            for each in self.list_running(start.minion_id)
            if (each.key, each.number) != (start.key, start.number)
        )
        self.poll(
            start.minion_id,
            running=others,
            ends=(
                minions.TaskEnd(
                    number=next(self.end_numbers),
                    key=start.key,
                    run=start.number,
                    kind=minions.EndKind(kind),
                    checkpoint=checkpoint,
                ),
            ),
        )

    def list_running(self, name: str) -> list[state.Run]:
        """Returns the runs recorded on a minion."""
        return list(self.cell.minions[name].runs.values())

    def submit(self, *wanted: steps.Step, **words: str) -> str:
        """Submits a job and returns its id."""
        job = self.build_job(*wanted, **words)
        self.apply(events.JobAccepted(job=job))
        return job.job_id

    def build_job(
        self,
        *wanted: steps.Step,
        queue: str = "runs",
        workspace: str = "hydro",
    ) -> steps.Job:
        """Returns a job."""
        return steps.Job(
            job_id=f"job{next(self.job_numbers)}",
            workspace=workspace,
            queue=self.configuration.queues[queue],
            payload="",
            steps=wanted or (build_step(),),
            accepted_ms=self.now_ms,
        )

    def confirm(self, start: effects.StartTask) -> None:
        """Applies the confirmation of a start."""
        self.answer(start, None)

    def answer(
        self,
        start: effects.StartTask,
        failure: minions.OrderFailure | None,
    ) -> None:
        """Applies the answer to a start."""
        self.now_ms += 1
        self.apply(
            events.StartAnswered(
                key=start.key,
                number=start.number,
                minion_id=start.minion_id,
                failure=failure,
            )
        )

    def confirm_starts(self) -> list[effects.StartTask]:
        """Confirms the starts of the last event and returns them."""
        starts = self.get_starts()
        for start in starts:
            self.confirm(start)
        return starts

    def end_call(
        self,
        call: effects.AskAdvice,
        tickets: dict[str, str] | None,
        **words: int,
    ) -> None:
        """Ends a call for advice; it has failed without tickets."""
        self.apply(
            events.AdviceCallEnded(
                job_id=call.job_id,
                repeat=call.repeat,
                position=call.position,
                asked=call.minion_ids,
                tickets=tickets,
                **words,
            )
        )

    def get_starts(self) -> list[effects.StartTask]:
        """Returns the starts among the last effects."""
        return self.get_effects(effects.StartTask)

    def get_stops(self) -> list[effects.StopTask]:
        """Returns the stops among the last effects."""
        return self.get_effects(effects.StopTask)

    def get_effects(self, kind: type) -> list:
        """Returns the last effects of one kind."""
        return [
            effect for effect in self.last_effects if isinstance(effect, kind)
        ]

    def get_state(self, job_id: str) -> state.JobState:
        """Returns a job's state."""
        return self.cell.jobs[job_id].state
