"""Tests of what minions list and leave out."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases

OLD = minions.OrderFailure(reason="old", refusal=minions.Refusal.STALE_RUN)
LOST = minions.OrderFailure(reason="timeout", effect_unknown=True)


class AbsenceTest(cases.CellCase):
    """Runs that a minion does not list."""

    minion_count = 1

    def test_a_list_older_than_the_start_proves_nothing(self) -> None:
        self.submit()
        before_ms = self.now_ms - 50
        self.run_all()
        self.look("m0", sent_ms=before_ms)
        self.assertEqual(len(self.list_running("m0")), 1)

    def test_a_confirmed_run_that_is_not_listed_is_gone(self) -> None:
        self.submit()
        (start,) = self.run_all()
        self.now_ms += 10
        self.look("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_an_unanswered_start_keeps_its_room_until_its_stop(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (start,) = self.get_starts()
        self.answer(start, LOST)
        self.assertEqual(len(self.get_stops()), 1)
        self.look("m0")
        self.assertEqual(self.get_starts(), [])
        self.apply(
            events.StopAnswered(
                key=start.key,
                number=start.number,
                minion_id="m0",
                confirmed=True,
            )
        )
        self.assertEqual(self.get_starts(), [])
        (look,) = self.get_effects(effects.PollMinion)
        self.assertEqual(look.minion_id, "m0")
        self.now_ms += 1
        self.look("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_an_unanswered_start_is_over_after_its_deadline(self) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, LOST)
        self.now_ms += self.cell.settings.start_ms + 500
        self.look("m0")
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_run_called_old_may_have_ended(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.answer(start, OLD)
        self.assertEqual(self.get_starts(), [])
        self.end(start)
        self.assertEqual(self.get_state(job_id).value, "completed")

    def test_a_run_called_old_that_has_not_ended_is_given_up(self) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, OLD)
        self.now_ms += 10
        self.look("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_an_unconfirmed_stop_is_sent_again(self) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, LOST)
        self.tick(self.cell.settings.repeat_stop_ms)
        self.assertEqual([each.number for each in self.get_stops()], [1])

    def test_a_new_life_runs_nothing_of_the_old(self) -> None:
        self.submit()
        self.run_all()
        self.look("m0", incarnation=2)
        self.tick(self.cell.settings.return_ms + 1)
        self.assertEqual(len(self.list_running("m0")), 1)
        self.assertEqual(self.list_running("m0")[0].number, 2)


class LeaseTest(cases.CellCase):
    """Minions that do not answer."""

    def test_tasks_wait_until_the_lease_is_over(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (start,) = self.run_all()
        self.apply(events.MinionUnreachable(minion_id=start.minion_id))
        self.assertEqual(self.get_starts(), [])
        self.apply(events.LeaseExpired(minion_id=start.minion_id))
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_a_late_end_of_a_lapsed_run_does_not_count(self) -> None:
        job_id = self.submit(cases.build_step(cpu=4_000))
        (start,) = self.run_all()
        self.apply(events.MinionUnreachable(minion_id=start.minion_id))
        self.apply(events.LeaseExpired(minion_id=start.minion_id))
        self.run_all()
        self.end(start)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
        (seen,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(seen.must_store)

    def test_unregistered_minion_receives_nothing(self) -> None:
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})

    def test_an_end_counts_though_the_registration_is_gone(self) -> None:
        for name in ("m0", "m1"):
            self.apply(events.MinionUnregistered(minion_id=name))
        job_id = self.submit(cases.build_step())
        self.assertEqual(self.get_starts(), [])
        key = steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)
        self.end(cases.build_listed(key, 1))
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)

    def test_a_minion_that_is_gone_is_forgotten_with_its_lease(self) -> None:
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.assertIn("m0", self.cell.minions)
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.assertNotIn("m0", self.cell.minions)

    def test_draining_minion_receives_nothing(self) -> None:
        self.add_minion("m0", draining=True)
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})


class SecondRunTest(cases.CellCase):
    """Runs that nobody asked for."""

    minion_count = 1

    def test_second_run_of_a_task_is_stopped_and_counts(self) -> None:
        job_id = self.submit(cases.build_step(cpu=3_000))
        (start,) = self.run_all()
        other = cases.build_listed(start.key, 9)
        self.look("m0", running=(start, other))
        self.assertEqual([each.number for each in self.get_stops()], [9])
        self.assertEqual(self.cell.minions["m0"].used.cpu_millis, 6_000)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
