"""Tests of what callers are answered while the owner has told little."""

import time
import types
import unittest
from unittest import mock

import falcon
from returns import result

from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import records

JOB = "a072a0f6de83e5b3"


class CancelUntoldTest(unittest.TestCase):
    """What the store holds of the job decides the answer."""

    def cancel(
        self, data: bytes | None, workspace: str = ""
    ) -> tuple[falcon.Response, frames.JobReport | None]:
        """Cancels a job of which the store holds some data."""
        client = mock.Mock()
        client.get.return_value = result.Success(
            store.Item(key=records.build_job_key(JOB), data=data, revision=3)
        )
        owner_client = mock.Mock()
        owner_client.ask.return_value = None
        interface = caller_api.Callers(
            member=types.SimpleNamespace(owner_client=owner_client),
            client=client,
        )
        resp = falcon.Response()
        message = frames.Cancellation(job_id=JOB, workspace=workspace)
        return resp, interface.cancel_stored_job(resp, JOB, message, 0.0)

    def build_final(self) -> bytes:
        """Returns what is left of a completed job of one workspace."""
        return records.encode_final(
            records.FinalRecord(
                final=state.JobState.COMPLETED, workspace="hydro"
            )
        )

    def test_a_job_that_cannot_be_read_is_not_called_absent(self) -> None:
        resp, report = self.cancel(b"{")
        self.assertIsNone(report)
        self.assertFalse(resp.status.startswith("410"))

    def test_a_queue_open_to_all_tells_of_any_job(self) -> None:
        resp, report = self.cancel(self.build_final())
        self.assertEqual(report.state, "completed")
        self.assertFalse(resp.status.startswith("410"))

    def test_another_workspace_and_no_job_are_told_alike(self) -> None:
        for data in (None, self.build_final()):
            resp, report = self.cancel(data, workspace="wind")
            self.assertIsNone(report)
            self.assertTrue(resp.status.startswith("410"))


class KeepTest(unittest.TestCase):
    """A hand-in while the store turns everybody away."""

    def keep(self, report: frames.JobReport | None) -> str:
        """Hands a job in; the owner gives this answer to each request."""
        busy = store.StoreFailure(reason="status 503")
        owner_client = mock.Mock()
        owner_client.write_job.return_value = result.Failure(busy)
        owner_client.call_once.return_value = report
        owner_client.is_isolated.return_value = False
        interface = caller_api.Callers(
            member=types.SimpleNamespace(owner_client=owner_client),
            client=mock.Mock(),
        )
        job = steps.Job(
            job_id=JOB,
            workspace="hydro",
            queue=cells.Queue(
                name="runs",
                host="h",
                prefix="/runs/",
                service="ledger",
                rank=0,
                attempts=2,
                stretch=2.0,
                objective_ms=1_000,
            ),
            accepted_ms=0,
            payload="",
            steps=(),
        )
        return interface.keep(job, time.monotonic() + 0.2)

    def test_it_is_certain_that_the_job_is_not_kept(self) -> None:
        report = frames.JobReport(kept=False)
        self.assertEqual(self.keep(report), "not_kept")

    def test_the_owner_may_have_kept_it(self) -> None:
        report = frames.JobReport(kept=False, unclear=True)
        self.assertEqual(self.keep(report), "unclear")
        self.assertEqual(self.keep(None), "unclear")

    def test_the_owner_has_kept_it(self) -> None:
        report = frames.JobReport(kept=True, known=True)
        self.assertEqual(self.keep(report), "kept")


class CountTest(unittest.TestCase):
    """How many jobs wait is answered once an owner has told."""

    def count(self, known: list[int | None], left_s: float) -> falcon.Response:
        """Asks a desk that gives these numbers one after the other."""
        owner_client = mock.Mock(unconfirmed_jobs={})
        owner_client.get_pending.side_effect = known + [known[-1]] * 100
        owner_client.is_isolated.return_value = False
        interface = caller_api.Callers(
            member=types.SimpleNamespace(owner_client=owner_client),
            client=mock.Mock(),
        )
        resp = falcon.Response()
        queue = types.SimpleNamespace(name="runs")
        interface.count(resp, queue, time.monotonic() + left_s)
        return resp

    def test_a_number_not_told_yet_is_waited_for(self) -> None:
        resp = self.count([None, None, 7], 1.0)
        self.assertEqual(resp.media, {"pending": 7})

    def test_a_number_not_told_in_time_is_refused(self) -> None:
        resp = self.count([None], 0.1)
        self.assertTrue(resp.status.startswith("503"))
        self.assertIsNotNone(resp.get_header("Retry-After"))
