"""Tests of where and in which order tasks start."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from tests.core.scheduling import cases


class RoomTest(cases.CellCase):
    """Minions are never filled above their capacity."""

    def test_no_minion_is_overcommitted(self) -> None:
        self.submit(cases.build_step(count=10, cpu=1_500))
        self.assertEqual(len(self.get_starts()), 4)
        for minion in self.cell.minions.values():
            self.assertLessEqual(minion.used.cpu_millis, 4_000)

    def test_what_is_being_stopped_still_counts(self) -> None:
        job_id = self.submit(cases.build_step(count=2, cpu=4_000))
        self.assertEqual(len(self.run_all()), 2)
        self.apply(events.JobCancelled(job_id=job_id))
        self.submit(cases.build_step(cpu=1_000))
        self.assertEqual(self.get_starts(), [])

    def test_fillers_take_no_processor_room(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000))
        self.run_all()
        self.submit(cases.build_step(cpu=2_000, filler=True), queue="checks")
        self.assertEqual(len(self.get_starts()), 1)

    def test_label_and_limit_a_minion_are_kept(self) -> None:
        self.add_minion("m0", labels=("b", "r1"))
        self.submit(cases.build_step(count=3, label="b", minion_limit=2))
        starts = self.get_starts()
        self.assertEqual([each.minion_id for each in starts], ["m0", "m0"])


class LimitTest(cases.CellCase):
    """A workspace's limit."""

    limit = resources.Resources(cpu_millis=2_500)

    def test_limit_is_not_passed(self) -> None:
        self.submit(cases.build_step(count=6))
        self.assertEqual(len(self.get_starts()), 2)

    def test_gang_above_the_limit_does_not_start(self) -> None:
        self.submit(cases.build_step(count=3, gang=True))
        self.assertEqual(self.get_starts(), [])


class UrgentRoomTest(cases.CellCase):
    """Room that only the first rank may fill."""

    def build_settings(self) -> settings.Settings:
        """Returns figures that keep a quarter for the first rank."""
        return settings.Settings(urgent_part=0.25)

    def test_other_ranks_leave_it_free(self) -> None:
        self.submit(cases.build_step(count=8))
        self.assertEqual(len(self.run_all()), 6)
        self.submit(cases.build_step(count=8), queue="checks")
        self.assertEqual(len(self.get_starts()), 2)


class OrderTest(cases.CellCase):
    """The most pressing step goes first."""

    minion_count = 1

    def test_first_rank_goes_before_what_waits_longer(self) -> None:
        self.submit(cases.build_step(cpu=4_000), queue="checks")
        (blocker,) = self.run_all()
        self.submit(cases.build_step(cpu=3_000))
        urgent = self.submit(cases.build_step(cpu=4_000), queue="checks")
        self.end(blocker)
        self.assertEqual(
            [each.key.job_id for each in self.get_starts()], [urgent]
        )

    def test_saved_work_gives_way_to_the_first_rank(self) -> None:
        self.submit(cases.build_step(count=3, saves=True))
        self.run_all()
        self.submit(cases.build_step(count=1, cpu=2_000), queue="checks")
        self.assertEqual(len(self.get_stops()), 1)

    def test_work_that_saves_nothing_is_not_stopped(self) -> None:
        self.submit(cases.build_step(count=3))
        self.run_all()
        self.submit(cases.build_step(count=1, cpu=2_000), queue="checks")
        self.assertEqual(self.get_stops(), [])


