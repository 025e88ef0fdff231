"""Tests of registered minions and the links to them."""

import dataclasses
import json
import time
import unittest
from unittest import mock

import gevent

from hickoryreach.platform import documents
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach_entry.cell import fleet
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import ownership_scope
from standins.users import minions as standin
from standins.users import servers
from tests.entry.cell import cases

LEASE_MS = 800


def build_registration(**changes) -> bytes:
    """Returns the registration of a minion that never answers."""
    document = {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 4_000, "memMb": 100},
    }
    return json.dumps(document | changes).encode()


class FleetTest(unittest.TestCase):
    """Minions that change their address, leave, or register again."""

    def setUp(self) -> None:
        """Serves one minion and creates a fleet."""
        self.model = standin.Minion(minion_id="i-1")
        self.model.born_at -= 60

        def answer(method, path, words, body, environ):
            return self.model.answer(path, body, "")

        self.server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(self.server.stop, 0)
        self.events: list[events.Event] = []
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.fleet = fleet.Fleet(
            scope=self.scope,
            client=mock.Mock(),
            get_terms=lambda: leases.Terms(
                token=5, lease_ms=LEASE_MS, hold_limit_ms=6_000
            ),
            emit=self.events.append,
            on_fenced=lambda minion_id: None,
            heartbeat_ms=500,
        )
        self.addCleanup(self.scope.close)
        self.addCleanup(self.fleet.close)
        self.minion = cells.Minion(
            minion_id="i-1",
            service="s",
            address=f"127.0.0.1:{self.server.server_port}",
            failure_domain="z",
            capacity=resources.ZERO,
        )

    def wait(self, is_done, limit_s: float) -> None:
        """Waits until a condition holds."""
        with gevent.Timeout(limit_s):
            while not is_done():
                gevent.sleep(0.01)

    def is_lease_expired(self) -> bool:
        """Returns whether the expiry of the minion's lease was emitted."""
        return any(
            isinstance(event, events.LeaseExpired) for event in self.events
        )

    def is_unregistered(self) -> bool:
        """Returns whether the minion was excluded from placement."""
        return any(
            isinstance(event, events.MinionUnregistered)
            for event in self.events
        )

    def test_removal_after_a_store_outage_waits_for_registration(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        gevent.sleep(1.0)
        self.assertFalse(self.is_unregistered())
        self.wait(self.is_unregistered, fleet.REREGISTRATION_TIMEOUT_S)

    def test_a_minion_that_registers_again_stays(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        gevent.sleep(0.1)
        self.fleet.registered_at["i-1"] = time.monotonic()
        gevent.sleep(fleet.REREGISTRATION_TIMEOUT_S + 0.3)
        self.assertFalse(self.is_unregistered())

    def test_a_silent_minion_is_unregistered_at_once(self) -> None:
        self.fleet.connect(
            dataclasses.replace(self.minion, address="127.0.0.1:1")
        )
        self.fleet.watcher.note_health(healthy=False, reason="")
        self.fleet.watcher.note_health(healthy=True, reason="")
        self.fleet.remove("i-1", "unregistered")
        self.assertTrue(self.is_unregistered())

    def test_a_removed_minion_that_never_answered_is_dropped(self) -> None:
        self.fleet.connect(
            dataclasses.replace(self.minion, address="127.0.0.1:1")
        )
        self.fleet.remove("i-1", "unregistered")
        self.wait(lambda: not self.fleet.links, 4.0)
        self.assertTrue(self.is_lease_expired())

    # Guards against ends that a link takes while the owner has no record of
    # the minion, and that are never acknowledged.
    def test_a_lapsed_minion_is_not_read_before_it_registers_again(
        self,
    ) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        self.fleet.remove("i-1", "unregistered")
        self.model.silent = True
        self.wait(self.is_lease_expired, 8.0)
        run = standin.Run(task="j.0.0.0", number=1, begun_ms=0.0, work_ms=1.0)
        self.model.runs[run.task] = run
        self.model.end(run, "lapsed")
        self.model.silent = False
        gevent.sleep(fleet.UNREGISTERED_GRACE_S + 0.5)
        self.assertIsInstance(self.events[-1], events.LeaseExpired)
        self.fleet.connect(self.minion)
        link = self.fleet.links["i-1"]
        self.wait(lambda: link.ends.last == 1, 5.0)
        link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends, 5.0)

    def test_lease_expires_though_the_new_address_never_answers(self) -> None:
        self.fleet.connect(self.minion)
        self.wait(lambda: self.fleet.links["i-1"].polled.is_set(), 5.0)
        moved = dataclasses.replace(self.minion, address="127.0.0.1:1")
        self.fleet.connect(moved)
        self.assertFalse(self.is_lease_expired())
        self.wait(self.is_lease_expired, 8.0)


class StoredFleetTest(cases.StoreCase):
    """Registrations that are read from a served store."""

    def setUp(self) -> None:
        """Creates a fleet that reads the store, and does not start it."""
        super().setUp()
        self.events: list[events.Event] = []
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.fleet = fleet.Fleet(
            scope=self.scope,
            client=self.client,
            get_terms=lambda: leases.Terms(
                token=5, lease_ms=LEASE_MS, hold_limit_ms=6_000
            ),
            emit=self.events.append,
            on_fenced=lambda minion_id: None,
            heartbeat_ms=500,
        )
        self.addCleanup(self.scope.close)
        self.addCleanup(self.fleet.close)
        fast = mock.patch.object(self.fleet.watcher, "pause_s", 0.0)
        fast.start()
        self.addCleanup(fast.stop)

    def register(self, minion_id: str, data: bytes | None = None) -> None:
        """Writes a registration."""
        self.model.put(
            f"{documents.MINIONS_PREFIX}{minion_id}",
            build_registration() if data is None else data,
        )

    def wait_for(self, minion_id: str) -> None:
        """Waits until the fleet has a link to a minion."""
        with gevent.Timeout(3.0):
            while minion_id not in self.fleet.links:
                gevent.sleep(0.01)


class OddRegistrationTest(StoredFleetTest):
    """One registration that can't be handled does not spoil the others."""

    def setUp(self) -> None:
        """Lets the handling of one registration fail unexpectedly."""
        super().setUp()
        parse = documents.parse_minion

        def parse_or_fail(key: str, data: bytes):
            if key.endswith("odd"):
                raise KeyError("unexpected")
            return parse(key, data)

        patch = mock.patch.object(documents, "parse_minion", parse_or_fail)
        patch.start()
        self.addCleanup(patch.stop)
        self.register("a-first")
        self.register("b-odd")
        self.register("c-last")

    def test_minions_beside_an_odd_entry_are_registered(self) -> None:
        self.fleet.watcher.start()
        self.wait_for("a-first")
        self.wait_for("c-last")
        self.assertNotIn("b-odd", self.fleet.links)

    def test_the_watch_moves_past_an_odd_entry(self) -> None:
        self.fleet.watcher.start()
        self.wait_for("c-last")
        self.register("d-odd")
        self.register("e-later")
        self.wait_for("e-later")
        gevent.sleep(0.5)
        self.assertEqual(self.model.calls["/kv-range"], 1)

    def test_a_removal_is_seen_though_another_entry_is_odd(self) -> None:
        self.fleet.watcher.start()
        self.wait_for("c-last")
        self.model.delete(f"{documents.MINIONS_PREFIX}c-last")
        with gevent.Timeout(3.0):
            while not self.fleet.links["c-last"].removed:
                gevent.sleep(0.01)


class OverwrittenRegistrationTest(StoredFleetTest):
    """An odd entry takes a minion out of use until it registers again."""

    def test_a_minion_whose_entry_is_odd_for_a_while_is_used_again(
        self,
    ) -> None:
        self.register("m")
        self.fleet.watcher.start()
        self.wait_for("m")
        link = self.fleet.links["m"]
        for odd in (b"", b"[" * 100_000, build_registration(service="")):
            self.register("m", odd)
            with gevent.Timeout(3.0):
                while not link.removed:
                    gevent.sleep(0.01)
            self.register("m")
            with gevent.Timeout(3.0):
                while link.removed:
                    gevent.sleep(0.01)
        kinds = [type(event).__name__ for event in self.events]
        self.assertEqual(kinds.count("MinionUnregistered"), 3)
        self.assertEqual(kinds.count("MinionRegistered"), 4)
        self.assertIs(self.fleet.links["m"], link)


class CapacityChangeTest(StoredFleetTest):
    """A registered capacity that changes reaches the owner in order."""

    def resize(self, cpu: int) -> None:
        """Registers the minion anew with a capacity."""
        self.register(
            "m", build_registration(capacity={"cpu": cpu, "memMb": 100})
        )

    def list_capacities(self) -> list[int]:
        """Returns the capacities that were emitted, in order."""
        return [
            event.minion.capacity.cpu_millis
            for event in self.events
            if isinstance(event, events.MinionRegistered)
        ]

    def wait_for_capacity(self, cpu: int) -> None:
        """Waits until a capacity is the last one that was emitted."""
        with gevent.Timeout(6.0):
            while self.list_capacities()[-1:] != [cpu]:
                gevent.sleep(0.01)

    def wait_for_outage(self) -> None:
        """Waits until the watch fails."""
        with gevent.Timeout(5.0):
            while self.fleet.watcher.healthy:
                gevent.sleep(0.01)

    def begin(self) -> None:
        """Watches a minion that registers 4,000."""
        self.resize(4_000)
        self.fleet.watcher.start()
        self.wait_for_capacity(4_000)

    def test_each_change_is_emitted(self) -> None:
        self.begin()
        for cpu in (1_000, 0, 8_000):
            self.resize(cpu)
            self.wait_for_capacity(cpu)
        self.assertEqual(self.list_capacities(), [4_000, 1_000, 0, 8_000])
        link = self.fleet.links["m"]
        self.assertEqual(link.minion.capacity.cpu_millis, 8_000)

    def test_a_change_keeps_the_link(self) -> None:
        self.begin()
        link = self.fleet.links["m"]
        self.resize(1_000)
        self.wait_for_capacity(1_000)
        self.assertIs(self.fleet.links["m"], link)
        self.assertFalse(link.stopped)

    def test_a_change_is_read_after_the_history_is_gone(self) -> None:
        self.begin()
        self.resize(1_000)
        self.model.forget_history()
        self.wait_for_capacity(1_000)

    def test_a_change_is_read_after_the_watch_was_cut(self) -> None:
        self.begin()
        self.model.faults.busy.add("*")
        self.wait_for_outage()
        self.resize(1_000)
        gevent.sleep(0.3)
        self.assertEqual(self.list_capacities(), [4_000])
        self.model.faults.busy.clear()
        self.wait_for_capacity(1_000)

    def test_a_change_during_the_watch_s_silence_is_read(self) -> None:
        self.begin()
        self.model.faults.silent.add("*")
        gevent.sleep(fleet.WATCH_WAIT_S)
        self.resize(1_000)
        self.model.faults.silent.clear()
        self.wait_for_capacity(1_000)

    def test_a_change_in_an_outage_in_which_the_entry_expired(self) -> None:
        self.begin()
        self.model.faults.busy.add("*")
        self.wait_for_outage()
        self.model.delete(f"{documents.MINIONS_PREFIX}m")
        self.model.faults.busy.clear()
        gevent.sleep(0.3)
        self.resize(1_000)
        self.wait_for_capacity(1_000)
        self.assertFalse(self.fleet.links["m"].removed)

    def test_a_takeover_reads_the_capacity_in_force(self) -> None:
        self.resize(4_000)
        self.resize(1_000)
        self.fleet.watcher.accept(
            self.client.get_prefix(documents.MINIONS_PREFIX).unwrap()
        )
        self.resize(500)
        self.fleet.watcher.start()
        self.wait_for_capacity(500)
        self.assertEqual(self.list_capacities(), [1_000, 500])
