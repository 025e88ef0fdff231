"""Tests of the removal of stored data after its retention."""

import types
import unittest
from unittest import mock

import gevent
from returns import result

from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import retention

NOW = 1_000.0


class RetentionTest(unittest.TestCase):
    """Parts of the progress and finished jobs."""

    def setUp(self) -> None:
        """Creates a retention on a store that accepts every write."""
        self.client = mock.Mock()
        self.client.write.return_value = result.Success(1)
        self.expired: list[str] = []
        self.retention = retention.Retention(
            scope=ownership_scope.OwnershipScope(epoch=1),
            client=self.client,
            progress=types.SimpleNamespace(revision=5),
            retention_s=120,
            on_expired=self.expired.append,
        )

    def record_part(self, key: str, *job_ids: str) -> None:
        """Records a part with a row for each of some jobs."""
        rows = [
            records.Row(kind=records.CANCELLED, job_id=job_id)
            for job_id in job_ids
        ]
        self.retention.record_part(key, rows)

    def run_and_list_removed(self, now: float) -> list[str]:
        """Runs the retention at a time; returns the keys that it removed."""
        self.client.write.reset_mock()
        self.retention.run(now)
        gevent.sleep(0)
        if not self.client.write.called:
            return []
        return list(self.client.write.call_args.kwargs["removed"])

    def test_a_part_is_removed_once_all_its_jobs_are_stored(self) -> None:
        self.record_part("p1", "a", "b")
        self.retention.mark_stored("a")
        self.assertEqual(self.run_and_list_removed(NOW), [])
        self.retention.mark_stored("b")
        self.assertEqual(self.run_and_list_removed(NOW), ["p1"])

    def test_a_part_recorded_after_its_job_was_stored_is_removed(self) -> None:
        self.retention.mark_stored("a")
        self.record_part("p2", "a")
        self.assertEqual(self.run_and_list_removed(NOW), ["p2"])

    def test_a_job_is_removed_after_its_retention(self) -> None:
        self.retention.record_final("a", NOW)
        self.retention.mark_stored("a")
        self.assertEqual(self.run_and_list_removed(NOW + 120), [])
        self.assertEqual(self.expired, [])
        removed = self.run_and_list_removed(
            NOW + 120 + retention.RETENTION_MARGIN_S + 1
        )
        self.assertEqual(removed, [records.build_job_key("a")])
        self.assertEqual(self.expired, ["a"])

    def test_removals_are_guarded_and_retried(self) -> None:
        self.client.write.return_value = result.Failure(mock.Mock(reason="x"))
        self.retention.mark_stored("a")
        self.record_part("p1", "a")
        self.assertEqual(self.run_and_list_removed(NOW), ["p1"])
        guard = self.client.write.call_args.kwargs["expected"]
        self.assertEqual(guard, ((records.OWNER_KEY, 5),))
        self.assertEqual(self.retention.removable, ["p1"])