class GangTest(cases.CellCase):
    """Gangs start whole or not at all."""

    def test_members_share_one_number(self) -> None:
        self.submit(cases.build_step(count=4, cpu=1_500, gang=True))
        starts = self.get_starts()
        self.assertEqual(len(starts), 4)
        self.assertEqual(len({each.number for each in starts}), 1)

    def test_gang_without_room_for_all_does_not_start(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.run_all()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.assertEqual(self.get_starts(), [])

    def test_room_is_kept_for_a_waiting_gang(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.run_all()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.submit(cases.build_step(count=1, cpu=1_000, estimate_ms=1_500))
        self.assertEqual(self.get_starts(), [])

    def test_no_room_is_kept_for_a_late_gang(self) -> None:
        self.submit(cases.build_step(count=1, cpu=3_000), queue="checks")
        self.run_all()
        self.submit(cases.build_step(count=4, cpu=2_000, gang=True))
        self.now_ms += 10_000
        self.submit(cases.build_step(count=1, cpu=1_000, estimate_ms=1_500))
        self.assertEqual(len(self.get_starts()), 1)

    def test_one_done_member_stands_for_all(self) -> None:
        job_id = self.submit(cases.build_step(count=2, gang=True))
        first, _ = self.run_all()
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
        first, second = self.run_all()
        self.end(first, "failed")
        self.end(second, "broken")
        self.assertEqual(self.get_state(job_id).value, "running")
        self.tick(1_000)
        self.assertTrue(self.list_running("m0") or self.list_running("m1"))


class AdviceCase(cases.CellCase):
    """Queues whose steps need advice."""

    advice = cells.AdviceTerms(call_ms=100, minion_ms=1, valid_ms=2_500)

    def advise(self, call: effects.AskAdvice, *allowed: str) -> None:
        """Answers a call for advice."""
        self.apply(
            events.AdviceCallEnded(
                job_id=call.job_id,
                repeat=call.repeat,
                position=call.position,
                asked=call.minion_ids,
                tickets={name: f"t-{name}" for name in allowed},
                valid_ms=call.valid_ms,
            )
        )


class AdviceTest(AdviceCase):
    """Calls for advice, and what is done with the answers."""

    def ask(self) -> effects.AskAdvice:
        """Hands a job in; returns its call for advice."""
        self.submit(cases.build_step(count=2))
        self.assertEqual(self.get_starts(), [])
        (call,) = self.get_effects(effects.AskAdvice)
        return call

    def test_tasks_start_only_where_advice_allows(self) -> None:
        call = self.ask()
        self.assertEqual(set(call.minion_ids), {"m0", "m1"})
        self.advise(call, "m1")
        starts = self.get_starts()
        self.assertEqual({each.minion_id for each in starts}, {"m1"})
        self.assertEqual({each.ticket for each in starts}, {"t-m1"})

    def restore(self) -> str:
        """Takes a job over from an earlier owner; returns its id."""
        self.cell.earlier_advice_until_ms = self.now_ms + 150
        job = self.build_job(cases.build_step(count=2))
        self.apply(events.JobRecovered(job=job))
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        return job.job_id

    def test_advice_of_an_earlier_owner_is_used(self) -> None:
        job_id = self.restore()
        self.apply(
            events.AdviceCallEnded(
                job_id=job_id,
                repeat=0,
                position=0,
                asked=("m0", "m1"),
                tickets={"m1": "t-m1"},
                valid_ms=900,
                from_earlier_owner=True,
            )
        )
        self.assertEqual({each.ticket for each in self.get_starts()}, {"t-m1"})
        self.assertEqual(self.get_effects(effects.AskAdvice), [])

    def test_advice_that_nobody_tells_of_is_asked_for(self) -> None:
        self.restore()
        self.tick(151)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_expired_tickets_are_asked_for_again(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        (start,) = self.run_all()
        self.now_ms += 3_000
        self.end(start)
        self.assertEqual(self.get_starts(), [])
        (again,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(again.minion_ids, ("m0",))
        self.advise(again, "m0")
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_lower_rank_asks_once_there_is_room(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000), queue="checks")
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0", "m1")
        start, _ = self.run_all()
        self.submit(cases.build_step())
        self.assertEqual(self.get_effects(effects.AskAdvice), [])
        self.end(start)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_a_late_gang_keeps_its_room_while_it_asks(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (call,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 30_000
        later = self.submit(cases.build_step(count=2, cpu=4_000))
        (other,) = self.get_effects(effects.AskAdvice)
        self.now_ms += 30_000
        self.advise(call)
        record = self.cell.jobs[call.job_id].steps[(0, 0)]
        record.allowed = {"m0", "m1"}
        self.cell.dirty = True
        self.advise(other, "m0", "m1")
        self.assertEqual(self.get_starts(), [])
        self.cell.settings = settings.Settings(urgent_part=0.0, late_keeps=0)
        self.tick()
        self.assertEqual(
            {each.key.job_id for each in self.get_starts()}, {later}
        )

    def test_failed_advice_is_asked_again(self) -> None:
        call = self.ask()
        self.apply(
            events.AdviceCallEnded(
                job_id=call.job_id,
                repeat=0,
                position=0,
                asked=call.minion_ids,
                tickets=None,
            )
        )
        self.tick(200)
        self.assertEqual(len(self.get_effects(effects.AskAdvice)), 1)

    def test_offered_job_asks_while_it_is_written(self) -> None:
        job = self.build_job()
        self.apply(events.JobOffered(job=job))
        (call,) = self.get_effects(effects.AskAdvice)
        self.advise(call, "m0")
        self.assertEqual(self.get_starts(), [])
        self.apply(events.JobAccepted(job=job))
        self.assertEqual(len(self.get_starts()), 1)


class GangAdviceTest(AdviceCase):
    """A gang whose allowed minions are busy while others are free."""

    minion_count = 8

    def build_settings(self) -> settings.Settings:
        """Returns figures by which a call names two minions."""
        return settings.Settings(
            urgent_part=0.0, claims_part=1.0, advice_limit=2
        )

    def test_it_asks_about_further_minions(self) -> None:
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        (gang,) = self.get_effects(effects.AskAdvice)
        self.submit(cases.build_step(cpu=4_000))
        (other,) = self.get_effects(effects.AskAdvice)
        self.assertEqual(set(gang.minion_ids), set(other.minion_ids))
        self.advise(other, other.minion_ids[0])
        self.run_all()
        self.now_ms += 200
        self.advise(gang, *gang.minion_ids)
        self.assertEqual(self.get_starts(), [])
        (more,) = self.get_effects(effects.AskAdvice)
        self.assertFalse(set(more.minion_ids) & set(gang.minion_ids))
        self.advise(more, *more.minion_ids)
        self.assertEqual(len(self.get_starts()), 2)
