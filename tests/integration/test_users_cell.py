"""Entries on the stand-in of the users' platform, under failure."""

import itertools
import signal
import time
import unittest

import gevent

from standins.users import cell
from standins.users import checker
from standins.users import platform

TASKS = 2
JOB_LIMIT_S = 20.0
LEAST_JOBS = 11


class UsersCellCase(unittest.TestCase):
    """A cell with callers that hand jobs in all the while.

    Attributes:
        cell: The cell.
        accepted: Ids of accepted jobs.
        refused: Answers to hand-ins that were not accepted.
    """

    entry_count = 3

    def setUp(self) -> None:
        """Starts a cell."""
        self.cell = cell.Cell(entry_count=self.entry_count)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.accepted: list[str] = []
        self.refused: list[str] = []

    def hand_in(self, seconds: float, gap_s: float = 0.05) -> None:
        """Hands jobs in at every running entry in turn."""
        deadline = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() > deadline:
                return
            running = [
                entry
                for entry in self.cell.entries
                if entry.process.poll() is None
            ]
            entry = running[number % len(running)]
            try:
                job_id = self.cell.submit(
                    entry, count=TASKS, payload={"work_ms": 300}
                )
                self.accepted.append(job_id)
            except (OSError, AssertionError) as error:
                self.refused.append(f"{entry.name}: {error}")
            gevent.sleep(gap_s)

    def check(self) -> None:
        """Waits for every accepted job; checks what has run.

        Jobs are handed in until enough were accepted, as a busy machine may
        not come to that many in a test's time.
        """
        deadline = time.monotonic() + JOB_LIMIT_S
        while len(self.accepted) < LEAST_JOBS and time.monotonic() < deadline:
            self.hand_in(0.2)
        for job_id in self.accepted:
            self.cell.wait_for(
                lambda job_id=job_id: (
                    self.cell.get_state(job_id) == "completed"
                ),
                JOB_LIMIT_S,
            )
        faults = checker.find_faults(
            self.cell.users.seen, dict.fromkeys(self.accepted, TASKS)
        )
        self.assertEqual(faults, [])
        self.assertGreaterEqual(len(self.accepted), LEAST_JOBS)

    def get_longest_gap_s(self, begun_at: float) -> float:
        """Returns the longest time without a start since a moment."""
        times = [
            each.at_s
            for each in self.cell.users.seen
            if each.what == "start" and each.at_s >= begun_at
        ]
        moments = [begun_at, *times]
        return max(
            later - earlier for earlier, later in itertools.pairwise(moments)
        )


class OwnerTest(UsersCellCase):
    """The owner is lost in several ways."""

    def test_owner_is_killed(self) -> None:
        self.hand_in(0.7)
        killed_at = time.monotonic()
        self.cell.find_owner().kill()
        self.hand_in(2.0)
        gap_s = self.get_longest_gap_s(killed_at)
        self.check()
        self.assertLess(gap_s, 0.5)

    def test_owner_is_stopped_gracefully(self) -> None:
        self.hand_in(0.7)
        owner = self.cell.find_owner()
        working = gevent.spawn(self.hand_in, 1.2)
        owner.signal(signal.SIGTERM)
        working.join()
        self.assertEqual(owner.wait(), 0)
        self.check()
        self.assertEqual(
            [row for row in self.refused if not row.startswith(owner.name)], []
        )

    def test_owner_freezes_and_wakes(self) -> None:
        self.hand_in(0.7)
        owner = self.cell.find_owner()
        others = [each for each in self.cell.entries if each is not owner]
        frozen_at = time.monotonic()
        owner.signal(signal.SIGSTOP)
        self.cell.entries, whole = others, self.cell.entries
        self.hand_in(3.5)
        gap_s = self.get_longest_gap_s(frozen_at)
        owner.signal(signal.SIGCONT)
        self.hand_in(1.5)
        self.cell.entries = whole
        self.check()
        self.assertLess(gap_s, 2.0)

    def test_every_entry_is_killed_at_once(self) -> None:
        self.hand_in(0.7)
        for entry in self.cell.entries:
            entry.process.kill()
        for entry in self.cell.entries:
            entry.wait()
            entry.start()
        self.cell.wait_ready()
        self.hand_in(0.7)
        self.check()

    def test_owner_alone_is_turned_away_by_the_store(self) -> None:
        self.hand_in(0.7)
        owner = self.cell.find_owner()
        self.cell.users.store.faults.busy.add(owner.name)
        self.hand_in(1.0)
        self.cell.wait_for(lambda: self.cell.find_owner() is not owner, 5.0)
        self.cell.users.store.faults.busy.clear()
        self.check()

    def test_an_owner_that_has_just_taken_over_is_stopped(self) -> None:
        self.hand_in(0.7)
        self.cell.find_owner().kill()
        self.cell.wait_for(
            lambda: self.cell.find_owner().process.poll() is None
        )
        owner = self.cell.find_owner()
        stopped_at = time.monotonic()
        owner.signal(signal.SIGTERM)
        self.hand_in(1.5)
        gap_s = self.get_longest_gap_s(stopped_at)
        self.check()
        self.assertLess(gap_s, 0.5)


