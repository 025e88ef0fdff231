"""One seed of the soak: a cell, callers and faults that overlap."""

from collections.abc import Iterable
import itertools
import random
import time

import gevent
from gevent import pool

from soak import crowds
from soak import faults
from soak import waits
from standins import proxy
from standins.users import cell
from standins.users import checker
from standins.users import platform

TASKS = 2
TASK_CPU = 1_000
SIZE = checker.TaskSize(workspace=platform.WORKSPACE, cpu=TASK_CPU)
SETTLE_S = 40.0
STALE_LIMIT_S = 5.0  # in which an earlier owner ends, after all trouble
STALE_WATCH_S = 2.0
HAND_IN_GAP_S = 0.08
CANCEL_EACH = 9
CANCELLED_LATER_STEPS = 4
CANCEL_DELAY_S = 1.5  # most, from the hand-in
CANCEL_LIMIT_S = 3.0  # from its answer to the last start
ANSWERED = (200, 410)
LABEL_EACH = 4
STRIKES_AT_ONCE = 2


class Soak:
    """One seed: a cell, callers, and faults that overlap.

    Attributes:
        accepted: Ids of accepted jobs that nobody cancels.
        cancelled: Ids of jobs that were cancelled.
        answered_at: When these cancellations were answered, by job, on the
            monotonic clock in s.
        refused: Ids of jobs of which each hand-in was refused.
        labels: Labels that jobs require, by job.
        has_kinds: Whether minions are of several kinds and jobs require them.
        seed: Seed of what is drawn.
        struck: Faults in the order in which they began.
        found: What the faults themselves have found wrong.
        settled_at: When all trouble had ended, on the monotonic clock in s.
    """

    def __init__(
        self,
        *,
        seed: int,
        entries: int,
        minions: int,
        names: Iterable[str] = tuple(faults.faults),
        module: str = cell.MODULE,
    ) -> None:
        """Starts a cell.

        Args:
            seed: Seed of what is drawn.
            entries: Number of entries.
            minions: Number of minions.
            names: Faults to draw from.
            module: What each entry runs.
        """
        self.seed = seed
        self.generator = random.Random(seed)
        self.network = proxy.Network()
        self.cell = cell.Cell(
            entry_count=entries,
            minion_count=minions,
            network=self.network,
            module=module,
            limits=crowds.LIMITS,
        )
        self.names = sorted(names)
        self.accepted: list[str] = []
        self.cancelled: list[str] = []
        self.answered_at: dict[str, float] = {}
        self.cancels = random.Random(f"{seed}/cancels")
        self.refused: list[str] = []
        self.labels: dict[str, str] = {}
        self.struck: list[str] = []
        self.found: list[str] = []
        self.callers = pool.Group()
        self.stopping = False
        self.settled_at = 0.0
        self.has_kinds = faults.change_kind.__name__ in self.names
        if self.has_kinds:
            faults.assign_kinds(self.cell.users)

    def run(self, seconds: float) -> list[str]:
        """Runs callers and faults, waits for calm; returns what is wrong."""
        self.cell.wait_ready()
        callers = gevent.spawn(self.hand_in)
        struck: set[str] = set()
        strikes = [
            gevent.spawn(self.strike, number, struck)
            for number in range(STRIKES_AT_ONCE)
        ]
        gevent.sleep(seconds)
        self.stopping = True
        gevent.joinall([callers, *strikes])
        self.callers.join()
        self.network.set_rules([])
        self.settled_at = time.monotonic()
        return [*self.found, *self.find_unfinished(), *self.find_faults()]

    def strike(self, number: int, struck: set[str]) -> None:
        """Brings about one fault after another."""
        trouble = faults.Trouble(
            whole=self.cell,
            network=self.network,
            generator=random.Random(f"{self.seed}/{number}"),
            struck=struck,
        )
        while not self.stopping:
            trouble.wait(0.1, 1.5)
            name = trouble.generator.choice(self.names)
            self.struck.append(name)
            faults.faults[name](trouble)
            self.found += trouble.found
            trouble.found = []

    def hand_in(self) -> None:
        """Hands jobs in at every entry in turn; cancels some."""
        for number in itertools.count():
            if self.stopping:
                return
            entry = self.cell.entries[number % len(self.cell.entries)]
            self.callers.spawn(self.hand_one_in, entry, number)
            gevent.sleep(HAND_IN_GAP_S)

    def hand_one_in(self, entry: cell.Entry, number: int) -> None:
        """Hands one job in."""
        job_id = f"{self.generator.getrandbits(64):016x}"
        work_ms = self.generator.choice([50, 300, 1_500])
        step = {"count": TASKS, "cpu": TASK_CPU}
        if self.has_kinds and number % LABEL_EACH == 0:
            label = faults.KINDS[number // LABEL_EACH % len(faults.KINDS)]
            self.labels[job_id] = step["requires"] = label
        later_steps = 0
        if number % CANCEL_EACH == 0:
            later_steps = CANCELLED_LATER_STEPS
            self.cancelled.append(job_id)
            self.callers.spawn(self.cancel, job_id)
        try:
            status = self.cell.submit_as(
                entry,
                job_id,
                {"work_ms": work_ms},
                later_steps=later_steps,
                **step,
            )
        except OSError:
            return
        if status in (429, 503):
            self.refused.append(job_id)
        if status == 200 and number % CANCEL_EACH:
            self.accepted.append(job_id)

    def cancel(self, job_id: str) -> None:
        """Cancels a job at any entry and any moment of its hand-in."""
        gevent.sleep(self.cancels.uniform(0.0, CANCEL_DELAY_S))
        entry = self.cancels.choice(self.cell.entries)
        try:
            status, _ = entry.call("DELETE", f"/runs/{job_id}")
        except OSError:
            return
        if status in ANSWERED:
            self.answered_at[job_id] = time.monotonic()

    def find_unfinished(self) -> list[str]:
        """Returns the accepted jobs that wait or are not completed in time."""
        deadline = time.monotonic() + SETTLE_S
        left = list(self.accepted)
        judge = waits.Judge(
            whole=self.cell,
            labels=self.labels,
            tasks=TASKS,
            task_cpu=TASK_CPU,
        )
        while left and time.monotonic() < deadline:
            judge.watch(left)
            left = [
                job_id
                for job_id in left
                if self.cell.get_state(job_id) != "completed"
            ]
            gevent.sleep(0.2)
        return [
            *judge.found.values(),
            *(
                f"{job_id} is {self.cell.get_state(job_id) or 'unknown'}"
                for job_id in left
            ),
        ]

    def find_faults(self) -> list[str]:
        """Returns what minions have run and must not have."""
        stale_since = self.settled_at + STALE_LIMIT_S
        watched_until = stale_since + STALE_WATCH_S
        gevent.sleep(max(0.0, watched_until - time.monotonic()))
        seen = self.cell.users.seen
        begun = {each.task.split(".", 1)[0] for each in seen}
        completed = dict.fromkeys(self.accepted, TASKS)
        capacity = next(iter(self.cell.users.minions.values())).cpu
        return [
            *checker.find_faults(seen, completed),
            *checker.find_misplaced(seen, self.labels),
            *checker.find_late_starts(seen, self.answered_at, CANCEL_LIMIT_S),
            *checker.find_stale_tokens(self.cell.users.fenced, stale_since),
            *checker.find_overcommits(seen, TASK_CPU, capacity),
            *checker.find_limit_breaches(
                seen, dict.fromkeys(begun, SIZE), self.cell.users.limits
            ),
            *(
                f"{job_id} ran though its hand-in was refused"
                for job_id in self.refused
                if job_id in begun
            ),
        ]

    def show_logs(self) -> None:
        """Prints every entry's log."""
        for entry in self.cell.entries:
            print(f"--- {entry.name}")
            print(entry.log_path.read_text(encoding="utf-8"))
