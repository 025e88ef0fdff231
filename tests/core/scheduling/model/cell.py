"""Model of a cell whose owners, minions and orders fail at random.

The reducer is the real one. Minions, the store and the orders between them are
modelled, and what the minions run is judged at every start.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import heapq
import itertools
import random

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling.model import advice
from tests.core.scheduling.model import faults
from tests.core.scheduling.model import judge
from tests.core.scheduling.model import limits
from tests.core.scheduling.model import lost
from tests.core.scheduling.model import orders
from tests.core.scheduling.model import owners
from tests.core.scheduling.model import scenarios
from tests.core.scheduling.model import workers

STEP_MS = 50


class Model:
    """A cell under faults.

    Attributes:
        scenario: What the cell is made of and what happens to it.
        minions: All minions that there have been, by id.
        jobs: All jobs by id.
        finals: Final records of jobs by id.
        rows: Stored ends and crashes by job.
        cancelled: Jobs whose cancellation is stored.
        judge: Judge of what the minions run.
        lost: Judge of what waits for too long.
        calm: Whether all trouble has ended.
        starts: Number of starts that minions have carried out.
        takeovers: Number of owners after the first.
        kind_changes: Number of minions that have returned as another kind.
        refused_tickets: Number of starts refused for their ticket.
        complete_gangs: Gangs whose members have all begun, by id of the job,
            position of the step and number of the run.
        outcomes: Why jobs are in their final state, by id.
        crashes: Number of minions that have crashed under each task.
        crash_chances: How probable it is that a run of a job crashes its
            minion, by id of the job.
        trace: Receives the time and each effect.
    """

    def __init__(self, *, seed: int, scenario: scenarios.Scenario) -> None:
        """Creates a cell with an owner."""
        self.scenario = scenario
        self.draw = random.Random(seed)
        self.now_ms = 100_000
        self.limits = limits.Limits(
            choices_cpu=scenario.limits_cpu,
            queues=scenario.queues,
            now_ms=self.now_ms,
        )
        self.minion_numbers = itertools.count()
        self.minions: dict[str, workers.Minion] = {}
        self.crashes: collections.Counter[steps.TaskKey] = collections.Counter()
        for number in range(scenario.minion_count):
            self.add_minion(f"r{number // scenario.rack_size}")
        self.jobs: dict[str, steps.Job] = {}
        self.finals: dict[str, predecessors.EndedJob] = {}
        self.rows: dict[str, list[events.RecordedEnd]] = {}
        self.cancelled: set[str] = set()
        self.judge = judge.Judge(jobs=self.jobs, limits=self.limits)
        self.lost = lost.Judge(model=self)
        self.advice = advice.Service(model=self)
        self.queue: list[tuple[int, int, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.job_numbers = itertools.count()
        self.last_write_ms = 0
        self.epoch = 0
        self.starts = 0
        self.takeovers = -1
        self.kind_changes = 0
        self.calm = False
        self.refused_tickets = 0
        self.complete_gangs: set[tuple[str, int, int]] = set()
        self.outcomes: dict[str, str] = {}
        self.crash_chances: dict[str, float] = {}
        self.trace: Callable[[int, effects.Effect], None] | None = None
        self.owner: owners.Owner | None = None
        self.ownerless_until_ms = 0
        self.take_over()

    @property
    def cell(self) -> state.CellState:
        """State of the present owner."""
        return self.owner.cell

    def add_minion(self, rack: str) -> workers.Minion:
        """Adds a minion under a new id."""
        number = next(self.minion_numbers)
        kinds = self.scenario.kinds
        minion = workers.Minion(
            name=f"m{number}",
            rack=rack,
            kind=kinds[number % len(kinds)],
            crashes=self.crashes,
        )
        minion.write_registration()
        self.minions[minion.name] = minion
        return minion

    def later(
        self, delay_ms: int, action: Callable[[], None], owned: bool = True
    ) -> None:
        """Does something later; `owned` actions end with their owner."""
        epoch = self.epoch if owned else 0
        entry = (self.now_ms + delay_ms, next(self.numbers), epoch, action)
        heapq.heappush(self.queue, entry)

    def write(self, action: Callable[[], None]) -> None:
        """Stores something for the owner; writes keep their order."""
        delay_ms = self.draw.choice((30, 60, 400))
        at_ms = max(self.now_ms + delay_ms, self.last_write_ms)
        self.last_write_ms = at_ms
        self.later(at_ms - self.now_ms, action)

    def take_over(self) -> None:
        """Replaces the owner, as the recovery of an entry does."""
        self.epoch += 1
        self.takeovers += 1
        self.last_write_ms = 0
        previous = self.owner
        self.owner = owners.Owner(model=self)
        self.advice.begin_ownership()
        self.owner.recover(previous)

    def lose_owner(self, until_ms: int) -> None:
        """Leaves the cell without an owner for a while."""
        self.epoch += 1
        self.ownerless_until_ms = until_ms

    def configure(self) -> None:
        """Passes the newest configuration to the owner."""
        configuration = self.limits.build_configuration()
        self.apply(events.ConfigurationChanged(configuration=configuration))

    def apply(self, event: events.Event) -> None:
        """Applies an event and executes its effects."""
        for effect in reducer.reduce(self.cell, event, self.now_ms):
            self.execute(effect)

    def execute(self, effect: effects.Effect) -> None:
        """Executes an effect of the owner."""
        if self.trace is not None:
            self.trace(self.now_ms, effect)
        orders.execute(self, effect)

    def run(self, seconds: float) -> None:
        """Plays the cell for a while under faults."""
        deadline_ms = self.now_ms + int(seconds * 1_000)
        while self.now_ms < deadline_ms:
            self.advance()
            if not self.ownerless_until_ms:
                faults.strike(self)

    def settle(self) -> None:
        """Ends all trouble and plays until every job is over, or is lost."""
        for fault in self.scenario.closing:
            fault(self)
        faults.calm_down(self)
        self.lost.begin()
        while not self.lost.is_over():
            self.advance()
            self.lost.watch()

    def describe(self) -> str:
        """Returns what has happened, for a report."""
        reasons = collections.Counter(self.outcomes.values())
        crashed = [
            task.count
            for record in self.cell.jobs.values()
            for step in record.steps.values()
            for task in step.crashes.values()
        ]
        outcomes = ",".join(
            f"{name}:{reasons[name]}" for name in sorted(reasons)
        )
        return (
            f"starts={self.starts} takeovers={self.takeovers} "
            f"kind_changes={self.kind_changes} "
            f"jobs={len(self.jobs)} outcomes={outcomes} "
            f"refused_tickets={self.refused_tickets} "
            f"advice_calls={self.advice.calls} "
            f"longest_call_ms={self.advice.longest_wait_ms} "
            f"suspects={sum(count >= 2 for count in crashed)} "
            f"solitary={sum(count >= 3 for count in crashed)} "
            f"slowest_ms={self.lost.slowest_ms}"
        )

    def advance(self) -> None:
        """Plays one step."""
        self.now_ms += STEP_MS
        self.run_queue()
        orders.advance_runs(self)
        if self.ownerless_until_ms > self.now_ms:
            return
        if self.ownerless_until_ms:
            self.ownerless_until_ms = 0
            self.take_over()
        self.owner.poll_all()
        self.apply(events.Ticked(wall_ms=self.now_ms))
        for effect in reducer.advance(self.cell, self.now_ms):
            self.execute(effect)

    def run_queue(self) -> None:
        """Does what is due; actions of earlier owners are dropped."""
        while self.queue and self.queue[0][0] <= self.now_ms:
            _, _, epoch, action = heapq.heappop(self.queue)
            if epoch in (0, self.epoch):
                action()
