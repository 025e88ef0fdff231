"""Property tests: arbitrary bodies and paths cause no server error."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from tests.entry.api import fakes

TEXT = strategies.text(max_size=20)
SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | TEXT
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXT, inner, max_size=3)
    ),
    max_leaves=10,
)
SUBMISSION = {
    "request_id": "r1",
    "command": "issue",
    "kind": "batch",
    "tasks": 2,
    "arguments": ["a"],
    "need": {"cpu_millis": 1},
    "wave": "w",
    "queue": "default",
    "timeout_ms": 1,
    "service": "",
}
STEP = {"system": "quill", "argv": ["qsend", "-N", "july"], "line": ""}
GRANT = {"workspace": "north", "key_id": "north-9", "hash": "ab" * 32}
LIST = {"plans": [], "operators": [], "allowances": [], "queues": []}
CALLS = (
    ("POST", "/v1/jobs", SUBMISSION, fakes.NORTH_KEY),
    ("POST", "/v1/steps", STEP, fakes.NORTH_KEY),
    ("POST", "/v1/keys", GRANT, fakes.OPERATOR_KEY),
    ("PUT", "/v1/lists/plans?revision=1", LIST, fakes.OPERATOR_KEY),
    ("POST", "/v1/lists/allowances/check", LIST, fakes.OPERATOR_KEY),
)


@strategies.composite
def make_body(draw, valid: dict) -> bytes:
    """Draws a valid body with one member changed, or an arbitrary value."""
    if draw(strategies.booleans()):
        name = draw(strategies.sampled_from(sorted(valid)) | TEXT)
        return json.dumps({**valid, name: draw(VALUES)}).encode()
    return draw(VALUES.map(lambda v: json.dumps(v).encode()))


class MalformedTest(unittest.TestCase):
    """Each response is a success or a problem with a `ran` member."""

    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    @hypothesis.given(strategies.data())
    def test_any_body_gets_a_valid_response(self, data):
        method, path, valid, key = data.draw(strategies.sampled_from(CALLS))
        body = data.draw(make_body(valid) | strategies.binary(max_size=30))
        entry = fakes.Entry()
        answer = entry.call(method, path, key, body=body)
        self.assertLess(answer.status_code, 500, answer.text)
        if answer.status_code >= 400:
            self.assertEqual(answer.json["ran"], "not_run")
            self.assertEqual(entry.front.submitted, [])
            self.assertEqual(entry.lists.revisions["plans"], 1)

    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(TEXT, strategies.sampled_from(["GET", "DELETE"]))
    def test_any_path_gets_a_valid_response(self, part, method):
        entry = fakes.Entry()
        for path in ("/v1/jobs/", "/v1/waves/", "/v1/lists/", "/v1/audit/"):
            answer = entry.call(method, path + part, fakes.OPERATOR_KEY)
            self.assertLess(answer.status_code, 500, answer.text)


if __name__ == "__main__":
    unittest.main()
