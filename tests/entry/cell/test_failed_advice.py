"""Tests of calls for advice that break or fail."""

import unittest

import gevent
import gevent.socket

from hickoryreach.wire import frames
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import ownership_scope
from tests.entry.cell import advice_cases


class BrokenCallTest(unittest.TestCase):
    """Calls that end in another way than with a report."""

    def setUp(self) -> None:
        """Creates a dispatcher with the owner's own entry only."""
        self.answers: list = []
        self.asked: list[str] = []
        self.emitted: list = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=self,
            get_channels=dict,
            get_incarnation=advice_cases.INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def ask(self, advice_call) -> object:
        """Gives the next answer, or raises it."""
        self.asked.append(advice_call.step)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def check_broken(self, answer: object) -> None:
        """Expects that a call fails and that the next one is made."""
        self.answers = [
            answer,
            frames.AdviceReport(tickets={"m0": "t"}, valid_ms=1),
        ]
        with self.assertLogs(advisors.log) as logged:
            for job_id in ("broken", "next"):
                self.dispatcher.ask(advice_cases.build_call(job_id, 500.0))
            gevent.sleep(0.01)
        self.assertEqual(
            [(each.job_id, each.tickets) for each in self.emitted],
            [("broken", None), ("next", {"m0": "t"})],
        )
        self.assertEqual(set(self.dispatcher.load_us.values()), {0})
        self.assertEqual(self.dispatcher.slow_entries, set())
        self.assertIn("advice_call_broken", "".join(logged.output))

    def test_an_exception_does_not_keep_steps_waiting(self) -> None:
        self.check_broken(RuntimeError("no such thing"))

    def test_a_report_without_tickets_does_not_keep_steps_waiting(self) -> None:
        self.check_broken(frames.AdviceReport(tickets=None, valid_ms=1))

    def test_an_answer_of_another_type_does_not_keep_steps_waiting(
        self,
    ) -> None:
        self.check_broken(frames.Status(epoch=1))


class FailingEntryTest(unittest.TestCase):
    """Entries that can't reach the service, or don't answer."""

    def setUp(self) -> None:
        """Creates a dispatcher with two entries beside the owner's."""
        self.calls: list[tuple[str, str]] = []
        names = (advisors.LOCAL_ENTRY, "b", "c")
        self.entries = {
            name: advice_cases.FakeEntry(name, self.calls) for name in names
        }
        for entry in self.entries.values():
            entry.released.set()
        self.channels = {name: self.entries[name] for name in "bc"}
        self.emitted: list = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=self.entries[advisors.LOCAL_ENTRY],
            get_channels=lambda: self.channels,
            get_incarnation=advice_cases.INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def ask_until_answered(self, cost_ms: float) -> list[str]:
        """Repeats a call until it succeeds; returns the entries that made it.

        Gives up after ten calls.
        """
        del self.calls[:], self.emitted[:]
        for _ in range(10):
            self.dispatcher.ask(advice_cases.build_call("job", cost_ms))
            gevent.sleep(0.01)
            if self.emitted[-1].tickets is not None:
                break
        return [name for name, _ in self.calls]

    def test_a_call_is_not_made_by_the_same_failing_entry_for_ever(
        self,
    ) -> None:
        self.entries["b"].failed = True
        self.assertEqual(self.ask_until_answered(500.0), ["b", "c"])

    def test_slow_calls_leave_an_entry_that_works_to_fast_ones(self) -> None:
        self.channels["d"] = self.entries["d"] = advice_cases.FakeEntry(
            "d", self.calls
        )
        self.entries["b"].failed = True
        self.ask_until_answered(500.0)
        for name in (advisors.LOCAL_ENTRY, "c"):
            self.entries[name].released.clear()
        for number in range(6):
            self.dispatcher.ask(advice_cases.build_call(f"long{number}", 500.0))
        gevent.sleep(0)
        del self.calls[:]
        self.dispatcher.ask(advice_cases.build_call("short", 10.0))
        gevent.sleep(0)
        self.assertEqual(len(self.calls), 1)
        self.assertNotEqual(self.calls[0][0], "b")

    def count_slow_calls(self, age_s: float) -> int:
        """Returns how many slow calls start some time after a failure."""
        self.entries["b"].failed = True
        self.ask_until_answered(500.0)
        self.dispatcher.failed_at["b"] -= age_s
        for entry in self.entries.values():
            entry.released.clear()
        del self.calls[:]
        for number in range(6):
            self.dispatcher.ask(advice_cases.build_call(f"long{number}", 500.0))
        gevent.sleep(0)
        return len(self.calls)

    def test_an_entry_that_has_just_failed_is_not_kept_for_fast_calls(
        self,
    ) -> None:
        self.assertEqual(self.count_slow_calls(0.0), 1)

    def test_an_entry_counts_again_some_time_after_its_failure(self) -> None:
        self.assertEqual(self.count_slow_calls(60.0), 2)

    def test_a_call_does_not_wait_for_ever_for_a_failing_owner(self) -> None:
        self.entries[advisors.LOCAL_ENTRY].failed = True
        self.assertEqual(
            self.ask_until_answered(10.0), [advisors.LOCAL_ENTRY, "b"]
        )

    def test_each_entry_is_tried_if_most_of_them_fail(self) -> None:
        for name in "bc":
            self.entries[name].failed = True
        self.assertEqual(
            self.ask_until_answered(500.0), ["b", "c", advisors.LOCAL_ENTRY]
        )

    def test_an_entry_that_works_again_is_used_again(self) -> None:
        self.entries["b"].failed = True
        self.ask_until_answered(500.0)
        self.entries["b"].failed = False
        for name in (advisors.LOCAL_ENTRY, "c"):
            self.entries[name].failed = True
        self.assertIn("b", self.ask_until_answered(500.0))
        self.assertEqual(self.ask_until_answered(500.0), ["b"])
