"""Requests that hand a job in after its cancellation was acknowledged."""

import json
import secrets
import signal
import socket
import unittest

import gevent

from standins.users import cell
from standins.users import platform

CALLER_WAIT_S = 3.0
SETTLE_S = 3.0
WORK_MS = 100
NO_JOB = 410


class LateHandInTest(unittest.TestCase):
    """The job must not run, whichever way the request comes late."""

    def setUp(self) -> None:
        """Starts a cell and draws the id of a job."""
        self.cell = cell.Cell(entry_count=3, minion_count=2)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.cell.wait_for(self.cell.find_owner)
        self.owner = self.cell.find_owner()
        self.others = [
            each for each in self.cell.entries if each is not self.owner
        ]
        self.job_id = secrets.token_hex(8)

    def send_post(self, entry: cell.Entry) -> socket.socket:
        """Hands the job in; returns the connection, without an answer."""
        step = {"count": 2, "cpu": 1_000, "estimateMs": WORK_MS}
        spec = json.dumps({"work_ms": WORK_MS})
        body = json.dumps({"spec": spec, "steps": [step]}).encode()
        head = (
            f"POST /runs/{self.job_id} HTTP/1.1\r\n"
            f"Host: {platform.HOST}\r\n"
            f"Authorization: Token {platform.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection = socket.create_connection((entry.host, cell.FRONT_PORT))
        self.addCleanup(connection.close)
        connection.sendall(head.encode() + body)
        return connection

    def cancel(self, entry: cell.Entry) -> None:
        """Cancels the job, which no entry knows."""
        status, _ = entry.call("DELETE", f"/runs/{self.job_id}")
        self.assertEqual(status, NO_JOB)

    def check_nothing_runs(self) -> None:
        """Waits; no task of the job may start, and no job is shown."""
        gevent.sleep(SETTLE_S)
        self.assertEqual(self.cell.users.starts, {})
        for entry in self.cell.entries:
            status, _ = entry.call("GET", f"/runs/{self.job_id}")
            self.assertEqual(status, NO_JOB)

    def check_frozen(self, entry: cell.Entry, other: cell.Entry) -> None:
        """Lets a paused entry take the request once it goes on."""
        entry.signal(signal.SIGSTOP)
        connection = self.send_post(entry)
        gevent.sleep(CALLER_WAIT_S)
        connection.close()
        self.cell.wait_for(lambda: self.cell.find_owner() is not entry)
        self.cell.wait_for(other.is_ready)
        self.cancel(other)
        entry.signal(signal.SIGCONT)
        self.check_nothing_runs()

    # Guards against a job that a paused entry stores after its cancellation.
    def test_a_follower_is_frozen(self) -> None:
        self.check_frozen(self.others[0], self.others[1])

    def test_the_owner_is_frozen(self) -> None:
        self.check_frozen(self.owner, self.others[0])

    # Guards against a repeat of the request that stores the job.
    def test_a_client_repeats_the_request(self) -> None:
        self.cancel(self.others[0])
        connection = self.send_post(self.others[1])
        answer = connection.recv(4_096).decode().split(" ")[1]
        self.assertEqual(answer, str(NO_JOB))
        self.check_nothing_runs()

    def test_every_entry_is_killed_in_between(self) -> None:
        self.cancel(self.others[0])
        for entry in self.cell.entries:
            entry.kill()
            entry.start()
        self.cell.wait_ready()
        self.send_post(self.owner).recv(4_096)
        self.check_nothing_runs()
