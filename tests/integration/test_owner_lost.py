"""An owner killed, frozen past every lease, or gone from the caller's side."""

import concurrent.futures
import time

from standins import load
from tests.integration import cases


class OwnerLostTest(cases.CellCase):
    """Work goes on, once, after its owner is gone."""

    def test_owner_killed_in_the_middle_of_a_batch(self):
        owner = self.trial.find_owner()
        other = (owner + 1) % self.entries
        work = load.Work(name="killed", tasks=12, run_ms=1500)
        answer = self.ledger.submit(self.trial.urls[other], work, wait_ms=0)
        self.assertEqual(answer.status, 202)
        self.trial.wait_for_begin("killed", tasks=4)
        self.cell.entries[owner].kill()
        self.trial.wait_for_new_owner(owner)
        self.assert_promises_hold()
        final = self.ledger.query(self.trial.urls[0], "killed")
        self.assertEqual(final.body["state"], "succeeded")
        self.revive(owner)

    def test_owner_killed_after_starting_non_idempotent_work(self):
        owner = self.trial.find_owner()
        other = (owner + 1) % self.entries
        work = load.Work(name="once", tasks=4, run_ms=2000, idempotent=False)
        self.ledger.submit(self.trial.urls[other], work, wait_ms=0)
        self.trial.wait_for_begin("once", tasks=4)
        self.cell.entries[owner].kill()
        self.trial.wait_for_new_owner(owner)
        self.assert_promises_hold()
        self.revive(owner)

    def test_owner_frozen_past_every_lease_then_thawed(self):
        owner = self.trial.find_owner()
        other = (owner + 1) % self.entries
        url = self.cell.entries[other].public_url
        work = load.Work(name="frozen", tasks=10, run_ms=1000)
        self.ledger.submit(url, work, wait_ms=0)
        self.trial.wait_for_begin("frozen", tasks=4)
        self.cell.entries[owner].freeze()
        self.trial.wait_for_new_owner(owner)
        time.sleep(cases.LEASES_S)
        self.ledger.submit(
            url, load.Work(name="meanwhile", tasks=20, run_ms=3000), wait_ms=0
        )
        self.trial.wait_for_begin("meanwhile")
        self.cell.entries[owner].thaw()
        self.ledger.submit_all(
            self.trial.urls,
            [load.Work(name=f"after-thaw-{n}") for n in range(6)],
        )
        self.assert_promises_hold()


class CallersEntryLostTest(cases.CellCase):
    """A request whose caller's entry dies after the dispatch."""

    def test_retry_through_another_entry_does_not_run_it_twice(self):
        owner = self.trial.find_owner()
        first = (owner + 1) % self.entries
        second = (owner + 2) % self.entries
        work = load.Work(
            name="retried", kind="request", idempotent=False, run_ms=1500
        )
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            lost = pool.submit(
                self.ledger.submit, self.cell.entries[first].public_url, work
            )
            self.trial.wait_for_begin("retried")
            self.cell.entries[first].kill()
            self.assertEqual(lost.result().status, 0)
        url = self.cell.entries[second].public_url
        self.ledger.submit(url, work, wait_ms=15_000)
        self.assertEqual(self.trial.count("request", "retried"), 1)
        self.assertEqual(self.trial.find_violations(url), [])
        self.revive(first)


class UnseenWorkerTest(cases.CellCase):
    """The owner dies while a worker runs its tasks out of everyone's sight.

    Leases outlast a takeover on a busy machine, so that the next owner is at
    work while the tasks still run.
    """

    settings = {"task-lease-ms": "8000"}

    def test_owner_killed_while_a_worker_is_out_of_reach(self):
        owner = self.trial.find_owner()
        url = self.cell.entries[(owner + 1) % self.entries].public_url
        work = load.Work(name="unseen", tasks=40, run_ms=7_000)
        self.ledger.submit(url, work, wait_ms=0)
        self.trial.wait_for_begin("unseen", tasks=30)
        self.cell.set_rules({"target": "worker-0", "cut": True})
        self.cell.entries[owner].kill()
        self.trial.wait_for_new_owner(owner)
        cases.wait_until(
            lambda: self.trial.count("end", "unseen") >= 40,
        )
        self.assertEqual(self.trial.find_violations(url), [])
