"""Tests of late gangs that fit into free capacity and yet can't start."""

import dataclasses

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from tests.core.scheduling import cases
from tests.core.scheduling import test_placement

LATE_MS = 60_000
TICKS = 30


class UrgentCapacityTest(cases.CellCase):
    """A late gang must leave capacity free for the first rank."""

    minion_count = 10

    def build_settings(self) -> settings.Settings:
        """Returns the default settings, which keep urgent capacity."""
        return settings.Settings()

    def test_it_does_not_keep_small_tasks_from_starting(self) -> None:
        self.submit(cases.build_step(5, cpu=4_000, lasting=True))
        self.confirm_starts()
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        self.submit(cases.build_step(5, cpu=3_900, gang=True))
        small = self.submit(cases.build_step())
        self.now_ms += LATE_MS
        started = []
        for name in self.cell.minions:
            self.poll(name, running=tuple(self.list_running(name)))
            started += self.list_started()
        for _ in range(TICKS):
            self.tick()
            started += self.list_started()
        self.assertEqual(started, [small])

    def list_started(self) -> list[str]:
        """Returns the jobs whose tasks the last event started."""
        return [each.key.job_id for each in self.get_starts()]


class FailingCallsTest(test_placement.AdviceCase):
    """A late gang's calls for new tickets fail."""

    minion_count = 4

    def setUp(self) -> None:
        """Creates a cell without calls under way."""
        self.pending: list[effects.AskAdvice] = []
        super().setUp()

    def apply(self, event: events.Event, elapsed_ms: int = 0) -> None:
        """Applies an event and records the calls that it leads to."""
        super().apply(event, elapsed_ms)
        self.pending += self.get_effects(effects.AskAdvice)

    def test_it_does_not_keep_other_tasks_from_starting(self) -> None:
        self.submit(cases.build_step(4, cpu=4_000, gang=True), queue="checks")
        call = self.pending.pop()
        self.advise(dataclasses.replace(call, valid_ms=0), *call.minion_ids)
        self.now_ms += LATE_MS
        self.fail_calls()
        queue = dataclasses.replace(
            self.configuration.queues["runs"], advice=None
        )
        self.configuration = dataclasses.replace(
            self.configuration,
            queues=self.configuration.queues | {"runs": queue},
        )
        self.apply(
            events.ConfigurationChanged(configuration=self.configuration)
        )
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        other = self.submit(cases.build_step())
        self.now_ms += LATE_MS
        for name in self.cell.minions:
            self.poll(name)
        started = set()
        for _ in range(TICKS):
            self.fail_calls()
            started |= {each.key.job_id for each in self.get_starts()}
        self.assertEqual(started, {other})

    def fail_calls(self) -> None:
        """Lets each call that is under way fail, then applies a tick."""
        pending, self.pending = self.pending, []
        for call in pending:
            self.end_call(call, None)
        self.tick()