class CutOffTest(UsersCellCase):
    """Single entries lose the store."""

    def list_others(self, *entries: cell.Entry) -> list[cell.Entry]:
        """Returns the other entries."""
        return [each for each in self.cell.entries if each not in entries]

    def test_an_entry_that_the_store_turns_away_finds_the_next_owner(
        self,
    ) -> None:
        self.hand_in(0.7)
        owner = self.cell.find_owner()
        entry = self.list_others(owner)[0]
        self.cell.users.store.faults.busy.add(entry.name)
        owner.kill()
        self.cell.wait_for(
            lambda: self.cell.find_owner().process.poll() is None, 5.0
        )
        self.cell.wait_for(entry.is_ready, 3.0)
        job_id = self.cell.submit(entry, count=TASKS)
        self.cell.wait_state(job_id, "completed")
        self.cell.users.store.faults.busy.clear()
        self.check()

    def test_an_entry_without_store_and_owner_refuses_at_once(self) -> None:
        entry = self.cell.entries[0]
        others = self.list_others(entry)
        self.cell.users.store.faults.busy.add(entry.name)
        for each in others:
            each.kill()
        self.cell.wait_for(lambda: not entry.is_ready(), 3.0)
        begun_at = time.monotonic()
        status = self.cell.submit_as(entry, "00000000000000ab", {})
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - begun_at, 0.5)
        self.cell.users.store.faults.busy.clear()
        for each in others:
            each.start()
        self.cell.wait_ready()
        self.hand_in(1.5)
        self.check()
        self.assertFalse(
            any(
                each.task.startswith("00000000000000ab")
                for each in self.cell.users.seen
            )
        )


class StoreTest(UsersCellCase):
    """The store is down, slow or forgetful for all."""

    def test_work_goes_on_while_the_store_is_down(self) -> None:
        self.hand_in(0.7)
        owner = self.cell.find_owner()
        begun = len(self.cell.users.seen)
        self.cell.users.store.faults.busy.add("*")
        self.hand_in(2.0)
        self.cell.users.store.faults.busy.clear()
        self.assertGreater(len(self.cell.users.seen), begun)
        self.assertIs(self.cell.find_owner(), owner)
        self.hand_in(0.7)
        self.check()

    def test_answers_are_lost(self) -> None:
        self.cell.users.store.faults.lost_share = 0.2
        self.hand_in(6.0)
        self.cell.users.store.faults.lost_share = 0.0
        self.check()

    def test_history_is_forgotten(self) -> None:
        self.hand_in(0.7)
        self.cell.users.store.forget_history()
        self.cell.users.configure(version=9, targetLatencyMs=2_000)
        self.cell.users.store.forget_history()
        self.hand_in(0.7)
        self.check()


