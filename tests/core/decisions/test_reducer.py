"""Tests of the reducer."""

import unittest

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces


def make_shard() -> state.ShardState:
    """Returns a shard with one worker and one workspace."""
    shard = state.ShardState()
    reducer.reduce(
        shard,
        events.EntitlementsChanged(
            entitlements=(workspaces.Entitlement(workspace="north"),)
        ),
        0,
    )
    worker = workers.Worker(
        worker_id="w1",
        failure_domain="a",
        rack="r1",
        capacity=resources.Resources(cpu_millis=16_000, memory_mb=32_000),
    )
    reducer.reduce(shard, events.WorkerJoined(worker=worker), 0)
    return shard


class ReducerTest(unittest.TestCase):
    """One job through the reducer."""

    def test_batch_job_runs_once_and_succeeds(self):
        shard = make_shard()
        job = jobs.Job(
            job_id="0.a",
            workspace="north",
            need=resources.Resources(cpu_millis=1000, memory_mb=100),
        )
        out = reducer.reduce(shard, events.JobSubmitted(job=job), 1)
        self.assertIsInstance(out[0], effects.StartTask)
        key = out[0].key
        reducer.reduce(shard, events.TaskStarted(key=key, worker_id="w1"), 2)
        out = reducer.reduce(
            shard,
            events.TaskEnded(
                key=key, worker_id="w1", result=jobs.TaskResult.SUCCEEDED
            ),
            3,
        )
        self.assertIs(out[-1].state, jobs.JobState.SUCCEEDED)
        self.assertIs(out[-1].ran, jobs.Ran.RAN)


if __name__ == "__main__":
    unittest.main()
