"""Each check fails on a record doctored to break its promise."""

import pathlib
import tempfile
import unittest

from standins import checker

CAPACITY = {"cpu_millis": 1000, "memory_mb": 100, "accelerators": 0}


def line(what, at, worker="w1", **fields):
    """Returns one line of a record."""
    return {"what": what, "at": at, "worker": worker, **fields}


def task(what, at, worker="w1", *, piece="p", attempt=1, cpu=100):
    """Returns the start or end of a task."""
    key = {"job_id": "0.a", "index": 0, "attempt": attempt}
    fields = {"key": key, "piece": piece}
    if what == "start":
        fields |= {"need": {"cpu_millis": cpu}, "workspace": "north"}
    return line(what, at, worker, **fields)


def request(what, at, number, piece="p"):
    """Returns the beginning or end of a request."""
    return line(what, at, number=number, piece=piece, job_id="0.a")


def up(worker="w1", slots=1):
    """Returns the line with a worker's size."""
    return line("up", 0.0, worker, capacity=CAPACITY, slots=slots)


def answer(status=200, sent=0.0, received=9.0, submitted=True, **body):
    """Returns an answer to piece p."""
    return checker.Answer(
        piece="p",
        sent=sent,
        received=received,
        status=status,
        body=body,
        submitted=submitted,
    )


def find(history, *, piece=None, answers=(), limits=(), final=None, bound=0.0):
    """Returns the names of the checks that failed."""
    evidence = checker.Evidence(
        history=[up(), up("w2"), *history],
        pieces={"p": piece} if piece else {},
        answers=list(answers),
        limits=list(limits),
        final=final or {},
        limit_bound_s=bound,
    )
    return [
        found.partition(":")[0] for found in checker.find_violations(evidence)
    ]


class CheckerTest(unittest.TestCase):
    """One sound record, and one broken in each way."""

    def test_sound_record_breaks_nothing(self):
        done = answer(state="succeeded", ran="ran")
        history = [task("start", 1), task("end", 2), task("start", 3, "w2")]
        piece = checker.Piece(name="p", workspace="north")
        limit = checker.Limit(
            workspace="north", at=0, amount={"cpu_millis": 100}
        )
        self.assertEqual(
            find(
                history,
                piece=piece,
                answers=[done],
                limits=[limit],
                final={"p": done},
            ),
            [],
        )

    def test_two_places_at_a_time(self):
        history = [
            task("start", 1),
            task("start", 2, "w2", attempt=2),
            task("end", 3),
        ]
        self.assertEqual(find(history), ["one_place_at_a_time"])

    def test_two_places_behind_a_short_run(self):
        history = [
            task("start", 1),
            task("start", 2, "w2", attempt=2),
            task("end", 3, "w2", attempt=2),
            task("start", 4, "w2", attempt=3),
        ]
        self.assertEqual(find(history), ["one_place_at_a_time"] * 2)

    def test_killed_worker_runs_nothing(self):
        history = [
            task("start", 1),
            line("died", 2),
            task("start", 3, "w2", attempt=2),
        ]
        self.assertEqual(find(history), [])

    def test_worker_over_capacity(self):
        history = [
            task("start", 1, cpu=600),
            task("start", 2, piece="q", attempt=2, cpu=600),
        ]
        self.assertEqual(find(history), ["capacity_kept"])

    def test_minion_over_slots(self):
        history = [request("request", 1, "a"), request("request", 2, "b", "q")]
        self.assertEqual(find(history), ["slots_kept"])

    def test_workspace_over_limit(self):
        limit = checker.Limit(
            workspace="north", at=0, amount={"cpu_millis": 50}
        )
        found = find([task("start", 1)], limits=[limit])
        self.assertEqual(found, ["limits_kept"])

    def test_lowered_limit_binds_only_after_its_bound(self):
        limits = [
            checker.Limit(workspace="north", at=0, amount={"cpu_millis": 500}),
            checker.Limit(workspace="north", at=10, amount={"cpu_millis": 50}),
        ]
        self.assertEqual(find([task("start", 18)], limits=limits, bound=9), [])
        self.assertEqual(
            find([task("start", 20)], limits=limits, bound=9), ["limits_kept"]
        )

    def test_non_idempotent_work_twice(self):
        history = [
            task("start", 1),
            task("end", 2),
            task("start", 3, attempt=2),
        ]
        piece = checker.Piece(name="p", workspace="north", idempotent=False)
        self.assertEqual(find(history, piece=piece), ["at_most_once"])

    def test_refusal_that_ran(self):
        refused = answer(status=422, ran="not_run", state="refused")
        found = find([task("start", 1)], answers=[refused])
        self.assertEqual(found, ["not_run_is_true"])

    def test_refusal_that_ran_after_a_new_submission(self):
        answers = [
            answer(status=422, ran="not_run", received=1.0),
            answer(status=202, sent=2.0, state="accepted"),
        ]
        found = find(
            [task("start", 3)], answers=answers, final={"p": answers[1]}
        )
        self.assertEqual(found, [])

    def test_acknowledged_piece_forgotten(self):
        accepted = answer(status=202, state="accepted", ran="not_run")
        gone = answer(status=404, submitted=False)
        for final in ({}, {"p": gone}):
            self.assertEqual(
                find([], answers=[accepted], final=final),
                ["acknowledged_is_known"],
            )

    def test_half_and_foreign_answers(self):
        piece = checker.Piece(name="p", workspace="north", kind="request")
        history = [request("request", 1, "a"), request("answer", 2, "a")]
        for content in ('{"do', {"done": True, "piece": "q"}):
            told = answer(state="succeeded", ran="ran", answer=content)
            self.assertEqual(
                find(history, piece=piece, answers=[told], final={"p": told}),
                ["answers_are_whole"],
            )

    def test_line_still_being_written_is_left_out(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "w1.record")
            path.write_text('{"at": 1}\n{"at": 2, "wh')
            self.assertEqual(checker.read_history(folder), [{"at": 1}])

    def test_success_that_never_began(self):
        told = answer(state="succeeded", ran="ran")
        self.assertEqual(
            find([], answers=[told], final={"p": told}), ["success_did_run"]
        )


if __name__ == "__main__":
    unittest.main()
