"""Tests of settings that change while an entry runs."""

import pathlib
import tempfile
import unittest
from unittest import mock

import gevent
import yaml

from hickoryreach.platform import node
from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import owner
from hickoryreach_entry.cell import server


class ReloadCase(unittest.TestCase):
    """An entry that is not started, with a settings file."""

    advice: str | None = "127.0.0.1:3"

    def setUp(self) -> None:
        """Writes the settings file and creates the entry."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "node.yaml")
        self.rows: dict = {
            "node": "entry-0",
            "zone": "zone-0",
            "listen": {
                "front": "127.0.0.1:0",
                "ready": "127.0.0.1:0",
                "control": "127.0.0.1:0",
            },
            "limits": {"cpuShare": 0.5, "cores": 1},
            "orders": "call",
            "advice": self.advice,
            "platform": {"address": "127.0.0.1:1"},
        }
        self.write()
        self.server = server.CellServer(
            settings=node.load(str(self.path)).unwrap(), path=str(self.path)
        )

    def write(self, **changes: object) -> None:
        """Writes the settings file with some changes."""
        self.rows |= changes
        self.path.write_text(yaml.safe_dump(self.rows), encoding="utf-8")

    def change(self, **changes: object) -> str:
        """Changes the settings file; returns what its reload logs."""
        self.write(**changes)
        with self.assertLogs("hickoryreach_entry.cell") as logged:
            self.server.reload()
        return "\n".join(
            f"{each.getMessage()} {vars(each)}" for each in logged.records
        )


class AdviceAddressTest(ReloadCase):
    """The address of the advice service."""

    def test_another_address_is_applied(self) -> None:
        self.change(advice="127.0.0.1:4")
        self.assertEqual(self.server.member.advisor.address, "127.0.0.1:4")

    def test_a_wrong_address_is_rejected(self) -> None:
        self.assertIn("settings_rejected", self.change(advice="nowhere"))
        self.assertEqual(self.server.member.advisor.address, "127.0.0.1:3")

    def test_an_empty_address_means_none(self) -> None:
        self.change(advice="")
        self.assertIsNone(self.server.member.advisor.address)


class LaterAdviceTest(ReloadCase):
    """The service has no address when the entry starts."""

    advice = None

    def test_an_address_that_is_set_later_is_applied(self) -> None:
        self.change(advice="127.0.0.1:4")
        self.assertEqual(self.server.member.advisor.address, "127.0.0.1:4")


class StoreAddressTest(ReloadCase):
    """The address of the platform's store."""

    def test_another_address_is_applied(self) -> None:
        self.change(platform={"address": "127.0.0.1:2"})
        self.assertEqual(self.server.client.call_client.address, "127.0.0.1:2")

    def test_a_wrong_address_is_rejected(self) -> None:
        self.assertIn(
            "settings_rejected", self.change(platform={"address": "127.0.0.1"})
        )
        self.assertEqual(self.server.client.call_client.address, "127.0.0.1:1")


class BoundsTest(ReloadCase):
    """Settings that an entry and its owner only read."""

    def setUp(self) -> None:
        """Makes the entry an owner that is not started."""
        super().setUp()
        member = self.server.member
        self.owner = owner.Owner(
            settings=member.settings,
            client=member.client,
            epoch=1,
            revision=1,
            configuration=None,
            configuration_source=member.configuration_source,
            local_advisor=member.advisor,
            get_channels=dict,
            quorum=follower_quorum.FollowerQuorum(expected=(), complete=True),
            silent={},
            get_wall_ms=lambda: 0,
            may_recall_advice=False,
            on_deposed=lambda reason: None,
        )
        self.addCleanup(self.owner.close)
        member.owner = self.owner

    def test_bounds_apply_to_the_owner(self) -> None:
        self.change(
            bounds={
                "holdMaxMs": 2_000,
                "stopGraceMs": 400,
                "status_s": 60,
                "graceS": 3,
            }
        )
        self.assertEqual(self.owner.get_terms().hold_limit_ms, 2_000)
        self.assertEqual(self.owner.state.settings.stop_grace_ms, 400)
        self.assertEqual(self.owner.retention.retention_s, 60)
        self.assertEqual(self.server.settings.bounds.grace_s, 3)

    def test_heartbeats_apply_to_the_owner(self) -> None:
        self.change(heartbeatMs=500)
        self.assertEqual(self.owner.fleet.planned_leave_limit_s, 1.0)

    def test_bounds_that_can_not_hold_are_rejected(self) -> None:
        for changes in (
            {"bounds": {"holdMaxMs": 0}},
            {"bounds": {"graceS": -1}},
            {"heartbeatMs": 0},
        ):
            with self.subTest(changes):
                logged = self.change(**changes)
                self.assertIn("settings_rejected", logged)
            self.rows.pop(next(iter(changes)))

    def test_limits_of_the_process_are_told_to_the_owner(self) -> None:
        member = self.server.member
        member.owner = None
        member.election.owner_channel = mock.Mock()
        self.change(limits={"cpuShare": 0.5, "cores": 4})
        self.assertEqual(member.own_info.processor, 2.0)
        (call,) = member.election.owner_channel.send.call_args_list
        self.assertEqual(call.kwargs["greeting"].peer.processor, 2.0)


class FixedFieldTest(ReloadCase):
    """Fields that only a start can apply, and files without a change."""

    def test_the_operator_is_told_to_restart(self) -> None:
        listen = self.rows["listen"] | {"control": "127.0.0.1:7"}
        logged = self.change(
            node="entry-1", listen=listen, advice="127.0.0.1:4"
        )
        self.assertIn("settings_need_restart", logged)
        self.assertIn("'fields': 'listen,node'", logged)
        self.assertEqual(self.server.settings.node, "entry-0")
        self.assertEqual(self.server.member.settings.node, "entry-0")
        self.assertEqual(self.server.member.advisor.address, "127.0.0.1:4")

    def test_the_zone_is_only_named_in_the_log(self) -> None:
        self.assertIn("'changed': 'zone'", self.change(zone="zone-1"))

    def test_seeds_are_applied(self) -> None:
        self.change(seeds=["127.0.0.1:9"])
        self.assertEqual(self.server.member.settings.seeds, ["127.0.0.1:9"])

    def test_unknown_fields_and_lists_of_zones_change_nothing(self) -> None:
        self.write(zones={"zone-0": "r"}, region="r", another={"a": [1]})
        with self.assertNoLogs("hickoryreach_entry.cell", "INFO"):
            self.server.reload()

    def test_a_change_before_the_first_look_is_seen(self) -> None:
        self.write(advice="127.0.0.1:4")
        with mock.patch.object(server, "SETTINGS_POLL_S", 0.01):
            watch = gevent.spawn(self.server.watch_settings_file)
            self.addCleanup(watch.kill)
            gevent.sleep(0.2)
        self.assertEqual(self.server.member.advisor.address, "127.0.0.1:4")
