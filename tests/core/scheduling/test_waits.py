"""Tests of the log lines that say why steps wait."""

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import waits
from hickoryreach.structure import resources
from tests.core.scheduling import cases


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
