"""The whole path through separate processes."""

import unittest

from standins import cell
from standins import samples
from tests import cells


class PathTest(unittest.TestCase):
    """Work through any entry, placed, run once and answered."""

    def setUp(self):
        self.cell = cells.start_cell(
            cell.Deployment(
                name="small", service="registry", workers=4, entries=3
            ),
            self.addCleanup,
        )

    def test_batch_job_is_run_once_and_answered_through_each_entry(self):
        for number, entry in enumerate(self.cell.entries):
            status, answer = cell.call(
                "POST",
                f"{entry.url}/v1/jobs?wait_ms=8000",
                {
                    "request_id": f"r{number}",
                    "command": "issue",
                    "tasks": 3,
                    "need": {"cpu_millis": 500, "memory_mb": 64},
                },
                samples.caller_key("north"),
            )
            self.assertEqual(status, 200, answer)
            self.assertEqual(answer["state"], "succeeded")
        self.assertEqual(self.count_starts(), 9)

    def count_starts(self) -> int:
        """Returns the starts in the workers' own records."""
        return sum(
            line["what"] == "start"
            for worker in self.cell.workers
            for line in cell.call("GET", f"{worker.url}/history")[1]["history"]
        )


if __name__ == "__main__":
    unittest.main()
