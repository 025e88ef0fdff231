"""Tests of what minions reply, also of replies that make no sense."""

from unittest import mock

import hypothesis
from hypothesis import strategies
from returns import result

from hickoryreach.platform import http
from hickoryreach.platform import minion_client
from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from tests.core.scheduling import cases

SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8)
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=6)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
STOPS_HERE = strategies.sampled_from((True, False, False, False))


def replace_part(draw, value: object) -> object:
    """Returns a JSON value in which one part is replaced by another value."""
    if not isinstance(value, list | dict) or not value or draw(STOPS_HERE):
        return draw(VALUES)
    names = list(value) if isinstance(value, dict) else range(len(value))
    name = draw(strategies.sampled_from(list(names)))
    value[name] = replace_part(draw, value[name])
    return value


class ReplyTest(cases.CellCase):
    """Replies to polls of a minion that runs two tasks."""

    def setUp(self) -> None:
        """Starts two tasks and creates a client whose calls are answered."""
        super().setUp()
        self.submit(cases.build_step(2))
        self.starts = self.confirm_starts()
        self.client = minion_client.MinionClient(
            minion_id="m0",
            address="127.0.0.1:1",
            poll_wait_ms=100,
            on_introduced=lambda reply, elapsed_ms: None,
        )
        self.addCleanup(self.client.close)

    def build_body(self) -> dict:
        """Returns the body of a valid reply."""
        names = [minions.format_task(each.key) for each in self.starts]
        return {
            "born": 1,
            "clockMs": 20_000,
            "running": [[names[0], 1, "00ab", 40, 250]],
            "finished": [[1, names[1], 1, "done", ""]],
        }

    def reply_with(self, body: object) -> result.Result:
        """Returns what a poll makes of a reply's body."""
        answer = http.Answer(status=http.OK, body=body)
        call = mock.Mock(return_value=result.Success(answer))
        self.client.polls.connection.call = call
        return self.client.poll(
            token=1,
            incarnation=0,
            acknowledged=0,
            deadline_ms=None,
            wait_ms=100,
        )

    def test_valid_reply_is_parsed(self) -> None:
        reply = self.reply_with(self.build_body()).unwrap()
        self.assertEqual(reply.running[0].run, 1)
        self.assertEqual(reply.running[0].measurement, 250.0)
        self.assertEqual(reply.ends[0].kind, minions.EndKind.DONE)

    def test_rows_that_name_no_run_are_rejected(self) -> None:
        for row in (
            ["a.0.0.0", None, "", 0],
            ["a.0.0.0", "first", "", 0],
            ["a.0.0", 1, "", 0],
            ["a.0.0.-1", 1, "", 0],
            ["a.0.0.0", 1, ""],
            "a.0.0.0",
        ):
            body = self.build_body() | {"running": [row]}
            with self.subTest(row):
                self.assertIsInstance(self.reply_with(body), result.Failure)

    def test_numbers_out_of_range_are_rejected(self) -> None:
        names = [minions.format_task(each.key) for each in self.starts]
        for number in (1e30, -1e30, 2.0**63):
            for changes in (
                {"clockMs": number},
                {"born": number},
                {"running": [[names[0], number, "", 0]]},
                {"running": [[names[0], 1, "", number]]},
                {"finished": [[number, names[1], 1, "done", ""]]},
                {"finished": [[1, names[1], number, "done", ""]]},
            ):
                with self.subTest(changes):
                    body = self.build_body() | changes
                    parsed = self.reply_with(body)
                    self.assertIsInstance(parsed, result.Failure)

    def test_a_clock_out_of_range_confirms_no_order(self) -> None:
        for number in (1e30, -1e30, float("inf")):
            with self.subTest(number):
                answer = http.Answer(status=http.OK, body={"clockMs": number})
                for each in self.client.orders:
                    each.connection.call = mock.Mock(
                        return_value=result.Success(answer)
                    )
                ordered = self.client.stop(self.starts[0].key, 1, 1)
                self.assertTrue(ordered.failure().effect_unknown)

    @hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
    @hypothesis.given(strategies.data())
    def test_any_reply_is_survived(self, data) -> None:
        parsed = self.reply_with(replace_part(data.draw, self.build_body()))
        if isinstance(parsed, result.Success):
            self.apply(
                events.MinionPolled(
                    minion_id="m0", reply=parsed.unwrap(), sent_ms=self.now_ms
                ),
                elapsed_ms=1,
            )
            self.tick()
