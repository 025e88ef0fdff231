"""Tests of the HTTP resources for the lists."""

import unittest

from hickoryreach.lists import edits
from hickoryreach.lists import heads
from hickoryreach.lists import key_edits
from hickoryreach.lists import plans
from tests.core.lists import fakes as list_fakes
from tests.entry.api import fakes


class OperatorsTest(unittest.TestCase):
    """Only operators read and change the lists."""

    def setUp(self):
        self.entry = fakes.Entry()

    def call(self, method, path, key=fakes.OPERATOR_KEY, **fields):
        return self.entry.call(method, path, key, **fields)

    def grant(self, key_id, key):
        body = {"workspace": "north", "key_id": key_id}
        body["hash"] = plans.hash_key(key)
        return self.call("POST", "/v1/keys", json=body)

    def get_plans(self):
        return self.call("GET", "/v1/lists/plans").json

    def test_callers_without_operator_key_are_refused(self):
        for key in ("", "nobody", fakes.NORTH_KEY):
            for method, path in (
                ("GET", "/v1/lists/plans"),
                ("PUT", "/v1/lists/plans"),
                ("POST", "/v1/lists/plans/check"),
                ("POST", "/v1/keys"),
                ("DELETE", "/v1/keys/north/north-1"),
                ("GET", "/v1/audit/plans"),
            ):
                with self.subTest((key, path)):
                    answer = self.call(method, path, key)
                    self.assertEqual(answer.status_code, 401)
                    self.assertEqual(answer.json["ran"], "not_run")

    def test_list_is_replaced_only_on_its_newest_revision(self):
        kept = self.get_plans()
        document = kept["document"]
        document["plans"] = document["plans"][1:]
        path = "/v1/lists/plans?revision=1"
        self.assertEqual(
            self.call("PUT", path, json=document).json["revision"], 2
        )
        late = self.call("PUT", path, json=kept["document"])
        self.assertEqual(late.status_code, 409)
        self.assertEqual(late.json["current"]["revision"], 2)
        self.assertEqual(late.json["current"]["document"], document)

    def test_revision_is_required(self):
        for query in ("", "?revision=x", f"?revision={'9' * 5_000}"):
            answer = self.call("PUT", f"/v1/lists/plans{query}", json={})
            self.assertEqual(answer.status_code, 400)

    def test_check_returns_faults_and_diff_without_change(self):
        document = self.get_plans()["document"]
        document["plans"][0]["plan"] = "gold"
        checked = self.call("POST", "/v1/lists/plans/check", json=document).json
        self.assertEqual(
            checked["faults"], ["plans.north: no allowance for plan gold"]
        )
        self.assertEqual(checked["diff"], ["~ plans/north/plan: basic -> gold"])
        self.assertEqual(self.get_plans()["revision"], 1)
        invalid = self.call("POST", "/v1/lists/plans/check", json={"plans": 3})
        self.assertEqual(len(invalid.json["faults"]), 1)

    def test_granted_key_works_at_once_until_withdrawn(self):
        self.grant("north-2", "fresh-key-of-north")
        submission = {"request_id": "r1", "command": "issue"}
        path = "/v1/jobs"
        answer = self.call("POST", path, "fresh-key-of-north", json=submission)
        self.assertEqual(answer.status_code, 200)
        self.call("DELETE", "/v1/keys/north/north-2")
        answer = self.call("POST", path, "fresh-key-of-north", json=submission)
        self.assertEqual(answer.status_code, 401)

    def test_audit_returns_actor_action_and_revisions_without_hashes(self):
        self.call("DELETE", "/v1/keys/north/north-1")
        self.grant("north-2", "fresh-key-of-north")
        changes = self.call("GET", "/v1/audit/plans").json["changes"]
        recorded = [
            (c["actor"], c["action"], c["from_revision"], c["to_revision"])
            for c in changes[:2]
        ]
        self.assertEqual(
            recorded, [("ops", "grant", 2, 3), ("ops", "withdraw", 1, 2)]
        )
        self.assertEqual(
            changes[1]["removed"], ["plans/north/keys/north-1/hash"]
        )
        self.assertNotIn(plans.hash_key("fresh-key-of-north"), str(changes))

    def test_audit_pages_cover_every_segment(self):
        for number in range(2, 60):
            self.entry.lists.edit(
                edits.Edit(
                    name="plans",
                    actor="ops",
                    action="grant",
                    revision=None,
                    build=key_edits.grant_key(
                        "north", list_fakes.build_key("north", number)
                    ),
                )
            ).unwrap()
        after, seen = "", []
        while True:
            page = self.call(
                "GET", "/v1/audit/plans", params={"limit": 7, "after": after}
            ).json
            seen += [change["to_revision"] for change in page["changes"]]
            after = page["after"]
            if not after:
                break
        self.assertEqual(seen, list(range(59, 0, -1)))
        for after in ("x", f"{'9' * 5_000}.0", f"0.{'9' * 5_000}"):
            invalid = self.call("GET", f"/v1/audit/plans?after={after}")
            self.assertEqual(invalid.status_code, 400)

    def test_audit_reports_changes_missing_from_the_store(self):
        for number in range(2, 60):
            self.grant(f"north-{number}", f"key {number}")
        path = "/v1/audit/plans?limit=1000"
        complete = self.call("GET", path).json
        self.assertEqual(complete["lost_up_to"], 0)
        lost = max(
            int(key.rpartition("/")[2])
            for key in self.entry.store.values
            if key.startswith(heads.SEGMENT_PREFIX)
        )
        del self.entry.store.values[heads.get_segment_key("plans", lost)]
        truncated = self.call("GET", path).json
        self.assertEqual(truncated["lost_up_to"], lost)
        self.assertEqual(truncated["changes"][-1]["to_revision"], lost + 1)

    def test_store_outage_refuses_changes_as_not_run(self):
        self.entry.store.down = True
        answer = self.call("DELETE", "/v1/keys/north/north-1")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.json["ran"], "not_run")

    def test_no_key_or_hash_is_logged(self):
        with self.assertLogs(level="DEBUG") as logs:
            self.test_granted_key_works_at_once_until_withdrawn()
            self.call("GET", "/v1/lists/plans", "nobody-key")
            self.call("POST", "/v1/keys", json={"hash": "nobody-key"})
        logged = repr([vars(record) for record in logs.records])
        secrets = [
            "fresh-key-of-north",
            "nobody-key",
            fakes.OPERATOR_KEY,
            fakes.NORTH_KEY,
        ]
        for key in secrets:
            self.assertNotIn(key, logged)
            self.assertNotIn(plans.hash_key(key), logged)

    def test_first_operator_may_set_the_lists_of_an_empty_store(self):
        entry = fakes.Entry(
            store=list_fakes.FakeStore(),
            first_operator_hash=plans.hash_key("first"),
        )
        allowed = list_fakes.build_allowances().model_dump(mode="json")
        listed = list_fakes.build_plans("north").model_dump(mode="json")
        for name, document in (("allowances", allowed), ("plans", listed)):
            answer = entry.call(
                "PUT",
                f"/v1/lists/{name}?revision=0",
                "first",
                json=document,
            )
            self.assertEqual(answer.status_code, 200, answer.text)
        answer = entry.call("GET", "/v1/lists/plans", "first")
        self.assertEqual(answer.status_code, 401)

    def test_first_operator_waits_until_the_lists_were_read(self):
        entry = fakes.Entry(
            store=list_fakes.FakeStore(),
            first_operator_hash=plans.hash_key("first"),
        )
        entry.now_s += fakes.SETTINGS.lists_max_age_s + 1
        answer = entry.call("GET", "/v1/lists/plans", "first")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.json["ran"], "not_run")


if __name__ == "__main__":
    unittest.main()
