"""Settings of the entry server."""

import os
import unittest
from unittest import mock

from hickoryreach_entry.commands import show_settings
from hickoryreach_entry.config import settings as entry_settings

MINIMAL = {"name": "entry-0", "failure_domain": "a"}


class SettingsTest(unittest.TestCase):
    """Flags before variables, and every fault at once."""

    def test_flags_go_before_variables(self):
        variables = {
            "HICKORYREACH_HTTP_PORT": "9000",
            "HICKORYREACH_SHARDS": "4",
        }
        with mock.patch.dict(os.environ, variables):
            loaded = entry_settings.load({**MINIMAL, "http_port": "9001"})
        settings = loaded.unwrap()
        self.assertEqual((settings.http_port, settings.shards), (9001, 4))

    def test_every_fault_names_flag_and_variable(self):
        flags = {"http_port": "0", "grant_ms": "1000", "log_level": "loud"}
        faults = "\n".join(entry_settings.load(flags).failure())
        for name in (
            "name",
            "failure-domain",
            "http-port",
            "sync-ms",
            "log-level",
        ):
            variable = name.replace("-", "_").upper()
            self.assertIn(f"--{name} (HICKORYREACH_{variable}): ", faults)

    def test_grant_too_short_for_any_request_is_a_fault(self):
        flags = {**MINIMAL, "grant_ms": "1200", "sync_ms": "300"}
        faults = entry_settings.load(flags).failure()
        self.assertEqual(len(faults), 1)
        self.assertIn("raise --grant-ms", faults[0])

    def test_shown_settings_hide_the_first_operator_s_hash(self):
        flags = {**MINIMAL, "first_operator_hash": "ab" * 32}
        settings = entry_settings.load(flags).unwrap()
        lines = "\n".join(show_settings.describe(settings))
        self.assertNotIn("abab", lines)
        self.assertIn("--http-port=8080  HICKORYREACH_HTTP_PORT", lines)


if __name__ == "__main__":
    unittest.main()
