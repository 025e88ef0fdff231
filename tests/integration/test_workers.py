"""Workers that are cut off, silent, lying, failing or lost."""

import time

from standins import load
from tests.integration import cases


class WorkerCase(cases.CellCase):
    """Tests that bring faults about in workers."""

    def tearDown(self):
        self.cell.set_rules()
        for worker in self.cell.workers:
            if worker.is_running():
                worker.control(mode="normal")

    def submit_running(self, name: str, **fields: object) -> None:
        """Submits a batch that is running on every worker."""
        work = load.Work(name=name, tasks=40, run_ms=2000, **fields)
        self.ledger.submit(self.trial.urls[0], work, wait_ms=0)
        self.trial.wait_for_begin(name, tasks=20)


class WorkersTest(WorkerCase):
    """Workers that are full, lie, or answer late or not at all."""

    def test_full_cell_keeps_every_capacity_and_slot(self):
        works = [
            load.Work(
                name=f"full-{n}",
                tasks=8,
                run_ms=400,
                need={"cpu_millis": 3000, "memory_mb": 5000},
                arguments=("use_memory_mb=9000", "use_cpu_millis=9000"),
            )
            for n in range(6)
        ]
        works += [
            load.Work(name=f"slot-{n}", kind="request", run_ms=300)
            for n in range(60)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=20_000)
        self.assert_promises_hold()

    def test_lying_worker(self):
        self.submit_running("lied-about")
        self.cell.workers[0].control(mode="lie")
        time.sleep(1.0)
        self.cell.workers[0].control(mode="normal")
        self.ledger.submit(self.trial.urls[0], load.Work(name="after-lie"))
        self.assert_promises_hold()

    def test_garbling_worker(self):
        self.submit_running("garbled", idempotent=False)
        self.cell.workers[0].control(mode="garble")
        time.sleep(cases.LEASES_S)
        self.cell.workers[0].control(mode="normal")
        self.assert_promises_hold()

    def test_late_and_dropped_answers_of_workers(self):
        self.cell.set_rules(
            {"target": "worker-*", "delay_ms": 150, "jitter_ms": 300},
            {"target": "worker-0", "drop_answers": True},
        )
        works = [
            load.Work(name=f"late-{n}", tasks=3, idempotent=n % 2 == 0)
            for n in range(6)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=3_000)
        self.assert_promises_hold()


class UnreachableWorkersTest(WorkerCase):
    """Workers that run on out of reach."""

    def test_silent_worker_runs_on(self):
        self.submit_running("silent")
        self.cell.workers[0].control(mode="silent")
        time.sleep(cases.LEASES_S)
        self.cell.workers[0].control(mode="normal")
        self.assert_promises_hold()

    def test_frozen_worker_thawed(self):
        self.submit_running("frozen-worker")
        self.cell.workers[0].freeze()
        time.sleep(cases.LEASES_S)
        self.cell.workers[0].thaw()
        self.assert_promises_hold()

    def test_one_way_cuts_of_half_the_workers(self):
        for direction in ("hold_up", "hold_down"):
            with self.subTest(direction):
                self.submit_running(f"one-way-{direction}")
                self.cell.set_rules({"target": "worker-[01]", direction: True})
                time.sleep(cases.LEASES_S)
                self.cell.set_rules()
                self.assert_promises_hold()


class CutOffOwnerTest(WorkerCase):
    """An owner that reaches no worker, which others reach."""

    def test_owner_cut_off_from_every_worker(self):
        self.submit_running("owner-without-workers")
        owner = self.trial.find_owner()
        self.cell.set_rules(
            {"source": f"entry-{owner}", "target": "worker-*", "cut": True}
        )
        url = self.cell.entries[(owner + 1) % self.entries].public_url
        work = load.Work(name="past-the-cut")
        self.ledger.submit(url, work, wait_ms=0)
        cases.wait_until(lambda: self.trial.count("end", "past-the-cut") > 0)
        self.assert_promises_hold()


class DomainLostTest(cases.CellCase):
    """A failure domain goes together with the owner in it."""

    workers = 6

    def test_work_goes_on_without_the_domain_and_its_owner(self):
        owner = self.trial.find_owner()
        url = self.cell.entries[(owner + 1) % self.entries].public_url
        works = [
            load.Work(name="domain", tasks=30, run_ms=1500),
            load.Work(
                name="domain-once", tasks=6, run_ms=1500, idempotent=False
            ),
        ]
        for work in works:
            self.ledger.submit(url, work, wait_ms=0)
            self.trial.wait_for_begin(work.name, tasks=6)
        lost = [2 * owner, 2 * owner + 1]
        self.cell.entries[owner].kill()
        for number in lost:
            self.cell.kill_worker(number)
        self.trial.wait_for_new_owner(owner)
        self.assertEqual(self.trial.find_violations(url), [])
        final = self.ledger.query(url, "domain")
        self.assertEqual(final.body["state"], "succeeded")
