"""Entries on the users' platform with tasks that crash their minions."""

import time
import unittest

import gevent

from standins.users import cell
from standins.users import checker
from standins.users import minions

DEADLY_LIMIT_S = 60.0
JOB_LIMIT_S = 30.0
GAP_S = 0.1
LEAST_JOBS = 20
TASKS = 2
MINIONS = 6
HIDDEN_CRASHES = (1, 2)


class MinionCrashCase(unittest.TestCase):
    """A cell with deadly jobs, and callers that hand in innocent ones.

    Attributes:
        cell: The cell.
        innocent: Ids of accepted jobs that do no harm.
    """

    def setUp(self) -> None:
        """Starts a cell."""
        self.cell = cell.Cell(entry_count=3, minion_count=MINIONS)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.innocent: list[str] = []

    def submit_deadly(self, **payload: object) -> str:
        """Hands in a job whose task crashes every minion."""
        return self.cell.submit(
            self.cell.entries[0], payload={"work_ms": 60_000} | payload
        )

    def count_crashes(self, job_id: str) -> int:
        """Returns how many minions have crashed under a job's only task."""
        return sum(
            each.how == minions.CRASHED and each.task.startswith(job_id)
            for each in self.cell.users.seen
        )

    def hand_in(self) -> None:
        """Hands in an innocent job at a running entry."""
        entry = next(
            each for each in self.cell.entries if each.process.poll() is None
        )
        try:
            self.innocent.append(
                self.cell.submit(entry, count=TASKS, payload={"work_ms": 400})
            )
        except (OSError, AssertionError):
            return

    def hand_in_until(self, is_done) -> None:
        """Hands in innocent jobs until something holds.

        Raises:
            TimeoutError: It did not hold in time.
        """
        deadline = time.monotonic() + DEADLY_LIMIT_S
        while not is_done():
            if time.monotonic() > deadline:
                raise TimeoutError(f"not so after {DEADLY_LIMIT_S} s")
            self.hand_in()
            gevent.sleep(GAP_S)

    def check(self, *deadly: str) -> None:
        """Waits for the end of every job; checks what has run."""
        try:
            self.hand_in_until(
                lambda: all(
                    self.cell.get_state(each) == "failed" for each in deadly
                )
            )
        finally:
            seen = self.cell.users.seen
            self.assertEqual(
                checker.find_starts_after_crashes(seen, deadly), []
            )
        for job_id in self.innocent:
            self.cell.wait_for(
                lambda job_id=job_id: (
                    self.cell.get_state(job_id) == "completed"
                ),
                JOB_LIMIT_S,
            )
        self.assertGreaterEqual(len(self.innocent), LEAST_JOBS)
        self.assertEqual(checker.find_starts_after_crashes(seen, deadly), [])
        self.assertEqual(
            checker.find_faults(seen, dict.fromkeys(self.innocent, TASKS)), []
        )


class MinionCrashTest(MinionCrashCase):
    """Tasks that crash the minions that start them are given up."""

    def test_minions_return_under_the_same_id(self) -> None:
        deadly = [self.submit_deadly(crashes="same") for _ in range(2)]
        self.check(*deadly)

    def test_minions_return_under_a_new_id(self) -> None:
        self.check(self.submit_deadly(crashes="new"))

    def test_starts_and_writes_are_not_answered(self) -> None:
        self.cell.users.store.faults.lost_share = 0.2
        self.check(self.submit_deadly(crashes="same", unanswered=True))

    def test_owner_is_killed_between_crashes(self) -> None:
        job_id = self.submit_deadly(crashes="same")
        self.hand_in_until(lambda: self.count_crashes(job_id) >= 3)
        self.cell.find_owner().kill()
        self.check(job_id)

    def test_owners_are_killed_as_minions_crash(self) -> None:
        job_id = self.submit_deadly(crashes="same")
        for count in HIDDEN_CRASHES:
            self.hand_in_until(
                lambda count=count: self.count_crashes(job_id) >= count
            )
            owner = self.cell.find_owner()
            owner.kill()
            self.cell.wait_for(
                lambda owner=owner: self.cell.find_owner() is not owner
            )
            owner.start()
        self.check(job_id)


class GangCrashTest(MinionCrashCase):
    """A gang one of whose minions crashes by itself."""

    members = 3

    def test_gang_is_completed_by_one_run_of_all_members(self) -> None:
        job_id = self.cell.submit(
            self.cell.entries[0],
            payload={"work_ms": 1_500, "members": self.members},
            count=self.members,
            gang=True,
            antiAffinity=1,
        )
        users = self.cell.users
        self.cell.wait_for(lambda: self.count_running() == self.members)
        minion = next(each for each in users.minions.values() if each.runs)
        minion.crash(minion.incarnation, "same")
        self.cell.wait_state(job_id, "completed")
        tasks = {job_id: self.members}
        self.assertEqual(checker.find_faults(users.seen, tasks), [])
        done = {each.number for each in users.seen if each.how == "done"}
        self.assertEqual(len(done), 1)

    def count_running(self) -> int:
        """Returns how many tasks all minions run."""
        return sum(
            len(minion.runs) for minion in self.cell.users.minions.values()
        )


del MinionCrashCase
