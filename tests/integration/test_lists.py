"""Operators racing on one list, through every entry at once."""

import concurrent.futures
import re
import threading
import time
import urllib.request

from standins import cell
from standins import samples
from tests.integration import bounds
from tests.integration import cases

ROUNDS = 8
REVISION = re.compile(r'hickoryreach_list_revision\{list="plans"\} ([\d.]+)')


def read_revision(url: str) -> int:
    """Returns the revision of the plans in force at an entry."""
    with urllib.request.urlopen(f"{url}/metrics", timeout=5) as reply:
        return int(float(REVISION.search(reply.read().decode()).group(1)))


class Poller(threading.Thread):
    """Reads each entry's revision again and again.

    Attributes:
        fallen: Entries whose revision became lower, with both.
    """

    def __init__(self, urls: list[str]) -> None:
        """Creates a poller that has not begun."""
        super().__init__()
        self.urls = urls
        self.newest = dict.fromkeys(urls, 0)
        self.fallen: list[tuple[str, int, int]] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Polls until stopped."""
        while not self.stopping.wait(0.05):
            for url in self.urls:
                found = read_revision(url)
                if found < self.newest[url]:
                    self.fallen.append((url, self.newest[url], found))
                self.newest[url] = max(found, self.newest[url])


class RacingOperatorsTest(cases.CellCase):
    """One change wins each race, and every entry comes to have it."""

    def put(self, url: str, document: dict, revision: int) -> tuple[int, dict]:
        """Sets the plans on top of a revision through one entry."""
        return cell.call(
            "PUT",
            f"{url}/v1/lists/plans?revision={revision}",
            document,
            samples.OPERATOR_KEY,
        )

    def race(self, number: int) -> int:
        """Sets another document through each entry; returns the revision."""
        listed = self.trial.get_list("plans")
        documents = []
        for entry in range(self.entries):
            document = {**listed["document"]}
            plan = {"workspace": f"w{number}-{entry}", "plan": "small"}
            document["plans"] = [*document["plans"], plan]
            documents.append(document)
        urls = [entry.url for entry in self.cell.entries]
        with concurrent.futures.ThreadPoolExecutor(self.entries) as pool:
            answers = list(
                pool.map(
                    lambda pair: self.put(*pair, listed["revision"]),
                    zip(urls, documents, strict=True),
                )
            )
        statuses = sorted(status for status, _ in answers)
        self.assertEqual(statuses, [200, 409, 409], answers)
        return listed["revision"] + 1

    def test_one_change_wins_and_is_in_force_everywhere(self):
        urls = [entry.url for entry in self.cell.entries]
        before = self.trial.get_list("plans")["revision"]
        poller = Poller(urls)
        poller.start()
        try:
            for number in range(ROUNDS):
                revision = self.race(number)
                accepted = time.monotonic()
                cases.wait_until(
                    lambda revision=revision: all(
                        read_revision(url) >= revision for url in urls
                    )
                )
                self.assertLess(
                    time.monotonic() - accepted, bounds.CONFIGURATION_S
                )
        finally:
            poller.stopping.set()
            poller.join()
        self.assertEqual(poller.fallen, [])
        status, audit = cell.call(
            "GET", f"{urls[0]}/v1/audit/plans", key=samples.OPERATOR_KEY
        )
        self.assertEqual(status, 200)
        made = [
            row for row in audit["changes"] if row["from_revision"] >= before
        ]
        self.assertEqual(len(made), ROUNDS)

    def test_change_whose_answer_from_the_store_was_lost(self):
        listed = self.trial.get_list("plans")
        plan = {"workspace": "lost-answer", "plan": "small"}
        document = {**listed["document"]}
        document["plans"] = [*document["plans"], plan]
        self.cell.store.control(lose_answers=True)
        status, answer = self.put(
            self.cell.entries[0].url, document, listed["revision"]
        )
        self.cell.store.control(lose_answers=False)
        told = (status, answer.get("ran"))
        self.assertIn(told, ((200, None), (504, "unknown")), answer)
        cases.wait_until(
            lambda: all(
                read_revision(entry.url) == listed["revision"] + 1
                for entry in self.cell.entries
            ),
            bounds.CONFIGURATION_S,
        )
