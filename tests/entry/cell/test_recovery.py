"""Tests of what a new owner reads before it serves."""

import json
import types
from unittest import mock

import gevent

from hickoryreach.platform import documents
from hickoryreach.platform import node
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import records
from tests.entry.cell import cases


class ConfigurationTest(cases.StoreCase):
    """An entry whose watch lags behind becomes the owner."""

    def setUp(self) -> None:
        """Creates a member that knows the first configuration."""
        super().setUp()
        self.configure(1)
        settings = types.SimpleNamespace(
            node="me",
            listen=types.SimpleNamespace(control="127.0.0.1:1"),
            processor=1.0,
            advice=None,
            heartbeat_ms=1_500,
            bounds=node.BoundsRow(),
        )
        self.source = configuration_watch.ConfigurationWatch(
            client=self.client, on_configuration=mock.Mock()
        )
        self.member = member_module.Member(
            settings=settings,
            client=self.client,
            configuration_source=self.source,
        )
        self.source.on_configuration = self.member.change_configuration
        self.source.refresh()

    def configure(self, version: int) -> None:
        """Writes a configuration as the operator does."""
        document = {
            "version": version,
            "tenants": [{"name": "hydro", "apiKeys": ["k"]}],
        }
        self.model.put(
            documents.CONFIGURATION_KEY, json.dumps(document).encode()
        )

    def test_the_newest_configuration_is_in_force_from_the_first_start(
        self,
    ) -> None:
        self.configure(2)
        ownership = records.Ownership(name="me", address="a:1", epoch=2)
        revision = self.model.put(
            records.OWNER_KEY, records.encode_ownership(ownership)
        )
        self.member.election.begin_ownership(ownership, revision)
        owner = self.member.owner
        self.addCleanup(owner.close)
        versions: list[int] = []
        owner.run_placement_pass = lambda: versions.append(
            owner.state.configuration.version
        )
        with gevent.Timeout(5.0):
            while not versions:
                gevent.sleep(0.01)
        self.assertEqual(set(versions), {2})
