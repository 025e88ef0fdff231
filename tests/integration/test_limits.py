"""A workspace's upper limit over two shards, through faults."""

import time

from standins import load
from tests.integration import bounds
from tests.integration import cases

LIMIT = 4_000
LOWERED = 2_000


class LimitsTest(cases.CellCase):
    """No workspace has more running than its limit, over all shards."""

    workers = 6
    settings = {"shards": "2"}

    def submit_many(self, name: str, workspace: str) -> None:
        """Submits batches that spread over both shards."""
        works = [
            load.Work(
                name=f"{name}-{n}",
                workspace=workspace,
                tasks=3,
                run_ms=300,
                need={"cpu_millis": 1000, "memory_mb": 64},
            )
            for n in range(6)
        ]
        self.ledger.submit_all(self.trial.urls, works, wait_ms=0)

    def test_limit_holds_over_both_shards(self):
        self.trial.set_limit("small", cpu_millis=LIMIT)
        time.sleep(bounds.CONFIGURATION_S)
        self.submit_many("both", "east")
        self.assert_promises_hold()

    def test_limit_lowered_while_one_owner_dies(self):
        self.trial.set_limit("large", cpu_millis=LIMIT)
        time.sleep(bounds.CONFIGURATION_S)
        self.submit_many("lowered", "north")
        owner = self.trial.find_owner(shard=1)
        self.trial.set_limit("large", cpu_millis=LOWERED)
        self.cell.entries[owner].kill()
        self.submit_many("after-lowering", "north")
        self.assertEqual(self.trial.find_violations(), [])
        self.revive(owner)
