"""Tests of what a new owner knows of minions whose registration is gone."""

import types
from unittest import mock

import gevent
from gevent import event as gevent_event

from hickoryreach.scheduling import events
from hickoryreach_entry.cell import known_minions
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery
from tests.entry.cell import cases


class CensusTest(cases.StoreCase):
    """Two owners, one after the other."""

    def setUp(self) -> None:
        """Serves a store in which an owner has kept two minions."""
        super().setUp()
        self.build(["i-1", "i-2"]).keep()

    def build(self, names: list[str]) -> known_minions.KnownMinions:
        """Returns the census of a new owner that has links to some minions."""
        return known_minions.KnownMinions(
            client=self.client,
            revision=self.model.put(records.OWNER_KEY, b"{}"),
            get_names=lambda: names,
        )

    def build_owner(self, names: list[str], told: dict[str, int]):
        """Returns a new owner that has heard some minions."""
        heard = gevent_event.Event()
        heard.set()
        found = self.build(names)
        found.read()
        link = types.SimpleNamespace(polled=heard, poll_attempted=heard)
        return types.SimpleNamespace(
            epoch=2,
            silent=told,
            known_minions=found,
            stopped=False,
            emit=mock.Mock(),
            fleet=types.SimpleNamespace(links=dict.fromkeys(names, link)),
        )

    def test_a_minion_that_is_not_registered_may_run_something(self) -> None:
        owner = self.build_owner(["i-2"], {})
        self.assertEqual(recovery.list_silent(owner), ["i-1"])
        self.assertGreater(recovery.get_uncertain_until_ms(owner), 0)

    def test_a_minion_whose_lease_is_over_runs_nothing(self) -> None:
        owner = self.build_owner(["i-2"], {"i-1": 0})
        self.assertEqual(recovery.get_uncertain_until_ms(owner), 0)

    def test_doubt_ends_when_the_minion_is_back(self) -> None:
        owner = self.build_owner(["i-2"], {})
        until_ms = recovery.get_uncertain_until_ms(owner)
        ending = gevent.spawn(recovery.end_uncertainty, owner, until_ms)
        gevent.sleep(0.05)
        owner.emit.assert_not_called()
        owner.fleet.links["i-1"] = owner.fleet.links["i-2"]
        owner.known_minions.get_names = owner.fleet.links.keys
        ending.join(2.0)
        owner.emit.assert_called_once_with(events.EarlierRunsConfirmed())

    def test_the_next_owner_but_one_still_knows_of_it(self) -> None:
        second = self.build(["i-2"])
        second.read()
        second.keep()
        third = self.build(["i-2"])
        third.read()
        self.assertEqual(third.list_unlinked(), ["i-1"])
        third.forget()
        third.keep()
        fourth = self.build(["i-2"])
        fourth.read()
        self.assertEqual(fourth.list_unlinked(), [])

    def test_an_owner_that_is_replaced_keeps_nothing(self) -> None:
        first = self.build(["i-9"])
        second = self.build(["i-2"])
        with self.assertLogs(known_minions.log, "WARNING"):
            first.keep()
        second.read()
        self.assertEqual(second.list_unlinked(), ["i-1"])
