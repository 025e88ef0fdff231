"""Tests of submissions, queries and cancellations over HTTP."""

import io
import json
import unittest
from unittest import mock

import gevent

from hickoryreach.wire import messages
from hickoryreach_entry.api import bodies
from tests.entry.api import fakes

SUBMISSION = {"request_id": "r1", "command": "issue", "tasks": 2}
REQUEST = {
    "request_id": "r2",
    "kind": "request",
    "command": "check",
    "service": "registry",
}


class WorkTest(unittest.TestCase):
    """Every refusal says whether the work ran and what to do."""

    def setUp(self):
        self.entry = fakes.Entry()
        self.front = self.entry.front

    def submit(self, body=None, key=fakes.NORTH_KEY, **fields):
        return self.entry.call(
            "POST", "/v1/jobs", key, json=body or SUBMISSION, **fields
        )

    def assert_refused(self, answer, status, reason, ran="not_run"):
        self.assertEqual(answer.status_code, status, answer.text)
        self.assertEqual(
            answer.headers["content-type"], "application/problem+json"
        )
        self.assertEqual(
            answer.json["type"], f"urn:hickoryreach:problem:{reason}"
        )
        self.assertEqual(answer.json["ran"], ran)
        self.assertTrue(answer.json["detail"])

    def test_job_belongs_to_the_workspace_of_its_key(self):
        answer = self.submit()
        self.assertEqual(answer.status_code, 200)
        self.assertEqual(answer.json["ran"], "ran")
        self.assertEqual(self.front.submitted[0].workspace, "north")

    def test_request_needs_one_slot(self):
        self.submit(REQUEST)
        self.assertEqual(self.front.submitted[0].need.slots, 1)

    def test_equivalent_bodies_have_the_same_digest(self):
        self.submit()
        self.submit(dict(reversed(SUBMISSION.items())) | {"queue": "default"})
        self.submit(SUBMISSION | {"tasks": 3})
        digests = [job.digest for job in self.front.submitted]
        self.assertEqual(digests[0], digests[1])
        self.assertNotEqual(digests[0], digests[2])

    def test_invalid_bodies_are_refused_with_every_fault(self):
        cases = [
            (b"{", "malformed"),
            (b"[]", "malformed"),
            (b"\xff\xfe", "malformed"),
            (json.dumps(SUBMISSION | {"tasks": "x"}), "malformed"),
            (json.dumps(SUBMISSION | {"tasks": 0}), "malformed"),
            (json.dumps(SUBMISSION | {"color": 1}), "malformed"),
            (json.dumps(REQUEST | {"service": ""}), "malformed"),
            (json.dumps(SUBMISSION | {"service": "x"}), "malformed"),
            (json.dumps(SUBMISSION | {"wave": "a/b"}), "malformed"),
            (json.dumps(SUBMISSION | {"request_id": "\ud800"}), "malformed"),
            (json.dumps(SUBMISSION | {"tasks": 10**30}), "malformed"),
        ]
        for body, reason in cases:
            with self.subTest(body):
                answer = self.entry.call(
                    "POST", "/v1/jobs", fakes.NORTH_KEY, body=body
                )
                self.assert_refused(answer, 400, reason)
                self.assertEqual(len(answer.json["faults"]), 1)
        self.assertEqual(self.front.submitted, [])

    def post_stream(self, stream, **headers):
        return self.entry.client.simulate_post(
            "/v1/jobs", headers=headers, extras={"wsgi.input": stream}
        )

    def test_truncated_slow_and_chunked_bodies_are_refused(self):
        truncated = self.post_stream(
            io.BytesIO(b"{"), **{"Content-Length": "9"}
        )
        self.assert_refused(truncated, 400, "body_cut")
        with mock.patch.object(bodies, "READ_TIMEOUT_S", 0.01):
            slow = mock.MagicMock(read=lambda *_: gevent.sleep(10))
            answer = self.post_stream(slow, **{"Content-Length": "9"})
        self.assert_refused(answer, 408, "body_too_slow")
        chunked = {"Transfer-Encoding": "chunked"}
        answer = self.post_stream(io.BytesIO(), **chunked)
        self.assert_refused(answer, 411, "length_required")

    def test_oversized_body_is_refused(self):
        answer = self.entry.call(
            "POST",
            "/v1/jobs",
            fakes.NORTH_KEY,
            body=b" " * (bodies.LIMIT_BYTES + 1),
        )
        self.assert_refused(answer, 413, "body_too_large")

    def test_wrong_and_missing_keys_are_refused(self):
        for key in ("", "nobody", fakes.OPERATOR_KEY):
            with self.subTest(key):
                self.assert_refused(self.submit(key=key), 401, "key_refused")
        self.assertEqual(self.front.submitted, [])

    def test_queues(self):
        unknown = self.submit(SUBMISSION | {"queue": "none"})
        self.assert_refused(unknown, 422, "unknown_queue")
        forbidden = self.submit(SUBMISSION | {"queue": "late"})
        self.assert_refused(forbidden, 403, "queue_not_allowed")
        public = SUBMISSION | {"queue": "public"}
        self.assertEqual(self.submit(public, key="").status_code, 200)
        self.assertEqual(self.submit(public).status_code, 200)
        self.assert_refused(self.submit(public, "bad"), 401, "key_refused")
        workspaces = [job.workspace for job in self.front.submitted]
        self.assertEqual(workspaces, ["south", "north"])

    def test_refusals_of_the_owner_are_passed_on(self):
        cases = {
            "request_id_reused": 409,
            "impossible": 422,
            "overload": 429,
            "store_unavailable": 503,
            "anything_else": 422,
        }
        for reason, status in cases.items():
            with self.subTest(reason):
                self.front.notice = {
                    "state": "refused",
                    "ran": "not_run",
                    "reason": reason,
                    "detail": "Change it.",
                }
                self.assert_refused(self.submit(), status, reason)

    def test_missing_response_of_the_owner_is_unknown(self):
        self.front.notice = None
        answer = self.submit()
        self.assert_refused(answer, 503, "no_owner", ran="unknown")
        self.assertTrue(answer.json["job_id"])

    def test_unexpected_error_is_unknown_and_reveals_nothing(self):
        self.front.crash = RuntimeError(f"secret {fakes.NORTH_KEY}")
        with self.assertLogs("hickoryreach_entry", "ERROR") as logs:
            answer = self.submit()
        self.assert_refused(answer, 500, "internal_fault", ran="unknown")
        exposed = answer.text + repr([vars(r) for r in logs.records])
        self.assertNotIn("secret", exposed)

    def test_stale_lists_refuse_work_until_confirmed(self):
        self.entry.now_s += fakes.SETTINGS.lists_max_age_s + 0.1
        self.assert_refused(self.submit(), 503, "lists_stale")
        public = SUBMISSION | {"queue": "public"}
        self.assert_refused(self.submit(public, ""), 503, "lists_stale")
        self.assertEqual(self.front.submitted, [])
        self.entry.read_store()
        self.assertEqual(self.submit().status_code, 200)

    def test_queries_and_cancellations_are_limited_to_the_workspace(self):
        job_id = self.submit().json["job_id"]
        for method in ("GET", "DELETE"):
            path = f"/v1/jobs/{job_id}"
            other = self.entry.call(method, path, fakes.SOUTH_KEY)
            self.assert_refused(other, 404, "not_found", ran="unknown")
            public = self.entry.call(method, f"{path}?queue=public")
            self.assert_refused(public, 404, "not_found", ran="unknown")
            own = self.entry.call(method, path, fakes.NORTH_KEY)
            self.assertEqual(own.status_code, 200)
        self.assertEqual(self.front.queried, [(job_id, "north")] * 2)

    def test_calls_without_a_key_access_only_jobs_submitted_without_one(self):
        public = SUBMISSION | {"queue": "public"}
        keyed = self.submit(public, fakes.SOUTH_KEY).json["job_id"]
        keyless = self.submit(public, "").json["job_id"]
        for method in ("GET", "DELETE"):
            path = f"/v1/jobs/{keyed}?queue=public"
            refused = self.entry.call(method, path)
            self.assert_refused(refused, 404, "not_found", ran="unknown")
            for key in ("", fakes.SOUTH_KEY):
                path = f"/v1/jobs/{keyless}?queue=public"
                answer = self.entry.call(method, path, key)
                self.assertEqual(answer.status_code, 200)
        self.assertEqual(self.front.queried, [(keyless, "south")] * 4)

    def test_listing_needs_a_key(self):
        answer = self.entry.call("GET", "/v1/jobs?queue=public")
        self.assert_refused(answer, 401, "key_refused")
        self.assertEqual(self.entry.list_requests, [])

    def test_invalid_job_ids_are_not_found(self):
        job_id = self.submit().json["job_id"]
        for job_id_text in (
            "x",
            "7" + job_id[1:],
            "-1.ab",
            job_id[:-1],
            "\u0663.a",
        ):
            answer = self.entry.call(
                "GET", f"/v1/jobs/{job_id_text}", fakes.NORTH_KEY
            )
            self.assert_refused(answer, 404, "not_found", ran="unknown")

    def test_malformed_wait_is_refused(self):
        for text in ("x", "-1", "1.5"):
            answer = self.submit(params={"wait_ms": text})
            self.assert_refused(answer, 400, "malformed")

    def test_wave_is_cancelled_in_the_workspace_of_the_key(self):
        answer = self.entry.call("DELETE", "/v1/waves/w1", fakes.NORTH_KEY)
        self.assertEqual(answer.status_code, 202)
        message = self.front.sent[0][2]
        self.assertEqual((message.workspace, message.wave), ("north", "w1"))

    def test_listing_pages_with_a_cursor(self):
        self.entry.list_reply = messages.ListReply(
            owner=True,
            jobs=[messages.Notice(job_id="0.a", state="running", ran="ran")],
            after="0.a",
        )
        path = "/v1/jobs"
        page = self.entry.call(
            "GET",
            path,
            fakes.NORTH_KEY,
            params={"limit": 1, "state": "running"},
        ).json
        self.assertEqual([job["job_id"] for job in page["jobs"]], ["0.a"])
        self.entry.call(
            "GET", path, fakes.NORTH_KEY, params={"after": page["after"]}
        )
        first, second = self.entry.list_requests
        self.assertEqual((first.workspace, first.state), ("north", "running"))
        self.assertEqual(second.after, "0.a")

    def test_unknown_paths_and_methods_are_problems(self):
        self.assert_refused(self.entry.call("GET", "/v2"), 404, "not_found")
        self.assert_refused(
            self.entry.call("PATCH", "/v1/jobs"), 405, "method_not_allowed"
        )
        allowed = self.entry.call("PATCH", "/v1/jobs").headers["allow"]
        self.assertEqual(set(allowed.split(", ")), {"GET", "POST", "OPTIONS"})

    def test_malformed_parameters_are_problems(self):
        answer = self.entry.call("GET", "/v1/jobs?limit=x", fakes.NORTH_KEY)
        self.assert_refused(answer, 400, "invalid_parameter")
        for after in ("x", "/", "9" * 5_000, "\u0663/", "1/"):
            with self.subTest(after[:5]):
                answer = self.entry.call(
                    "GET", "/v1/jobs", fakes.NORTH_KEY, params={"after": after}
                )
                self.assert_refused(answer, 400, "malformed")

    def test_entry_with_stale_lists_is_not_ready(self):
        self.assertEqual(self.entry.call("GET", "/ready").status_code, 200)
        self.entry.now_s += fakes.SETTINGS.lists_max_age_s + 0.1
        self.assertEqual(self.entry.call("GET", "/ready").status_code, 503)
        self.assertEqual(self.entry.call("GET", "/health").status_code, 200)

    def test_callers_above_the_limit_are_refused(self):
        nested = []

        def submit_more(job, **_):
            if len(nested) < fakes.SETTINGS.max_callers:
                nested.append(self.submit())
            return self.front.answer(job.job_id)

        self.front.submit = submit_more
        self.assertEqual(self.submit().status_code, 200)
        self.assert_refused(nested[0], 503, "too_many_callers")
        self.assertEqual(self.submit().status_code, 200)


