"""Tests of the handling of poll replies."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases

STALE = minions.OrderFailure(reason="old", refusal=minions.Refusal.STALE_RUN)
UNANSWERED = minions.OrderFailure(reason="timeout", effect_unknown=True)


def build_page() -> tuple[minions.TaskEnd, ...]:
    """Returns as many ends as a reply lists, of a job that has ended."""
    return tuple(
        minions.TaskEnd(
            number=number,
            key=steps.TaskKey(job_id="ended", repeat=0, step=0, index=number),
            run=1,
            kind=minions.EndKind.STOPPED,
            checkpoint="",
        )
        for number in range(minions.MAX_LISTED_ENDS)
    )


class AbsenceTest(cases.CellCase):
    """Runs that a minion does not list."""

    minion_count = 1

    def test_a_reply_to_a_poll_before_the_start_is_no_proof(self) -> None:
        self.submit()
        before_ms = self.now_ms - 50
        self.confirm_starts()
        self.poll("m0", sent_ms=before_ms)
        self.assertEqual(len(self.list_running("m0")), 1)

    def test_a_confirmed_run_that_is_not_listed_is_started_again(self) -> None:
        self.submit()
        (start,) = self.confirm_starts()
        self.now_ms += 10
        self.poll("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_an_unanswered_start_occupies_capacity_until_its_stop(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (start,) = self.get_starts()
        self.answer(start, UNANSWERED)
        self.assertEqual(len(self.get_stops()), 1)
        self.poll("m0")
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
        (immediate_poll,) = self.get_effects(effects.PollMinion)
        self.assertEqual(immediate_poll.minion_id, "m0")
        self.now_ms += 1
        self.poll("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    # Guards against a second run of a task whose first one was never answered
    # and has ended, with more ends before its own than one reply lists.
    def test_an_unanswered_start_is_kept_until_all_ends_are_listed(
        self,
    ) -> None:
        self.apply(events.JobAlreadyEnded(job_id="ended"))
        for answer in (UNANSWERED, STALE):
            with self.subTest(answer.reason):
                self.submit()
                (start,) = self.get_starts()
                self.answer(start, answer)
                self.apply(
                    events.StopAnswered(
                        key=start.key,
                        number=start.number,
                        minion_id=start.minion_id,
                        confirmed=True,
                    )
                )
                for _ in range(2):
                    self.tick(10_000)
                    self.poll(start.minion_id, ends=build_page())
                    self.assertEqual(self.get_starts(), [])
                self.end(start)
                self.assertEqual(self.get_starts(), [])
                job = self.cell.jobs[start.key.job_id]
                self.assertEqual(job.state, state.JobState.COMPLETED)

    def test_an_unanswered_start_expires_after_its_deadline(self) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, UNANSWERED)
        self.now_ms += self.cell.settings.start_valid_ms + 500
        self.poll("m0")
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_run_refused_as_stale_may_have_ended(self) -> None:
        job_id = self.submit()
        (start,) = self.get_starts()
        self.answer(start, STALE)
        self.assertEqual(self.get_starts(), [])
        self.end(start)
        self.assertEqual(self.get_state(job_id).value, "completed")

    def test_a_run_refused_as_stale_without_an_end_is_started_again(
        self,
    ) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, STALE)
        self.now_ms += 10
        self.poll("m0")
        (again,) = self.get_starts()
        self.assertGreater(again.number, start.number)

    def test_an_unconfirmed_stop_is_sent_again(self) -> None:
        self.submit()
        (start,) = self.get_starts()
        self.answer(start, UNANSWERED)
        self.tick(self.cell.settings.stop_retry_ms)
        self.assertEqual([each.number for each in self.get_stops()], [1])

    def test_a_restarted_minion_has_lost_its_runs(self) -> None:
        self.submit()
        self.confirm_starts()
        self.poll("m0", incarnation=2)
        self.tick(self.cell.settings.return_quarantine_ms + 1)
        self.assertEqual(len(self.list_running("m0")), 1)
        self.assertEqual(self.list_running("m0")[0].number, 2)

    def test_a_run_that_the_next_incarnation_may_have_confirmed_goes_on(
        self,
    ) -> None:
        self.submit()
        before_ms = self.now_ms - 50
        (start,) = self.confirm_starts()
        self.poll("m0", incarnation=2, sent_ms=before_ms)
        self.assertEqual(self.get_effects(effects.RecordCrash), [])
        self.poll("m0", incarnation=2, running=(start,))
        self.assertEqual(self.get_stops(), [])
        self.assertEqual(len(self.list_running("m0")), 1)


class LeaseTest(cases.CellCase):
    """Minions that do not answer or leave."""

    def test_tasks_wait_until_the_lease_expires(self) -> None:
        self.submit(cases.build_step(cpu=4_000))
        (start,) = self.confirm_starts()
        self.apply(events.MinionUnreachable(minion_id=start.minion_id))
        self.assertEqual(self.get_starts(), [])
        self.apply(events.LeaseExpired(minion_id=start.minion_id))
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_an_end_after_the_lease_expired_is_ignored(self) -> None:
        job_id = self.submit(cases.build_step(cpu=4_000))
        (start,) = self.confirm_starts()
        self.apply(events.MinionUnreachable(minion_id=start.minion_id))
        self.apply(events.LeaseExpired(minion_id=start.minion_id))
        self.confirm_starts()
        self.end(start)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
        (acknowledgement,) = self.get_effects(effects.AcknowledgeEnd)
        self.assertFalse(acknowledgement.must_store)

    def test_unregistered_minion_receives_no_task(self) -> None:
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})

    def test_an_end_on_an_unregistered_minion_counts(self) -> None:
        for name in ("m0", "m1"):
            self.apply(events.MinionUnregistered(minion_id=name))
        job_id = self.submit(cases.build_step())
        self.assertEqual(self.get_starts(), [])
        key = steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0)
        self.end(cases.build_listed_run(key, 1))
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)

    def test_an_unregistered_minion_is_removed_when_its_lease_expires(
        self,
    ) -> None:
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.assertIn("m0", self.cell.minions)
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.assertNotIn("m0", self.cell.minions)

    def test_draining_minion_receives_nothing(self) -> None:
        self.add_minion("m0", draining=True)
        self.submit(cases.build_step(count=3))
        self.assertEqual({each.minion_id for each in self.get_starts()}, {"m1"})


class DuplicateRunTest(cases.CellCase):
    """Second runs of a task."""

    minion_count = 1

    def test_duplicate_run_is_stopped_and_occupies_capacity(self) -> None:
        job_id = self.submit(cases.build_step(cpu=3_000))
        (start,) = self.confirm_starts()
        other = cases.build_listed_run(start.key, 9)
        self.poll("m0", running=(start, other))
        self.assertEqual([each.number for each in self.get_stops()], [9])
        self.assertEqual(self.cell.minions["m0"].used.cpu_millis, 6_000)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)
