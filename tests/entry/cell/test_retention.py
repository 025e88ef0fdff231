"""Tests of what is removed from the store, and when."""

import types
import unittest
from unittest import mock

import gevent
from returns import result

from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import retention

NOW = 1_000.0


class RetentionTest(unittest.TestCase):
    """Parts of the progress and finished jobs."""

    def setUp(self) -> None:
        """Creates a retention on a store that carries everything out."""
        self.client = mock.Mock()
        self.client.write.return_value = result.Success(1)
        self.forgotten: list[str] = []
        self.retention = retention.Retention(
            client=self.client,
            progress=types.SimpleNamespace(revision=5),
            keep_s=120,
            on_forgotten=self.forgotten.append,
        )

    def note(self, key: str, *job_ids: str) -> None:
        """Notes a part that concerns some jobs."""
        rows = [
            records.Row(kind=records.CANCELLED, job_id=job_id)
            for job_id in job_ids
        ]
        self.retention.record_part(key, rows)

    def list_removed(self, now: float) -> list[str]:
        """Returns what is removed at a time."""
        self.client.write.reset_mock()
        self.retention.run(now)
        gevent.sleep(0)
        if not self.client.write.called:
            return []
        return list(self.client.write.call_args.kwargs["removed"])

    def test_a_part_goes_once_all_its_jobs_are_settled(self) -> None:
        self.note("p1", "a", "b")
        self.retention.mark_stored("a")
        self.assertEqual(self.list_removed(NOW), [])
        self.retention.mark_stored("b")
        self.assertEqual(self.list_removed(NOW), ["p1"])

    def test_a_part_that_is_kept_after_its_job_was_settled_goes(self) -> None:
        self.retention.mark_stored("a")
        self.note("p2", "a")
        self.assertEqual(self.list_removed(NOW), ["p2"])

    def test_a_job_goes_when_its_state_need_not_be_told(self) -> None:
        self.retention.record_final("a", NOW)
        self.retention.mark_stored("a")
        self.assertEqual(self.list_removed(NOW + 120), [])
        self.assertEqual(self.forgotten, [])
        removed = self.list_removed(NOW + 120 + retention.MARGIN_S + 1)
        self.assertEqual(removed, [records.build_job_key("a")])
        self.assertEqual(self.forgotten, ["a"])

    def test_removals_are_guarded_and_tried_again(self) -> None:
        self.client.write.return_value = result.Failure(mock.Mock(reason="x"))
        self.retention.mark_stored("a")
        self.note("p1", "a")
        self.assertEqual(self.list_removed(NOW), ["p1"])
        guard = self.client.write.call_args.kwargs["expected"]
        self.assertEqual(guard, ((records.OWNER_KEY, 5),))
        self.assertEqual(self.retention.removable, ["p1"])