class StepsTest(unittest.TestCase):
    """Tests of legacy commands over HTTP."""

    def setUp(self):
        self.entry = fakes.Entry()

    def run_step(self, **body):
        return self.entry.call("POST", "/v1/steps", fakes.NORTH_KEY, json=body)

    def test_command_as_words_or_as_a_line_has_the_same_request_id(self):
        first = self.run_step(system="quill", argv=["qsend", "-N", "july"])
        again = self.run_step(system="quill", line="qsend -N 'july'")
        self.assertEqual(
            first.json["output"], 'Your job "july" has been submitted'
        )
        self.assertEqual(first.json["exit_code"], 0)
        self.assertEqual(first.json["request_id"], "quill/july")
        self.assertEqual(
            again.json["job"]["job_id"], first.json["job"]["job_id"]
        )
        one, two = self.entry.front.submitted
        self.assertEqual(one.digest, two.digest)

    def test_refused_commands_return_the_exit_code_of_not_run(self):
        cases = [
            ({"argv": ["qmove", "-N", "x"]}, 403, "step_not_allowed"),
            ({"argv": ["qnone"]}, 404, "unknown_step"),
            ({"argv": ["qsend"]}, 422, "malformed_step"),
            ({"line": "qsend -N 'july"}, 400, "malformed"),
            ({}, 400, "malformed"),
        ]
        for body, status, reason in cases:
            with self.subTest(body):
                answer = self.run_step(system="quill", **body)
                self.assertEqual(answer.status_code, status, answer.text)
                self.assertIn(reason, answer.json["type"])
                self.assertEqual(answer.json["ran"], "not_run")
                self.assertEqual(answer.json["exit_code"], 3)
        self.assertEqual(self.entry.front.submitted, [])

    def test_unknown_result_has_its_own_exit_code(self):
        self.entry.front.notice = None
        answer = self.run_step(system="quill", line="qsend -N july")
        self.assertEqual(answer.json["exit_code"], 4)


if __name__ == "__main__":
    unittest.main()
