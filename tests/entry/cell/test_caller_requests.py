"""Tests of odd deadlines and bodies of callers' requests."""

import io
import tracemalloc
import unittest

import falcon
from falcon import testing
from gevent import socket
import gevent.pywsgi

from hickoryreach_entry.cell import caller_requests
from tests.entry import http_servers

LIMIT_BYTES = 100
SMALL_CHUNKS = 100_000
MEMORY_FACTOR = 4
ODD_DEADLINES = ("²", "-5", "1.5", "1e3", "x", "", "9" * 5_000, "٣")


class DeadlineTest(unittest.TestCase):
    """The header tells how long a caller waits."""

    def get_s(self, text: str) -> float:
        """Returns the deadline that a header's text tells."""
        req = testing.create_req(
            headers={caller_requests.DEADLINE_HEADER: text}
        )
        return caller_requests.get_deadline_s(req)

    def test_a_whole_number_counts(self) -> None:
        self.assertEqual(self.get_s("1500"), 1.5)

    # Guards against an answer of 500 for a header that only looks like one.
    def test_an_odd_one_counts_as_absent(self) -> None:
        for text in ODD_DEADLINES:
            with self.subTest(text[:5]):
                self.assertEqual(
                    self.get_s(text),
                    caller_requests.DEADLINE_DEFAULT_MS / 1000,
                )


class BodyTest(unittest.TestCase):
    """Bodies with a stated length, and in chunks."""

    def setUp(self) -> None:
        """Serves the size of each body, or 413."""
        app = falcon.App()
        app.add_sink(self.answer, prefix="/")
        self.server = http_servers.build(app, max_body_bytes=LIMIT_BYTES)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def answer(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the body."""
        data = caller_requests.read_body(req, LIMIT_BYTES)
        if data is None:
            resp.status = falcon.HTTP_413
        else:
            resp.data = data

    def send(self, header: str, body: bytes) -> tuple[str, bytes]:
        """Sends one request; returns the status and the body of the answer."""
        address = ("127.0.0.1", self.server.server_port)
        with socket.create_connection(address, timeout=5.0) as connection:
            head = f"POST / HTTP/1.1\r\nHost: h\r\n{header}\r\n"
            head += "Connection: close\r\n\r\n"
            connection.sendall(head.encode() + body)
            connection.shutdown(socket.SHUT_WR)
            data = b"".join(iter(lambda: connection.recv(4_096), b""))
        head, _, answer = data.partition(b"\r\n\r\n")
        return head.split(b" ")[1].decode(), answer

    def send_chunks(self, *chunks: bytes) -> tuple[str, bytes]:
        """Sends a body in chunks."""
        parts = [b"%x\r\n%s\r\n" % (len(each), each) for each in chunks]
        body = b"".join(parts) + b"0\r\n\r\n"
        return self.send("Transfer-Encoding: chunked", body)

    def test_a_body_with_a_length_is_read(self) -> None:
        answer = self.send("Content-Length: 3", b"abc")
        self.assertEqual(answer, ("200", b"abc"))

    # Guards against a sound job that is answered 400.
    def test_a_body_in_chunks_is_read(self) -> None:
        answer = self.send_chunks(b"abc", b"defg")
        self.assertEqual(answer, ("200", b"abcdefg"))

    def test_a_body_that_is_too_large_is_refused(self) -> None:
        large = b"x" * (LIMIT_BYTES + 1)
        self.assertEqual(self.send_chunks(large)[0], "413")
        header = f"Content-Length: {len(large)}"
        self.assertEqual(self.send(header, large)[0], "413")

    def test_malformed_chunks_count_as_empty(self) -> None:
        answer = self.send("Transfer-Encoding: chunked", b"zz\r\nabc")
        self.assertEqual(answer, ("200", b""))


class SmallChunksTest(unittest.TestCase):
    """A body in chunks of two bytes."""

    # Guards against memory of many times the body, in each connection.
    def test_it_takes_little_more_memory_than_its_content(self) -> None:
        chunks = SMALL_CHUNKS * b"2\r\nab\r\n" + b"0\r\n\r\n"
        environ = testing.create_environ(
            method="POST", headers={"Transfer-Encoding": "chunked"}
        )
        environ["wsgi.input"] = gevent.pywsgi.Input(
            io.BufferedReader(io.BytesIO(chunks)), None, chunked_input=True
        )
        request = falcon.Request(environ)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = caller_requests.read_body(request, 2 * SMALL_CHUNKS)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertEqual(len(body), 2 * SMALL_CHUNKS)
        self.assertLess(peak_bytes, MEMORY_FACTOR * len(body))
