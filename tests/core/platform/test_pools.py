"""Tests of pools of connections."""

import os
import resource
import unittest

from returns import result

from hickoryreach.platform import connections
from standins.users import servers

SELECT_LIMIT = 1_024  # descriptors that `select` takes


class DescriptorTest(unittest.TestCase):
    """A process with more open files than `select` takes."""

    def setUp(self) -> None:
        """Opens files until new descriptors are beyond the limit."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        needed = 2 * SELECT_LIMIT
        if soft < needed:
            resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))
            self.addCleanup(
                resource.setrlimit, resource.RLIMIT_NOFILE, (soft, hard)
            )
        last = os.open(os.devnull, os.O_RDONLY)
        self.addCleanup(os.close, last)
        while last < SELECT_LIMIT:
            last = os.dup(last)
            self.addCleanup(os.close, last)
        self.server = servers.serve(
            "127.0.0.1:0", lambda *words: (200, {"known": True})
        )
        self.addCleanup(self.server.stop, 0)

    def test_a_connection_beyond_it_stays_open(self) -> None:
        """Guards against starts that are never sent from a busy process."""
        connection = connections.Connection(
            address=f"127.0.0.1:{self.server.server_port}",
            kind="test",
            timeout_s=1.0,
            headers={},
        )
        self.addCleanup(connection.close)
        connection.call("POST", "/first", {})
        answer = connection.call_open("POST", "/second", {})
        self.assertIsInstance(answer, result.Success)
