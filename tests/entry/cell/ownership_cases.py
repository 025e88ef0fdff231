"""An entry with a store and minions, which owns the cell more than once."""

import types
import unittest
from unittest import mock

import gevent

from hickoryreach.platform import node
from hickoryreach.platform import store
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import records
from standins.users import platform

NAME = "me"
MINIONS = 2


class OwnershipCase(unittest.TestCase):
    """An entry whose ownerships begin and end as a test wants.

    Attributes:
        users: The platform's stand-ins.
        member: The entry as a member of its cell; it follows nobody.
    """

    def setUp(self) -> None:
        """Serves a platform; nobody owns the cell."""
        self.users = platform.Platform(minion_count=MINIONS)
        self.addCleanup(self.users.close)
        self.users.configure()
        client = store.Store(address=self.users.add_store(NAME, 0))
        settings = types.SimpleNamespace(
            node=NAME,
            listen=types.SimpleNamespace(control="127.0.0.1:1"),
            processor=1.0,
            advice=None,
            heartbeat_ms=500,
            bounds=node.BoundsRow(),
        )
        source = configuration_watch.ConfigurationWatch(
            client=client, on_configuration=mock.Mock()
        )
        self.member = member_module.Member(
            settings=settings, client=client, configuration_source=source
        )
        source.on_configuration = self.member.change_configuration

    def begin(self, epoch: int, name: str = NAME) -> owner_module.Owner:
        """Makes this entry the owner; returns the new ownership."""
        ownership = records.Ownership(name=name, address="a:1", epoch=epoch)
        data = records.encode_ownership(ownership)
        revision = self.users.store.put(records.OWNER_KEY, data)
        self.member.election.begin_ownership(ownership, revision)
        owner = self.member.owner
        self.addCleanup(owner.close)
        return owner

    def wait(self, is_done, limit_s: float = 5.0) -> None:
        """Waits until a condition holds."""
        with gevent.Timeout(limit_s):
            while not is_done():
                gevent.sleep(0.01)

    def list_tokens(self) -> list[int]:
        """Returns the highest token that each minion knows."""
        return [minion.token for minion in self.users.minions.values()]
