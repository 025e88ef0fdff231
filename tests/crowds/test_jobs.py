"""Jobs of as many steps as one may have, handed in one after the other."""

import secrets

from standins.crowds import gauge
from standins.users import cell
from tests.crowds import cases

STEPS = 1_000
JOBS = 60
FULL = 503
ACCEPTED = 200
STEP = {"count": 1, "cpu": 10, "memMb": 1, "estimateMs": 60_000}
CHAIN = [STEP] + [STEP | {"after": [number]} for number in range(STEPS - 1)]
BODY = {"spec": '{"work_ms": 60000}', "steps": CHAIN}


class LargeJobsTest(cases.CrowdCase):
    """A client with a key hands in jobs until none is accepted any more."""

    def hand_in(self, entry: cell.Entry, job_id: str) -> int:
        """Hands a job in; returns the status, or 0 without an answer."""
        try:
            status, _ = entry.call("POST", f"/runs/{job_id}", BODY)
        except OSError:
            return 0
        return status

    # Guards against accepted jobs that take the memory of every owner.
    def test_owners_stay_within_their_memory(self) -> None:
        accepted = []
        status = ACCEPTED
        for number in range(JOBS):
            job_id = secrets.token_hex(8)
            status = self.hand_in(self.cell.entries[number % 2], job_id)
            if status != ACCEPTED:
                break
            accepted.append(job_id)
        self.assertEqual(status, FULL)
        self.assertEqual(self.hand_in(self.struck, accepted[0]), ACCEPTED)
        self.check_memory(self.gauge)
        (other,) = [
            each for each in self.cell.entries if each is not self.struck
        ]
        next_gauge = gauge.Gauge(pid=other.process.pid, host=other.host)
        self.addCleanup(next_gauge.stop)
        self.struck.kill()
        self.cell.wait_for(lambda: self.cell.find_owner() is other)
        self.cell.wait_for(other.is_ready)
        self.wait(cases.LEAST_CROWD_S)
        self.assertIsNone(other.process.poll(), "the entry has ended")
        self.check_memory(next_gauge)
        self.assertEqual(self.hand_in(other, accepted[0]), ACCEPTED)

    def check_memory(self, sampled: gauge.Gauge) -> None:
        """Checks the most that a process has taken so far."""
        self.assertTrue(sampled.sample(), "the entry has ended")
        self.assertLessEqual(sampled.peak_memory_bytes, cases.MEMORY_BYTES)
