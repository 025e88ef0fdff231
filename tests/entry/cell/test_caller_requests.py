"""Tests of odd deadlines of callers' requests."""

import unittest

from falcon import testing

from hickoryreach_entry.cell import caller_requests

ODD_DEADLINES = ("²", "-5", "1.5", "1e3", "x", "", "9" * 5_000, "٣")


class DeadlineTest(unittest.TestCase):
    """The header tells how long a caller waits."""

    def get_s(self, text: str) -> float:
        """Returns the deadline that a header's text tells."""
        req = testing.create_req(
            headers={caller_requests.DEADLINE_HEADER: text}
        )
        return caller_requests.get_deadline_s(req)

    def test_a_whole_number_counts(self) -> None:
        self.assertEqual(self.get_s("1500"), 1.5)

    # Guards against an answer of 500 for a header that only looks like one.
    def test_an_odd_one_counts_as_absent(self) -> None:
        for text in ODD_DEADLINES:
            with self.subTest(text[:5]):
                self.assertEqual(
                    self.get_s(text),
                    caller_requests.DEADLINE_DEFAULT_MS / 1000,
                )
