"""Tests of the log lines that say why steps wait."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import waits
from hickoryreach.structure import resources
from tests.core.scheduling import cases
from tests.core.scheduling import crash_cases


class WaitReportTest(cases.CellCase):
    """Each long wait is logged with its cause, at a bounded rate."""

    limit = resources.Resources(cpu_millis=5_000)

    def collect_reports(self, seconds: int) -> list[effects.LogDecision]:
        """Returns the lines on waiting steps of some seconds."""
        reports = []
        for _ in range(10 * seconds):
            self.tick()
            reports += [
                each
                for each in self.get_effects(effects.LogDecision)
                if each.event_name in ("step_waits", "workspace_waits")
            ]
        return reports

    def test_the_condition_that_holds_a_step_back_is_logged(self) -> None:
        self.submit(cases.build_step(cpu=6_000))
        blocked = {
            "hydro": "limit",
            self.submit(cases.build_step(cpu=4_500)): "capacity",
            self.submit(cases.build_step(label="none")): "capacity",
        }
        causes = {
            each.subject.split(".")[0]: each.detail.split()[0]
            for each in self.collect_reports(5)
        }
        self.assertEqual(
            causes,
            {job_id: f"cause={cause}" for job_id, cause in blocked.items()},
        )

    def test_a_step_is_logged_once_in_a_while(self) -> None:
        self.submit(cases.build_step(cpu=6_000))
        self.assertEqual(len(self.collect_reports(12)), 1)
        self.assertEqual(len(self.collect_reports(10)), 1)

    def test_many_waiting_steps_are_logged_in_turn(self) -> None:
        job_ids = [self.submit(cases.build_step(cpu=4_500)) for _ in range(25)]
        first = self.collect_reports(4)
        self.assertLessEqual(len(first), 2 * waits.MAX_REPORTS_PER_PERIOD)
        subjects = {each.subject for each in first + self.collect_reports(5)}
        self.assertEqual(subjects, {f"{each}.0.0" for each in job_ids})

    def test_steps_that_wait_for_a_limit_share_one_line(self) -> None:
        for _ in range(25):
            self.submit(cases.build_step(cpu=6_000))
        (line,) = self.collect_reports(5)
        self.assertIn(" steps=25 ", line.detail)
        self.assertIn(" limit_cpu=5000 ", line.detail)

    def test_a_step_that_starts_is_not_logged(self) -> None:
        self.submit(cases.build_step())
        self.assertEqual(self.collect_reports(5), [])


class SuspectWaitTest(crash_cases.CrashCase):
    """The log tells the reasons apart for which suspects wait."""

    minion_count = 3

    def read_causes(self, *job_ids: str) -> list[str]:
        """Returns what the next lines on some jobs name as their causes."""
        causes: dict[str, str] = {}
        for _ in range(200):
            self.tick()
            for each in self.get_effects(effects.LogDecision):
                if each.event_name == "step_waits":
                    cause = each.detail.split()[0].removeprefix("cause=")
                    causes.setdefault(each.subject.split(".")[0], cause)
            if causes.keys() >= set(job_ids):
                return [causes[job_id] for job_id in job_ids]
        raise AssertionError(f"lines only on {list(causes)}")

    def test_no_minion_has_capacity_for_a_suspect(self) -> None:
        job_id = self.submit(cases.build_step(cpu=3_000))
        self.crash_under(job_id, 1)
        self.confirm_all()
        name = self.find_run(job_id).minion_id
        self.occupy_all(2_000)
        self.cut_off(name)
        self.assertEqual(self.read_causes(job_id), ["suspect_capacity"])

    def test_no_minion_is_empty_for_a_task_that_must_run_alone(self) -> None:
        job_id = self.submit(cases.build_step())
        self.crash_under(job_id, 2)
        name = self.find_run(job_id).minion_id
        self.occupy_all(2_500)
        self.cut_off(name)
        self.assertEqual(self.read_causes(job_id), ["empty_minion"])

    def test_another_step_has_minions_reserved(self) -> None:
        job_ids = [self.submit(cases.build_step(cpu=2_500)) for _ in range(2)]
        for job_id in job_ids:
            self.crash_under(job_id, 2)
        names = {self.find_run(each).minion_id for each in job_ids}
        self.assertEqual(len(names), 2)
        self.occupy_all(2_500)
        self.cut_off(*sorted(names))
        causes = self.read_causes(*job_ids)
        self.assertEqual(set(causes), {"empty_minion", "reservation"})

    def test_a_crash_under_a_gang_is_not_stored(self) -> None:
        job_id = self.submit(cases.build_step(2, cpu=3_000, gang=True))
        for _ in range(2):
            self.confirm_all()
            (name,) = (
                run.minion_id
                for run in self.find_runs(job_id)
                if run.key.index == 0
            )
            self.apply(events.MinionUnreachable(minion_id=name))
            self.apply(events.MinionUnregistered(minion_id=name))
            self.apply(events.LeaseExpired(minion_id=name), 4_000)
            self.confirm_all()
            for run in self.find_runs(job_id):
                self.end(run, "stopped")
            self.add_minion(f"{name}b")
            self.poll(f"{name}b")
            self.tick(1_000)
        self.assertEqual(self.read_causes(job_id), ["crash_uncertain"])
