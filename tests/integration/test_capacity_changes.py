"""Minions whose capacity shrinks and grows under running entries."""

import random
import time
import unittest

import gevent

from hickoryreach_entry.cell import fleet
from standins.users import cell
from standins.users import minions

TASK_CPU = 1_000
LARGE_CPU = 6_000
SMALL_CPU = 2_000
CONTACT_S = 3.0  # a registration is written at once here, without a heartbeat
WORK_MS = 400
LONG_MS = 60_000
TASKS = 2
LEAST_WAITING = 12
JOB_LIMIT_S = 30.0


class CapacityChangeCase(unittest.TestCase):
    """A cell with few minions and more jobs than they hold.

    Attributes:
        sizes: Capacities of each minion, with the time of each change in s.
        avoided: Entry to which no jobs are handed in, or None.
    """

    def setUp(self) -> None:
        """Starts a cell whose minions are large."""
        self.cell = cell.Cell(entry_count=3, minion_count=2)
        self.addCleanup(self.cell.close)
        self.sizes: dict[str, list[tuple[float, int]]] = {}
        for minion in self.cell.users.minions.values():
            self.resize(minion, LARGE_CPU)
        self.cell.wait_ready()
        self.jobs: list[str] = []
        self.avoided: cell.Entry | None = None

    def resize(self, minion: minions.Minion, cpu: int) -> None:
        """Changes a minion's capacity and registers it."""
        rows = self.sizes.setdefault(minion.minion_id, [])
        rows.append((time.monotonic(), cpu))
        minion.cpu = cpu
        self.cell.users.register(minion)

    def resize_all(self, cpu: int) -> None:
        """Changes the capacity of every minion."""
        for minion in self.cell.users.minions.values():
            self.resize(minion, cpu)

    def hand_in(
        self, jobs: int, work_ms: int = WORK_MS, **step: object
    ) -> None:
        """Hands jobs in at the running entries in turn."""
        for _ in range(jobs):
            running = [
                entry
                for entry in self.cell.entries
                if entry.process.poll() is None and entry is not self.avoided
            ]
            entry = running[len(self.jobs) % len(running)]
            self.jobs.append(
                self.cell.submit(
                    entry,
                    payload={"work_ms": work_ms},
                    **({"count": TASKS, "cpu": TASK_CPU} | step),
                )
            )

    def get_limit(self, minion_id: str, at_s: float) -> int:
        """Returns the largest capacity that may count at a moment.

        A larger one counts for CONTACT_S after it has shrunk.
        """
        rows = self.sizes[minion_id]
        ends = [began for began, _ in rows[1:]] + [float("inf")]
        return max(
            cpu
            for (began, cpu), ended in zip(rows, ends, strict=True)
            if began <= at_s and ended + CONTACT_S >= at_s
        )

    def find_overcommits(self) -> list[str]:
        """Returns starts that brought a minion above its capacity."""
        faults = []
        running: dict[str, set[tuple[str, int]]] = {}
        for each in self.cell.users.seen:
            present = running.setdefault(each.minion_id, set())
            if each.what == "end":
                present.discard((each.task, each.number))
            if each.what != "start":
                continue
            present.add((each.task, each.number))
            limit = self.get_limit(each.minion_id, each.at_s)
            if len(present) * TASK_CPU > limit:
                faults.append(
                    f"{each.minion_id} runs {len(present)} above {limit} "
                    f"at {each.at_s:.3f}"
                )
        return faults

    def count_running(self) -> int:
        """Returns the number of tasks that run."""
        return sum(len(each.runs) for each in self.cell.users.minions.values())

    def finish(self) -> None:
        """Waits for every job; checks that no start exceeded a capacity."""
        for job_id in self.jobs:
            self.cell.wait_for(
                lambda job_id=job_id: (
                    self.cell.get_state(job_id) == "completed"
                ),
                JOB_LIMIT_S,
            )
        self.assertEqual(self.find_overcommits(), [])

    def keep_busy(self, seconds: float, **step: object) -> None:
        """Hands jobs in for some time, so that tasks wait all the while."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if self.count_waiting() < LEAST_WAITING:
                self.hand_in(2, **step)
            gevent.sleep(0.1)

    def count_waiting(self) -> int:
        """Returns the number of handed in tasks that haven't started yet."""
        started = {
            each.task for each in self.cell.users.seen if each.what == "start"
        }
        return TASKS * len(self.jobs) - len(started)


