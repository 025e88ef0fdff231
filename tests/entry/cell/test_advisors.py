"""Tests of the assignment of calls for advice to entries."""

import unittest

import gevent
import gevent.socket

from hickoryreach.scheduling import effects
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import ownership_scope
from tests.entry.cell import advice_cases


class AdviceDispatcherTest(unittest.TestCase):
    """Slow and fast calls on a few entries."""

    def setUp(self) -> None:
        """Creates a dispatcher with four entries."""
        self.calls: list[tuple[str, str]] = []
        self.entries = {
            name: advice_cases.FakeEntry(name, self.calls) for name in "bcd"
        }
        self.local = advice_cases.FakeEntry(advisors.LOCAL_ENTRY, self.calls)
        self.emitted: list = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=self.local,
            get_channels=lambda: self.entries,
            get_incarnation=advice_cases.INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def ask(
        self, job_id: str, cost_ms: float, rank: int = 1, slack_ms: float = 0.0
    ) -> None:
        """Queues a call for one step's advice."""
        self.dispatcher.ask(
            advice_cases.build_call(job_id, cost_ms, rank, slack_ms)
        )
        gevent.sleep(0)

    def list_jobs(self) -> list[str]:
        """Returns the jobs of the calls made so far, in order."""
        return [step.split(".")[0] for _, step in self.calls]

    def press(self) -> None:
        """Makes fast calls that have kept all entries busy of late."""
        self.dispatcher.fast_load.add(40.0)

    def check_slow_calls(self, count: int) -> None:
        """Checks how many slow calls start, and that a fast one still does."""
        for number in range(6):
            self.ask(f"long{number}", 500.0)
        expected = [f"long{number}" for number in range(count)]
        self.assertEqual(self.list_jobs(), expected)
        busy = {name for name, _ in self.calls}
        self.ask("short", 10.0)
        self.assertEqual(self.list_jobs()[-1], "short")
        self.assertNotIn(self.calls[-1][0], busy)

    def test_slow_calls_leave_half_of_the_entries_to_many_fast_ones(
        self,
    ) -> None:
        self.press()
        self.check_slow_calls(2)

    def test_slow_calls_use_the_entries_that_fast_ones_do_not_need(
        self,
    ) -> None:
        self.check_slow_calls(3)

    def test_a_waiting_call_starts_when_an_entry_is_free(self) -> None:
        self.press()
        for number in range(3):
            self.ask(f"long{number}", 500.0)
        name = self.calls[0][0]
        (self.entries | {advisors.LOCAL_ENTRY: self.local})[name].released.set()
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs(), ["long0", "long1", "long2"])
        self.assertEqual(
            [each.job_id for each in self.emitted], ["long0", "long2"]
        )

    def test_calls_of_late_steps_do_not_hold_up_those_in_time(self) -> None:
        for number in range(4):
            self.ask(f"first{number}", 60.0)
        for number in range(20):
            self.ask(f"late{number}", 60.0, slack_ms=9.0)
        self.ask("in-time", 60.0, slack_ms=1.0)
        self.entries["c"].released.set()
        gevent.sleep(0)
        gevent.sleep(0)
        self.assertEqual(self.calls[4], ("c", "in-time.0.0"))

    def wait_behind_newer_calls(self, cost_ms: float) -> int:
        """Returns how many newer calls start before one that has waited.

        Each of them is more urgent, and another one comes for each that ends.
        """
        for number in range(4):
            self.ask(f"busy{number}", cost_ms)
        self.ask("late", cost_ms, slack_ms=9.0)
        self.age_waiting_calls()
        for entry in (*self.entries.values(), self.local):
            entry.released.set()
        for number in range(20):
            self.dispatcher.ask(
                advice_cases.build_call(f"new{number}", cost_ms)
            )
        gevent.sleep(0.05)
        return self.list_jobs().index("late") - 4

    def age_waiting_calls(self) -> None:
        """Lets the waiting calls have waited for long."""
        self.dispatcher.waiting = [
            (order, arrival, call, queued_at - advisors.OVERDUE_S)
            for order, arrival, call, queued_at in self.dispatcher.waiting
        ]

    def test_a_fast_call_that_has_waited_long_is_made(self) -> None:
        self.assertEqual(self.wait_behind_newer_calls(60.0), 0)

    def test_a_slow_call_that_has_waited_long_is_made(self) -> None:
        self.press()
        self.assertLessEqual(self.wait_behind_newer_calls(500.0), 2)

    def test_overdue_calls_take_one_entry_at_a_time(self) -> None:
        for number in range(4):
            self.ask(f"busy{number}", 60.0)
        for number in range(4):
            self.ask(f"late{number}", 60.0, slack_ms=9.0)
        self.age_waiting_calls()
        self.ask("urgent", 60.0, rank=0)
        for name in "bc":
            self.entries[name].released.set()
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs()[4:6], ["late0", "urgent"])

    def test_the_lower_rank_is_dispatched_first(self) -> None:
        for number in range(8):
            self.ask(f"first{number}", 60.0, rank=2)
        made = len(self.calls)
        self.ask("later", 60.0, rank=2)
        self.ask("urgent", 10.0, rank=0)
        self.assertEqual(len(self.calls), made)
        for entry in (*self.entries.values(), self.local):
            entry.released.set()
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs()[made], "urgent")

    def test_a_step_asked_for_again_waits_once(self) -> None:
        self.press()
        for number in range(4):
            self.ask(f"long{number}", 500.0)
        self.ask("long2", 600.0)
        self.assertEqual(
            [
                (call.job_id, call.cost_ms)
                for _, _, call, _ in self.dispatcher.waiting
            ],
            [("long2", 600.0), ("long3", 500.0)],
        )

    def test_a_waiting_call_goes_on_in_its_new_order(self) -> None:
        for number in range(4):
            self.ask(f"busy-{number}", 20.0)
        self.ask("stale", 20.0, rank=0)
        self.ask("fresh", 20.0, rank=1)
        self.dispatcher.reorder(
            effects.ReorderAdvice(
                job_id="stale", repeat=0, position=0, order=(False, 4, 0, 0.0)
            )
        )
        waiting = [call[2].job_id for call in self.dispatcher.waiting]
        self.assertEqual(waiting, ["fresh", "stale"])

    def test_a_waiting_call_names_the_minions_chosen_last(self) -> None:
        for number in range(4):
            self.ask(f"busy-{number}", 20.0)
        self.ask("waits", 20.0)
        self.rename("waits")
        (call,) = self.dispatcher.waiting
        self.assertEqual(call[2].minion_ids, ("m1", "m2"))
        self.assertEqual(call[2].cost_ms, 30.0)

    def rename(self, job_id: str) -> None:
        """Changes what a call names if it still waits."""
        self.dispatcher.rename(
            effects.RenameAdvice(
                job_id=job_id,
                repeat=0,
                position=0,
                minion_ids=("m1", "m2"),
                cost_ms=30.0,
            )
        )

    def test_a_call_that_does_not_wait_is_not_repeated(self) -> None:
        self.ask("a", 20.0)
        self.rename("a")
        self.dispatcher.reorder(
            effects.ReorderAdvice(
                job_id="a", repeat=0, position=0, order=(False, 4, 0, 0.0)
            )
        )
        self.assertEqual(self.dispatcher.waiting, [])
        self.assertEqual(len(self.calls), 1)

    def test_load_returns_to_zero_after_costs_of_any_size(self) -> None:
        for entry in (*self.entries.values(), self.local):
            entry.released.set()
        for number in range(60):
            self.ask(f"short{number}", 10.1 + 0.7 * (number % 7))
        self.ask("long", 482.4)
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs()[-1], "long")
        self.assertEqual(set(self.dispatcher.load_us.values()), {0})
