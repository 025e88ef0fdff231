"""Tests of the links to registered minions."""

import dataclasses
import time
import unittest
from unittest import mock

import gevent

from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach_entry.cell import fleet
from hickoryreach_entry.cell import links
from standins.users import minions as standin
from standins.users import servers

LEASE_MS = 800


class FleetTest(unittest.TestCase):
    """Minions that come at another address under their id, or are gone."""

    def setUp(self) -> None:
        """Follows one minion."""
        self.model = standin.Minion(minion_id="i-1")
        self.model.born_at -= 60

        def answer(method, path, words, body, environ):
            return self.model.answer(path, body, "")

        self.server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(self.server.stop, 0)
        self.events: list[events.Event] = []
        self.fleet = fleet.Fleet(
            client=mock.Mock(),
            get_terms=lambda: links.Terms(
                token=5, lease_ms=LEASE_MS, hold_limit_ms=6_000
            ),
            emit=self.events.append,
            on_fenced=lambda minion_id: None,
            heartbeat_ms=500,
        )
        self.addCleanup(self.fleet.close)
        self.minion = cells.Minion(
            minion_id="i-1",
            service="s",
            address=f"127.0.0.1:{self.server.server_port}",
            failure_domain="z",
            capacity=resources.ZERO,
        )

    def wait(self, is_done, limit_s: float) -> None:
        """Waits until something holds."""
        with gevent.Timeout(limit_s):
            while not is_done():
                gevent.sleep(0.01)

    def has_lapsed(self) -> bool:
        """Returns whether the minion's lease is known to be over."""
        return any(
            isinstance(event, events.LeaseExpired) for event in self.events
        )

    def is_unregistered(self) -> bool:
        """Returns whether nothing more is placed on the minion."""
        return any(
            isinstance(event, events.MinionUnregistered)
            for event in self.events
        )

    def test_a_registration_may_come_back_after_a_store_outage(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        gevent.sleep(1.0)
        self.assertFalse(self.is_unregistered())
        self.wait(self.is_unregistered, fleet.RETURN_S)

    def test_a_registration_that_came_back_stays(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        gevent.sleep(0.1)
        self.fleet.seen_at["i-1"] = time.monotonic()
        gevent.sleep(fleet.RETURN_S + 0.3)
        self.assertFalse(self.is_unregistered())

    def test_a_silent_minion_does_not_come_back(self) -> None:
        self.fleet.connect(
            dataclasses.replace(self.minion, address="127.0.0.1:1")
        )
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        self.assertTrue(self.is_unregistered())

    def test_a_minion_that_never_answers_is_dropped_when_gone(self) -> None:
        self.fleet.connect(
            dataclasses.replace(self.minion, address="127.0.0.1:1")
        )
        self.fleet.remove("i-1", "unregistered")
        self.wait(lambda: not self.fleet.links, 4.0)
        self.assertTrue(self.has_lapsed())

    def test_a_lease_lapses_though_the_new_address_never_answers(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        moved = dataclasses.replace(self.minion, address="127.0.0.1:1")
        self.fleet.connect(moved)
        self.assertFalse(self.has_lapsed())
        self.wait(self.has_lapsed, 8.0)
