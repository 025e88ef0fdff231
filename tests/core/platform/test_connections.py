"""Tests of connections that calls may be forbidden to open."""

import unittest

import gevent
from returns import result

from hickoryreach.platform import connections
from hickoryreach.platform import http
from standins.users import servers


class ConnectionTest(unittest.TestCase):
    """A connection to a server that can end it."""

    def setUp(self) -> None:
        """Serves calls and counts them."""
        self.paths: list[str] = []

        def answer(method, path, words, body, environ):
            self.paths.append(path)
            return 200, {}

        self.server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(self.server.stop, 0)
        self.connection = connections.Connection(
            address=f"127.0.0.1:{self.server.server_port}",
            kind="test",
            timeout_s=1.0,
            headers={},
        )
        self.addCleanup(self.connection.close)

    def call_open(self) -> http.CallResult:
        """Calls over the open connection only."""
        return self.connection.call_open("POST", "/open", {})

    def check_unsent(self) -> None:
        """Checks that a call over the open connection is not sent."""
        failure = self.call_open().failure()
        self.assertTrue(failure.not_connected)
        self.assertFalse(failure.effect_unknown)
        self.assertNotIn("/open", self.paths)

    def test_nothing_is_sent_before_a_connection_is_open(self) -> None:
        self.check_unsent()

    def test_calls_go_over_the_connection_that_is_open(self) -> None:
        self.connection.call("POST", "/any", {})
        self.assertIsInstance(self.call_open(), result.Success)
        self.assertEqual(self.paths, ["/any", "/open"])
        self.assertEqual(len(self.server.connections), 1)

    def test_nothing_is_sent_once_the_server_has_ended_it(self) -> None:
        self.connection.call("POST", "/any", {})
        self.server.disconnect()
        gevent.sleep(0.05)
        self.check_unsent()

    def test_nothing_is_sent_once_it_was_closed_here(self) -> None:
        self.connection.call("POST", "/any", {})
        self.connection.disconnect()
        self.check_unsent()

    def test_a_call_that_may_open_one_follows_a_call_that_may_not(
        self,
    ) -> None:
        self.check_unsent()
        answer = self.connection.call("POST", "/any", {})
        self.assertIsInstance(answer, result.Success)
