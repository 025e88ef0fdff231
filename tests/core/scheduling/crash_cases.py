"""Base of the tests of tasks that crash the minions that start them."""

import itertools
import re

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases

MAX_STARTS = 5  # three crashes and two more starts
UNANSWERED = minions.OrderFailure(reason="timeout", effect_unknown=True)
LATE = minions.OrderFailure(
    reason="late", refusal=minions.Refusal.DEADLINE_PASSED
)
ROUNDS = 12


def build_crash_row(
    key: steps.TaskKey, number: int, *, proven: bool = True
) -> events.RecordedEnd:
    """Returns a crash under a run of a task as an earlier owner recorded it."""
    return events.RecordedEnd(
        key=key,
        number=number,
        kind=minions.EndKind.LEASE_EXPIRED,
        checkpoint="",
        proven=proven,
    )


class CrashCase(cases.CellCase):
    """A cell whose minions can crash.

    Attributes:
        all_effects: Effects of all events so far.
        incarnations: Incarnations of the minions that have crashed, by id.
        waits: Jobs whose suspects have started beside others after all, with
            how long they had waited in ms, and whether the cell was calm.
        answers_polls: Whether minions answer the polls that go before some
            starts.
    """

    minion_count = 6
    answers_polls = True

    def setUp(self) -> None:
        """Creates the cell."""
        self.all_effects: list[effects.Effect] = []
        self.incarnations: dict[str, int] = {}
        self.waits: dict[str, tuple[int, bool]] = {}
        self.minion_numbers = itertools.count(100)
        super().setUp()

    def apply(self, event: events.Event, elapsed_ms: int = 0) -> None:
        """Applies an event and keeps its effects."""
        is_calm = self.is_calm()
        super().apply(event, elapsed_ms)
        self.all_effects += self.last_effects
        self.contact_minions()
        for effect in self.get_effects(effects.LogDecision):
            if effect.event_name == "solitude_given_up":
                waited_ms = int(
                    re.search(r"waited_ms=(\d+)", effect.detail).group(1)
                )
                job_id = effect.subject.split(".")[0]
                if waited_ms < self.now_ms:  # else no wait was noted
                    self.waits[job_id] = waited_ms, is_calm

    def contact_minions(self) -> None:
        """Lets minions answer the polls that go before some starts."""
        for start in self.get_starts():
            if start.contact_first and self.answers_polls:
                reducer.reduce(
                    self.cell,
                    events.StartContacted(
                        key=start.key,
                        number=start.number,
                        minion_id=start.minion_id,
                    ),
                    self.now_ms,
                )

    def is_calm(self) -> bool:
        """Returns whether less than half of the minions' capacity is in use."""
        used = [each.used.cpu_millis for each in self.cell.minions.values()]
        return 2 * sum(used) < self.minion_cpu * len(used)

    def store_crashes(self) -> list[effects.RecordCrash]:
        """Stores the crashes of the last event and returns them."""
        rows = self.get_effects(effects.RecordCrash)
        for row in rows:
            if not row.retracted:
                self.apply(events.CrashStored(key=row.key, number=row.number))
        return rows

    def restart(self, name: str) -> list[effects.RecordCrash]:
        """Lets a minion crash and answer again under the same id."""
        number = self.incarnations.get(name, 1) + 1
        self.incarnations[name] = number
        self.now_ms += 1_000
        self.poll(name, incarnation=number)
        rows = self.store_crashes()
        self.tick(self.cell.settings.return_quarantine_ms + 1)
        return rows

    def replace(self, name: str) -> list[effects.RecordCrash]:
        """Lets a minion crash and come back under another id."""
        self.apply(events.MinionUnreachable(minion_id=name))
        self.apply(events.MinionUnregistered(minion_id=name))
        self.now_ms += 4_000
        self.apply(events.LeaseExpired(minion_id=name))
        rows = self.store_crashes()
        new_name = f"m{next(self.minion_numbers)}"
        self.add_minion(new_name)
        self.poll(new_name)
        return rows

    def cut_off(self, *names: str) -> list[effects.RecordCrash]:
        """Cuts minions off until their leases have expired."""
        for name in names:
            self.apply(events.MinionUnreachable(minion_id=name))
        self.now_ms += 4_000
        rows = []
        for name in names:
            self.apply(events.LeaseExpired(minion_id=name))
            rows += self.store_crashes()
        return rows

    def crash_under(self, job_id: str, times: int) -> None:
        """Replaces the minion of a job's only run several times."""
        for _ in range(times):
            self.confirm_all()
            self.replace(self.find_run(job_id).minion_id)
            self.tick()

    def occupy_all(self, cpu: int) -> str:
        """Starts a long task on each minion; returns the id of their job."""
        job_id = self.submit(
            cases.build_step(
                len(self.cell.minions),
                cpu,
                minion_limit=1,
                estimate_ms=600_000,
            )
        )
        self.confirm_all()
        return job_id

    def confirm_stop(self, start: effects.StartTask) -> None:
        """Confirms that a run is stopped or can't begin any more."""
        self.apply(
            events.StopAnswered(
                key=start.key,
                number=start.number,
                minion_id=start.minion_id,
                confirmed=True,
            )
        )

    def poll_running(self, name: str) -> None:
        """Applies a reply that lists all runs of a minion."""
        self.poll(
            name,
            running=tuple(self.list_running(name)),
            incarnation=self.incarnations.get(name, 1),
        )

    def confirm_all(self) -> None:
        """Confirms every start that is not confirmed yet."""
        for name in list(self.cell.minions):
            self.poll_running(name)

    def find_runs(self, job_id: str) -> list[state.Run]:
        """Returns the present runs of a job."""
        return [
            run
            for minion in self.cell.minions.values()
            for run in minion.runs.values()
            if run.key.job_id == job_id
        ]

    def find_run(self, job_id: str) -> state.Run:
        """Returns the only run of a job."""
        (run,) = self.find_runs(job_id)
        return run

    def count_starts(self, job_id: str, index: int = 0) -> int:
        """Returns how often a task was started."""
        return sum(
            isinstance(each, effects.StartTask)
            and each.key.job_id == job_id
            and each.key.index == index
            for each in self.all_effects
        )

    def play(self, deadly: set[str], crash, lasts: int = 2) -> None:
        """Crashes minions with tasks of deadly jobs until nothing is left.

        Other tasks end after some rounds.
        """
        ages: dict[tuple[steps.TaskKey, int], int] = {}
        for _ in range(ROUNDS * len(deadly)):
            self.tick(5_000)
            self.check_minions()
            self.confirm_all()
            hosts = [
                name
                for name, minion in self.cell.minions.items()
                if any(run.key.job_id in deadly for run in minion.runs.values())
            ]
            for name in hosts:
                crash(name)
            for name in list(self.cell.minions):
                for run in self.list_running(name):
                    known = (run.key, run.number)
                    ages[known] = ages.get(known, 0) + 1
                    is_old = ages[known] >= lasts
                    if is_old and run.key.job_id not in deadly:
                        self.end_run(name, run)

    def check_minions(self) -> None:
        """Checks that no minion has too much on it, or two suspect jobs.

        Those that have waited for as long as `solitude` says may join others.
        """
        for minion in self.cell.minions.values():
            self.assertLessEqual(minion.used.cpu_millis, self.minion_cpu)
            suspects = {
                run.key.job_id
                for run in minion.runs.values()
                if solitude.is_suspect(run)
            }
            apart = [each for each in suspects if not self.may_join(each)]
            self.assertLessEqual(len(apart), 1)

    def may_join(self, job_id: str) -> bool:
        """Returns whether a job's suspects have waited for long enough."""
        waited_ms, is_calm = self.waits.get(job_id, (0, False))
        limit_ms = solitude.APART_LIMIT_MS
        if is_calm:
            limit_ms = solitude.CALM_LIMIT_MS
        return waited_ms >= limit_ms

    def end_run(self, name: str, run: state.Run) -> None:
        """Lists the end of one run that has done its work."""
        others = [each for each in self.list_running(name) if each is not run]
        end = minions.TaskEnd(
            number=next(self.end_numbers),
            key=run.key,
            run=run.number,
            kind=minions.EndKind.DONE,
            checkpoint="",
        )
        self.poll(
            name,
            running=tuple(others),
            ends=(end,),
            incarnation=self.incarnations.get(name, 1),
        )

    def crash_until_solitary(self, job_id: str) -> None:
        """Lets three minions crash under a job's only task."""
        for _ in range(3):
            self.confirm_all()
            self.restart(self.find_run(job_id).minion_id)

    def get_state_name(self, job_id: str) -> str:
        """Returns the text of a job's state."""
        return str(self.get_state(job_id))
