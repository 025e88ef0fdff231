"""Tests of the plain baseline."""

import unittest

from bench.baselines import fifo
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces


def make_need(cores: int) -> resources.Resources:
    """Returns a need for processors."""
    return resources.Resources(cpu_millis=cores * 1000)


class FifoFirstFitTest(unittest.TestCase):
    """Order, limits and gangs of the baseline."""

    def setUp(self):
        super().setUp()
        self.policy = fifo.FifoFirstFit()
        self.reduce(
            events.EntitlementsChanged(
                entitlements=(
                    workspaces.Entitlement(workspace="a"),
                    workspaces.Entitlement(workspace="b", limit=make_need(2)),
                )
            )
        )
        for name in ("w1", "w2"):
            worker = workers.Worker(
                worker_id=name,
                failure_domain="d",
                rack="r",
                capacity=make_need(4),
            )
            self.reduce(events.WorkerJoined(worker=worker))

    def reduce(self, event: events.Event) -> list[effects.Effect]:
        """Returns the effects of an event."""
        return self.policy.reduce(event, 0)

    def submit(self, name: str, cores: int, **values: object) -> list:
        """Submits a job; returns where its tasks start."""
        job = jobs.Job(
            job_id=name,
            need=make_need(cores),
            **({"workspace": "a"} | values),
        )
        return self.starts(self.reduce(events.JobSubmitted(job=job)))

    def starts(self, out: list[effects.Effect]) -> list[tuple[str, str]]:
        """Returns job and worker of each start."""
        return [
            (effect.key.job_id, effect.worker_id)
            for effect in out
            if isinstance(effect, effects.StartTask)
        ]

    def end(self, job_id: str, outcome: jobs.TaskResult, **at: int) -> list:
        """Ends an attempt; returns where tasks start then."""
        key = jobs.TaskKey(job_id=job_id, **({"index": 0, "attempt": 1} | at))
        worker_id = self.policy.entries[job_id].running[key]
        event = events.TaskEnded(key=key, worker_id=worker_id, result=outcome)
        return self.starts(self.reduce(event))

    def test_the_first_worker_with_room_is_taken(self):
        self.assertEqual(self.submit("1", 3), [("1", "w1")])
        self.assertEqual(self.submit("2", 3), [("2", "w2")])
        self.assertEqual(self.submit("3", 1), [("3", "w1")])

    def test_waiting_work_starts_in_order_of_arrival(self):
        self.submit("1", 4, tasks=2)
        self.submit("2", 4)
        self.submit("3", 4)
        started = self.end("1", jobs.TaskResult.SUCCEEDED)
        self.assertEqual(started, [("2", "w1")])

    def test_a_limit_holds_and_passes_on_when_room_comes_back(self):
        self.assertEqual(len(self.submit("1", 2, workspace="b")), 1)
        self.assertEqual(self.submit("2", 2, workspace="b"), [])
        self.assertEqual(self.submit("3", 2), [("3", "w1")])
        started = self.end("1", jobs.TaskResult.SUCCEEDED)
        self.assertEqual(started, [("2", "w1")])

    def test_a_cancelled_job_leaves_the_limit_to_the_next(self):
        self.submit("1", 2, workspace="b")
        self.submit("2", 2, workspace="b")
        self.submit("3", 2, workspace="b")
        self.reduce(events.JobCancelled(job_id="2"))
        started = self.end("1", jobs.TaskResult.SUCCEEDED)
        self.assertEqual(started, [("3", "w1")])

    def test_a_gang_starts_whole_or_not_at_all(self):
        self.submit("1", 2)
        gang = {"kind": jobs.Kind.GANG, "tasks": 2}
        self.assertEqual(self.submit("2", 3, **gang), [])
        started = self.end("1", jobs.TaskResult.SUCCEEDED)
        self.assertEqual(started, [("2", "w1"), ("2", "w2")])

    def test_failed_work_is_repeated_only_when_idempotent(self):
        self.submit("1", 1)
        self.submit("2", 1, idempotent=False)
        self.assertEqual(self.end("1", jobs.TaskResult.FAILED), [("1", "w1")])
        self.assertEqual(self.end("2", jobs.TaskResult.FAILED), [])


if __name__ == "__main__":
    unittest.main()
