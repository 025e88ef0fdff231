"""Tests of how many steps request advice or tickets at a time."""

import dataclasses

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from tests.core.scheduling import cases
from tests.core.scheduling import test_placement


class RequestLimitTest(test_placement.AdviceCase):
    """Many steps wait while little capacity is free."""

    minion_count = 2
    advice = cells.AdviceTerms(call_ms=100, minion_ms=1, valid_ms=2_500)

    def submit_many(self, **words) -> list[effects.AskAdvice]:
        """Submits forty jobs and returns the calls for advice on them."""
        calls = []
        for _ in range(40):
            self.submit(cases.build_step(), **words)
            calls += self.get_effects(effects.AskAdvice)
        return calls

    def test_no_more_steps_ask_than_the_free_capacity_may_hold(self) -> None:
        self.assertEqual(len(self.submit_many()), 16)

    def test_the_others_ask_once_those_have_their_answers(self) -> None:
        calls = self.submit_many()
        asked = {call.job_id for call in calls}
        for _ in range(10):
            call = calls.pop(0)
            self.advise(call)
            calls += self.get_effects(effects.AskAdvice)
        self.assertGreater(len({call.job_id for call in calls} - asked), 5)

    def test_urgent_steps_ask_whatever_is_free(self) -> None:
        self.assertEqual(len(self.submit_many(queue="checks")), 40)

    def test_no_more_steps_renew_tickets_than_may_start(self) -> None:
        calls = []
        for _ in range(2):
            calls += self.submit_many()
            for call in calls:
                self.advise(dataclasses.replace(call, valid_ms=0), "m0")
            calls = self.get_effects(effects.AskAdvice)
        renewed = set()
        for _ in range(5):
            self.tick(200)
            renewed |= self.list_asked()
        self.assertLessEqual(len(renewed), 17)

    def test_no_more_late_gangs_ask_than_the_free_capacity_may_hold(
        self,
    ) -> None:
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        for _ in range(40):
            job = self.build_job(cases.build_step(2, gang=True))
            reducer.reduce(self.cell, events.JobAccepted(job=job), self.now_ms)
        self.now_ms += 60_000
        asked = set()
        for name in self.cell.minions:
            self.poll(name)
            asked |= self.list_asked()
        for _ in range(5):
            self.tick(200)
            asked |= self.list_asked()
        self.assertEqual(len(asked), 8)

    def list_asked(self) -> set[str]:
        """Returns the jobs for which the last event requested advice."""
        return {each.job_id for each in self.get_effects(effects.AskAdvice)}


class HeldBudgetTest(test_placement.AdviceCase):
    """Steps at the front can't use the capacity that they ask for."""

    minion_count = 2
    limit = resources.Resources(cpu_millis=1_000)

    def build_workspaces(self) -> list[cells.Workspace]:
        """Returns a limited workspace and one without a limit."""
        (limited,) = super().build_workspaces()
        unlimited = cells.Workspace(
            name="alps", share=1_000.0, limit=resources.ZERO
        )
        return [limited, unlimited]

    def fail_call(self, call: effects.AskAdvice) -> None:
        """Lets a call for advice fail."""
        self.end_call(call, None)

    def test_steps_whose_calls_fail_do_not_keep_others_from_asking(
        self,
    ) -> None:
        words = {"workspace": "alps"}
        calls: list[effects.AskAdvice] = []
        for _ in range(16):
            self.submit(cases.build_step(estimate_ms=60_000), **words)
            calls += self.get_effects(effects.AskAdvice)
        self.assertEqual(len(calls), 16)
        other_id = self.submit(cases.build_step(estimate_ms=90_000), **words)
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        asked = set()
        for _ in range(10):
            self.tick()
            calls += self.get_effects(effects.AskAdvice)
            for call in list(calls):
                self.fail_call(call)
                calls.remove(call)
                calls += self.get_effects(effects.AskAdvice)
            asked |= {call.job_id for call in calls}
        self.assertIn(other_id, asked)

    def test_a_workspace_at_its_limit_does_not_keep_others_from_asking(
        self,
    ) -> None:
        self.submit()
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        self.confirm_starts()
        for _ in range(4):
            self.submit(cases.build_step(20, estimate_ms=60_000))
        other_id = self.submit(
            cases.build_step(estimate_ms=90_000), workspace="alps"
        )
        asked = {each.job_id for each in self.get_effects(effects.AskAdvice)}
        self.assertIn(other_id, asked)


class SlowCallTest(test_placement.AdviceCase):
    """Slow calls wait for an entry while fast ones could be made."""

    minion_count = 2
    advice = cells.AdviceTerms(call_ms=500, minion_ms=5, valid_ms=2_500)

    def build_queue(self, name: str = "runs", rank: int = 1) -> cells.Queue:
        """Returns a queue; calls for the queue `checks` are fast."""
        queue = super().build_queue(name, rank=1)
        if name == "checks":
            terms = cells.AdviceTerms(call_ms=10, minion_ms=1, valid_ms=2_500)
            queue = dataclasses.replace(queue, advice=terms)
        return queue

    def test_slow_calls_that_wait_do_not_keep_fast_ones_from_being_made(
        self,
    ) -> None:
        for _ in range(2):
            self.submit(cases.build_step(40, estimate_ms=60_000))
            self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)
        self.submit(cases.build_step(estimate_ms=90_000), queue="checks")
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)
