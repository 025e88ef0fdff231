"""Tests of the placement of tasks."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from tests.core.scheduling import cases


class CapacityTest(cases.CellCase):
    """Capacity of the minions is never exceeded."""

    def test_no_minion_is_overcommitted(self) -> None:
        self.submit(cases.build_step(count=10, cpu=1_500))
        self.assertEqual(len(self.get_starts()), 4)
        for minion in self.cell.minions.values():
            self.assertLessEqual(minion.used.cpu_millis, 4_000)

    def test_stopping_runs_occupy_capacity(self) -> None:
        job_id = self.submit(cases.build_step(count=2, cpu=4_000))
        self.assertEqual(len(self.confirm_starts()), 2)
        self.apply(events.JobCancelled(job_id=job_id))
        self.submit(cases.build_step(cpu=1_000))
        self.assertEqual(self.get_starts(), [])

    def test_fillers_occupy_no_processor_capacity(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000))
        self.confirm_starts()
        self.submit(cases.build_step(cpu=2_000, filler=True), queue="checks")
        self.assertEqual(len(self.get_starts()), 1)

    def test_label_and_minion_limit_are_observed(self) -> None:
        self.add_minion("m0", labels=("b", "r1"))
        self.submit(cases.build_step(count=3, label="b", minion_limit=2))
        starts = self.get_starts()
        self.assertEqual([each.minion_id for each in starts], ["m0", "m0"])


class LimitTest(cases.CellCase):
    """Limits of workspaces."""

    limit = resources.Resources(cpu_millis=2_500)

    def test_limit_is_not_exceeded(self) -> None:
        self.submit(cases.build_step(count=6))
        self.assertEqual(len(self.get_starts()), 2)

    def test_gang_above_the_limit_does_not_start(self) -> None:
        self.submit(cases.build_step(count=3, gang=True))
        self.assertEqual(self.get_starts(), [])


class UrgentCapacityTest(cases.CellCase):
    """Capacity that only the first rank may occupy."""

    def build_settings(self) -> settings.Settings:
        """Returns settings that reserve a quarter for the first rank."""
        return settings.Settings(urgent_fraction=0.25)

    def test_other_ranks_leave_urgent_capacity_free(self) -> None:
        self.submit(cases.build_step(count=8))
        self.assertEqual(len(self.confirm_starts()), 6)
        self.submit(cases.build_step(count=8), queue="checks")
        self.assertEqual(len(self.get_starts()), 2)


class OrderTest(cases.CellCase):
    """Order of placement and preemption."""

    minion_count = 1

    def test_first_rank_starts_before_older_steps(self) -> None:
        self.submit(cases.build_step(cpu=4_000), queue="checks")
        (blocker,) = self.confirm_starts()
        self.submit(cases.build_step(cpu=3_000))
        urgent = self.submit(cases.build_step(cpu=4_000), queue="checks")
        self.end(blocker)
        self.assertEqual(
            [each.key.job_id for each in self.get_starts()], [urgent]
        )

    def test_runs_with_checkpoints_are_preempted_by_the_first_rank(
        self,
    ) -> None:
        self.submit(cases.build_step(count=3, saves=True))
        self.confirm_starts()
        self.submit(cases.build_step(count=1, cpu=2_000), queue="checks")
        self.assertEqual(len(self.get_stops()), 1)

    def test_an_urgent_task_does_not_starve_behind_the_runs_it_preempted(
        self,
    ) -> None:
        self.submit(cases.build_step(count=4, saves=True, estimate_ms=60_000))
        running = {each.key.index: each for each in self.confirm_starts()}
        self.submit(cases.build_step(cpu=2_000), queue="checks")
        started = []
        for stop in self.get_stops():
            self.end(running[stop.key.index], "stopped")
            started += [each.key.job_id for each in self.get_starts()]
        self.assertEqual(started, ["job2"])

    def test_runs_without_checkpoints_are_not_preempted(self) -> None:
        self.submit(cases.build_step(count=3))
        self.confirm_starts()
        self.submit(cases.build_step(count=1, cpu=2_000), queue="checks")
        self.assertEqual(self.get_stops(), [])


class GangTest(cases.CellCase):
    """Gangs start all their tasks or none."""

    def test_members_share_one_number(self) -> None:
        self.submit(cases.build_step(count=4, cpu=1_500, gang=True))
        starts = self.get_starts()
        self.assertEqual(len(starts), 4)
        self.assertEqual(len({each.number for each in starts}), 1)

    def test_gang_that_does_not_fit_whole_does_not_start(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.confirm_starts()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.assertEqual(self.get_starts(), [])

    def test_capacity_is_reserved_for_a_waiting_gang(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.confirm_starts()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.submit(cases.build_step(count=1, cpu=1_000, estimate_ms=1_500))
        self.assertEqual(self.get_starts(), [])

    def test_no_capacity_is_reserved_for_a_late_gang(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.confirm_starts()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.now_ms += 10_000
        self.submit(cases.build_step(count=1, cpu=1_000, estimate_ms=1_500))
        self.assertEqual(len(self.get_starts()), 1)

    def test_one_done_member_completes_the_gang(self) -> None:
        job_id = self.submit(cases.build_step(count=2, gang=True))
        first, _ = self.confirm_starts()
        self.end(first)
        self.assertEqual(self.get_state(job_id).value, "completed")

    def test_refused_member_stops_the_others(self) -> None:
        self.submit(cases.build_step(count=2, gang=True))
        first, second = self.get_starts()
        self.confirm(first)
        self.answer(
            second,
            minions.OrderFailure(
                reason="full", refusal=minions.Refusal.NO_CAPACITY
            ),
        )
        self.assertEqual([each.key for each in self.get_stops()], [first.key])
        self.end(first, "stopped")
        self.tick(1_000)
        numbers = {run.number for run in self.list_running("m0")}
        numbers |= {run.number for run in self.list_running("m1")}
        self.assertEqual(numbers, {first.number + 1})

    def test_a_failed_gang_counts_one_attempt(self) -> None:
        job_id = self.submit(cases.build_step(count=2, gang=True))
        first, second = self.confirm_starts()
        self.end(first, "failed")
        self.end(second, "broken")
        self.assertEqual(self.get_state(job_id).value, "running")
        self.tick(1_000)
        self.assertTrue(self.list_running("m0") or self.list_running("m1"))


class AdviceCase(cases.CellCase):
    """Test case whose queues need advice."""

    advice = cells.AdviceTerms(call_ms=100, minion_ms=1, valid_ms=2_500)

    def advise(self, call: effects.AskAdvice, *allowed: str) -> None:
        """Answers a call for advice with tickets for some minions."""
        self.end_call(
            call,
            {name: f"t-{name}" for name in allowed},
            valid_ms=call.valid_ms,
        )


class AdviceTest(AdviceCase):
    """Calls for advice and the use of the answers."""

    def submit_for_advice(self) -> effects.AskAdvice:
        """Submits a job and returns its call for advice."""
        self.submit(cases.build_step(count=2))
        self.assertEqual(self.get_starts(), [])
        (call,) = self.get_effects(effects.AskAdvice)
        return call

    def test_tasks_start_only_where_advice_allows(self) -> None:
        call = self.submit_for_advice()
        self.assertEqual(set(call.minion_ids), {"m0", "m1"})
        self.advise(call, "m1")
        starts = self.get_starts()
        self.assertEqual({each.minion_id for each in starts}, {"m1"})
        self.assertEqual({each.ticket for each in starts}, {"t-m1"})

    def recover_job(self) -> str:
        """Recovers a job of an earlier owner and returns its id."""
        self.cell.earlier_advice_until_ms = self.now_ms + 150
        job = self.build_job(cases.build_step(count=2))
        self.apply(events.JobRecovered(job=job))
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        return job.job_id

    def test_advice_of_an_earlier_owner_is_used(self) -> None:
        job_id = self.recover_job()
        self.apply(
            events.AdviceCallEnded(
                job_id=job_id,
                repeat=0,
                position=0,
                asked=("m0", "m1"),
                tickets={"m1": "t-m1"},
                valid_ms=900,
                from_earlier_owner=True,
                earlier_incarnations={"m0": 1, "m1": 1},
            )
        )
        self.assertEqual({each.ticket for each in self.get_starts()}, {"t-m1"})
        self.assertEqual(self.get_effects(effects.AskAdvice), [])

    def test_advice_that_is_not_reported_is_requested(self) -> None:
        self.recover_job()
        self.tick(151)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_expired_tickets_are_requested_again(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        (start,) = self.confirm_starts()
        self.now_ms += 3_000
        self.end(start)
        self.assertEqual(self.get_starts(), [])
        (again,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(again.minion_ids, ("m0",))
        self.advise(again, "m0")
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_lower_rank_requests_advice_once_a_task_fits(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000), queue="checks")
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0", "m1")
        start, _ = self.confirm_starts()
        self.submit(cases.build_step())
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        self.end(start)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_a_late_gang_reserves_capacity_during_its_request(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 30_000
        later = self.submit(cases.build_step(count=2, cpu=4_000))
        (other,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 30_000
        self.advise(call)
        record = self.cell.jobs[call.job_id].steps[(0, 0)]
        record.allowed = {"m0": 1, "m1": 1}
        self.cell.dirty = True
        self.advise(other, "m0", "m1")
        self.assertEqual(self.get_starts(), [])
        self.cell.settings = settings.Settings(
            urgent_fraction=0.0, late_reservations_limit=0
        )
        self.tick()
        self.assertEqual(
            {each.key.job_id for each in self.get_starts()}, {later}
        )

    def test_failed_advice_is_requested_again(self) -> None:
        call = self.submit_for_advice()
        self.end_call(call, None)
        self.tick(200)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_offered_job_requests_advice_while_it_is_written(self) -> None:
        job = self.build_job()
        self.apply(events.JobOffered(job=job))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        self.assertEqual(self.get_starts(), [])
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(len(self.get_starts()), 1)


class LimitedAdviceTest(AdviceCase):
    """Advice for the steps of a workspace that is at its limit."""

    limit = resources.Resources(cpu_millis=2_000)

    def test_no_more_late_steps_request_advice_than_the_limit_lets_start(
        self,
    ) -> None:
        for name in ("m0", "m1"):
            self.apply(events.MinionUnreachable(minion_id=name))
        for _ in range(10):
            self.submit(cases.build_step(), queue="checks")
        self.now_ms += 60_000
        calls = []
        for name in ("m0", "m1"):
            self.poll(name)
            calls += self.get_effects(effects.AskAdvice)
        self.assertEqual(len(calls), 2)

    def test_calls_of_a_late_lasting_step_go_before_those_in_time(
        self,
    ) -> None:
        for name in ("m0", "m1"):
            self.apply(events.MinionUnreachable(minion_id=name))
        self.submit(cases.build_step(lasting=True))
        self.now_ms += 60_000
        self.poll("m0")
        self.tick(1_000)
        (late,) = self.get_effects(effects.AskAdvice)
        self.submit(cases.build_step())
        (in_time,) = self.get_effects(effects.AskAdvice)
        self.assertLess(late.order, in_time.order)

    def test_calls_carry_the_order_of_their_steps(self) -> None:
        self.submit(cases.build_step())
        (first,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 5
        self.submit(cases.build_step())
        (second,) = self.get_effects(effects.AskAdvice)
        self.assertLess(first.order, second.order)


class GangAdviceTest(AdviceCase):
    """A gang whose allowed minions are busy while others are free."""

    minion_count = 8

    def build_settings(self) -> settings.Settings:
        """Returns settings by which a call names at most two minions."""
        return settings.Settings(
            urgent_fraction=0.0, reserved_fraction=1.0, named_minions_limit=2
        )

    def test_gang_requests_advice_on_further_minions(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (gang,) = self.get_effects(effects.AskAdvice)
        self.submit(cases.build_step(cpu=4_000))
        (other,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(gang.minion_ids), set(other.minion_ids))
        self.advise(other, other.minion_ids[0])
        self.confirm_starts()
        self.now_ms += 200
        self.advise(gang, *gang.minion_ids)
        self.assertEqual(self.get_starts(), [])
        (more,) = self.get_effects(effects.AskAdvice)
        self.assertFalse(set(more.minion_ids) & set(gang.minion_ids))
        self.advise(more, *more.minion_ids)
        self.assertEqual(len(self.get_starts()), 2)


class BusyCellAdviceTest(AdviceCase):
    """A gang arrives while each minion has capacity for one of its tasks."""

    minion_count = 60
    advice = cells.AdviceTerms(call_ms=100, minion_ms=10, valid_ms=2_500)

    def setUp(self) -> None:
        """Occupies three quarters of each minion."""
        super().setUp()
        for minion in self.cell.minions.values():
            minion.used = cases.build_need(3_000, 0)

    def test_names_as_many_minions_as_the_gang_needs_now(self) -> None:
        self.submit(cases.build_step(count=12, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        needed = 12 / eligibility.DEFAULT_ALLOWED_FRACTION
        self.assertGreaterEqual(len(call.minion_ids), needed)

    def test_names_fewer_for_a_small_gang(self) -> None:
        self.submit(cases.build_step(count=2, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.assertLess(len(call.minion_ids), 30)
