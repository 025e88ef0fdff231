"""Tests of jobs that a new owner rebuilds from stored ends."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases


class EndOrderTest(cases.CellCase):
    """Ends of a later step are stored before those of an earlier one."""

    epoch = 2

    def recover(self, *wanted, ends: tuple[tuple[int, int, str], ...]) -> str:
        """Recovers a job with ends by step, index and kind; returns its id."""
        job = self.build_job(*wanted)
        self.apply(
            events.JobRecovered(
                job=job,
                ends=tuple(
                    events.RecordedEnd(
                        key=steps.TaskKey(
                            job_id=job.job_id, repeat=0, step=step, index=index
                        ),
                        number=1,
                        kind=minions.EndKind(kind),
                        checkpoint="",
                    )
                    for step, index, kind in ends
                ),
            )
        )
        return job.job_id

    def list_started_steps(self) -> list[int]:
        """Returns the steps of the last starts, by position."""
        return [each.key.step for each in self.get_starts()]

    def test_later_step_does_not_start_before_an_earlier_one_is_done(
        self,
    ) -> None:
        self.recover(
            cases.build_step(),
            cases.build_step(after=(0,)),
            ends=((1, 0, "failed"),),
        )
        self.assertEqual(self.list_started_steps(), [0])
        (start,) = self.confirm_starts()
        self.end(start)
        self.assertEqual(self.list_started_steps(), [1])

    def test_gang_does_not_start_with_a_part_of_its_tasks(self) -> None:
        self.recover(
            cases.build_step(),
            cases.build_step(count=2, gang=True, after=(0,)),
            ends=((1, 0, "failed"),),
        )
        self.assertEqual(self.list_started_steps(), [0])
        (start,) = self.confirm_starts()
        self.end(start)
        self.assertEqual(self.list_started_steps(), [1, 1])

    def test_later_step_starts_at_once_if_the_earlier_one_is_done(self) -> None:
        self.recover(
            cases.build_step(),
            cases.build_step(count=2, gang=True, after=(0,)),
            ends=((1, 0, "failed"), (0, 0, "done")),
        )
        self.assertEqual(self.list_started_steps(), [1, 1])

    def test_job_is_completed_whatever_the_order_of_its_ends(self) -> None:
        job_id = self.recover(
            cases.build_step(),
            cases.build_step(after=(0,)),
            ends=((1, 0, "done"), (0, 0, "done")),
        )
        self.assertEqual(self.get_state(job_id), state.JobState.COMPLETED)
        self.assertEqual(self.get_effects(effects.StartTask), [])

    def test_later_step_waits_if_its_run_is_seen_before_an_earlier_end(
        self,
    ) -> None:
        job_id = self.recover(
            cases.build_step(),
            cases.build_step(count=2, gang=True, after=(0,)),
            ends=(),
        )
        first, _ = self.get_starts()[0], self.confirm_starts()
        member = cases.build_listed_run(
            steps.TaskKey(job_id=job_id, repeat=0, step=1, index=0), 7, "m1"
        )
        self.poll("m1", running=(member,))
        self.poll("m1", sent_ms=self.now_ms + 1)
        self.tick(1_000)
        self.assertEqual(self.get_starts(), [])
        self.end(first)
        self.assertEqual(self.list_started_steps(), [1, 1])
