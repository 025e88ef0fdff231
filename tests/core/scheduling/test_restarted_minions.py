"""Tests of advice on minions that restart under their id, maybe as others."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import workspace_limits
from hickoryreach.structure import steps
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases
from tests.core.scheduling import test_placement

STORED_BORN = 1
LATER_BORN = 2


class RestartCase(test_placement.AdviceCase):
    """Test case with minions of the kind `a` that can restart."""

    def setUp(self) -> None:
        """Creates a cell whose minions register their incarnation."""
        super().setUp()
        for name in list(self.cell.minions):
            self.add_minion(name, incarnation=STORED_BORN)

    def ask(self, **words) -> effects.AskAdvice:
        """Submits a job of one step and returns its call for advice."""
        self.submit(cases.build_step(**({"cpu": 4_000} | words)))
        (call,) = self.get_effects(effects.AskAdvice)
        return call

    def restart(self, name: str, **words) -> None:
        """Lets a minion register and answer a poll as another incarnation."""
        minion = dataclasses.replace(
            self.cell.minions[name].minion, incarnation=LATER_BORN, **words
        )
        self.apply(events.MinionRegistered(minion=minion))
        self.now_ms += 10
        self.poll(name, incarnation=LATER_BORN)

    def pass_time(self, duration_ms: int) -> list[effects.Effect]:
        """Returns the effects of some time in which each call is allowed."""
        collected: list[effects.Effect] = []
        for _ in range(0, duration_ms, 100):
            for call in self.get_effects(effects.AskAdvice):
                self.advise(call, *call.minion_ids)
                collected += self.last_effects
            self.tick()
            collected += self.last_effects
        return collected

    def list_started(self, collected: list[effects.Effect]) -> list[str]:
        """Returns the ids of the minions that starts went to."""
        return [
            each.minion_id
            for each in collected
            if isinstance(each, effects.StartTask)
        ]


class OtherKindTest(RestartCase):
    """The only minion that advice allows restarts without what it needs."""

    minion_count = 1

    def occupy(self) -> effects.StartTask:
        """Starts a task that requires `a` on the minion and confirms it."""
        call = self.ask(label="a")
        self.advise(call, "m0")
        (start,) = self.confirm_starts()
        return start

    def test_label_is_required_after_a_restart(self) -> None:
        self.occupy()
        self.restart("m0", labels=("b", "r1"))
        self.assertEqual(self.list_started(self.pass_time(10_000)), [])

    def test_label_is_required_of_a_gang_after_a_restart(self) -> None:
        call = self.ask(label="a", gang=True, count=2, cpu=2_000)
        self.advise(call, "m0")
        self.assertEqual(len(self.confirm_starts()), 2)
        self.restart("m0", labels=("b", "r1"))
        self.assertEqual(self.list_started(self.pass_time(10_000)), [])

    def test_service_is_required_after_a_restart(self) -> None:
        self.occupy()
        self.restart("m0", service="another")
        self.assertEqual(self.list_started(self.pass_time(10_000)), [])

    def test_same_kind_is_used_again_after_a_restart(self) -> None:
        self.occupy()
        self.restart("m0")
        self.assertEqual(self.list_started(self.pass_time(10_000)), ["m0"])

    def test_labels_of_the_earlier_registration_do_not_count(self) -> None:
        self.occupy()
        self.now_ms += 10
        self.poll("m0", incarnation=LATER_BORN)
        self.assertEqual(self.list_started(self.pass_time(3_000)), [])
        self.add_minion("m0", incarnation=LATER_BORN)
        self.assertEqual(self.list_started(self.pass_time(3_000)), ["m0"])

    def test_registration_counts_once_a_poll_shows_its_incarnation(
        self,
    ) -> None:
        start = self.occupy()
        self.submit(cases.build_step(cpu=4_000, label="b"))
        self.add_minion("m0", incarnation=LATER_BORN, labels=("b", "r1"))
        self.end(start)
        self.assertEqual(self.list_started(self.pass_time(3_000)), [])
        self.poll("m0", incarnation=LATER_BORN)
        self.assertEqual(self.list_started(self.pass_time(3_000)), ["m0"])


class UnseenRestartTest(cases.CellCase):
    """A start is carried out by an incarnation that it was not decided for.

    Guards against work that goes on on a minion of another kind (ROUTE).
    """

    minion_count = 1

    def begin(self) -> effects.StartTask:
        """Returns a start that has not been answered yet."""
        self.add_minion("m0", incarnation=STORED_BORN)
        self.submit(cases.build_step(label="a"))
        (start,) = self.get_starts()
        return start

    def become(self, kind: str) -> None:
        """Lets the minion register its next incarnation."""
        self.add_minion("m0", incarnation=LATER_BORN, labels=(kind, "r1"))

    def show(self, start: effects.StartTask) -> None:
        """Lets the minion list a run in its next incarnation."""
        self.poll("m0", incarnation=LATER_BORN, running=(start,))

    def test_a_run_is_stopped_once_the_registration_follows(self) -> None:
        start = self.begin()
        self.show(start)
        self.assertEqual(self.get_stops(), [])
        self.become("b")
        self.assertEqual([each.key for each in self.get_stops()], [start.key])

    def test_a_run_is_stopped_once_a_poll_shows_it(self) -> None:
        start = self.begin()
        self.become("b")
        self.assertEqual(self.get_stops(), [])
        self.show(start)
        self.assertEqual([each.key for each in self.get_stops()], [start.key])

    def test_a_confirmed_run_is_stopped(self) -> None:
        start = self.begin()
        sent_ms = self.now_ms
        self.confirm(start)
        self.poll("m0", incarnation=LATER_BORN, sent_ms=sent_ms)
        self.become("b")
        self.assertEqual([each.key for each in self.get_stops()], [start.key])

    def test_a_run_on_a_minion_of_the_same_kind_goes_on(self) -> None:
        start = self.begin()
        self.show(start)
        self.become("a")
        self.show(start)
        self.assertEqual(self.get_stops(), [])
        self.assertEqual(len(self.list_running("m0")), 1)

    def test_its_task_waits_for_its_end_and_for_a_minion_of_its_kind(
        self,
    ) -> None:
        start = self.begin()
        self.show(start)
        self.become("b")
        self.add_minion("m1")
        self.poll("m1")
        self.assertEqual(self.get_starts(), [])
        end = minions.TaskEnd(
            number=1,
            key=start.key,
            run=start.number,
            kind=minions.EndKind.STOPPED,
            checkpoint="",
        )
        self.poll("m0", incarnation=LATER_BORN, ends=(end,))
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m1"])


class AdoptedRunTest(cases.CellCase):
    """A new owner finds a run of its predecessor on a minion of another kind.

    Guards against work that goes on there after a takeover (ROUTE).
    """

    minion_count = 1

    def adopt(self, *labels: str) -> list[effects.StopTask]:
        """Lets a minion list a run of a recovered job; returns the stops."""
        self.add_minion("m0", incarnation=STORED_BORN, labels=labels)
        self.cell.minions["m0"].polled = False
        job = self.build_job(cases.build_step(label="a"))
        self.apply(events.JobRecovered(job=job))
        key = steps.TaskKey(job_id=job.job_id, repeat=0, step=0, index=0)
        run = cases.build_listed_run(key, 7, "m0")
        self.poll("m0", incarnation=STORED_BORN, running=(run,))
        return self.get_stops()

    def test_a_run_without_its_label_is_stopped(self) -> None:
        (stop,) = self.adopt("b", "r1")
        self.assertEqual(stop.number, 7)

    def test_a_run_with_its_label_goes_on(self) -> None:
        self.assertEqual(self.adopt("a", "r1"), [])
        self.assertEqual(len(self.list_running("m0")), 1)


class EarlierAdviceTest(RestartCase):
    """Advice on an earlier incarnation is none on the present one."""

    def test_allowed_minion_that_restarted_is_asked_about_again(self) -> None:
        call = self.ask()
        self.advise(call, "m0")
        self.confirm_starts()
        step = next(iter(self.cell.jobs.values())).steps[(0, 0)]
        self.restart("m0")
        available = free_capacity.measure(self.cell)
        self.assertEqual(
            eligibility.list_unknown_minions(self.cell, step, available),
            ["m0"],
        )

    def test_answer_to_a_call_before_a_restart_gives_no_ticket(self) -> None:
        call = self.ask(label="a")
        self.restart("m0")
        self.advise(call, "m0")
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_answer_to_a_call_that_waited_during_a_restart_counts(self) -> None:
        call = self.ask(label="a")
        self.restart("m0")
        self.end_call(
            call, {"m0": "t"}, valid_ms=call.valid_ms, started_ms=self.now_ms
        )
        self.assertEqual(self.list_started(self.get_starts()), ["m0"])

    def test_denial_before_a_restart_is_not_kept(self) -> None:
        call = self.ask()
        self.restart("m0")
        self.advise(call)
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])

    def test_answer_on_a_minion_that_has_left_is_not_kept(self) -> None:
        call = self.ask()
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.advise(call)
        self.add_minion("m0", incarnation=LATER_BORN)
        self.poll("m0", incarnation=LATER_BORN)
        self.assertEqual(self.list_started(self.pass_time(1_000)), ["m0"])


class LimitTest(RestartCase):
    """A step whose only minion was denied before its restart."""

    minion_count = 1

    def test_step_reserves_headroom_for_a_minion_that_restarted(self) -> None:
        call = self.ask()
        self.advise(call)
        self.restart("m0")
        self.now_ms += eligibility.RECHECK_WAIT_MS
        self.cell.now_ms = self.now_ms
        step = self.cell.jobs[call.job_id].steps[(0, 0)]
        available = free_capacity.measure(self.cell)
        list(workspace_limits.await_headroom(self.cell, step, available))
        self.assertEqual(list(available.reserved_headroom), ["hydro"])


class ReservedMinionTest(crash_cases.CrashCase):
    """A minion that is reserved for a task restarts as another kind."""

    minion_count = 2

    def test_task_is_not_started_alone_on_a_minion_of_another_kind(
        self,
    ) -> None:
        self.add_minion("m1", labels=("other", "r1"))
        job_id = self.submit(cases.build_step(label="a"))
        for _ in range(2):
            self.confirm_all()
            self.restart("m0")
        self.add_minion("m1", labels=("a", "busy"))
        self.submit(cases.build_step(count=4, label="busy"))
        self.confirm_all()
        self.add_minion("m0", labels=("other", "r1"))
        self.restart("m0")
        self.assertEqual(solitude.list_reserved(self.cell), ["m1"])
        self.add_minion("m1", labels=("other", "r1"))
        self.restart("m1")
        self.assertEqual(self.find_runs(job_id), [])
        self.assertEqual(solitude.list_reserved(self.cell), [])
