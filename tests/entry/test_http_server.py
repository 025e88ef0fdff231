"""Tests of the limits on clients of an HTTP server."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import unittest
from unittest import mock

import gevent
from gevent import event as gevent_event
from gevent import socket
import prometheus_client

from hickoryreach_entry import http_connections
from hickoryreach_entry import http_refusals
from hickoryreach_entry import http_server
from tests.entry import http_servers

LIMIT_S = 5.0
SHORT_S = 0.1
REFUSALS = "hickoryreach_http_refusals_total"
PAGE_BYTES = 2_000_000
BODY_BYTES = 1_000
HEAD_BYTES = 4_096
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
START = b"GET /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


class ServerCase(unittest.TestCase):
    """A server whose application answers with the body of the request.

    Attributes:
        paths: Paths of the requests that it was called for.
        methods: Their methods.
        gate: The application answers `/held` once this is set.
    """

    def setUp(self) -> None:
        """Prepares the application; starts nothing."""
        self.paths: list[str] = []
        self.methods: list[str] = []
        self.gate = gevent_event.Event()
        self.server: http_server.HttpServer | None = None

    def serve(self, **options: float) -> None:
        """Starts a server with these limits."""
        self.server = http_servers.build(self.answer, **options)
        self.server.start()
        self.addCleanup(self.server.stop, 0)
        self.addCleanup(self.gate.set)

    def answer(self, environ: dict, start_response) -> list[bytes]:
        """Answers one request."""
        self.paths.append(environ["PATH_INFO"])
        self.methods.append(environ["REQUEST_METHOD"])
        if environ["PATH_INFO"] == "/held":
            self.gate.wait(LIMIT_S)
        body = b""
        if environ["PATH_INFO"] == "/read":
            with contextlib.suppress(OSError):
                body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/page":
            body = bytes(PAGE_BYTES)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    @contextlib.contextmanager
    def connect(self, *parts: bytes) -> Iterator[socket.socket]:
        """Connects and sends; the connection ends with the block."""
        address = ("127.0.0.1", self.server.server_port)
        with socket.create_connection(address, timeout=LIMIT_S) as connection:
            for part in parts:
                connection.sendall(part)
            yield connection

    def exchange(self, *parts: bytes, half_close: bool = False) -> bytes:
        """Sends and returns all that comes until the connection ends."""
        with self.connect(*parts) as connection:
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            return read_to_end(connection)

    def get_status(self, *parts: bytes) -> int:
        """Sends and returns the status of the first answer."""
        with self.connect(*parts) as connection:
            return read_status(connection)

    def wait(self, is_done: Callable[[], object]) -> None:
        """Waits until a condition holds."""
        with gevent.Timeout(LIMIT_S):
            while not is_done():
                gevent.sleep(0.005)

    def count(self, reason: http_refusals.Reason) -> float:
        """Returns how many refusals of a reason were counted."""
        labels = {"listener": "test", "reason": str(reason)}
        return (
            prometheus_client.REGISTRY.get_sample_value(REFUSALS, labels) or 0
        )


def read_to_end(connection: socket.socket) -> bytes:
    """Returns all that comes; a reset counts as an end."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := connection.recv(65_536):
            data += part
    return data


