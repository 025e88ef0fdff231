"""Entries that another writer leaves among the registrations."""

import json
import unittest

from standins.users import cell
from standins.users import platform

DEPTH = 100_000
DIGITS = "9" * 400
PORT = 8080
JOB_LIMIT_S = 20.0


class OddEntriesTest(unittest.TestCase):
    """A cell with odd registrations, before and after sound ones."""

    def setUp(self) -> None:
        """Starts a cell and leaves odd entries."""
        self.cell = cell.Cell(entry_count=3, minion_count=2)
        self.addCleanup(self.cell.close)
        users = self.cell.users
        self.address = users.add_server(
            f"127.{users.block}.3.200:{PORT}", self.answer_nonsense
        )
        self.leave_odd_entries()
        self.cell.wait_ready()

    def leave_odd_entries(self) -> None:
        """Writes odd entries; one names a server that answers nonsense."""
        sound = json.dumps(
            {
                "service": platform.SERVICE,
                "address": self.address,
                "zone": "zone-0",
                "state": "ready",
                "capacity": {"cpu": 16_000, "memMb": 32_768},
                "labels": ["a", "r1-0"],
            }
        )[:-1]
        for number, text in enumerate(
            (
                f'{sound},"remainingMs":-1e400}}',
                f'{sound},"remainingMs":-{DIGITS}}}',
                f'{sound},"born":{DIGITS}}}',
                f'{sound},"another":' + "[" * DEPTH + "]" * DEPTH + "}",
                f"{sound}}}".replace(f":{PORT}", ":99999"),
                f"{sound}}}".replace('"ready"', '"asleep"'),
                f"{sound}}}",
                "[" * DEPTH,
                "\x00",
                "",
            )
        ):
            for name in ("a-odd", "z-odd"):
                self.cell.users.store.put(
                    f"servers/{name}-{number}", text.encode()
                )

    def answer_nonsense(self, method, path, words, body, environ):
        """Answers each call with numbers that no order can carry."""
        return 200, {
            "clockMs": 10**30,
            "born": 1,
            "running": [],
            "finished": [],
        }

    def run_jobs(self, jobs: int, **step: object) -> None:
        """Hands jobs in at running entries; waits until they are completed."""
        running = [
            entry for entry in self.cell.entries if entry.process.poll() is None
        ]
        for number in range(jobs):
            job_id = self.cell.submit(running[number % len(running)], **step)
            self.cell.wait_for(
                lambda job_id=job_id: (
                    self.cell.get_state(job_id) == "completed"
                ),
                JOB_LIMIT_S,
            )

    def test_sound_minions_are_used_over_a_takeover(self) -> None:
        self.run_jobs(3)
        self.cell.users.add_minion("i-90", 90)
        self.run_jobs(1, count=3, cpu=10_000, payload={"work_ms": 1_000})
        used = {each.minion_id for each in self.cell.users.seen}
        self.assertEqual(used, {"i-00", "i-01", "i-90"})
        owner = self.cell.find_owner()
        owner.kill()
        self.leave_odd_entries()
        self.run_jobs(3)
        self.assertEqual(
            [
                entry.name
                for entry in self.cell.entries
                if entry.process.poll() is not None
            ],
            [owner.name],
        )
