"""A cell under a crowd, and what must hold meanwhile and afterwards."""

import time
import unittest

import gevent

from standins.crowds import gauge
from standins.crowds import launch
from standins.users import cell

LIMITS = cell.Limits(memory_mb=128, max_fds=824)
MEMORY_BYTES = LIMITS.memory_mb * 1_000_000
CROWD_S = 40.0
LEAST_CROWD_S = 5.0
ANSWER_LIMIT_S = 20.0
RETRY_PAUSE_S = 0.1
JOB_LIMIT_S = 30.0
ABSENT_JOB = "/runs/00000000000000ff"
POLL_S = 0.05


class CrowdCase(unittest.TestCase):
    """A cell of two entries, one of which meets a crowd.

    Attributes:
        cell: The cell, on machines of small limits.
        struck: The entry that the crowd connects to; it owns the cell.
        gauge: Measures the struck entry.
    """

    def setUp(self) -> None:
        """Starts a cell."""
        self.cell = cell.Cell(entry_count=2, limits=LIMITS)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.struck = self.cell.find_owner()
        self.gauge = gauge.Gauge(
            pid=self.struck.process.pid, host=self.struck.host
        )
        self.addCleanup(self.gauge.stop)

    def check_crowd(
        self,
        kind: str,
        *,
        connections: int,
        port: int = cell.FRONT_PORT,
    ) -> None:
        """Checks that the struck entry serves callers in and after a crowd."""
        crowd = launch.start(
            kind,
            self.struck,
            connections=connections,
            seconds=CROWD_S,
            port=port,
        )
        self.addCleanup(launch.end, crowd)
        begun_at = time.monotonic()
        self.wait(LEAST_CROWD_S)
        self.assert_answered("while the crowd sends")
        self.assertIsNone(crowd.poll(), "the crowd has ended too early")
        self.wait(begun_at + LEAST_CROWD_S - time.monotonic())
        launch.end(crowd)
        self.assert_answered("after the crowd")
        self.gauge.stop()
        self.assertIsNone(self.struck.process.poll(), "the entry has ended")
        self.assertLessEqual(self.gauge.peak_memory_bytes, MEMORY_BYTES)
        self.assertLessEqual(self.gauge.peak_descriptors, LIMITS.max_sockets)
        job_id = self.cell.submit(self.struck)
        self.cell.wait_for(
            lambda: self.cell.get_state(job_id) == "completed", JOB_LIMIT_S
        )

    def wait(self, seconds: float) -> None:
        """Lets time pass, and the stand-ins serve."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            gevent.sleep(POLL_S)

    def assert_answered(self, moment: str) -> None:
        """Checks that a caller who tries again is answered.

        The limit is that of a caller who gives up, not a measure of speed.
        """
        deadline = time.monotonic() + ANSWER_LIMIT_S
        while time.monotonic() < deadline:
            try:
                status, _ = self.struck.call("GET", ABSENT_JOB)
            except OSError:
                status = 0
            if status == 410:
                return
            gevent.sleep(RETRY_PAUSE_S)
        self.fail(f"no answer {moment}")
