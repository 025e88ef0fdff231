"""Tests of saving submitted jobs."""

import time
import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import job_saver
from tests.entry.cell import cases

JOB = "a072a0f6de83e5b3"


class SaveJobTest(unittest.TestCase):
    """A submission while the store refuses all writes."""

    def save_job(self, report: frames.JobReport | None) -> job_saver.Outcome:
        """Submits a job while the owner answers each call with a report."""
        busy = store.StoreFailure(reason="status 503")
        owner_client = mock.Mock()
        owner_client.write_record.return_value = result.Failure(busy)
        owner_client.call_once.return_value = report
        owner_client.is_isolated.return_value = False
        saver = job_saver.JobSaver(owner_client=owner_client)
        job = steps.Job(
            job_id=JOB,
            workspace="hydro",
            queue=cases.QUEUE,
            accepted_ms=0,
            payload="",
            steps=(),
        )
        return saver.save(job, time.monotonic() + 0.2)

    def test_not_kept_if_neither_store_nor_owner_has_written(self) -> None:
        report = frames.JobReport(kept=False)
        self.assertEqual(self.save_job(report), "not_kept")

    def test_unclear_if_the_owner_may_have_stored_the_job(self) -> None:
        report = frames.JobReport(kept=False, unclear=True)
        self.assertEqual(self.save_job(report), "unclear")
        self.assertEqual(self.save_job(None), "unclear")

    def test_kept_if_the_owner_has_stored_the_job(self) -> None:
        report = frames.JobReport(kept=True, known=True)
        self.assertEqual(self.save_job(report), "kept")
