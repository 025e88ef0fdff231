"""Tests of calls to minions that answer badly."""

import socket
import time
import unittest

import gevent
import gevent.server

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import minions

HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 5\r\n\r\nwhole"


class MinionTest(unittest.TestCase):
    """One minion that answers with given bytes."""

    def setUp(self):
        self.answer = WHOLE
        self.received = 0
        self.server = gevent.server.StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.minions = minions.Minions()

    def serve(self, connection, address) -> None:
        """Answers one call, then closes the connection."""
        connection.recv(65_536)
        self.received += 1
        connection.sendall(self.answer)
        connection.shutdown(socket.SHUT_RDWR)

    def send(self, port: int = 0, valid_ms: int = 3_000, age_s: float = 0.0):
        """Sends one request."""
        return self.minions.send(
            jobs.Job(job_id="0.a", workspace="north", timeout_ms=2_000),
            b"{}",
            messages.Dispatch(
                job_id="0.a",
                attempt=1,
                worker_id="w1",
                address=f"127.0.0.1:{port or self.server.server_port}",
                term=1,
                valid_ms=valid_ms,
                connections=2,
            ),
            time.monotonic() - age_s,
        )

    def test_a_whole_answer_is_passed_on(self):
        answer = self.send()
        self.assertIs(answer.result, jobs.TaskResult.SUCCEEDED)
        self.assertEqual(answer.body, b"whole")

    def test_half_an_answer_is_none(self):
        for cut in (10, len(HEAD) + 4, len(WHOLE) - 2):
            with self.subTest(cut=cut):
                self.answer = WHOLE[:cut]
                answer = self.send()
                self.assertIs(answer.result, jobs.TaskResult.UNKNOWN)
                self.assertEqual(answer.body, b"")

    def test_an_answer_without_a_length_is_none(self):
        self.answer = HEAD + b"Connection: close\r\n\r\nwhole"
        self.assertIs(self.send().result, jobs.TaskResult.UNKNOWN)

    def test_a_chunked_answer_cut_short_is_none(self):
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        self.answer = head + b"5\r\nwhole\r\n"
        self.assertIs(self.send().result, jobs.TaskResult.UNKNOWN)
        self.answer += b"0\r\n\r\n"
        self.assertEqual(self.send().body, b"whole")

    def test_a_refused_connection_is_not_run(self):
        port = self.server.server_port
        self.server.stop()
        self.assertIs(self.send(port).result, jobs.TaskResult.NOT_RUN)

    def test_a_late_dispatch_is_not_sent(self):
        self.assertIs(self.send(age_s=2.5).result, jobs.TaskResult.NOT_RUN)
        self.assertEqual(self.received, 0)

    def test_a_stale_term_and_a_full_minion_are_not_run(self):
        for status in (b"409 Conflict", b"503 Full"):
            self.answer = (
                b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n"
            )
            self.assertIs(self.send().result, jobs.TaskResult.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
