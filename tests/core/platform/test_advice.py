"""Tests of what the advice service answers, also of odd answers."""

import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import advice
from hickoryreach.platform import http


class AnswerTest(unittest.TestCase):
    """Answers that are used, and answers that are rejected."""

    def fetch(self, body: object) -> result.Result:
        """Returns what a call makes of an answer's body."""
        client = advice.AdviceClient(address="127.0.0.1:1", timeout_s=0.1)
        self.addCleanup(client.close)
        answer = http.Answer(status=http.OK, body=body)
        client.http.call = mock.Mock(return_value=result.Success(answer))
        return client.fetch_advice("j.0.0", ("m0", "m1"))

    def test_a_valid_answer_is_parsed(self) -> None:
        found = self.fetch({"good": [["m0", "t0"]], "validMs": 1_500}).unwrap()
        self.assertEqual(found.tickets, {"m0": "t0"})
        self.assertEqual(found.valid_ms, 1_500)

    def test_validity_out_of_range_is_rejected(self) -> None:
        for valid_ms in (1e30, -1e30, float("inf"), 2.0**63, -5):
            with self.subTest(valid_ms):
                body = {"good": [["m0", "t0"]], "validMs": valid_ms}
                self.assertIsInstance(self.fetch(body), result.Failure)

    def test_malformed_answers_are_rejected(self) -> None:
        for body in (
            None,
            [],
            {},
            {"good": None},
            {"good": [["m0"]]},
            {"good": [None]},
            {"good": 5},
            {"good": [], "validMs": "soon"},
            {"good": [], "validMs": [1]},
        ):
            with self.subTest(body):
                self.assertIsInstance(self.fetch(body), result.Failure)

    def test_an_odd_row_rejects_the_answer(self) -> None:
        for row in (
            None,
            5,
            [],
            ["m1"],
            ["m1", None],
            ["m1", ["t1"]],
            [["m1"], "t1"],
            [1, "t1"],
            {"m1": "t1"},
            "m1",
        ):
            with self.subTest(row):
                body = {"good": [["m0", "t0"], row]}
                self.assertIsInstance(self.fetch(body), result.Failure)
