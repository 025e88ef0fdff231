"""Tests of the removal of cancelled ids from the store."""

import time
import types
from unittest import mock

import gevent

from hickoryreach_entry.cell import cancelled_ids
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery
from hickoryreach_entry.cell import stored_jobs
from tests.entry.cell import cases

RETENTION_S = 120


class CancelledIdsTest(cases.StoreCase):
    """An owner that finds cancelled ids in the store."""

    def setUp(self) -> None:
        """Creates an owner's part that knows no id."""
        super().setUp()
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.ids = cancelled_ids.CancelledIds(
            scope=self.scope,
            client=self.client,
            owner_revision=self.model.put(records.OWNER_KEY, b"{}"),
            retention_s=RETENTION_S,
        )

    def put(self, job_id: str, workspace: str = "hydro") -> int:
        """Stores a cancelled id; returns its revision."""
        kept = records.CancelledId(workspaces=(workspace,))
        return self.model.put(
            records.build_job_key(job_id), records.encode_cancelled_id(kept)
        )

    def watch(self) -> None:
        """Lets the owner see what the store holds."""
        watch = stored_jobs.StoredJobs(
            scope=self.scope,
            client=self.client,
            is_known=lambda job_id: False,
            submit=mock.Mock(),
            on_cancelled_id=self.ids.record,
        )
        watch.watcher.handle_result(watch.watcher.read())

    def expire(self) -> None:
        """Runs the removal after the retention."""
        later = time.monotonic() + RETENTION_S + 11
        with mock.patch.object(
            cancelled_ids.time, "monotonic", return_value=later
        ):
            while self.ids.list_expired(later):
                self.ids.run(later)
                gevent.sleep(0.01)

    def list_stored(self) -> list[str]:
        """Returns the ids that the store holds."""
        page = self.client.get_prefix(records.JOBS_PREFIX).unwrap()
        return [
            item.key.removeprefix(records.JOBS_PREFIX) for item in page.items
        ]

    def test_they_are_removed_after_their_retention(self) -> None:
        names = [f"job-{number:02d}" for number in range(40)]
        for name in names:
            self.put(name)
        self.watch()
        self.ids.run(time.monotonic() + RETENTION_S)
        self.assertEqual(self.list_stored(), names)
        self.expire()
        self.assertEqual(self.list_stored(), [])
        self.assertEqual(self.ids.seen, {})

    def test_they_are_seen_at_a_takeover(self) -> None:
        self.put("job")
        page = self.client.get_prefix(records.JOBS_PREFIX).unwrap()
        owner = types.SimpleNamespace(cancelled_ids=self.ids)
        self.assertEqual(list(recovery.decode_jobs(owner, page)), [])
        self.expire()
        self.assertEqual(self.list_stored(), [])

    def test_a_job_that_has_replaced_one_stays(self) -> None:
        self.put("job")
        self.put("other")
        self.watch()
        self.model.put(records.build_job_key("job"), b"{}")
        with (
            mock.patch.object(cancelled_ids, "RETRY_S", 0.01),
            self.assertLogs(cancelled_ids.log, "WARNING"),
        ):
            self.expire()
        self.assertEqual(self.list_stored(), ["job"])

    def test_a_changed_record_begins_a_new_retention(self) -> None:
        first = self.put("job")
        self.ids.record("job", first)
        _, seen_at = self.ids.seen["job"]
        self.ids.record("job", first)
        self.assertEqual(self.ids.seen["job"], (first, seen_at))
        second = self.put("job", "wind")
        self.ids.record("job", second)
        self.assertEqual(self.ids.seen["job"][0], second)
