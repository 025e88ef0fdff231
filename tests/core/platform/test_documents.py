"""Tests of the parsing of documents and request bodies from outside."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies
from returns import result

from hickoryreach.platform import callers
from hickoryreach.platform import documents
from hickoryreach.platform import minions
from hickoryreach.structure import steps

REGISTRATION = {
    "service": "s",
    "address": "127.0.0.1:1",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 4000, "memMb": 100, "gpu": 1},
    "labels": ["a", "r1"],
    "born": 5,
}


class RegistrationTest(unittest.TestCase):
    """Valid and invalid registrations of minions."""

    def parse_with(self, extra: str) -> result.Result:
        """Parses a registration with further fields, given as JSON text."""
        text = json.dumps(REGISTRATION)[:-1]
        return documents.parse_minion(
            "servers/i-1", f"{text},{extra}}}".encode()
        )

    def parse(self, **changes):
        """Parses a registration with some fields changed."""
        document = {
            name: value
            for name, value in (REGISTRATION | changes).items()
            if value is not None
        }
        return documents.parse_minion(
            "servers/i-1", json.dumps(document).encode()
        )

    def test_valid_registration_is_parsed(self) -> None:
        minion = self.parse(state="draining").unwrap()
        self.assertEqual(minion.minion_id, "i-1")
        self.assertEqual(minion.capacity.memory_mb, 100)
        self.assertTrue(minion.draining)

    def test_the_time_until_a_minion_leaves_is_parsed(self) -> None:
        for text, expected in ((1_600, 1_600), (1_600.5, 1_600), (None, -1)):
            with self.subTest(text):
                minion = self.parse(remainingMs=text).unwrap()
                self.assertEqual(minion.remaining_ms, expected)

    def test_invalid_registrations_are_rejected(self) -> None:
        for changes in (
            {"state": "asleep"},
            {"state": None},
            {"address": 5},
            {"address": "127.0.0.1"},
            {"address": "127.0.0.1:"},
            {"address": "127.0.0.1:99999"},
            {"address": "minion:80"},
            {"capacity": {"cpu": -1}},
            {"capacity": "much"},
            {"capacity": {"cpu": "4000"}},
            {"service": None},
        ):
            with self.subTest(changes):
                self.assertIsInstance(self.parse(**changes), result.Failure)

    def test_numbers_out_of_range_are_rejected(self) -> None:
        digits = "9" * 400
        for number in ("1e400", "-1e400", digits, f"-{digits}", "NaN", "1e30"):
            for name in ("remainingMs", "born"):
                with self.subTest(name=name, number=number[:6]):
                    parsed = self.parse_with(f'"{name}":{number}')
                    self.assertIsInstance(parsed, result.Failure)
        for born in (-1, 2**63, 5.5):
            with self.subTest(born=born):
                self.assertIsInstance(self.parse(born=born), result.Failure)

    def test_numbers_and_fields_that_the_protocol_allows_are_kept(self) -> None:
        for extra in (
            '"remainingMs":0.5',
            '"remainingMs":-3',
            '"remainingMs":null',
            '"born":1764902400123',
            '"coldLeftMs":1e400,"another":{"seq":[]}',
        ):
            with self.subTest(extra):
                self.assertIsInstance(self.parse_with(extra), result.Success)

    def test_ports_are_plain_digits(self) -> None:
        for port in ("8_0", " 80", "80 ", "+80", "\u0668\u0660", "0", "-1"):
            with self.subTest(port):
                parsed = self.parse(address=f"127.0.0.1:{port}")
                self.assertIsInstance(parsed, result.Failure)

    def test_ipv6_addresses_need_brackets(self) -> None:
        self.assertIsInstance(self.parse(address="[::1]:80"), result.Success)
        for address in ("::1:80", "[127.0.0.1]:80", "[::1:80", "::1]:80"):
            with self.subTest(address):
                parsed = self.parse(address=address)
                self.assertIsInstance(parsed, result.Failure)

    def test_empty_and_absurdly_long_names_are_rejected(self) -> None:
        name = "x" * 100_000
        for changes in (
            {"service": ""},
            {"service": name},
            {"zone": name},
            {"machine": name},
            {"labels": ["a", name]},
            {"labels": ["a"] * 100_000},
        ):
            with self.subTest(list(changes)):
                self.assertIsInstance(self.parse(**changes), result.Failure)

    def test_ids_that_no_header_can_carry_are_rejected(self) -> None:
        data = json.dumps(REGISTRATION).encode()
        for minion_id in ("", "a\nb", "\u65e5"):
            with self.subTest(minion_id):
                parsed = documents.parse_minion(f"servers/{minion_id}", data)
                self.assertIsInstance(parsed, result.Failure)

    @given(strategies.binary(max_size=60))
    def test_arbitrary_bytes_are_no_registration(self, data: bytes) -> None:
        parsed = documents.parse_minion("servers/i", data)
        self.assertIsInstance(parsed, result.Failure)

    @given(strategies.binary(max_size=60))
    def test_arbitrary_bytes_are_no_configuration(self, data: bytes) -> None:
        parsed = documents.parse_configuration(data)
        self.assertIsInstance(parsed, result.Failure)


class ConfigurationTest(unittest.TestCase):
    """Configurations are valid as a whole or rejected as a whole."""

    def parse(self, route: str = "", tenant: str = "", other: str = ""):
        """Parses a configuration with some fields added as JSON text."""
        text = (
            '{"version":3,"routes":[{"name":"q","prefix":"/q/","service":"s"'
            + route
            + '}],"tenants":[{"name":"t","apiKeys":["k"]'
            + tenant
            + "}]"
            + other
            + "}"
        )
        return documents.parse_configuration(text.encode())

    def test_a_valid_configuration_is_parsed(self) -> None:
        found = self.parse(
            ',"advice":{"decideMs":380.5},"stretch":1.5',
            ',"weight":2.5,"ceiling":{"cpu":4000}',
            ',"limits":{"maxBodyBytes":1000},"another":[1e400]',
        ).unwrap()
        self.assertEqual(found.queues["q"].advice.call_ms, 380.5)
        self.assertEqual(found.workspaces["t"].keys, ("k",))
        self.assertEqual(found.body_limit, 1_000)

    def test_numbers_out_of_range_are_rejected(self) -> None:
        for number in ("1e400", "-1e400", "9" * 400, "1e30", "NaN"):
            for words in (
                {"route": f',"advice":{{"decideMs":{number}}}'},
                {"route": f',"advice":{{"decideMs":1,"periodMs":{number}}}'},
                {"route": f',"advice":{{"decideMs":1,"validMs":{number}}}'},
                {"route": f',"priority":{number}'},
                {"route": f',"attempts":{number}'},
                {"route": f',"stretch":{number}'},
                {"route": f',"targetLatencyMs":{number}'},
                {"tenant": f',"weight":{number}'},
                {"tenant": f',"ceiling":{{"cpu":{number}}}'},
                {"other": f',"limits":{{"maxBodyBytes":{number}}}'},
                {"other": f',"version":{number}'},
            ):
                with self.subTest(number=number[:6], words=str(words)[:60]):
                    parsed = self.parse(**words)
                    self.assertIsInstance(parsed, result.Failure)


class JobBodyTest(unittest.TestCase):
    """Jobs as callers submit them."""

    def parse(self, *rows: dict, **words):
        """Parses a job body with some rows of steps and further fields."""
        body = {"spec": "x", "steps": list(rows)} | words
        return callers.parse_job(json.dumps(body).encode())

    def test_omitted_fields_have_defaults(self) -> None:
        (row,) = self.parse({"count": 3, "cpu": 500}).unwrap().steps
        step = row.decode()
        self.assertEqual(step.count, 3)
        self.assertEqual(step.need.cpu_millis, 500)
        self.assertFalse(step.gang)

    def test_field_names_are_translated(self) -> None:
        (row,) = (
            self.parse(
                {
                    "savesProgress": True,
                    "sameRack": True,
                    "antiAffinity": 2,
                    "persistent": True,
                    "fills": True,
                    "mayMiss": 1,
                }
            )
            .unwrap()
            .steps
        )
        step = row.decode()
        self.assertEqual(
            (
                step.saves,
                step.same_rack,
                step.minion_limit,
                step.lasting,
                step.filler,
                step.away_limit,
            ),
            (True, True, 2, True, True, 1),
        )

    # Guards against jobs inside the limit of a body that take the memory of an
    # owner.
    def test_jobs_of_too_many_steps_are_rejected(self) -> None:
        limit = callers.STEPS_LIMIT
        for rows, words in (
            ([{}] * limit, {}),
            ([{}, {}], {"repeats": limit // 2}),
        ):
            self.assertIsInstance(self.parse(*rows, **words), result.Success)
        for rows, words in (
            ([{}] * (limit + 1), {}),
            ([{}] * 87_000, {}),
            ([{}, {}], {"repeats": limit // 2 + 1}),
        ):
            refused = self.parse(*rows, **words)
            self.assertIn(str(limit), refused.failure())

    def test_another_limit_of_steps_applies(self) -> None:
        body = json.dumps({"spec": "", "steps": [{}] * 3}).encode()
        self.assertIsInstance(callers.parse_job(body, 2), result.Failure)
        self.assertIsInstance(callers.parse_job(body, 3), result.Success)

    def test_invalid_jobs_are_rejected(self) -> None:
        for parsed in (
            self.parse(),
            self.parse({"count": 0}),
            self.parse({"after": [0]}),
            self.parse({}, {"after": [1]}),
            self.parse({}, spec="x" * 5_000),
            self.parse({"count": 60_000}, {"count": 60_000}),
            self.parse({"count": 2}, repeats=60_000),
            self.parse({"cpu": 10**30}),
            self.parse({}, firstRunMs=10**30),
            callers.parse_job(b'{"spec":"","steps":[{"estimateMs":1e999}]}'),
            callers.parse_job(b"\xff"),
        ):
            self.assertIsInstance(parsed, result.Failure)

    def test_task_name_round_trip(self) -> None:
        key = steps.TaskKey(job_id="5c0e", repeat=1, step=2, index=17)
        self.assertEqual(minions.parse_task(minions.format_task(key)), key)
