"""Tests of a takeover that finds odd records among sound ones."""

import json
import unittest
from unittest import mock

from hickoryreach.platform import minions
from hickoryreach.platform import store
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.scheduling import state
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery

QUEUE = cells.Queue(
    name="q",
    host="h",
    prefix="/q/",
    service="s",
    advice=cells.AdviceTerms(call_ms=1.0, minion_ms=1.0, valid_ms=1_000),
)


def build_job(job_id: str, step_count: int = 1) -> steps.Job:
    """Returns a job whose steps have one task each."""
    return steps.Job(
        job_id=job_id,
        workspace="w",
        queue=QUEUE,
        payload="",
        steps=(steps.Step(),) * step_count,
        accepted_ms=0,
    )


def build_end(job_id: str) -> records.Row:
    """Returns the row of the end of a job's only task."""
    return records.Row(
        kind=records.END,
        job_id=job_id,
        end=events.RecordedEnd(
            key=steps.TaskKey(job_id=job_id, repeat=0, step=0, index=0),
            number=1,
            kind=minions.EndKind.DONE,
            checkpoint="",
        ),
    )


ODD_ROWS = (
    None,
    5,
    [],
    {},
    "end",
    ["end"],
    ["end", "c.0.0.0", "1", "done", ""],
    ["end", "c.0.0.0", 1, "gone", ""],
    ["end", "c.0.0.0", 1, "done"],
    ["end", "c.0.0", 1, "done", ""],
    ["end", 5, 1, "done", ""],
    ["end", "c.0.0.0", 10**30, "done", ""],
    ["cancelled"],
    ["cancelled", None],
    ["cancelled", ["a"]],
    ["other", "a"],
)


class RecoveryCase(unittest.TestCase):
    """Recovers jobs and progress as a new owner does."""

    def setUp(self) -> None:
        """Creates a new owner of an empty cell."""
        self.effects: list[effects.Effect] = []
        self.owner = mock.Mock(
            state=state.CellState(settings=settings.Settings(), epoch=2),
            execute=self.effects.extend,
        )

    def build_items(self, rows: dict[str, bytes]) -> store.Page:
        """Returns a page of items."""
        return store.Page(
            items=tuple(
                store.Item(key=key, data=data, revision=5)
                for key, data in rows.items()
            ),
            revision=5,
        )


class OddJobTest(RecoveryCase):
    """One odd stored job does not keep the cell from the others."""

    def recover(self, changes: tuple, odd: object) -> set[str]:
        """Recovers an odd job between two others; returns those restored."""
        jobs = {
            job_id: json.loads(records.encode_job(build_job(job_id, 2)))
            for job_id in ("a", "b", "c")
        }
        place = jobs["b"]
        *path, name = changes
        for part in path:
            place = place[part]
        place[name] = odd
        recovery.recover_jobs(
            self.owner,
            self.build_items(
                {
                    records.build_job_key(job_id): json.dumps(job)
                    .replace("Infinity", "1e400")
                    .encode()
                    for job_id, job in jobs.items()
                }
            ),
            self.build_items({}),
            unconfirmed=False,
        )
        return set(self.owner.state.jobs)

    def test_jobs_beside_an_odd_one_are_restored(self) -> None:
        infinite = float("inf")
        for path, odd in (
            (("queue", "stretch"), infinite),
            (("queue", "stretch"), -infinite),
            (("queue", "stretch"), float("nan")),
            (("queue", "stretch"), 1e300),
            (("queue", "advice", "call_ms"), infinite),
            (("queue", "advice", "minion_ms"), infinite),
            (("queue", "objective_ms"), 10**30),
            (("steps", 0, "after"), [0]),
            (("steps", 0, "after"), [-1]),
            (("steps", 1, "after"), [5]),
            (("steps", 1, "after"), [1]),
            (("steps", 1, "after"), [10**30]),
            (("steps", 0, "count"), 0),
            (("steps", 0, "count"), 10**30),
            (("steps", 0, "count"), None),
            (("steps", 0, "estimate_ms"), 10**30),
            (("steps",), []),
            (("repeats",), 10**30),
            (("accepted_ms",), 10**30),
            (("first_ms",), -(10**30)),
            (("queue",), None),
            (("job_id",), "other"),
        ):
            with self.subTest(path=path, odd=str(odd)[:8]):
                self.setUp()
                self.assertEqual(self.recover(path, odd), {"a", "c"})

    def test_sound_jobs_are_all_restored(self) -> None:
        for path, sound in (
            (("queue", "stretch"), 2.5),
            (("steps", 1, "after"), [0]),
            (("steps", 0, "count"), 1_000),
            (("repeats",), 50),
        ):
            with self.subTest(path):
                self.setUp()
                self.assertEqual(self.recover(path, sound), {"a", "b", "c"})


class OddProgressTest(RecoveryCase):
    """One odd row does not lose the other rows of its part."""

    def recover(self, part: bytes) -> None:
        """Recovers three jobs with one part of the progress."""
        jobs = {
            records.build_job_key(job_id): records.encode_job(build_job(job_id))
            for job_id in ("a", "b", "c")
        }
        recovery.recover_jobs(
            self.owner,
            self.build_items(jobs),
            self.build_items({records.build_progress_key(1, 1): part}),
            unconfirmed=False,
        )

    def build_part(self, odd: object) -> bytes:
        """Returns a part with an odd row between two sound ones."""
        (ended,) = json.loads(records.encode_rows([build_end("a")]))
        return json.dumps([ended, odd, [records.CANCELLED, "b"]]).encode()

    def test_rows_beside_an_odd_one_are_applied(self) -> None:
        for odd in ODD_ROWS:
            with self.subTest(odd):
                self.setUp()
                self.recover(self.build_part(odd))
                found = {
                    job_id: str(record.state)
                    for job_id, record in self.owner.state.jobs.items()
                }
                self.assertEqual(
                    found, {"a": "completed", "b": "cancelled", "c": "queued"}
                )

    def test_a_part_with_an_odd_row_stays_in_the_store(self) -> None:
        for odd in ODD_ROWS:
            with self.subTest(odd):
                self.setUp()
                self.recover(self.build_part(odd))
                self.owner.retention.record_part.assert_not_called()

    def test_a_sound_part_is_removed_once_it_is_not_needed(self) -> None:
        self.recover(records.encode_rows([build_end("a")]))
        self.owner.retention.record_part.assert_called_once()

    def test_a_part_that_is_no_list_is_survived(self) -> None:
        for part in (b"", b"5", b"{}", b"\xff", b"null", b"[" * 100_000):
            with self.subTest(part[:5]):
                self.setUp()
                self.recover(part)
                self.assertEqual(len(self.owner.state.jobs), 3)
                self.owner.retention.record_part.assert_not_called()
