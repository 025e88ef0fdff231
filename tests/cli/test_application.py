"""Tests of the command line against one entry's HTTP interface."""

import json
import os
import tempfile
import unittest
from unittest import mock

from cleo.testers import application_tester
from returns import result

from hickoryreach_cli import application
from hickoryreach_cli import client
from hickoryreach_entry.api import job_ids
from tests.entry.api import fakes

ENVIRONMENT = {"HICKORYREACH_URL": "http://entry.test"}


class ApplicationTest(unittest.TestCase):
    """The exit code of each command says whether the work ran."""

    def setUp(self):
        self.entry = fakes.Entry()
        self.key = fakes.NORTH_KEY
        self.sent = 0
        patches = [
            mock.patch.object(client.Client, "send", self.make_send()),
            mock.patch.dict(os.environ, ENVIRONMENT, clear=True),
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def make_send(self):
        def send(caller, method, path, data):
            self.sent += 1
            answer = self.entry.call(
                method,
                path,
                caller.settings.key.get_secret_value(),
                body=data,
            )
            return result.Success(
                client.Reply(status=answer.status_code, media=answer.json)
            )

        return send

    def run_line(self, line: str, key: str | None = None) -> int:
        """Runs one command, and returns its exit code."""
        os.environ["HICKORYREACH_KEY"] = self.key if key is None else key
        self.tester = application_tester.ApplicationTester(
            application.Application()
        )
        return self.tester.execute(line)

    @property
    def output(self) -> str:
        """Standard output of the last command."""
        return self.tester.io.fetch_output()

    @property
    def errors(self) -> str:
        """Standard error of the last command."""
        return self.tester.io.fetch_error()

    def write_file(self, value: object) -> str:
        """Writes a JSON file, and returns its path."""
        handle, path = tempfile.mkstemp(suffix=".json")
        self.addCleanup(os.unlink, path)
        with os.fdopen(handle, "w") as file:
            json.dump(value, file)
        return path

    def test_submit_passes_options_on(self):
        code = self.run_line(
            "submit --request-id r1 --kind gang --tasks 3 --cpu-millis 500 "
            "--wave w --non-idempotent issue -- -x 7"
        )
        self.assertEqual(code, 0, self.errors)
        job = self.entry.front.submitted[0]
        self.assertEqual(job.request_id, "r1")
        self.assertEqual((job.kind, job.tasks, job.wave), ("gang", 3, "w"))
        self.assertEqual(job.need.cpu_millis, 500)
        self.assertEqual(job.arguments, ("-x", "7"))
        self.assertFalse(job.idempotent)

    def test_request_goes_to_its_service(self):
        self.assertEqual(self.run_line("request registry check A-1"), 0)
        job = self.entry.front.submitted[0]
        self.assertEqual((job.kind, job.service), ("request", "registry"))

    def test_exit_codes_say_whether_the_work_ran(self):
        cases = [
            ({"state": "accepted", "ran": "not_run"}, 0),
            ({"state": "failed", "ran": "ran"}, 1),
            ({"state": "unknown", "ran": "unknown"}, 4),
            (
                {"state": "refused", "ran": "not_run", "reason": "impossible"},
                3,
            ),
            (None, 4),
        ]
        for notice, code in cases:
            with self.subTest(notice):
                self.entry.front.notice = notice
                self.assertEqual(self.run_line("submit issue"), code)
        self.assertEqual(self.run_line("submit issue", key="bad"), 3)

    def test_call_without_response_says_whether_it_was_sent(self):
        for error, code in ((ConnectionRefusedError(), 3), (OSError(), 4)):
            with mock.patch.object(client.Client, "send", side_effect=error):
                self.assertEqual(self.run_line("submit issue"), code)

    def test_invalid_response_is_unknown(self):
        for status, media in (
            (200, {"state": "odd"}),
            (200, []),
            (502, {"ran": "perhaps"}),
            (502, {"ran": ["ran"], "faults": 7}),
            (502, None),
        ):
            with self.subTest((status, media)):
                reply = client.Reply(status=status, media=media)
                with mock.patch.object(
                    client.Client, "send", return_value=result.Success(reply)
                ):
                    self.assertEqual(self.run_line("submit issue"), 4)

    def test_arguments_that_cannot_be_sent_are_not_run(self):
        self.assertEqual(self.run_line("submit issue \udcff"), 3)
        self.assertEqual(self.sent, 0)

    def test_wrong_usage_sends_nothing(self):
        lines = [
            "nothing",
            "submit",
            "submit --color red issue",
            "submit --tasks many issue",
            f"submit --tasks {'9' * 5_000} issue",
            "status \udcff",
            "settings --url ftp://x --timeout-s none",
            "lists set plans /no/such/file",
        ]
        for line in lines:
            with self.subTest(line):
                self.assertEqual(self.run_line(line), 2)
        self.assertEqual(self.sent, 0)

    def test_all_setting_faults_are_shown_at_once(self):
        self.run_line("settings --url ftp://x --timeout-s none")
        errors = self.errors
        self.assertIn("--url (HICKORYREACH_URL)", errors)
        self.assertIn("--timeout-s (HICKORYREACH_TIMEOUT_S)", errors)

    def test_key_is_never_shown(self):
        self.run_line("settings", key="secret-key")
        self.assertIn("--key=(set)", self.output)
        for line in ("settings", "status 0.ab", "submit issue"):
            for key in ("secret-key", "secret key"):
                self.run_line(line, key=key)
                self.assertNotIn("secret", self.output + self.errors)

    def test_step_prints_only_the_legacy_output(self):
        code = self.run_line("step quill -- qsend -N july")
        self.assertEqual(code, 0)
        self.assertEqual(self.output, 'Your job "july" has been submitted\n')
        self.run_line("step quill 'qsend -N july'")
        self.assertEqual(self.output, 'Your job "july" has been submitted\n')

    def test_refused_step_names_allowed_steps(self):
        self.assertEqual(self.run_line("step quill 'qmove -N july'"), 3)
        self.assertIn("quill.qsend", self.errors)

    def test_cancelled_job_is_a_success_only_for_cancel(self):
        self.entry.front.notice = {"state": "cancelled", "ran": "ran"}
        job_id = job_ids.make("north", "r1", 1)
        self.assertEqual(self.run_line(f"cancel {job_id}"), 0)
        self.assertEqual(self.run_line(f"status {job_id}"), 1)
        self.assertEqual(self.run_line(f"wait {job_id} --for-s 1"), 1)

    def test_list_round_trip_with_check_diff_set_and_audit(self):
        self.key = fakes.OPERATOR_KEY
        self.assertEqual(self.run_line("lists get plans"), 0)
        kept = json.loads(self.output)
        kept["document"]["plans"][0]["keys"] = []
        path = self.write_file(kept)
        self.assertEqual(self.run_line(f"lists check plans {path}"), 0)
        self.assertEqual(self.run_line(f"lists diff plans {path}"), 0)
        self.assertEqual(
            self.output, "- plans/north/keys/north-1/hash: (hash)\n"
        )
        self.assertEqual(self.run_line(f"lists set plans {path}"), 0)
        self.assertIn("plans is at revision 2", self.output)
        self.assertEqual(self.run_line(f"lists set plans {path}"), 3)
        self.assertIn('"revision": 2', self.errors)
        self.run_line("audit plans")
        self.assertIn("ops set 1 -> 2", self.output)

    def test_check_with_faults_is_not_run(self):
        self.key = fakes.OPERATOR_KEY
        path = self.write_file({"plans": [], "operators": []})
        self.assertEqual(self.run_line(f"lists check plans {path}"), 3)
        self.assertIn("at least one operator", self.errors)

    def test_granted_key_is_shown_once_and_works_until_withdrawn(self):
        self.key = fakes.OPERATOR_KEY
        self.assertEqual(self.run_line("keys grant north north-2"), 0)
        key = self.output.split("key (shown only now): ")[1].strip()
        self.assertEqual(self.run_line("submit issue", key=key), 0)
        self.assertEqual(self.run_line("keys withdraw north north-2"), 0)
        self.assertEqual(self.run_line("submit issue", key=key), 3)


if __name__ == "__main__":
    unittest.main()
