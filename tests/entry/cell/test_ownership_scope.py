"""Tests of the greenlets of one ownership."""

import unittest
from unittest import mock

import gevent

from hickoryreach_entry import greenlets
from hickoryreach_entry.cell import ownership_scope


class OwnershipScopeTest(unittest.TestCase):
    """Greenlets that start before, at and after the end of an ownership."""

    def setUp(self) -> None:
        """Opens a scope."""
        self.scope = ownership_scope.OwnershipScope(epoch=3)
        self.addCleanup(self.scope.close)
        self.done: list[str] = []

    def work(self, name: str) -> str:
        """Takes a while, and records that it has ended by itself."""
        gevent.sleep(0.05)
        self.done.append(name)
        return name

    def test_a_greenlet_runs_to_its_end(self) -> None:
        self.assertEqual(self.scope.spawn(self.work, "a").get(1.0), "a")
        self.assertEqual(len(self.scope.running), 0)

    def test_all_greenlets_end_with_the_scope(self) -> None:
        self.scope.spawn(self.work, "running")
        self.scope.spawn_later(0.02, self.work, "later")
        self.scope.spawn_vital(self.work, "vital")
        gevent.sleep(0.01)
        self.scope.spawn(self.work, "not begun")
        self.scope.close()
        gevent.sleep(0.2)
        self.assertEqual(self.done, [])
        self.assertEqual(len(self.scope.running), 0)

    def test_nothing_starts_in_a_closed_scope(self) -> None:
        self.scope.close()
        with self.assertLogs(ownership_scope.log, "INFO") as logged:
            started = [
                self.scope.spawn(self.work, "at once"),
                self.scope.spawn_later(0.01, self.work, "later"),
                self.scope.spawn_vital(self.work, "vital"),
            ]
        gevent.joinall(started, timeout=1.0, raise_error=True)
        gevent.sleep(0.1)
        self.assertEqual(self.done, [])
        self.assertEqual(len(logged.records), len(started))

    def test_a_greenlet_that_closes_its_scope_goes_on(self) -> None:
        def end() -> None:
            self.scope.close()
            gevent.sleep(0.02)
            self.done.append("end")

        self.scope.spawn(end)
        self.scope.spawn(self.work, "other")
        gevent.sleep(0.2)
        self.assertEqual(self.done, ["end"])

    def test_whoever_joins_ends_with_the_scope(self) -> None:
        def join() -> None:
            self.scope.join([self.scope.spawn(self.work, "read")])
            self.done.append("joined")

        joined = self.scope.spawn_vital(join)
        gevent.sleep(0.01)
        with mock.patch.object(greenlets, "end_process") as end_process:
            self.scope.close()
            joined.join(1.0)
        self.assertEqual(self.done, [])
        end_process.assert_not_called()

    def test_the_error_of_a_joined_greenlet_is_raised(self) -> None:
        broken = self.scope.spawn(mock.Mock(side_effect=ValueError("odd")))
        with self.assertRaises(ValueError):
            self.scope.join([broken, self.scope.spawn(self.work, "read")])
