"""Tests of the watch of the operator's configuration."""

import json

import gevent

from hickoryreach.platform import documents
from hickoryreach.structure import cells
from hickoryreach_entry.cell import configuration_watch
from tests.entry.cell import cases


class OddConfigurationTest(cases.StoreCase):
    """A configuration that can't be used leaves the last one in force."""

    def setUp(self) -> None:
        """Watches a store with a configuration."""
        super().setUp()
        self.applied: list[cells.Configuration] = []
        self.watch = configuration_watch.ConfigurationWatch(
            client=self.client, on_configuration=self.applied.append
        )
        self.addCleanup(self.watch.watcher.close)
        self.put(json.dumps(self.build(1)))
        self.watch.start()
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
