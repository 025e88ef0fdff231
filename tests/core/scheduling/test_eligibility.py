"""Tests of which minions a step may use as advice on them changes."""

import dataclasses

from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import events
from hickoryreach.scheduling import gangs
from hickoryreach.scheduling import settings
from tests.core.scheduling import cases
from tests.core.scheduling import test_placement


class WithdrawnAdviceTest(test_placement.AdviceCase):
    """Later advice no longer allows a minion that earlier advice allowed."""

    minion_count = 4

    def build_settings(self) -> settings.Settings:
        """Returns settings by which a call names at most two minions."""
        return settings.Settings(
            urgent_fraction=0.0, reserved_fraction=1.0, named_minions_limit=2
        )

    def test_gang_does_not_wait_for_a_minion_no_longer_allowed(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        first, second = call.minion_ids
        self.now_ms += 3_000
        self.apply_expired(call, first, second)
        (refresh,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(refresh.minion_ids), {first, second})
        self.now_ms += 200
        self.advise(refresh, first)
        (further,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(further.minion_ids) & {first, second}, set())
        self.advise(further, *further.minion_ids)
        self.assertEqual(len(self.get_starts()), 2)

    def test_task_does_not_wait_for_a_minion_no_longer_allowed(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.apply_expired(call, *call.minion_ids)
        self.tick(200)
        (refresh,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 200
        self.advise(refresh)
        (further,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(further.minion_ids) & set(call.minion_ids), set())

    def test_a_minion_is_either_allowed_or_denied(self) -> None:
        job_id = self.submit(cases.build_step(cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        step = self.cell.jobs[job_id].steps[(0, 0)]
        self.apply_expired(call)
        self.assertEqual(set(step.denied), set(call.minion_ids))
        self.apply_expired(call, *call.minion_ids)
        self.assertEqual(set(step.allowed), set(call.minion_ids))
        self.assertEqual(set(step.denied), set())

    def apply_expired(self, call: effects.AskAdvice, *allowed: str) -> None:
        """Answers a call with tickets that have expired on arrival."""
        self.advise(dataclasses.replace(call, valid_ms=0), *allowed)


class RenewedTicketsTest(test_placement.AdviceCase):
    """Minions are occupied and released while tickets are renewed."""

    minion_count = 4

    def test_a_step_uses_a_minion_that_was_released_meanwhile(self) -> None:
        self.submit(cases.build_step(3, cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m1", "m2", "m3")
        occupants = self.confirm_starts()
        waiting = self.submit(cases.build_step(cpu=3_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(dataclasses.replace(call, valid_ms=0), "m0", "m1")
        self.tick(200)
        (renewal,) = self.get_effects(effects.AskAdvice)
        self.apply(events.MinionUnreachable(minion_id="m0"))
        (released,) = (each for each in occupants if each.minion_id == "m1")
        self.end(released)
        self.advise(renewal, *renewal.minion_ids)
        started = {each.key.job_id for each in self.get_starts()}
        self.assertEqual(started, {waiting})


class ReplacedMinionsTest(test_placement.AdviceCase):
    """All minions that a step has advice on were replaced."""

    def replace_minion(self, minion_id: str, replacement_id: str) -> None:
        """Removes a minion and registers another one."""
        self.apply(events.MinionUnregistered(minion_id=minion_id))
        self.apply(events.LeaseExpired(minion_id=minion_id))
        self.add_minion(replacement_id)
        self.poll(replacement_id)

    def test_step_does_not_wait_for_minions_that_have_left(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call)
        self.now_ms += 200
        self.replace_minion("m0", "m2")
        (further,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(further.minion_ids, ("m2",))
        self.advise(further, "m2")
        self.assertEqual(len(self.get_starts()), 1)


class RestartedMinionTest(test_placement.AdviceCase):
    """Advice on a minion that has restarted since."""

    def submit_denied(self) -> effects.AskAdvice:
        """Submits a job that may run on no minion; returns its call."""
        self.submit(cases.build_step(cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(call.minion_ids), {"m0", "m1"})
        self.advise(call)
        return call

    def collect_calls(self, duration_ms: int) -> list[effects.AskAdvice]:
        """Returns the calls of some time without other events."""
        calls = []
        for _ in range(0, duration_ms, 100):
            self.tick()
            calls += self.get_effects(effects.AskAdvice)
        return calls

    def test_step_does_not_wait_for_ever_for_a_restarted_minion(self) -> None:
        self.submit_denied()
        self.poll("m1", incarnation=2)
        (call,) = self.collect_calls(eligibility.RECHECK_WAIT_MS + 1_000)
        self.assertEqual(call.minion_ids, ("m1",))
        self.advise(call, "m1")
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m1"])

    def test_gang_does_not_wait_for_ever_for_a_restarted_minion(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        self.poll("m1", incarnation=2)
        (call,) = self.collect_calls(eligibility.RECHECK_WAIT_MS + 1_000)
        self.assertEqual(call.minion_ids, ("m1",))
        self.advise(call, "m1")
        (refresh,) = self.get_effects(effects.AskAdvice) or self.collect_calls(
            200
        )
        self.advise(refresh, "m0", "m1")
        self.assertEqual(len(self.get_starts()), 2)

    def test_a_restarted_minion_is_asked_about_once(self) -> None:
        self.submit_denied()
        self.poll("m1", incarnation=2)
        (call,) = self.collect_calls(eligibility.RECHECK_WAIT_MS + 1_000)
        self.advise(call)
        self.assertEqual(self.collect_calls(60_000), [])

    def test_denials_stand_for_steps_that_wait_shortly(self) -> None:
        self.submit_denied()
        self.poll("m1", incarnation=2)
        calls = self.collect_calls(eligibility.RECHECK_WAIT_MS - 200)
        self.assertEqual(calls, [])

    def test_denials_of_minions_that_go_on_stand(self) -> None:
        self.submit_denied()
        self.assertEqual(self.collect_calls(60_000), [])


class LateGangTest(test_placement.AdviceCase):
    """A gang's few allowed minions stay occupied, and others are free."""

    minion_count = 4

    def build_settings(self) -> settings.Settings:
        """Returns settings by which a call names at most two minions."""
        return settings.Settings(
            urgent_fraction=0.0, reserved_fraction=1.0, named_minions_limit=2
        )

    def submit_gang(self) -> effects.AskAdvice:
        """Submits a gang whose allowed minions are occupied for good."""
        for minion_id in ("m0", "m1"):
            self.cell.minions[minion_id].used = cases.build_need(4_000, 0)
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(
            dataclasses.replace(call, minion_ids=("m0", "m1")), "m0", "m1"
        )
        return call

    def test_late_gang_does_not_wait_for_its_allowed_minions_alone(
        self,
    ) -> None:
        self.submit_gang()
        for _ in range(300):
            self.tick()
            for call in self.get_effects(effects.AskAdvice):
                self.advise(call, "m2", "m3")
            if self.get_starts():
                break
        self.assertEqual(
            {each.minion_id for each in self.get_starts()}, {"m2", "m3"}
        )

    def test_calls_of_a_late_gang_are_spaced_out(self) -> None:
        self.submit_gang()
        self.now_ms += 30_000
        asked_at = []
        for _ in range(100):
            self.tick()
            for call in self.get_effects(effects.AskAdvice):
                asked_at.append(self.now_ms)
                self.end_call(call, None)
        self.assertGreater(len(asked_at), 2)
        gaps = [later - asked_at[n] for n, later in enumerate(asked_at[1:])]
        self.assertGreaterEqual(min(gaps), gangs.LATE_CALL_INTERVAL_MS)


class LostCallTest(test_placement.AdviceCase):
    """A call for advice whose end is never reported."""

    def test_step_does_not_wait_for_ever_for_a_lost_call(self) -> None:
        self.submit(cases.build_step())
        (lost,) = self.get_effects(effects.AskAdvice)
        self.tick(advice_requests.CALL_LIMIT_MS - 1)
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        self.tick(1)
        (again,) = self.get_effects(effects.AskAdvice)
        (logged,) = self.get_effects(effects.LogDecision)
        self.assertEqual(logged.event_name, "advice_call_lost")
        self.advise(again, *lost.minion_ids)
        self.assertEqual(len(self.get_starts()), 1)
