"""Tests of where tasks start under which minions have crashed."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases


class SuspectPlacementTest(crash_cases.CrashCase):
    """Where tasks run under which minions have crashed."""

    minion_count = 3

    def make_suspects(self, crashes: int = 2) -> list[str]:
        """Returns two jobs whose tasks have crashed minions together."""
        job_ids = [self.submit(), self.submit()]
        for _ in range(crashes):
            self.confirm_all()
            for name in {self.find_run(each).minion_id for each in job_ids}:
                self.restart(name)
        return job_ids

    def test_suspects_run_on_different_minions(self) -> None:
        job_ids = self.make_suspects()
        hosts = {self.find_run(each).minion_id for each in job_ids}
        self.assertEqual(len(hosts), 2)

    def test_a_third_crash_leaves_a_task_alone(self) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        host = self.find_run(job_id).minion_id
        self.submit(cases.build_step(count=12))
        self.assertEqual(len(self.list_running(host)), 1)
        self.assertEqual(len(self.get_starts()), 8)

    def test_a_task_in_need_of_solitude_gets_the_emptiest_minion(self) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        host = self.find_run(job_id).minion_id
        self.submit(cases.build_step(count=6))
        self.confirm_all()
        self.apply(events.MinionUnreachable(minion_id=host))
        self.now_ms += 10
        self.poll(host, incarnation=self.incarnations.get(host, 1))
        self.submit(cases.build_step(count=12, cpu=500))
        for _ in range(20):
            self.tick(500)
            for name in solitude.list_reserved(self.cell):
                for run in self.list_running(name)[:1]:
                    if run.key.job_id != job_id:
                        self.end_run(name, run)
            self.submit(cases.build_step(count=2))
            if self.find_runs(job_id):
                break
        self.assertEqual(
            self.list_running(self.find_run(job_id).minion_id),
            self.find_runs(job_id),
        )

    def test_a_solitary_run_without_a_crash_is_not_given_up(self) -> None:
        job_id = self.submit()
        self.crash_until_solitary(job_id)
        run = self.find_run(job_id)
        self.end_run(run.minion_id, run)
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)
        self.submit(cases.build_step(count=12))
        self.assertEqual(len(self.get_starts()), 12)

    def test_a_solitary_task_starts_beside_settled_services(self) -> None:
        self.submit(cases.build_step(count=3, lasting=True, minion_limit=1))
        self.confirm_all()
        self.tick(60_000)
        job_id = self.submit(cases.build_step(cpu=2_500))
        self.crash_until_solitary(job_id)
        self.tick(60_000)
        self.assertEqual(len(self.find_runs(job_id)), 1)

    def test_a_service_does_not_keep_its_minion_for_itself_for_ever(
        self,
    ) -> None:
        job_id = self.submit(cases.build_step(lasting=True))
        self.crash_until_solitary(job_id)
        self.confirm_all()
        self.submit(cases.build_step(count=20))
        self.assertEqual(len(self.get_starts()), 8)
        for _ in range(70):
            self.tick(1_000)
            if self.get_starts():
                break
        self.assertEqual(len(self.get_starts()), 3)
        self.confirm_all()
        self.restart(self.find_run(job_id).minion_id)
        self.assertEqual(self.get_state(job_id), state.JobState.RUNNING)


class AdvisedSuspectTest(crash_cases.CrashCase):
    """Suspects on a queue with advice."""

    advice = cells.AdviceTerms(call_ms=10.0, minion_ms=1.0, valid_ms=2_000)

    def setUp(self) -> None:
        """Creates the cell."""
        super().setUp()
        self.answered = 0

    def give_advice(self) -> None:
        """Answers the calls for advice that were not answered yet."""
        unanswered = self.all_effects[self.answered :]
        self.answered = len(self.all_effects)
        for asked in unanswered:
            if not isinstance(asked, effects.AskAdvice):
                continue
            self.end_call(
                asked, dict.fromkeys(asked.minion_ids, "t"), valid_ms=2_000
            )

    def test_a_deadly_task_with_tickets_is_given_up(self) -> None:
        job_id = self.submit()
        for _ in range(10 * crash_cases.ROUNDS):
            self.give_advice()
            self.confirm_all()
            for run in self.find_runs(job_id):
                self.restart(run.minion_id)
            self.tick(300)
        self.assertEqual(self.get_state(job_id), state.JobState.FAILED)
        self.assertLessEqual(self.count_starts(job_id), crash_cases.MAX_STARTS)
