"""Tests of what a failed HTTP call says about its effect."""

import socket
import unittest

import gevent
from gevent import server as gevent_server
from returns import result

from hickoryreach.platform import http


class LostAnswerTest(unittest.TestCase):
    """A server reads a request, closes the connection and is then gone."""

    def setUp(self) -> None:
        """Serves a first call, so that the connection is open."""
        self.requests: list[bytes] = []
        self.answers = 1
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.client = http.Client(
            address=f"127.0.0.1:{self.server.server_port}",
            kind="test",
            timeout_s=1.0,
            connections=2,
        )
        self.addCleanup(self.client.close)

    def serve(self, connection: socket.socket, _: object) -> None:
        """Answers a number of requests; closes the server at the next one."""
        while data := connection.recv(65_536):
            self.requests.append(data)
            if len(self.requests) > self.answers:
                self.server.close()
                connection.close()
                return
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            )

    def call(self) -> http.CallResult:
        """Makes one call that changes something."""
        with gevent.Timeout(5.0):
            return self.client.call("POST", "/kv-txn", {"puts": []})

    def test_an_executed_call_is_not_reported_as_without_effect(self) -> None:
        self.assertIsInstance(self.call(), result.Success)
        failure = self.call().failure()
        self.assertGreaterEqual(len(self.requests), 2)
        self.assertTrue(failure.effect_unknown)

    def test_an_ipv6_host_is_connected_to_without_its_brackets(self) -> None:
        client = http.Client(
            address="[::1]:80", kind="test", timeout_s=1.0, connections=1
        )
        self.assertEqual(client.http.host, "::1")

    def test_a_refused_connection_has_no_effect(self) -> None:
        self.server.close()
        failure = self.call().failure()
        self.assertFalse(failure.effect_unknown)
