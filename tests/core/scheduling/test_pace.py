"""Tests of slow minions and stalled runs."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.scheduling import pace
from tests.core.scheduling import cases


class SlowAndStalledTest(cases.CellCase):
    """Detection by the progress of runs."""

    def poll_with_progress(self, start, percent: int, elapsed_ms: int) -> None:
        """Applies a poll reply that lists one run with some progress."""
        self.now_ms += elapsed_ms
        task = minions.RunningTask(
            key=start.key, run=start.number, checkpoint="", percent=percent
        )
        self.apply(
            events.MinionPolled(
                minion_id=start.minion_id,
                reply=minions.PollReply(
                    incarnation=1, clock_ms=0, running=(task,), ends=()
                ),
                sent_ms=self.now_ms - 1,
            )
        )

    def test_nothing_is_placed_on_a_slow_minion(self) -> None:
        self.submit(cases.build_step(estimate_ms=4_000))
        (start,) = self.confirm_starts()
        for percent in (0, 1, 2, 3):
            self.poll_with_progress(start, percent, 500)
        self.submit(cases.build_step(count=3))
        self.assertNotIn(
            start.minion_id, {each.minion_id for each in self.get_starts()}
        )

    def test_a_stalled_run_is_moved(self) -> None:
        self.submit(cases.build_step(estimate_ms=1_000))
        (start,) = self.confirm_starts()
        for _ in range(5):
            self.poll_with_progress(start, 10, 500)
        self.tick()
        self.assertEqual([each.key for each in self.get_stops()], [start.key])
        self.end(start, "stopped")
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_a_run_with_progress_is_not_stopped(self) -> None:
        self.submit(cases.build_step(estimate_ms=4_000))
        (start,) = self.confirm_starts()
        for percent in range(10, 80, 10):
            self.poll_with_progress(start, percent, 400)
            self.tick()
            self.assertEqual(self.get_stops(), [])

    def test_a_failed_task_goes_to_another_minion(self) -> None:
        self.submit(cases.build_step())
        (start,) = self.confirm_starts()
        self.end(start, "failed")
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)

    def test_a_minion_that_fails_several_jobs_is_quarantined(self) -> None:
        for _ in range(self.cell.settings.quarantine_failures):
            self.submit(cases.build_step())
            (start,) = self.confirm_starts()
            self.assertEqual(start.minion_id, "m0")
            self.end(start, "failed")
            for again in self.confirm_starts():
                self.end(again)
        self.submit(cases.build_step())
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m1"])

    def test_the_slowness_of_an_earlier_incarnation_does_not_count(
        self,
    ) -> None:
        """Guards against work kept off a minion that has become sound."""
        self.submit(cases.build_step(estimate_ms=4_000))
        (start,) = self.confirm_starts()
        for percent in (0, 1, 2, 3):
            self.poll_with_progress(start, percent, 500)
        minion = self.cell.minions[start.minion_id]
        self.assertTrue(pace.is_slow(self.cell, minion))
        self.poll(start.minion_id, incarnation=2)
        self.assertFalse(pace.is_slow(self.cell, minion))

    def test_failures_of_an_earlier_incarnation_do_not_count(self) -> None:
        """Guards against work kept off a minion that has become sound."""
        for incarnation in (1, 2):
            self.poll("m0", incarnation=incarnation)
            self.submit(cases.build_step())
            (start,) = self.confirm_starts()
            self.assertEqual(start.minion_id, "m0")
            self.poll("m0", incarnation=incarnation, running=(start,))
            end = minions.TaskEnd(
                number=1,
                key=start.key,
                run=start.number,
                kind=minions.EndKind.FAILED,
                checkpoint="",
            )
            self.poll("m0", incarnation=incarnation, ends=(end,))
            for again in self.confirm_starts():
                self.end(again)
        self.submit(cases.build_step())
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m0"])
