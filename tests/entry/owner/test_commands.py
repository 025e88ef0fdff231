"""Tests of the commands that wait to be sent to a worker."""

import unittest

from hickoryreach.structure import jobs
from hickoryreach.trial import workers as platform_workers
from hickoryreach_entry.owner import commands

FIRST = jobs.TaskKey(job_id="0.a", index=0, attempt=1)
SECOND = jobs.TaskKey(job_id="0.b", index=0, attempt=1)


class CommandsTest(unittest.TestCase):
    """Two starts, of which the first may have been sent."""

    def setUp(self):
        self.commands = commands.Commands()
        self.commands.add(platform_workers.Operation(verb="start", key=FIRST))

    def add_second(self) -> None:
        """Adds a start after the last sync."""
        self.commands.add(platform_workers.Operation(verb="start", key=SECOND))

    def test_a_start_that_was_sent_is_not_withdrawn(self):
        self.commands.send_next()
        self.add_second()
        self.assertEqual(self.commands.list_unsent(), [SECOND])
        self.assertEqual(self.commands.withdraw_unsent(), [SECOND])
        self.assertEqual(
            [each.key for each in self.commands.operations], [FIRST]
        )

    def test_what_came_after_the_sync_is_kept_when_it_is_answered(self):
        sent = self.commands.send_next()
        self.add_second()
        request = platform_workers.SyncRequest(
            owner="e1", term=1, grant_ms=1, task_lease_ms=1, operations=sent
        )
        self.commands.settle(request)
        self.assertEqual(
            [each.key for each in self.commands.operations], [SECOND]
        )
        self.assertFalse(self.commands.withdraw(FIRST))


if __name__ == "__main__":
    unittest.main()
