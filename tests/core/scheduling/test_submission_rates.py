"""Tests of workspaces that submit more than their share."""

from hickoryreach.scheduling import submission_rates
from hickoryreach.structure import cells
from tests.core.scheduling import cases

SHARE = 2.0


class SubmissionRatesTest(cases.CellCase):
    """A share is a rate of jobs per second."""

    minion_count = 1

    def build_workspaces(self) -> list[cells.Workspace]:
        """Returns two workspaces, one of them with a small share."""
        return [
            cells.Workspace(name="hydro", share=SHARE),
            cells.Workspace(name="wind", share=100.0),
        ]

    def test_jobs_beyond_the_share_are_placed_last(self) -> None:
        self.submit(cases.build_step(cpu=4_000), queue="checks")
        (blocker,) = self.confirm_starts()
        for _ in range(int(SHARE * submission_rates.BURST_S) + 3):
            self.submit(cases.build_step(cpu=4_000))
        other = self.submit(
            cases.build_step(cpu=4_000, estimate_ms=3_000), workspace="wind"
        )
        order = []
        while blocker is not None:
            self.end(blocker)
            started = self.confirm_starts()
            blocker = started[0] if started else None
            order += [each.key.job_id for each in started]
        place = order.index(other)
        self.assertEqual(len(order) - 1 - place, 4)

    def test_the_share_is_refilled_over_time(self) -> None:
        for _ in range(20):
            submission_rates.consume(self.cell, "hydro")
        self.assertFalse(submission_rates.consume(self.cell, "hydro"))
        self.cell.now_ms += 1_000
        self.assertTrue(submission_rates.consume(self.cell, "hydro"))
