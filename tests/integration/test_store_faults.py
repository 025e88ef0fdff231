"""The store down, slow, losing answers, or back with an older revision."""

import time

from standins import load
from standins import samples
from tests.integration import bounds
from tests.integration import cases

OUTAGE_S = 6.0


class StoreFaultsTest(cases.CellCase):
    """Accepted work goes on; nothing is acknowledged that is not kept."""

    def tearDown(self):
        self.cell.store.control(
            down=False, delay_ms=0, lose_answers=False, watch_lag_ms=0
        )

    def test_accepted_work_goes_on_while_the_store_is_down(self):
        work = load.Work(name="outage", tasks=200, run_ms=2000)
        self.ledger.submit(self.trial.urls[0], work, wait_ms=0)
        self.trial.wait_for_begin("outage", tasks=10)
        self.cell.store.control(down=True)
        before = self.trial.count("start", "outage")
        time.sleep(OUTAGE_S)
        after = self.trial.count("start", "outage")
        self.assertGreater(after, before)
        self.cell.store.control(down=False)
        self.assert_promises_hold()

    def test_refusals_of_new_work_while_the_store_is_down_are_true(self):
        self.cell.store.control(down=True)
        time.sleep(cases.LEASES_S)
        answers = self.ledger.submit_all(
            self.trial.urls,
            [load.Work(name=f"durable-{n}") for n in range(4)],
            wait_ms=3_000,
        )
        self.assertFalse([a for a in answers if a.status in (200, 202)])
        self.assertTrue(all(a.body.get("ran") for a in answers), answers)
        self.cell.store.control(down=False)
        self.assert_promises_hold()

    def test_answers_lost_after_the_effect(self):
        self.cell.store.control(lose_answers=True)
        works = [
            load.Work(name=f"lost-{n}", idempotent=n % 2 == 0) for n in range(8)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=2_000)
        self.cell.store.control(lose_answers=False)
        self.assert_promises_hold()

    def test_connections_reset_after_the_effect(self):
        self.cell.set_rules({"target": "store", "drop_answers": True})
        works = [
            load.Work(name=f"reset-{n}", idempotent=n % 2 == 0)
            for n in range(8)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=2_000)
        self.assert_promises_hold()

    def test_slow_store(self):
        self.cell.store.control(delay_ms=700)
        works = [
            load.Work(name=f"slow-{n}", idempotent=n % 2 == 0) for n in range(8)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=8_000)
        self.cell.store.control(delay_ms=0)
        self.assert_promises_hold()


class OlderStoreTest(cases.CellCase):
    """A list in force never becomes older again."""

    def is_refused(self, url: str, name: str) -> bool:
        """Returns whether an entry refuses the withdrawn key."""
        work = load.Work(name=name, workspace="bay")
        return self.ledger.submit(url, work, wait_ms=500).status == 401

    def test_older_revision_after_a_restore_is_not_taken(self):
        self.cell.store.control(save="before")
        self.trial.withdraw_keys("bay")
        for number, url in enumerate(self.trial.urls):
            cases.wait_until(
                lambda url=url, number=number: self.is_refused(
                    url, f"withdrawn-{number}"
                ),
                bounds.KEY_WITHDRAWN_S,
            )
        self.cell.store.control(restore="before")
        deadline = time.monotonic() + bounds.CONFIGURATION_S
        number = 0
        while time.monotonic() < deadline:
            for url in self.trial.urls:
                number += 1
                self.assertTrue(self.is_refused(url, f"older-{number}"), url)
            time.sleep(0.5)

    def test_replaced_entry_learns_the_newer_revision_from_its_peers(self):
        self.cell.store.control(save="before")
        self.trial.withdraw_keys("hill")
        url = self.trial.urls[0]
        key = samples.caller_key("hill")
        body = load.Work(name="hill").to_body()
        cases.wait_until(
            lambda: load.fetch("POST", f"{url}/v1/jobs", key, body)[0] == 401
        )
        self.cell.store.control(restore="before")
        self.cell.entries[2].kill()
        self.revive(2)
        time.sleep(bounds.CONFIGURATION_S)
        url = self.cell.entries[2].public_url
        status, _ = load.fetch("POST", f"{url}/v1/jobs", key, body)
        self.assertEqual(status, 401)
