"""A front with callers, a fake owner and a fake minion."""

import unittest
from unittest import mock

import gevent

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.wire import messages
from hickoryreach_entry import front
from hickoryreach_entry import minions

SUCCEEDED = minions.Answer(
    result=jobs.TaskResult.SUCCEEDED, status=200, body=b"whole"
)


def make_job(**fields) -> jobs.Job:
    """Returns a request."""
    defaults = {
        "job_id": "0.a",
        "workspace": "north",
        "kind": jobs.Kind.REQUEST,
        "digest": "d1",
        "need": resources.Resources(slots=1),
    }
    return jobs.Job(**{**defaults, **fields})


def make_dispatch(attempt: int = 1, term: int = 1) -> messages.Dispatch:
    """Returns a dispatch."""
    return messages.Dispatch(
        job_id="0.a",
        attempt=attempt,
        worker_id="w1",
        address="127.0.0.1:1",
        term=term,
        valid_ms=3_000,
    )


def make_notice(state: str, **fields) -> messages.Notice:
    """Returns a notice."""
    defaults = {"ran": "ran", "job_id": "0.a"}
    return messages.Notice(state=state, **{**defaults, **fields})


class FrontCase(unittest.TestCase):
    """Callers, a fake owner and a fake minion."""

    def setUp(self):
        self.enterContext(mock.patch.object(front, "FIRST_NOTICE_S", 0.2))
        self.sent = []
        self.owned = True
        self.answers = []
        self.carrying = []
        self.front = front.Front(
            name="e1",
            send_to_owner=self.take,
            send_request=self.send_request,
        )

    def take(self, shard: int, field: str, message: object) -> bool:
        """Takes what is sent to the owner."""
        if self.owned:
            self.sent.append((field, message))
        return self.owned

    def send_request(self, job, body, dispatch, received):
        """Answers like a minion, once the test lets it."""
        done = gevent.event.AsyncResult()
        self.carrying.append((dispatch.attempt, done))
        return done.get()

    def submit(self, wait_s: float = 5.0, **fields) -> gevent.Greenlet:
        """Submits a job in the background."""
        caller = gevent.spawn(
            self.front.submit, make_job(**fields), body=b"b", wait_s=wait_s
        )
        gevent.sleep(0)
        return caller

    def list_outcomes(self) -> list[messages.Outcome]:
        """Returns the outcomes reported so far."""
        return [message for field, message in self.sent if field == "outcomes"]
