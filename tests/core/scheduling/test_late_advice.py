"""Tests of steps whose advice is late or never comes."""

import dataclasses

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import reducer
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import test_placement


class LateAdviceTest(test_placement.AdviceCase):
    """Advice for a late step behind many that can't start."""

    def wait_for_call(self, job_id: str) -> effects.AskAdvice:
        """Returns the first call for advice for a job."""
        for _ in range(100):
            for call in self.get_effects(effects.AskAdvice):
                if call.job_id == job_id:
                    return call
            self.tick()
        raise AssertionError(f"no call for {job_id}")

    def test_it_starts_before_its_tickets_expire(self) -> None:
        gang = cases.build_step(20, gang=True)
        for _ in range(400):
            event = events.JobAccepted(job=self.build_job(gang, queue="checks"))
            reducer.reduce(self.cell, event, self.now_ms)
        late = self.submit(cases.build_step())
        call = self.wait_for_call(late)
        self.advise(call, *call.minion_ids)
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [late])


class StaleCallTest(test_placement.AdviceCase):
    """A call for advice waits while its step becomes late."""

    def test_it_is_moved_behind_calls_of_steps_in_time(self) -> None:
        job_id = self.submit(cases.build_step(), queue="checks")
        (call,) = self.get_effects(effects.AskAdvice)
        moved = []
        for _ in range(40):
            self.tick()
            moved += self.get_effects(effects.ReorderAdvice)
        self.assertGreater(len(moved), 0)
        self.assertEqual({each.job_id for each in moved}, {job_id})
        orders = [call.order, *(each.order for each in moved)]
        self.assertEqual(orders, sorted(set(orders)))

    def test_a_call_whose_step_is_as_urgent_stays(self) -> None:
        self.submit(cases.build_step(estimate_ms=600_000))
        self.tick()
        self.assertEqual(self.get_effects(effects.ReorderAdvice), [])


class WaitingCallTest(test_placement.AdviceCase):
    """A call for advice waits for an entry while minions come and go."""

    def list_renamed(self, ticks: int) -> list[set[str]]:
        """Returns what waiting calls were changed to name during some ticks."""
        renamed = []
        for _ in range(ticks):
            self.tick()
            renamed += [
                set(each.minion_ids)
                for each in self.get_effects(effects.RenameAdvice)
            ]
        return renamed

    def replace_minion(self, minion_id: str, replacement_id: str) -> None:
        """Removes a minion and registers another one."""
        self.apply(events.MinionUnregistered(minion_id=minion_id))
        self.apply(events.LeaseExpired(minion_id=minion_id))
        self.add_minion(replacement_id)
        self.poll(replacement_id)

    def test_it_names_no_minion_that_has_left_meanwhile(self) -> None:
        self.submit(cases.build_step())
        (call,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(call.minion_ids), {"m0", "m1"})
        for name in call.minion_ids:
            self.replace_minion(name, f"{name}b")
        self.assertEqual(self.list_renamed(10)[-1:], [{"m0b", "m1b"}])

    def test_a_gang_renews_tickets_for_the_minions_that_it_fits_now(
        self,
    ) -> None:
        self.submit(cases.build_step(cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(dataclasses.replace(call, valid_ms=0), "m0")
        self.tick(200)
        (renewal,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(renewal.minion_ids, ("m0",))
        self.replace_minion("m0", "m2")
        self.assertEqual(self.list_renamed(10)[-1:], [{"m2"}])

    def test_it_stays_as_it_is_while_nothing_changes(self) -> None:
        self.submit(cases.build_step())
        self.assertEqual(self.list_renamed(20), [])


class UnplaceableAdviceTest(test_placement.AdviceCase):
    """Steps that wait for advice, but could not start or get none."""

    limit = resources.Resources(cpu_millis=8_000)

    def build_queue(self, name: str = "runs", rank: int = 1) -> cells.Queue:
        """Returns a queue, which needs advice only if it is `checks`."""
        built = super().build_queue(name, rank)
        if name == "checks":
            return built
        return dataclasses.replace(built, advice=None)

    def check_task_starts_behind(self, unplaceable: steps.Step) -> None:
        """Checks that a small task starts behind a step without advice."""
        self.submit(unplaceable, queue="checks")
        later = self.submit(cases.build_step())
        started = {each.key.job_id for each in self.get_starts()}
        self.assertEqual(started, {later})

    def test_tasks_for_a_label_that_no_minion_has_hold_no_headroom(
        self,
    ) -> None:
        self.check_task_starts_behind(cases.build_step(8, label="none"))

    def test_a_step_whose_calls_fail_holds_no_headroom(self) -> None:
        self.submit(cases.build_step(8), queue="checks")
        (call,) = self.get_effects(effects.AskAdvice)
        later = self.submit(cases.build_step())
        self.assertFalse(self.get_starts())
        self.end_call(call, None)
        started = [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [later])

    def test_a_step_whose_call_waits_for_long_holds_no_headroom(self) -> None:
        self.submit(cases.build_step(8), queue="checks")
        later = self.submit(cases.build_step())
        started = []
        for _ in range(25):
            self.tick()
            started += [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, [later])

    def test_a_step_whose_call_is_recent_holds_headroom(self) -> None:
        self.submit(cases.build_step(8), queue="checks")
        self.submit(cases.build_step())
        self.tick(1_000)
        self.assertEqual(self.get_starts(), [])

    def test_a_gang_above_the_limit_holds_no_headroom(self) -> None:
        self.check_task_starts_behind(cases.build_step(9, gang=True))
