"""Tests of the driver and its fakes."""

import dataclasses
import random
import unittest

from bench import cells
from bench import driver
from bench import loads
from bench import policies
from bench import targets
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

NEED = resources.Resources(cpu_millis=4_000, memory_mb=8_000)
RUN_MS = 2_000


def make_submission(
    number: int, at_ms: float = 0.0, **values: object
) -> loads.Submission:
    """Returns a one-task job that really needs NEED for RUN_MS."""
    job = jobs.Job(
        job_id=f"0.{number}",
        **({"workspace": "hydro", "need": NEED} | values),
    )
    return loads.Submission(
        at_ms=at_ms, job=job, true_need=NEED, run_ms=(RUN_MS,) * job.tasks
    )


def run(
    submissions: list[loads.Submission],
    policy: str = "fifo_first_fit",
    **values: object,
) -> driver.Driver:
    """Runs jobs on the cell of today."""
    load = loads.Load(submissions=submissions, end_ms=20_000, **values)
    made = driver.Driver(
        cell=cells.make_cedarline(),
        load=load,
        policy=policies.policies.find(policy)(),
    )
    made.run()
    return made


class DriverTest(unittest.TestCase):
    """Runs of a few jobs."""

    def test_a_task_waits_for_messages_and_one_commit(self):
        made = run([make_submission(1)])
        one_way_ms = made.cell.one_way_ms
        expected = (
            2 * one_way_ms
            + driver.COMMIT_MS
            + driver.STORE_MS
            + driver.COALESCE_MS
        )
        waited = made.recorder.waits.get_max_value()
        self.assertEqual(waited, int(expected))
        self.assertEqual(made.recorder.counts["succeeded"], 1)

    def test_a_full_cell_makes_the_next_task_wait_for_an_end(self):
        made = run([make_submission(1, tasks=97)])
        self.assertGreaterEqual(made.recorder.waits.get_max_value(), RUN_MS)
        self.assertEqual(made.recorder.counts["succeeded"], 97)

    def test_declaring_a_fifth_of_the_processors_takes_five_times_longer(self):
        small = dataclasses.replace(NEED, cpu_millis=800)
        made = run([make_submission(1, need=small)])
        self.assertGreaterEqual(made.now_ms, 5 * RUN_MS)

    def test_tasks_that_outgrow_the_memory_are_stopped(self):
        small = dataclasses.replace(NEED, cpu_millis=100, memory_mb=100)
        made = run([make_submission(1, need=small, tasks=5)])
        self.assertGreater(made.recorder.counts["memory_stops"], 0)

    def test_what_a_lost_rack_ran_starts_again_elsewhere(self):
        cell = cells.make_cedarline()
        lost = tuple(worker.worker_id for worker in cell.workers[:6])
        fault = loads.Fault(
            from_ms=1_000, to_ms=18_000, worker_ids=lost, lost=True
        )
        made = run([make_submission(1)], faults=(fault,))
        self.assertEqual(made.recorder.counts["placements"], 2)
        self.assertEqual(made.recorder.counts["succeeded"], 1)

    def test_both_policies_do_all_work_and_repeat_exactly(self):
        for policy in policies.policies.members:
            made = [
                run(
                    [
                        make_submission(number, at_ms=number * 10.0)
                        for number in range(150)
                    ],
                    policy,
                )
                for _ in range(2)
            ]
            rows = [
                dataclasses.replace(
                    one.recorder.sum_up(
                        policy=policy,
                        load="test",
                        seed=0,
                        from_ms=0,
                        to_ms=one.now_ms,
                    ).row,
                    decision_us_p50=0.0,
                    decision_us_p99=0.0,
                )
                for one in made
            ]
            self.assertEqual(made[0].recorder.counts["succeeded"], 150)
            self.assertEqual(rows[0], rows[1])


class LoadTest(unittest.TestCase):
    """The loads themselves."""

    def test_every_load_is_the_same_for_the_same_seed(self):
        cell = cells.make_association()
        for name in ("ordinary", "cancel_wave"):
            make = loads.loads.find(name)
            one = make(cell, random.Random(7))
            two = make(cell, random.Random(7))
            self.assertEqual(one.submissions, two.submissions)

    def test_wrong_sizes_are_wrong_both_ways(self):
        cell = cells.make_cedarline()
        load = loads.loads.find("wrong_sizes")(cell, random.Random(7))
        factors = {
            round(entry.job.need.cpu_millis / entry.true_need.cpu_millis, 1)
            for entry in load.submissions
            if entry.true_need.cpu_millis
        }
        self.assertLessEqual({0.2, 5.0}, factors)


class TargetsTest(unittest.TestCase):
    """Targets held against a run."""

    def test_a_run_that_misses_a_target_is_said_to(self):
        made = run([make_submission(1, urgent=True)])
        row = made.recorder.sum_up(
            policy="hickoryreach", load="test", seed=0, from_ms=0, to_ms=1_000
        )
        slow = dataclasses.replace(
            row,
            row=dataclasses.replace(
                row.row, urgent_start_p99_ms=1_101, share_distance=0.051
            ),
        )
        missed = [v.target for v in targets.judge([slow]) if not v.met]
        self.assertEqual(len(missed), 2)


if __name__ == "__main__":
    unittest.main()
