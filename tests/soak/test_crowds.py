"""Tests of the soak's judge of an entry under a crowd."""

import types
import unittest

from soak import crowds


class ExcessTest(unittest.TestCase):
    """What an entry takes is compared with what its machine has."""

    def find(self, **changes: object) -> list[str]:
        """Returns what is found of an entry within its limits, but for this."""
        seen = {
            "returncode": None,
            "peak_memory_bytes": crowds.MEMORY_BYTES,
            "peak_descriptors": crowds.LIMITS.max_sockets,
        } | changes
        process = types.SimpleNamespace(poll=lambda: seen["returncode"])
        return crowds.find_excesses(
            types.SimpleNamespace(process=process),
            types.SimpleNamespace(**seen),
        )

    def test_an_entry_within_its_limits_is_right(self) -> None:
        self.assertEqual(self.find(), [])

    def test_each_excess_is_found(self) -> None:
        for changes in (
            {"returncode": 1},
            {"peak_memory_bytes": crowds.MEMORY_BYTES + 1},
            {"peak_descriptors": crowds.LIMITS.max_sockets + 1},
        ):
            with self.subTest(changes):
                self.assertEqual(len(self.find(**changes)), 1)
