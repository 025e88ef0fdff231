"""Tests of an entry that was paused while a key was withdrawn."""

import time
import types
from unittest import mock

import falcon
from falcon import testing
import orjson

from hickoryreach.platform import documents
from hickoryreach.platform import node
from hickoryreach.structure import cells
from hickoryreach_entry.cell import caller_api
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import pause_detector
from tests.entry.cell import cases

PAUSE_S = 5.0
KEY = "hydro-key"


class PausedEntryTest(cases.StoreCase):
    """The callers' API of an entry that is paused."""

    def setUp(self) -> None:
        """Puts a configuration with one key in force."""
        super().setUp()
        self.watch = configuration_watch.ConfigurationWatch(
            client=self.client, on_configuration=self.apply
        )
        owner_client = mock.Mock(unconfirmed_jobs={})
        owner_client.get_pending.return_value = 0
        self.api = caller_api.CallerApi(
            member=types.SimpleNamespace(
                owner_client=owner_client, cell_clock=cell_clock.CellClock()
            ),
            client=self.client,
            configuration_source=self.watch,
            limits=node.LimitsRow(),
        )
        self.write_configuration(1, [KEY])
        self.watch.refresh()
        self.watch.watcher.answered_at = time.monotonic()

    def apply(self, configuration: cells.Configuration) -> None:
        """Applies a configuration."""
        self.api.change_configuration(configuration)

    def write_configuration(self, version: int, keys: list[str]) -> None:
        """Writes a configuration as the operator does."""
        document = {
            "version": version,
            "routes": [
                {"name": "r", "host": "h", "prefix": "/r/", "service": "s"}
            ],
            "services": [{"name": "s"}],
            "tenants": [{"name": "hydro", "apiKeys": keys}],
        }
        self.model.put(documents.CONFIGURATION_KEY, orjson.dumps(document))

    def pause(self) -> None:
        """Lets the boot clock show that this process did not run."""
        resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + PAUSE_S
        patch = mock.patch("time.clock_gettime", return_value=resumed_at)
        patch.start()
        self.addCleanup(patch.stop)

    def count(self) -> str:
        """Returns the status of a caller's request with the key."""
        resp = falcon.Response()
        headers = {"Authorization": f"Token {KEY}", "Host": "h"}
        req = testing.create_req(path="/r/", headers=headers)
        self.api.answer(req, resp, time.monotonic())
        return resp.status

    def test_a_withdrawn_key_is_refused_after_a_pause(self) -> None:
        self.assertEqual(self.count(), falcon.HTTP_200)
        self.write_configuration(2, [])
        self.pause()
        self.assertEqual(self.count(), falcon.HTTP_401)

    def test_an_unknown_key_is_told_to_come_again_without_the_store(
        self,
    ) -> None:
        self.write_configuration(2, [])
        self.watch.refresh()
        self.assertEqual(self.count(), falcon.HTTP_401)
        self.watch.watcher.answered_at -= PAUSE_S
        self.assertEqual(self.count(), falcon.HTTP_503)

    def test_callers_are_served_after_a_pause_without_the_store(self) -> None:
        self.model.faults.busy.add("*")
        self.pause()
        self.assertEqual(self.count(), falcon.HTTP_200)

    def test_an_older_configuration_is_not_applied(self) -> None:
        self.write_configuration(3, [])
        self.watch.refresh()
        self.write_configuration(2, [KEY])
        self.watch.refresh()
        self.assertEqual(self.api.configuration.version, 3)

    def test_a_pause_is_reported_once(self) -> None:
        resumed = mock.Mock()
        detector = pause_detector.PauseDetector(on_resumed=resumed)
        self.pause()
        detector.check()
        detector.check()
        resumed.assert_called_once()
