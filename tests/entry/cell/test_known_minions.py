"""Tests of a new owner and minions whose registration is gone."""

import types
from unittest import mock

import gevent
from gevent import event as gevent_event

from hickoryreach.scheduling import events
from hickoryreach_entry import clock
from hickoryreach_entry.cell import known_minions
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery
from tests.entry.cell import cases


class SuccessionCase(cases.StoreCase):
    """Successive owners of one cell."""

    def setUp(self) -> None:
        """Serves a store in which an owner has stored two minions."""
        super().setUp()
        self.build(["i-1", "i-2"]).save()

    def build(self, minion_ids: list[str]) -> known_minions.KnownMinions:
        """Returns the known minions of a new owner with links to some."""
        return known_minions.KnownMinions(
            client=self.client,
            revision=self.model.put(records.OWNER_KEY, b"{}"),
            get_linked_ids=lambda: minion_ids,
        )

    def build_owner(self, minion_ids: list[str], reported: dict[str, int]):
        """Returns a new owner that has polled some minions.

        Args:
            minion_ids: Ids of the polled minions.
            reported: Minions that the previous owner reported as silent, with
                the ms until nothing that it started can run there.
        """
        heard = gevent_event.Event()
        heard.set()
        known = self.build(minion_ids)
        known.read()
        link = types.SimpleNamespace(
            polled=heard, poll_attempted=heard, owes_ends=False
        )
        return types.SimpleNamespace(
            epoch=2,
            silent=reported,
            known_minions=known,
            stopped=False,
            emit=mock.Mock(),
            fleet=types.SimpleNamespace(links=dict.fromkeys(minion_ids, link)),
        )


class KnownMinionsTest(SuccessionCase):
    """The minions of successive owners."""

    def test_an_unregistered_minion_may_still_run_tasks(self) -> None:
        owner = self.build_owner(["i-2"], {})
        self.assertEqual(recovery.list_silent(owner), ["i-1"])
        self.assertGreater(recovery.get_uncertain_until_ms(owner), 0)

    def test_a_minion_whose_lease_has_expired_runs_nothing(self) -> None:
        owner = self.build_owner(["i-2"], {"i-1": 0})
        self.assertEqual(recovery.get_uncertain_until_ms(owner), 0)

    def test_uncertainty_ends_when_the_minion_answers_again(self) -> None:
        owner = self.build_owner(["i-2"], {})
        until_ms = recovery.get_uncertain_until_ms(owner)
        end_greenlet = gevent.spawn(recovery.end_uncertainty, owner, until_ms)
        gevent.sleep(0.05)
        owner.emit.assert_not_called()
        owner.fleet.links["i-1"] = owner.fleet.links["i-2"]
        owner.known_minions.get_linked_ids = owner.fleet.links.keys
        end_greenlet.join(2.0)
        owner.emit.assert_called_once_with(events.EarlierRunsConfirmed())

    # Guards against tasks that a new owner starts again although they have
    # ended, as their minion lists more ends than one reply holds.
    def test_uncertainty_lasts_until_all_ends_are_listed(self) -> None:
        owner = self.build_owner(["i-1", "i-2"], {"i-1": 0})
        owing = types.SimpleNamespace(
            polled=gevent_event.Event(), owes_ends=True
        )
        owner.fleet.links["i-1"] = owing
        self.assertEqual(recovery.list_silent(owner), [])
        until_ms = recovery.get_uncertain_until_ms(owner)
        self.assertGreater(until_ms, clock.now_ms())
        end_greenlet = gevent.spawn(
            recovery.end_uncertainty, owner, clock.now_ms()
        )
        gevent.sleep(2.5 * recovery.RETRY_S)
        owner.emit.assert_not_called()
        owing.owes_ends = False
        end_greenlet.join(2.0)
        owner.emit.assert_called_once_with(events.EarlierRunsConfirmed())

    def test_later_owners_know_the_minion_until_it_is_dropped(self) -> None:
        second = self.build(["i-2"])
        second.read()
        second.save()
        third = self.build(["i-2"])
        third.read()
        self.assertEqual(third.list_unlinked(), ["i-1"])
        third.drop_earlier()
        third.save()
        fourth = self.build(["i-2"])
        fourth.read()
        self.assertEqual(fourth.list_unlinked(), [])

    def test_a_replaced_owner_stores_nothing(self) -> None:
        first = self.build(["i-9"])
        second = self.build(["i-2"])
        with self.assertLogs(known_minions.log, "WARNING"):
            first.save()
        second.read()
        self.assertEqual(second.list_unlinked(), ["i-1"])


class OddRecordTest(SuccessionCase):
    """A record that can't be read in full says that more may run."""

    def read(self, data: bytes, linked: list[str]):
        """Returns a new owner that reads a record and has polled minions."""
        self.model.put(records.MINIONS_KEY, data)
        return self.build_owner(linked, {})

    def test_the_readable_ids_are_known(self) -> None:
        for odd in (b"5", b"null", b"{}", b'["i-4"]', b"1e400"):
            with self.subTest(odd):
                owner = self.read(b'["i-2",' + odd + b',"i-3"]', [])
                self.assertEqual(
                    owner.known_minions.list_unlinked(), ["i-2", "i-3"]
                )

    def test_runs_of_unreadable_minions_may_last_a_whole_lease(self) -> None:
        for data in (b"", b"\xff", b"5", b"{}", b'["i-2",5]'):
            with self.subTest(data):
                owner = self.read(data, ["i-2"])
                until_ms = recovery.get_uncertain_until_ms(owner)
                lease_ms = links.PREVIOUS_OWNER_LEASE_MS
                self.assertGreater(until_ms, clock.now_ms() + lease_ms)
                self.assertFalse(recovery.has_polled_all(owner))

    def test_an_owner_without_a_record_is_certain(self) -> None:
        self.model.delete(records.MINIONS_KEY)
        owner = self.build_owner(["i-2"], {})
        self.assertEqual(recovery.get_uncertain_until_ms(owner), 0)

    def test_the_record_is_replaced_once_a_whole_lease_is_over(self) -> None:
        owner = self.read(b"5", ["i-2"])
        owner.known_minions.save()
        self.assertEqual(
            self.client.get(records.MINIONS_KEY).unwrap().data, b"5"
        )
        owner.known_minions.drop_earlier()
        owner.known_minions.save()
        third = self.build(["i-2"])
        third.read()
        self.assertTrue(third.complete)
