"""Measures the time without placements after an owner is lost.

Batches are submitted all the time; the gap is the longest time between two
starts on any worker around the loss. Store calls are counted over the gap.
"""

import sys
import tempfile
import threading
import time

from standins import cell
from standins import checker
from standins import load
from standins import samples

LOSSES = ("kill", "freeze", "terminate")
SETTLE_S = 4.0
WATCHED_S = 16.0
CALLERS = 4
TRIES = 3


class Stream:
    """Callers that submit short batches through the entries that answer."""

    def __init__(self, *, whole: cell.Cell) -> None:
        """Creates a stream that has not begun."""
        self.cell = whole
        self.ledger = load.Ledger()
        self.stopping = threading.Event()
        self.lost = -1
        self.threads = [
            threading.Thread(target=self.submit_forever, args=(caller,))
            for caller in range(CALLERS)
        ]

    def submit_forever(self, caller: int) -> None:
        """Submits one batch after another, past the lost entry."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            entries = [
                entry
                for index, entry in enumerate(self.cell.entries)
                if index != self.lost
            ]
            entry = entries[(caller + number) % len(entries)]
            work = load.Work(name=f"gap-{caller}-{number}")
            self.ledger.submit(entry.url, work, wait_ms=500)


def measure(loss: str) -> tuple[float, int]:
    """Returns the gap, in s, and the store calls within it."""
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(
            deployment=cell.Deployment(
                name="recovery", service="registry", workers=24, entries=6
            ),
            log_folder=folder,
        )
        try:
            whole.start()
            samples.write_lists(whole.store.url)
            whole.wait_until_ready()
            return lose_owner(whole, loss, folder)
        finally:
            whole.stop()


def lose_owner(whole: cell.Cell, loss: str, folder: str) -> tuple[float, int]:
    """Loses the owner under load and reads the gap from the records."""
    stream = Stream(whole=whole)
    for thread in stream.threads:
        thread.start()
    time.sleep(SETTLE_S)
    number = whole.find_owner()
    stream.lost = number
    began = time.monotonic()
    owner = whole.entries[number]
    {"kill": owner.kill, "freeze": owner.freeze, "terminate": owner.ask}[loss]()
    time.sleep(WATCHED_S)
    stream.stopping.set()
    for thread in stream.threads:
        thread.join()
    return read_gap(whole, began, folder)


def read_gap(whole: cell.Cell, began: float, folder: str) -> tuple[float, int]:
    """Returns the longest time between starts, and the calls within it."""
    starts = [
        line["at"]
        for line in checker.read_history(folder)
        if line["what"] == "start" and line["at"] > began - 1.0
    ]
    pairs = zip(starts, starts[1:], strict=False)
    length, first, last = max((b - a, a, b) for a, b in pairs)
    counts = cell.call("GET", f"{whole.store.url}/counts")[1]
    calls = sum(
        sum(kinds.values())
        for second, kinds in counts["calls_by_second"].items()
        if int(first) <= int(second) <= int(last)
    )
    return length, calls


def main() -> int:
    """Prints a row for each kind of loss."""
    print("| loss of the owner | no placements, s | store calls |")
    print("| --- | --- | --- |")
    for loss in LOSSES:
        rows = [measure(loss) for _ in range(TRIES)]
        gaps = ", ".join(f"{length:.2f}" for length, _ in rows)
        calls = ", ".join(str(count) for _, count in rows)
        print(f"| {loss} | {gaps} | {calls} |", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