class MinionTest(UsersCellCase):
    """Minions fall silent, leave, or carry orders out late."""

    def test_minion_is_silent_for_a_while(self) -> None:
        self.hand_in(0.7)
        minion = self.cell.users.minions["i-00"]
        minion.silent = True
        self.hand_in(1.0)
        minion.silent = False
        self.hand_in(0.7)
        self.check()

    def test_owner_is_killed_while_a_registration_is_gone(self) -> None:
        self.hand_in(1.5)
        users = self.cell.users
        job_id = self.cell.submit(
            self.cell.entries[0], count=4, payload={"work_ms": 2_500}
        )
        key = f"{job_id}.0.0.0"
        self.cell.wait_for(lambda: self.find_minion(key), 2.0)
        minion_id = self.find_minion(key)
        users.gone.add(minion_id)
        users.store.delete(f"servers/{minion_id}")
        self.cell.find_owner().kill()
        gevent.sleep(2.0)
        users.gone.discard(minion_id)
        self.cell.wait_state(job_id, "completed")
        self.check()
        starts = [
            each
            for each in users.seen
            if each.what == "start" and each.task.startswith(job_id)
        ]
        self.assertEqual(len(starts), 4)

    def find_minion(self, key: str) -> str:
        """Returns the minion that runs a task, or an empty text."""
        return next(
            (
                minion_id
                for minion_id, minion in self.cell.users.minions.items()
                if any(run.task == key for run in minion.runs.values())
            ),
            "",
        )

    def test_minion_is_lost_for_good(self) -> None:
        self.hand_in(0.7)
        self.cell.users.remove("i-01")
        self.hand_in(0.7)
        self.check()

    def test_starts_are_carried_out_late(self) -> None:
        for minion in self.cell.users.minions.values():
            minion.late_s = 1.0
        self.hand_in(0.7)
        for minion in self.cell.users.minions.values():
            minion.late_s = 0.0
        self.hand_in(0.7)
        self.check()


class CallerTest(UsersCellCase):
    """What callers are answered."""

    def test_the_same_id_is_one_job_at_any_entry(self) -> None:
        job_id = "00000000000000aa"
        body = {"spec": "{}", "steps": [{"count": 1, "cpu": 100}]}
        for entry in self.cell.entries * 2:
            status, _ = entry.call("POST", f"/runs/{job_id}", body)
            self.assertEqual(status, 200)
        self.cell.wait_state(job_id, "completed")
        for entry in self.cell.entries:
            status, _ = entry.call("POST", f"/runs/{job_id}", body)
            self.assertEqual(status, 200)
        starts = [each for each in self.cell.users.seen if each.what == "start"]
        self.assertEqual(len(starts), 1)

    def test_unknown_things_are_told_apart(self) -> None:
        entry = self.cell.entries[0]
        job = "/runs/00000000000000ff"
        self.assertEqual(entry.call("GET", job)[0], 410)
        self.assertEqual(entry.call("DELETE", job)[0], 410)
        self.assertEqual(entry.call("GET", "/nowhere/")[0], 404)
        self.assertEqual(entry.call("GET", job, key="other")[0], 401)
        self.assertEqual(entry.call("POST", job, {"spec": "x"})[0], 400)
        self.assertEqual(entry.call("GET", "/runs/")[1], {"pending": 0})

    def test_cancelled_job_is_stopped_and_stays_cancelled(self) -> None:
        first, second = self.cell.entries[:2]
        job_id = self.cell.submit(first, payload={"work_ms": 60_000})
        self.cell.wait_state(job_id, "running")
        status, _ = second.call("DELETE", f"/runs/{job_id}")
        self.assertEqual(status, 200)
        self.cell.find_owner().kill()
        self.cell.wait_state(job_id, "cancelled")
        self.cell.wait_for(
            lambda: (
                not any(
                    minion.runs for minion in self.cell.users.minions.values()
                )
            ),
            5.0,
        )

    def test_withdrawn_key_stops_working(self) -> None:
        users = self.cell.users
        entry = self.cell.entries[1]
        path = "/runs/00000000000000ff"
        self.assertEqual(entry.call("GET", path)[0], 410)
        old = platform.KEY
        try:
            platform.KEY = "new-key"
            users.configure(version=5)
        finally:
            platform.KEY = old
        self.cell.wait_for(lambda: entry.call("GET", path)[0] == 401, 2.0)

    def test_job_fails_after_its_attempts(self) -> None:
        job_id = self.cell.submit(
            self.cell.entries[0], payload={"work_ms": 50, "fails": 9}
        )
        self.cell.wait_state(job_id, "failed")
        starts = [each for each in self.cell.users.seen if each.what == "start"]
        self.assertEqual(len(starts), 2)


del UsersCellCase
