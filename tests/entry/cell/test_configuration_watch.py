"""Tests of the watch of the operator's configuration."""

import json
from unittest import mock

import gevent

from hickoryreach.platform import documents
from hickoryreach.structure import cells
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import prefix_watcher
from tests.entry.cell import cases

LIMIT_IN_FORCE_S = 2.0


class WatchCase(cases.StoreCase):
    """A store with a configuration that is watched."""

    def setUp(self) -> None:
        """Watches a store with a configuration."""
        super().setUp()
        self.applied: list[cells.Configuration] = []
        self.watch = configuration_watch.ConfigurationWatch(
            client=self.client, on_configuration=self.applied.append
        )
        self.put(json.dumps(self.build(1)))
        self.watch.start()
        self.addCleanup(self.watch.watcher.greenlet.kill)
        self.wait_for(1)

    def build(self, version: int, **tenant: object) -> dict:
        """Returns a configuration with one tenant."""
        return {
            "version": version,
            "tenants": [{"name": "t", "apiKeys": ["k"]} | tenant],
        }

    def put(self, text: str) -> None:
        """Writes a configuration."""
        self.model.put(documents.CONFIGURATION_KEY, text.encode())

    def wait_for(self, version: int) -> None:
        """Waits until a version was applied."""
        with gevent.Timeout(5.0):
            while self.watch.version < version:
                gevent.sleep(0.01)


class OddConfigurationTest(WatchCase):
    """A configuration that can't be used leaves the last one in force."""

    def test_the_last_one_stays_in_force_until_a_sound_one(self) -> None:
        for odd in (
            json.dumps(self.build(2, apiKeys=["k", 5])),
            json.dumps(self.build(2, weight="much")),
            json.dumps(self.build(2)).replace('["k"]', '["k"],"weight":-1e400'),
            json.dumps(self.build(2)).replace(": 2,", ": 1e400,"),
            "[" * 100_000,
            "\x00",
        ):
            self.put(odd)
            gevent.sleep(0.05)
        self.assertEqual([each.version for each in self.applied], [1])
        self.put(json.dumps(self.build(3, apiKeys=["k", "l"])))
        self.wait_for(3)
        self.assertEqual([each.version for each in self.applied], [1, 3])
        self.assertEqual(self.applied[-1].workspaces["t"].keys, ("k", "l"))
        self.assertEqual(self.model.calls["/kv-range"], 1)


class SilentWatchTest(WatchCase):
    """A watch whose connection is dead without a sign."""

    def test_a_new_limit_is_known_before_the_watch_times_out(self) -> None:
        self.watch.watcher.greenlet.kill(block=False)
        confirming = gevent.spawn(self.watch.confirm_forever)
        self.addCleanup(confirming.kill)
        self.put(json.dumps(self.build(2)))
        with gevent.Timeout(LIMIT_IN_FORCE_S):
            while self.watch.version < 2:
                gevent.sleep(0.01)

    def test_a_configuration_that_fails_to_apply_ends_nothing(self) -> None:
        self.watch.watcher.greenlet.kill(block=False)
        self.watch.on_configuration = mock.Mock(side_effect=RuntimeError)
        self.put(json.dumps(self.build(2)))
        with self.assertLogs(prefix_watcher.log, "ERROR"):
            self.assertTrue(self.watch.refresh())

    def test_a_failing_store_is_asked_again(self) -> None:
        self.watch.watcher.greenlet.kill(block=False)
        self.model.faults.busy.add("*")
        with self.assertLogs(configuration_watch.log, "WARNING"):
            self.assertFalse(self.watch.refresh())
        self.model.faults.busy.clear()
        self.assertTrue(self.watch.refresh())
