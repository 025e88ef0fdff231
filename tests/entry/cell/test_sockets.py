"""Tests of the socket that is opened before the program is loaded."""

import pathlib
import socket
import tempfile
import unittest

from hickoryreach_entry.cell import sockets


class OpenFrontTest(unittest.TestCase):
    """Callers can connect before the server is started."""

    def write_settings(self, text: str) -> str:
        """Writes a settings file; returns its path."""
        folder = tempfile.TemporaryDirectory(prefix="hickoryreach-")
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name, "node.yaml")
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_accepts_a_connection_before_the_server_starts(self) -> None:
        path = self.write_settings(
            'ready:\n  front: "127.0.0.1:1"\n'
            'listen:\n  front: "127.0.0.1:0"\n  ready: "x"\n'
        )
        front = sockets.wrap_descriptor(sockets.open_front(path))
        self.addCleanup(front.close)
        caller = socket.create_connection(front.getsockname(), timeout=5)
        self.addCleanup(caller.close)

    def test_settings_without_an_address_open_nothing(self) -> None:
        for text in ("", "listen: 3", "listen:\n  front: 7", "- a", "{"):
            with self.subTest(text=text):
                self.assertIsNone(sockets.open_front(self.write_settings(text)))
        self.assertIsNone(sockets.open_front("/nowhere"))
        self.assertIsNone(sockets.wrap_descriptor(None))

    def test_an_address_in_use_opens_nothing(self) -> None:
        occupied = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(occupied.close)
        port = occupied.getsockname()[1]
        path = self.write_settings(f'listen:\n  front: "127.0.0.1:{port}"\n')
        self.assertIsNone(sockets.open_front(path))
