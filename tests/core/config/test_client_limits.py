"""Tests of the limits that follow from those of a machine."""

import unittest

from hickoryreach.config import client_limits
from hickoryreach.platform import node

MACHINES = ((300, 4_100), (200, 4_100), (384, 4_096), (552, 8_192))
CLIENTS_OF_A_LARGE_SITE = 500
SHARE_OF_MEMORY = 0.25
SHARE_OF_SOCKETS = 0.3


class ShareTest(unittest.TestCase):
    """What clients may take of machines of several sizes."""

    def test_clients_leave_most_to_the_process_itself(self) -> None:
        for memory_mb, max_fds in MACHINES:
            limits = client_limits.ClientLimits(
                memory_mb=memory_mb, max_fds=max_fds
            )
            connections = (
                limits.max_caller_connections
                + 2 * limits.max_check_connections
                + limits.max_new_peers
            )
            memory = limits.max_held_bytes + (
                limits.max_caller_connections
                * client_limits.BYTES_PER_CONNECTION
            )
            sockets = max_fds - client_limits.FILE_DESCRIPTORS
            with self.subTest(memory_mb):
                self.assertLessEqual(connections, SHARE_OF_SOCKETS * sockets)
                self.assertLessEqual(memory, SHARE_OF_MEMORY * memory_mb * 1e6)

    def test_ordinary_clients_all_find_a_place(self) -> None:
        for memory_mb, max_fds in MACHINES:
            limits = client_limits.ClientLimits(
                memory_mb=memory_mb, max_fds=max_fds
            )
            with self.subTest(memory_mb):
                self.assertGreaterEqual(
                    limits.max_caller_connections, CLIENTS_OF_A_LARGE_SITE
                )

    def test_a_tiny_machine_has_some_places(self) -> None:
        limits = client_limits.ClientLimits(memory_mb=1, max_fds=1)
        self.assertEqual(
            limits.max_caller_connections, client_limits.LEAST_CONNECTIONS
        )


class LimitsRowTest(unittest.TestCase):
    """The limits in the platform's settings file."""

    def test_limits_of_the_machine_are_read(self) -> None:
        row = node.LimitsRow.model_validate(
            {"memoryMb": 200, "maxFds": 8_192, "maxHeadBytes": 10_000}
        )
        self.assertEqual(row.memory_mb, 200)
        self.assertEqual(row.max_fds, 8_192)
        self.assertEqual(row.max_head_bytes, 10_000)

    def test_an_absent_or_empty_limit_has_its_default(self) -> None:
        for empty in ({}, {"memoryMb": None, "maxFds": 0}):
            with self.subTest(empty):
                row = node.LimitsRow.model_validate(empty)
                self.assertEqual(row.memory_mb, client_limits.DEFAULT_MEMORY_MB)
                self.assertEqual(row.max_fds, client_limits.DEFAULT_MAX_FDS)
