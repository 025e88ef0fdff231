"""The start script of the users' platform, as a process."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import unittest

from standins.users import cell

SCRIPT = pathlib.Path(__file__).parents[2] / "deploy" / "entry.py"
REQUEST = (
    "GET /runs/00000000000000ff HTTP/1.1\r\n"
    "Host: ledger.example\r\n"
    "Authorization: Token key-of-hydro\r\n"
    "Connection: close\r\n\r\n"
)
CONNECT_LIMIT_S = 10.0


class StartTest(unittest.TestCase):
    """Signals and callers that come while an entry starts."""

    def setUp(self) -> None:
        """Starts the script as one more entry of a cell."""
        self.cell = cell.Cell(entry_count=1)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.entry = cell.Entry(
            users=self.cell.users,
            index=1,
            folder=pathlib.Path(self.cell.folder.name),
        )
        self.process = subprocess.Popen(
            [sys.executable, str(SCRIPT)],
            env=os.environ
            | {"HICKORYREACH_CONFIG": str(self.entry.settings_path)},
            stdout=subprocess.DEVNULL,
        )
        self.entry.process = self.process
        self.cell.entries.append(self.entry)

    def connect(self) -> socket.socket:
        """Returns a connection, made as soon as one is taken."""
        deadline = time.monotonic() + CONNECT_LIMIT_S
        while True:
            try:
                return socket.create_connection(
                    (self.entry.host, cell.FRONT_PORT), timeout=10
                )
            except ConnectionRefusedError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.005)

    def test_a_caller_is_answered_though_the_entry_is_stopped(self) -> None:
        caller = self.connect()
        self.addCleanup(caller.close)
        caller.sendall(REQUEST.encode())
        self.process.send_signal(signal.SIGHUP)
        self.process.send_signal(signal.SIGTERM)
        answer = caller.makefile("rb").read()
        self.assertIn(b"HTTP/1.1 410", answer)
        self.assertEqual(self.process.wait(timeout=15), 0)
