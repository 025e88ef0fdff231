"""Tests of what jobs are taken to occupy of their owner."""

import unittest

from hickoryreach.structure import steps
from hickoryreach_entry.cell import job_sizes
from hickoryreach_entry.cell import published_states
from tests.entry.cell import cases


def build_job(*wanted: steps.Step, **words) -> steps.Job:
    """Returns a job of some steps."""
    fields = {"job_id": "j", "payload": ""} | words
    return steps.Job(
        workspace="hydro",
        queue=cases.QUEUE,
        steps=wanted,
        accepted_ms=0,
        **fields,
    )


class JobSizesTest(unittest.TestCase):
    """All that a caller chooses freely counts."""

    def test_whatever_grows_a_job_grows_its_size(self) -> None:
        usual = job_sizes.estimate_bytes(build_job(steps.Step()))
        for job in (
            build_job(steps.Step(), steps.Step()),
            build_job(steps.Step(count=100)),
            build_job(steps.Step(after=(0,) * 1_000)),
            build_job(steps.Step(label="x" * 1_000)),
            build_job(steps.Step(rack="x" * 1_000)),
            build_job(steps.Step(image="x" * 1_000)),
            build_job(steps.Step(), payload="x" * 1_000),
            build_job(steps.Step(), repeats=10),
        ):
            grown = job_sizes.estimate_bytes(job)
            self.assertGreater(grown, usual + 1_000)

    def test_the_sum_follows_what_the_owner_holds(self) -> None:
        states = published_states.PublishedStates(on_final=lambda *words: None)
        job = build_job(steps.Step(count=3))
        for _ in range(2):
            states.record_job(job, quiet=True)
        size = job_sizes.estimate_bytes(job)
        self.assertEqual(states.held_bytes, size)
        states.drop_job("j")
        states.drop_job("j")
        self.assertEqual(states.held_bytes, 0)