def read_status(connection: socket.socket) -> int:
    """Returns the status of one answer; 0 if there is none."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while b"\r\n\r\n" not in data:
            part = connection.recv(65_536)
            if not part:
                break
            data += part
    return int(data.split(b" ")[1]) if data else 0


def build_head(size: int) -> bytes:
    """Returns a head of a size in bytes."""
    rest = size - len(START) - len(b"A: \r\n\r\n")
    return START + b"A: " + b"a" * rest + b"\r\n\r\n"


class HeadTest(ServerCase):
    """Heads that are large, slow, cut off or malformed."""

    def test_a_head_of_the_greatest_size_is_served(self) -> None:
        self.serve(max_head_bytes=HEAD_BYTES)
        self.assertEqual(self.get_status(build_head(HEAD_BYTES)), 200)

    def test_a_larger_head_is_refused_and_counted(self) -> None:
        self.serve(max_head_bytes=HEAD_BYTES)
        before = self.count(http_refusals.Reason.HEAD_TOO_LARGE)
        parts = [START, *30 * [b"A: " + b"a" * 1_000 + b"\r\n"]]
        self.assertEqual(self.get_status(*parts), 431)
        after = self.count(http_refusals.Reason.HEAD_TOO_LARGE)
        self.assertEqual(after, before + 1)
        self.assertEqual(self.paths, [])

    def test_a_long_target_is_refused(self) -> None:
        self.serve()
        self.assertEqual(self.get_status(b"GET /" + b"a" * 9_000), 414)

    def test_a_malformed_head_is_refused(self) -> None:
        self.serve()
        self.assertEqual(self.get_status(b"a b c d\r\n\r\n"), 400)
        self.assertEqual(self.get_status(b"\r\n" * 10), 400)
        self.assertEqual(self.get_status(START + b"A: b\r\n" * 200), 400)

    # Guards against a request that runs though its head was cut off.
    def test_a_head_that_is_cut_off_does_not_run(self) -> None:
        self.serve()
        for part in (START, START + b"A: b", b"GET /x", b"GET /x HTTP/1.1"):
            with self.subTest(part):
                self.assertEqual(self.exchange(part, half_close=True), b"")
        self.assertEqual(self.paths, [])

    def test_a_slow_head_is_refused(self) -> None:
        self.serve(head_timeout_s=SHORT_S)
        self.assertEqual(self.get_status(START), 408)

    def test_an_idle_connection_is_closed_without_an_answer(self) -> None:
        self.serve(idle_timeout_s=SHORT_S)
        self.assertEqual(self.exchange(), b"")
        with self.connect(GET) as connection:
            self.assertTrue(read_to_end(connection).startswith(b"HTTP/1.1 200"))

    def test_lines_of_refusals_are_few(self) -> None:
        self.serve()
        with self.assertLogs(http_refusals.log, logging.INFO) as logs:
            for _ in range(20):
                self.get_status(b"a b c d\r\n\r\n")
        self.assertLess(len(logs.records), 20)


class BodyTest(ServerCase):
    """Bodies that are unwanted, slow or endless."""

    def test_an_unwanted_body_leaves_the_connection_open(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES)
        head = START + b"Content-Length: 5\r\n\r\n"
        with self.connect(head + b"abcde" + GET) as connection:
            self.wait(lambda: len(self.paths) == 2)
            self.assertEqual(read_status(connection), 200)

    def test_an_endless_body_ends_the_connection(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES)
        head = START + b"Content-Length: 99999999\r\n\r\n"
        with self.connect(head) as connection:
            self.send_without_end(connection, b"a" * 1_000)

    def test_endless_trailers_end_the_connection(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES)
        with self.connect(CHUNKED + b"1\r\na\r\n0\r\n") as connection:
            self.send_without_end(connection, b"a: b\r\n" * 100)

    def test_endless_small_chunks_end_the_connection(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES)
        with self.connect(CHUNKED) as connection:
            self.send_without_end(connection, b"1\r\na\r\n" * 100)

    def send_without_end(self, connection: socket.socket, data: bytes) -> None:
        """Sends until the other side closes the connection."""
        with gevent.Timeout(LIMIT_S), contextlib.suppress(ConnectionError):
            while True:
                connection.sendall(data)

    def test_a_slow_body_ends_the_connection(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES, body_timeout_s=SHORT_S)
        head = b"POST /read HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
        answer = self.exchange(head + b"ab")
        self.assertIn(b"Connection: close", answer)

    def test_a_body_that_is_asked_for_is_read(self) -> None:
        self.serve(max_body_bytes=BODY_BYTES)
        head = b"POST /read HTTP/1.1\r\nContent-Length: 5\r\n"
        head += b"Expect: 100-continue\r\nConnection: close\r\n\r\n"
        with self.connect(head) as connection:
            self.assertEqual(read_status(connection), 100)
            connection.sendall(b"abcde")
            self.assertTrue(read_to_end(connection).endswith(b"abcde"))


class AnswerTest(ServerCase):
    """Answers that nobody reads, and requests one behind the other."""

    def test_a_client_that_reads_no_answer_is_closed(self) -> None:
        self.serve(answer_timeout_s=SHORT_S)
        before = self.count(http_refusals.Reason.ANSWER_NOT_TAKEN)
        with self.connect(b"GET /page HTTP/1.1\r\n\r\n" * 20):
            self.wait(
                lambda: (
                    self.count(http_refusals.Reason.ANSWER_NOT_TAKEN) > before
                )
            )
            self.wait(lambda: not self.server.table.connections)

    def test_others_run_between_requests_of_one_connection(self) -> None:
        self.serve()
        with self.connect(GET * 200) as connection:
            reading = gevent.spawn(read_to_end, connection)
            passes = 0
            while len(self.paths) < 200:
                passes += 1
                gevent.sleep(0.0005)
            reading.kill()
        self.assertGreater(passes, 20)


class PlaceTest(ServerCase):
    """More connections than there are places."""

    def test_the_longest_waiting_gives_its_place(self) -> None:
        self.serve(max_connections=2)
        with self.connect(START) as first, self.connect(START) as second:
            self.wait(lambda: len(self.server.table.connections) == 2)
            self.assertEqual(self.get_status(GET), 200)
            self.assertEqual(read_to_end(first), b"")
            second.sendall(b"\r\n")
            self.assertEqual(read_status(second), 200)

    def test_a_served_client_keeps_its_place_before_newcomers(self) -> None:
        self.serve(max_connections=2)
        with self.connect(GET) as served, self.connect() as newcomer:
            self.assertEqual(read_status(served), 200)
            self.wait(lambda: len(self.server.table.connections) == 2)
            self.assertEqual(self.get_status(GET), 200)
            self.assertEqual(read_to_end(newcomer), b"")
            served.sendall(GET)
            self.assertEqual(read_status(served), 200)

    def test_a_request_that_is_being_answered_is_not_cut_off(self) -> None:
        self.serve(max_connections=1)
        with self.connect(b"GET /held HTTP/1.1\r\n\r\n") as held:
            self.wait(lambda: self.paths)
            self.assertIn(b"Retry-After: 1", self.exchange())
            self.gate.set()
            self.assertEqual(read_status(held), 200)

    def test_places_are_free_again(self) -> None:
        self.serve(max_connections=2)
        for _ in range(10):
            self.assertEqual(self.get_status(GET), 200)
        self.wait(lambda: not self.server.table.connections)

    # Guards against a request that runs though its connection was closed.
    def test_nothing_runs_once_the_place_is_lost(self) -> None:
        self.serve(max_connections=1, max_body_bytes=BODY_BYTES)
        body = b"1\r\na\r\n0\r\n\r\n"
        with mock.patch.object(http_connections, "TURN_PAUSE_S", SHORT_S):
            with self.connect(CHUNKED + body):
                self.wait(lambda: self.server.table.share.turns.waiting)
                self.assertEqual(self.get_status(GET), 200)
            gevent.sleep(2 * SHORT_S)
        self.assertEqual(self.methods, ["GET"])


class MemoryTest(ServerCase):
    """More bytes under way than all requests may hold."""

    def test_the_largest_request_is_given_up(self) -> None:
        self.serve(max_held_bytes=20_000, max_body_bytes=100_000)
        head = b"POST /read HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
        with self.connect(head + b"a" * 15_000) as large:
            self.wait(lambda: self.server.table.share.held_bytes >= 15_000)
            small = b"POST /read HTTP/1.1\r\nContent-Length: 6000\r\n\r\n"
            self.assertEqual(self.get_status(small + b"a" * 6_000), 200)
            self.assertEqual(read_to_end(large), b"")

    def test_a_request_larger_than_all_may_hold_is_refused(self) -> None:
        self.serve(max_held_bytes=20_000, max_body_bytes=100_000)
        before = self.count(http_refusals.Reason.MEMORY)
        head = b"POST /read HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
        self.exchange(head + b"a" * 50_000)
        after = self.count(http_refusals.Reason.MEMORY)
        self.assertEqual(after, before + 1)

    def test_nothing_is_held_after_the_answers(self) -> None:
        self.serve()
        with self.connect(GET) as connection:
            self.assertEqual(read_status(connection), 200)
            self.wait(lambda: not self.server.table.share.held_bytes)
