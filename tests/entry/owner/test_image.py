"""Tests of what a journal tells."""

import unittest

import hypothesis
from hypothesis import strategies

from hickoryreach.structure import jobs
from hickoryreach_entry.owner import image
from hickoryreach_entry.owner import records

JOB = jobs.Job(job_id="0.a", workspace="north", tasks=50)


def make_finished(number: int, *, idempotent: bool) -> records.JobFinished:
    """Returns the end of a job."""
    return records.JobFinished(
        job_id=f"0.{number}",
        state=jobs.JobState.SUCCEEDED,
        ran=jobs.ExecutionStatus.RAN,
        idempotent=idempotent,
        finished_ms=number,
    )


def take(into: image.Image, sequence: int, *members: records.Record) -> None:
    """Takes in one segment."""
    segment = records.Segment(token="t", records=members)
    into.take_segment(sequence, segment, 1_000)


class ImageTest(unittest.TestCase):
    """Replaying, keeping again and forgetting."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.sets(strategies.integers(0, 300)))
    def test_ranges_tell_the_same_indexes(self, indexes):
        self.assertEqual(set(image.spread(image.group(indexes))), indexes)

    def test_a_job_kept_again_tells_all_that_its_records_told(self):
        told = image.Image()
        key = jobs.TaskKey(job_id="0.a", index=7, attempt=3)
        take(
            told,
            1,
            records.JobAccepted(job=JOB),
            records.IntentRecorded(key=key, worker_id="w1", entry="e1"),
        )
        for index in (1, 2, 5):
            done = jobs.TaskKey(job_id="0.a", index=index, attempt=1)
            result = jobs.TaskResult.SUCCEEDED
            take(told, 2, records.TaskSettled(key=done, result=result))
        again = image.Image()
        take(again, 3, image.keep(told.jobs["0.a"]))
        kept, first = again.jobs["0.a"], told.jobs["0.a"]
        self.assertEqual(kept.done, first.done)
        self.assertEqual(kept.intents, first.intents)
        self.assertEqual(kept.job, first.job)

    def test_a_voided_intent_is_open_no_more(self):
        told = image.Image()
        key = jobs.TaskKey(job_id="0.a", index=0, attempt=1)
        take(
            told,
            1,
            records.JobAccepted(job=JOB),
            records.IntentRecorded(key=key, worker_id="w1"),
            records.IntentVoided(key=key),
        )
        self.assertEqual(told.jobs["0.a"].intents, {})

    def test_a_segment_that_tells_of_a_live_job_is_not_free(self):
        told = image.Image()
        take(told, 1, records.JobAccepted(job=JOB))
        take(told, 2)
        take(told, 3)
        self.assertEqual(told.list_free(64), [])
        take(told, 4, *told.keep_oldest(1, 1_000))
        self.assertEqual(told.list_free(64), [1, 2, 3])

    def test_the_worker_set_is_kept_again_too(self):
        told = image.Image()
        take(told, 1, records.WorkersChanged(worker_ids=("w1",)))
        take(told, 2)
        self.assertEqual(told.list_free(64), [])
        take(told, 3, *told.keep_oldest(1, 1_000))
        self.assertEqual(told.list_free(64), [1, 2])
        self.assertEqual(told.worker_ids, ("w1",))

    def test_only_idempotent_jobs_are_forgotten_early(self):
        told = image.Image()
        for number in range(10):
            finished = make_finished(number, idempotent=number % 2 == 0)
            take(told, 1, finished)
        self.assertEqual(len(told.trim(3)), 5)
        self.assertEqual(len(told.remembered), 5)
        self.assertIn("0.1", told.jobs)

    def test_all_are_forgotten_after_their_time(self):
        told = image.Image()
        for number in range(10):
            take(told, 1, make_finished(number, idempotent=False))
        self.assertEqual(len(told.forget_before(4)), 4)
        self.assertNotIn("0.3", told.jobs)
        self.assertIn("0.4", told.jobs)


if __name__ == "__main__":
    unittest.main()
