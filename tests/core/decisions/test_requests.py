"""Tests of requests and of early refusals."""

import unittest

from returns import pipeline

from hickoryreach.decisions import admission
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from tests.core.decisions import cell as cells

SLOT = resources.Resources(slots=1)
MINION = resources.Resources(cpu_millis=4_000, memory_mb=8_000, slots=2)


class RequestsTest(unittest.TestCase):
    """Requests go to the freest minion or are refused truthfully."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell(request_queue_limit=8)
        for name in ("w1", "w2"):
            self.cell.join(name, capacity=MINION, service="registry")

    def request(self, job_id, **changes):
        """Submits a request."""
        return self.cell.submit(job_id, **self.values(**changes))

    def values(self, **changes):
        """Returns what makes a job a request."""
        return {
            "kind": jobs.Kind.REQUEST,
            "need": SLOT,
            "service": "registry",
        } | changes

    def refuse(self, job_id, **changes):
        """Returns the reason for which admission refuses a request."""
        job = cells.make_job(job_id, **self.values(**changes))
        outcome = admission.admit(self.cell.shard, job)
        if pipeline.is_successful(outcome):
            return ""
        return outcome.failure().reason

    def test_requests_spread_over_free_slots(self):
        for number in range(4):
            (effect,) = self.request(f"0.{number}")
            self.assertIsInstance(effect, effects.DispatchRequest)
        self.assertEqual(
            sorted(self.cell.started.values()), ["w1", "w1", "w2", "w2"]
        )
        self.assertEqual(self.request("0.x"), [])

    def test_departing_minion_gets_nothing_new(self):
        self.cell.join(
            "w1", capacity=MINION, service="registry", departing=True
        )
        for number in range(3):
            self.request(f"0.{number}")
        self.assertEqual(list(self.cell.started.values()), ["w2", "w2"])

    def test_refused_request_goes_to_a_minion_again(self):
        self.request("0.a", idempotent=False)
        self.cell.end("0.a", jobs.TaskResult.NOT_RUN)
        self.cell.tick(200)
        self.assertEqual(self.cell.counts[("0.a", 0)], 2)

    def test_answer_is_passed_on(self):
        self.request("0.a")
        self.cell.end("0.a", status=200, answer=b"yes")
        change = self.cell.changes["0.a"]
        self.assertEqual((change.status, change.answer), (200, b"yes"))

    def test_request_that_waits_past_its_timeout_was_not_run(self):
        self.cell.send(events.WorkerUnreachable(worker_id="w1"))
        self.cell.send(events.WorkerUnreachable(worker_id="w2"))
        self.request("0.a", timeout_ms=500)
        self.cell.tick(600)
        change = self.cell.changes["0.a"]
        self.assertEqual(change.reason, "timeout")
        self.assertIs(change.state, jobs.JobState.REFUSED)
        self.assertIs(change.ran, jobs.ExecutionStatus.NOT_RUN)

    def test_full_queue_refuses_by_share(self):
        self.cell.entitle(north={"share": 3.0}, south={"share": 1.0})
        for number in range(9):
            self.request(f"0.{number}", workspace="south")
        self.assertEqual(self.refuse("0.x", workspace="south"), "overload")
        self.assertEqual(self.refuse("0.y", workspace="north"), "")

    def test_request_that_would_wait_too_long_is_refused_early(self):
        for number in range(3):
            self.request(f"0.{number}")
            self.cell.end(f"0.{number}", run_ms=4_000)
        for number in range(3, 8):
            self.request(f"0.{number}")
        self.assertEqual(self.refuse("0.x", timeout_ms=500), "overload")
        self.assertEqual(self.refuse("0.y", timeout_ms=5_000), "")

    def test_failing_minion_draws_no_storm(self):
        for number in range(200):
            self.request(f"0.{number}", workspace="south")
            self.cell.end(f"0.{number}", jobs.TaskResult.UNKNOWN)
            self.cell.tick()
        self.assertLess(self.cell.counts.total(), 230)


class AdmissionTest(unittest.TestCase):
    """Jobs that can never run are refused with the reason."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")

    def refuse(self, **changes):
        """Returns the reason for which admission refuses a job."""
        job = cells.make_job("0.a", **changes)
        outcome = admission.admit(self.cell.shard, job)
        if pipeline.is_successful(outcome):
            return ""
        return outcome.failure().reason

    def test_reasons(self):
        self.cell.entitle(
            north={"queued_limit": 10}, south={"limit": cells.size(1, 500)}
        )
        gang = jobs.Kind.GANG
        self.assertEqual(self.refuse(), "")
        self.assertEqual(self.refuse(workspace="x"), "unknown_workspace")
        self.assertEqual(self.refuse(need=cells.size(5)), "impossible")
        self.assertEqual(self.refuse(service="registry"), "impossible")
        self.assertEqual(self.refuse(kind=gang, tasks=5), "impossible")
        self.assertEqual(self.refuse(workspace="south"), "limit")
        self.assertEqual(self.refuse(tasks=11), "overload")

    def test_job_that_becomes_impossible_ends_with_the_reason(self):
        self.cell.submit("0.fill", tasks=4)
        self.cell.submit("0.a", need=cells.size(4))
        self.cell.end("0.fill")
        self.cell.end("0.a", jobs.TaskResult.NOT_RUN)
        self.cell.join("w1", capacity=cells.size(2, 8_000))
        self.cell.tick(self.cell.shard.settings.impossible_ms + 2_000)
        change = self.cell.changes["0.a"]
        self.assertEqual(change.reason, "impossible")
        self.assertIs(change.ran, jobs.ExecutionStatus.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
