"""Tests of the socket that is opened before the rest is loaded."""

import pathlib
import socket
import tempfile
import unittest

from hickoryreach_entry.cell import sockets


class OpenFrontTest(unittest.TestCase):
    """Callers may connect before the server is there."""

    def write(self, text: str) -> str:
        """Writes a settings file; returns its path."""
        folder = tempfile.TemporaryDirectory(prefix="hickoryreach-")
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "node.yaml")
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_a_caller_connects_and_waits(self) -> None:
        path = self.write(
            'ready:\n  front: "127.0.0.1:1"\n'
            'listen:\n  front: "127.0.0.1:0"\n  ready: "x"\n'
        )
        front = sockets.wrap_descriptor(sockets.open_front(path))
        self.addCleanup(front.close)
        caller = socket.create_connection(front.getsockname(), timeout=5)
        self.addCleanup(caller.close)

    def test_a_file_that_tells_no_address_opens_nothing(self) -> None:
        for text in ("", "listen: 3", "listen:\n  front: 7", "- a", "{"):
            with self.subTest(text=text):
                self.assertIsNone(sockets.open_front(self.write(text)))
        self.assertIsNone(sockets.open_front("/nowhere"))
        self.assertIsNone(sockets.wrap_descriptor(None))

    def test_an_address_that_is_taken_opens_nothing(self) -> None:
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        port = taken.getsockname()[1]
        path = self.write(f'listen:\n  front: "127.0.0.1:{port}"\n')
        self.assertIsNone(sockets.open_front(path))