class ShrinkTest(CapacityChangeCase):
    """Starts keep to what the minions say of themselves."""

    def begin(self) -> None:
        """Fills the minions beyond their later, smaller capacity."""
        self.hand_in(LEAST_WAITING)
        self.cell.wait_for(self.is_above_small)

    def is_above_small(self) -> bool:
        """Returns whether more runs than small minions hold."""
        minion_count = len(self.cell.users.minions)
        return self.count_running() * TASK_CPU > minion_count * SMALL_CPU

    def check_small(self) -> None:
        """Keeps small minions busy; checks that they hold no more."""
        self.keep_busy(CONTACT_S + 1.0)
        self.assertFalse(self.is_above_small())
        self.assertGreater(self.count_running(), 0)

    def test_a_smaller_capacity_is_kept_to_and_growth_is_used(self) -> None:
        self.begin()
        self.resize_all(SMALL_CPU)
        self.check_small()
        self.resize_all(LARGE_CPU)
        self.begin()
        self.finish()

    def test_a_new_owner_keeps_to_a_smaller_capacity(self) -> None:
        self.begin()
        self.cell.find_owner().kill()
        self.resize_all(SMALL_CPU)
        self.check_small()
        self.finish()

    def test_an_entry_that_expired_in_an_outage_comes_back_smaller(
        self,
    ) -> None:
        self.begin()
        users = self.cell.users
        users.store.faults.busy.add("*")
        users.gone.update(users.minions)
        gevent.sleep(1.0)
        for minion_id in users.minions:
            users.store.delete(f"servers/{minion_id}")
        users.store.faults.busy.clear()
        gevent.sleep(0.5)
        users.gone.clear()
        self.resize_all(SMALL_CPU)
        self.check_small()
        self.finish()


class StoreLostTest(CapacityChangeCase):
    """The store turns the owner away, and serves all others."""

    def test_an_owner_that_reads_no_registrations_starts_nothing(self) -> None:
        self.check_lost_by(self.cell.users.store.faults.busy)

    def test_an_owner_without_answers_starts_nothing(self) -> None:
        self.check_lost_by(self.cell.users.store.faults.silent)

    def check_lost_by(self, callers: set[str]) -> None:
        """Checks starts after the owner was added to the callers of a fault."""
        owner = self.cell.find_owner()
        self.hand_in(2, work_ms=LONG_MS)
        self.cell.wait_for(lambda: self.count_running() == 2 * TASKS)
        self.avoided = owner
        callers.add(owner.name)
        gevent.sleep(fleet.WATCH_WAIT_S + 0.2)
        self.resize_all(TASK_CPU)
        gevent.sleep(CONTACT_S + 0.5)
        self.hand_in(2, work_ms=LONG_MS)
        gevent.sleep(1.5)
        self.assertEqual(self.find_overcommits(), [])
        self.assertEqual(self.count_running(), 2 * TASKS)


class RandomChangesTest(CapacityChangeCase):
    """Capacities change all the while, with a new owner in between."""

    def test_random_changes_never_overcommit(self) -> None:
        draw = random.Random(24)
        for number in range(4):
            for minion in self.cell.users.minions.values():
                cpu = draw.choice((TASK_CPU, SMALL_CPU, 4_000, LARGE_CPU))
                self.resize(minion, cpu)
            if number == 2:
                self.cell.find_owner().kill()
            self.keep_busy(CONTACT_S + 1.5, gang=bool(number % 2))
        self.resize_all(LARGE_CPU)
        self.finish()
