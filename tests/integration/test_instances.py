"""Departing minions, and an instance list that is stale, empty or wrong."""

import time

from standins import cell
from standins import load
from tests.integration import bounds
from tests.integration import cases


class InstanceListTest(cases.CellCase):
    """The list may lag and lie; work goes on and nothing runs twice."""

    def tearDown(self):
        self.cell.store.control(instances="true")

    def submit_requests(self, name: str, count: int = 12) -> list:
        """Submits requests at the same time."""
        works = [
            load.Work(name=f"{name}-{n}", kind="request") for n in range(count)
        ]
        return self.ledger.submit_all(self.trial.urls, works)

    def test_departing_minion_receives_nothing_new(self):
        url = f"{self.cell.store.url}/v1/health/service/worker"
        rows = [row["Service"] for row in cell.call("GET", url)[1]]
        row = next(row for row in rows if row["ID"] == "worker-3")
        row["Meta"]["departing"] = "true"
        register = f"{self.cell.store.url}/v1/agent/service/register"
        cell.put(register, row)
        time.sleep(bounds.DEPARTING_S)
        left = time.monotonic()
        self.submit_requests("departing", 40)
        work = load.Work(name="departing-batch", tasks=40)
        self.ledger.submit(self.trial.urls[0], work)
        begun = [
            line["worker"]
            for line in self.trial.history()
            if line["what"] in ("start", "request") and line["at"] > left
        ]
        self.assertTrue(begun)
        self.assertNotIn("worker-3", begun)
        row["Meta"]["departing"] = "false"
        cell.put(register, row)
        self.assert_promises_hold()

    def test_stale_empty_and_wrong_list(self):
        for mode in ("stale", "empty", "wrong"):
            with self.subTest(mode):
                self.cell.store.control(instances=mode)
                time.sleep(3.0)
                answers = self.submit_requests(mode)
                states = {answer.body.get("state") for answer in answers}
                self.assertEqual(states, {"succeeded"})
                self.cell.store.control(instances="true")
                self.assert_promises_hold()
