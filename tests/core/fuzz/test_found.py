"""Shortest runs of faults that the fuzz has found."""

import unittest

from hickoryreach.structure import jobs
from tests.core.fuzz import machine


class FoundTest(unittest.TestCase):
    """Each test is one run that once broke what must hold."""

    def setUp(self):
        super().setUp()
        self.state = machine.Machine()

    def submit(self, kind: jobs.Kind, **changes: object) -> None:
        """Submits a job of one workspace."""
        values = {
            "workspace": "north",
            "tasks": 1,
            "size": 1_000,
            "idempotent": False,
            "urgent": False,
            "preemptible": False,
        }
        self.state.submit(kind=kind, **(values | changes))

    def test_gang_with_room_kept_starts_nothing_above_a_lowered_limit(self):
        self.submit(jobs.Kind.GANG)
        self.state.set_limit(workspace="north", size=0)
        self.state.teardown()

    def test_gang_starts_whole_when_a_worker_it_counted_on_departs(self):
        self.submit(jobs.Kind.GANG, tasks=3, size=2_000)
        self.state.depart(worker_id="w1", departing=True)
        self.state.teardown()

    def test_new_owner_counts_a_raised_cap_it_has_not_seen_yet(self):
        self.submit(jobs.Kind.BATCH)
        self.state.sync_all()
        self.state.sync_all()
        self.state.set_limit(workspace="north", size=2_000)
        self.state.replace_owner(carried=0, joined={"w2"})
        self.submit(jobs.Kind.BATCH)
        self.state.teardown()

    def test_task_reported_larger_than_any_worker_gets_an_answer(self):
        for fake in self.state.fakes.values():
            fake.honest = False
        many = {"tasks": 3, "idempotent": True}
        self.submit(jobs.Kind.SERVICE, urgent=True, **many)
        self.submit(jobs.Kind.SERVICE, **many)
        self.submit(
            jobs.Kind.BATCH,
            workspace="south",
            preemptible=True,
            size=3_000,
            usage=150,
            **many,
        )
        self.state.teardown()


if __name__ == "__main__":
    unittest.main()
