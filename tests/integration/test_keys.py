"""Keys: whose work is taken, and how soon a withdrawn key stops."""

import time

from hickoryreach.lists import plans
from standins import cell
from standins import load
from standins import samples
from tests.integration import bounds
from tests.integration import cases


class KeysTest(cases.CellCase):
    """Work is taken only for the workspace whose key came with it."""

    def test_no_key_and_an_unknown_key_are_refused(self):
        body = load.Work(name="keyless").to_body()
        for key in ("", "no-such-key", "key-of-nort"):
            status, answer = load.fetch(
                "POST", f"{self.trial.urls[0]}/v1/jobs", key, body
            )
            self.assertEqual((status, answer["ran"]), (401, "not_run"))
        self.assertEqual(self.trial.count("start", "keyless"), 0)

    def test_only_an_open_queue_takes_work_without_a_key(self):
        url = f"{self.trial.urls[0]}/v1/jobs?wait_ms=9000"
        for queue, status in (("public", 200), ("default", 401)):
            body = load.Work(name=f"keyless-{queue}").to_body()
            found, _ = load.fetch("POST", url, "", body | {"queue": queue})
            self.assertEqual(found, status)
        begun = [
            (line["piece"], line["workspace"])
            for line in self.trial.history()
            if line["what"] == "start" and "keyless-" in line["piece"]
        ]
        self.assertEqual(begun, [("keyless-public", "bay")])

    def test_work_runs_under_the_workspace_of_its_key(self):
        for workspace in ("north", "south"):
            work = load.Work(name=f"of-{workspace}", workspace=workspace)
            self.ledger.submit(self.trial.urls[0], work)
        found = {
            line["piece"]: line["workspace"]
            for line in self.trial.history()
            if line["what"] == "start" and line["piece"].startswith("of-")
        }
        self.assertEqual(found, {"of-north": "north", "of-south": "south"})

    def test_another_workspace_neither_reads_nor_cancels_a_job(self):
        work = load.Work(name="private", run_ms=3000)
        self.ledger.submit(self.trial.urls[0], work, wait_ms=0)
        self.trial.wait_for_begin("private")
        url = f"{self.trial.urls[1]}/v1/jobs/{self.ledger.job_ids['private']}"
        key = samples.caller_key("south")
        for method in ("GET", "DELETE"):
            _, answer = load.fetch(method, url, key)
            self.assertNotIn(
                answer.get("state"),
                ("accepted", "running", "succeeded", "cancelled"),
            )
        final = self.ledger.query(self.trial.urls[0], "private", wait_ms=9_000)
        self.assertEqual(final.body["state"], "succeeded")


class WithdrawnKeyTest(cases.CellCase):
    """A withdrawn key stops working, also where the store is out of reach."""

    def is_taken(self, number: int, piece: str, workspace: str) -> bool:
        """Returns whether an entry still takes work for a key."""
        work = load.Work(name=piece, workspace=workspace, kind="request")
        answer = self.ledger.submit(
            self.cell.entries[number].public_url, work, wait_ms=1_000
        )
        return answer.status in (200, 202)

    def assert_stops(self, number: int, workspace: str) -> None:
        """Withdraws a key and fails if it works after the bound."""
        self.trial.operators_entry = (number + 1) % self.entries
        self.assertTrue(self.is_taken(number, f"{workspace}-0", workspace))
        self.trial.withdraw_keys(workspace)
        deadline = time.monotonic() + bounds.KEY_WITHDRAWN_S
        time.sleep(max(0.0, deadline - time.monotonic()))
        self.assertFalse(self.is_taken(number, f"{workspace}-1", workspace))

    def tearDown(self):
        self.cell.set_rules()

    def test_at_an_entry_cut_off_from_the_store(self):
        number = (self.trial.find_owner() + 1) % self.entries
        self.cell.set_rules(
            {"source": f"entry-{number}", "target": "store", "cut": True}
        )
        self.assert_stops(number, "east")

    def test_at_an_owner_cut_off_from_the_store_and_its_peers(self):
        owner = self.trial.find_owner()
        self.cell.set_rules(
            {"source": f"entry-{owner}", "target": "store", "cut": True},
            {"source": f"entry-{owner}", "target": "peer-*", "cut": True},
            {"source": "entry-*", "target": f"peer-{owner}", "cut": True},
        )
        self.assert_stops(owner, "west")

    def test_everywhere_at_once(self):
        self.trial.withdraw_keys("hill")
        deadline = time.monotonic() + bounds.KEY_WITHDRAWN_S
        cases.wait_until(
            lambda: (
                not any(
                    self.is_taken(number, f"hill-{time.monotonic()}", "hill")
                    for number in range(self.entries)
                )
            )
        )
        self.assertLess(time.monotonic(), deadline)

    def test_grants_reach_every_entry(self):
        listed = self.trial.get_list("plans")
        document = listed["document"]
        digest = plans.hash_key("new-key")
        document["plans"][0]["keys"].append(
            {"key_id": "north-2", "hash": digest}
        )
        self.trial.put_list("plans", document, listed["revision"])
        body = load.Work(name="granted", kind="request").to_body()
        for entry in self.cell.entries:
            cases.wait_until(
                lambda url=entry.url: (
                    load.fetch("POST", f"{url}/v1/jobs", "new-key", body)[0]
                    != 401
                ),
                bounds.CONFIGURATION_S,
            )
        self.assertEqual(cell.call("GET", entry.url + "/health")[0], 200)
