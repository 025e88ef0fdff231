"""Tests of the responses to callers without an answer from the owner."""

import time
import types
import unittest
from unittest import mock

import falcon
from falcon import testing
from returns import result

from hickoryreach.platform import node
from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach.wire import frames
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import job_canceller
from hickoryreach_entry.cell import job_saver
from hickoryreach_entry.cell import records

JOB = "a072a0f6de83e5b3"


def build_api(
    owner_client: mock.Mock, client: mock.Mock | None = None
) -> caller_api.CallerApi:
    """Returns an API on clients of the owner and the store."""
    return caller_api.CallerApi(
        member=types.SimpleNamespace(
            owner_client=owner_client, cell_clock=cell_clock.CellClock()
        ),
        client=client or mock.Mock(),
        configuration_source=mock.Mock(),
        limits=node.LimitsRow(),
    )


class CancelledIdTest(unittest.TestCase):
    """Responses about an id that was cancelled without a job."""

    def setUp(self) -> None:
        """Creates an API whose owner knows no job."""
        self.owner_client = mock.Mock()
        self.owner_client.is_isolated.return_value = False
        self.owner_client.call.return_value = frames.JobReport(known=False)
        data = records.encode_cancelled_id(
            records.CancelledId(workspaces=("hydro",))
        )
        self.item = store.Item(
            key=records.build_job_key(JOB), data=data, revision=3
        )
        client = mock.Mock()
        client.get.return_value = result.Success(self.item)
        self.api = build_api(self.owner_client, client)
        self.resp = falcon.Response()
        self.deadline = time.monotonic() + 1.0

    def test_no_job_is_shown(self) -> None:
        self.api.show_state(self.resp, JOB, "hydro", self.deadline)
        self.assertTrue(self.resp.status.startswith("410"))

    def test_each_outcome_has_its_response(self) -> None:
        outcomes = {
            job_canceller.NO_JOB: "410",
            job_canceller.UNCLEAR: "504",
            job_canceller.Cancelled(
                outcome=job_canceller.Outcome.REFUSED
            ): "503",
            job_canceller.Cancelled(
                outcome=job_canceller.Outcome.FINAL,
                final=state.JobState.CANCELLED,
            ): "200",
        }
        for cancelled, status in outcomes.items():
            self.api.job_canceller = mock.Mock()
            self.api.job_canceller.cancel.return_value = cancelled
            resp = falcon.Response()
            self.api.cancel(resp, JOB, "hydro", self.deadline)
            self.assertTrue(resp.status.startswith(status), cancelled)


class FullCellTest(unittest.TestCase):
    """Jobs take as much of the owner as this entry lets them."""

    def setUp(self) -> None:
        """Creates an API of a full cell."""
        self.owner_client = mock.Mock()
        self.api = build_api(self.owner_client)
        limit = self.api.limits.max_job_bytes
        self.owner_client.get_job_bytes.return_value = limit
        self.api.configuration = mock.Mock(version=1, body_limit=1_000)
        self.api.job_saver = mock.Mock()

    def submit(self, found: job_saver.Outcome) -> falcon.Response:
        """Hands a job in, of which the store tells something."""
        self.api.job_saver.find.return_value = found
        resp = falcon.Response()
        body = b'{"spec":"","steps":[{}]}'
        req = testing.create_req(method="POST", body=body)
        deadline = time.monotonic() + 1.0
        queue = types.SimpleNamespace(name="runs")
        self.api.submit(req, resp, queue, "hydro", JOB, deadline)
        return resp

    def test_another_job_is_refused(self) -> None:
        resp = self.submit(job_saver.Outcome.NOT_KEPT)
        self.assertTrue(resp.status.startswith("503"))
        self.assertIsNotNone(resp.get_header("Retry-After"))
        self.api.job_saver.save.assert_not_called()

    # Guards against a refusal of a job that was accepted before.
    def test_a_repeat_of_an_accepted_job_is_not_refused(self) -> None:
        resp = self.submit(job_saver.Outcome.KEPT)
        self.assertTrue(resp.status.startswith("200"))


class CountTest(unittest.TestCase):
    """The number of pending jobs is returned once the owner reports it."""

    def count(self, known: list[int | None], left_s: float) -> falcon.Response:
        """Counts while the owner client returns these numbers in turn."""
        owner_client = mock.Mock(unconfirmed_jobs={})
        owner_client.get_pending.side_effect = known + [known[-1]] * 100
        owner_client.is_isolated.return_value = False
        api = build_api(owner_client)
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
