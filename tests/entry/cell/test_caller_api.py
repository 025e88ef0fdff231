"""Tests of the responses to callers without an answer from the owner."""

import time
import types
import unittest
from unittest import mock

import falcon
from returns import result

from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach.wire import frames
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import records

JOB = "a072a0f6de83e5b3"


class CancelStoredJobTest(unittest.TestCase):
    """The stored job decides the response if the owner does not know it."""

    def cancel_stored_job(
        self, data: bytes | None, workspace: str = ""
    ) -> tuple[falcon.Response, frames.JobReport | None]:
        """Cancels a job that the store holds with some data."""
        client = mock.Mock()
        client.get.return_value = result.Success(
            store.Item(key=records.build_job_key(JOB), data=data, revision=3)
        )
        owner_client = mock.Mock()
        owner_client.call.return_value = None
        api = caller_api.CallerApi(
            member=types.SimpleNamespace(
                owner_client=owner_client, cell_clock=cell_clock.CellClock()
            ),
            client=client,
            configuration_source=mock.Mock(),
        )
        resp = falcon.Response()
        message = frames.Cancellation(job_id=JOB, workspace=workspace)
        return resp, api.cancel_stored_job(resp, JOB, message, 0.0)

    def build_final(self) -> bytes:
        """Returns the final record of a completed job of one workspace."""
        return records.encode_final(
            records.FinalRecord(
                final=state.JobState.COMPLETED, workspace="hydro"
            )
        )

    def test_an_unreadable_job_is_not_reported_as_gone(self) -> None:
        resp, report = self.cancel_stored_job(b"{")
        self.assertIsNone(report)
        self.assertFalse(resp.status.startswith("410"))

    def test_a_caller_without_a_workspace_sees_any_job(self) -> None:
        resp, report = self.cancel_stored_job(self.build_final())
        self.assertEqual(report.state, "completed")
        self.assertFalse(resp.status.startswith("410"))

    def test_absent_and_foreign_jobs_get_the_same_response(self) -> None:
        for data in (None, self.build_final()):
            resp, report = self.cancel_stored_job(data, workspace="wind")
            self.assertIsNone(report)
            self.assertTrue(resp.status.startswith("410"))


class CountTest(unittest.TestCase):
    """The number of pending jobs is returned once the owner reports it."""

    def count(self, known: list[int | None], left_s: float) -> falcon.Response:
        """Counts while the owner client returns these numbers in turn."""
        owner_client = mock.Mock(unconfirmed_jobs={})
        owner_client.get_pending.side_effect = known + [known[-1]] * 100
        owner_client.is_isolated.return_value = False
        api = caller_api.CallerApi(
            member=types.SimpleNamespace(
                owner_client=owner_client, cell_clock=cell_clock.CellClock()
            ),
            client=mock.Mock(),
            configuration_source=mock.Mock(),
        )
        resp = falcon.Response()
        queue = types.SimpleNamespace(name="runs")
        api.count(resp, queue, time.monotonic() + left_s)
        return resp

    def test_waits_for_a_number(self) -> None:
        resp = self.count([None, None, 7], 1.0)
        self.assertEqual(resp.media, {"pending": 7})

    def test_responds_503_without_a_number_in_time(self) -> None:
        resp = self.count([None], 0.1)
        self.assertTrue(resp.status.startswith("503"))
        self.assertIsNotNone(resp.get_header("Retry-After"))
