"""Tests of the assignment of calls for advice to entries."""

from collections.abc import Callable
import socket
import time
import unittest

import gevent
from gevent import event as gevent_event
import gevent.socket

from hickoryreach.scheduling import effects
from hickoryreach.wire import frames
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import local_advisor
from hickoryreach_entry.cell import ownership_scope

INCARNATIONS = {"m0": 1_700_000_000_001}


def build_call(
    job_id: str, cost_ms: float, rank: int = 1, slack_ms: float = 0.0
) -> effects.AskAdvice:
    """Returns a call for the advice of one step."""
    return effects.AskAdvice(
        job_id=job_id,
        repeat=0,
        position=0,
        minion_ids=("m0",),
        cost_ms=cost_ms,
        valid_ms=1_000,
        order=(False, 0, rank, slack_ms),
    )


def connect_pair() -> tuple[gevent.socket.socket, gevent.socket.socket]:
    """Returns both ends of a connection on loopback."""
    with gevent.socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = gevent.socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


class FakeEntry:
    """An entry whose calls return once it is released.

    Attributes:
        name: Name of the entry.
        calls: Receives the entry's name and the step of each call.
        released: Set to let calls return.
        failed: Whether its calls fail.
    """

    def __init__(self, name: str, calls: list[tuple[str, str]]) -> None:
        """Creates an entry that records its calls."""
        self.name = name
        self.calls = calls
        self.released = gevent_event.Event()
        self.failed = False

    def call(self, timeout_s: float, advice_call) -> frames.AdviceReport:
        """Makes one call."""
        self.calls.append((self.name, advice_call.step))
        self.released.wait()
        return frames.AdviceReport(failed=self.failed, tickets={}, valid_ms=1)

    def ask(self, advice_call) -> frames.AdviceReport:
        """Makes one call from the owner's own entry."""
        return self.call(0.0, advice_call)


class AdviceDispatcherTest(unittest.TestCase):
    """Slow and fast calls on a few entries."""

    def setUp(self) -> None:
        """Creates a dispatcher with four entries."""
        self.calls: list[tuple[str, str]] = []
        self.entries = {name: FakeEntry(name, self.calls) for name in "bcd"}
        self.local = FakeEntry(advisors.LOCAL_ENTRY, self.calls)
        self.emitted: list = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=self.local,
            get_channels=lambda: self.entries,
            get_incarnation=INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def ask(
        self, job_id: str, cost_ms: float, rank: int = 1, slack_ms: float = 0.0
    ) -> None:
        """Queues a call for one step's advice."""
        self.dispatcher.ask(build_call(job_id, cost_ms, rank, slack_ms))
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
            self.dispatcher.ask(build_call(f"new{number}", cost_ms))
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
            get_incarnation=INCARNATIONS.get,
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
                self.dispatcher.ask(build_call(job_id, 500.0))
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
        self.entries = {name: FakeEntry(name, self.calls) for name in names}
        for entry in self.entries.values():
            entry.released.set()
        self.channels = {name: self.entries[name] for name in "bc"}
        self.emitted: list = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=self.entries[advisors.LOCAL_ENTRY],
            get_channels=lambda: self.channels,
            get_incarnation=INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def ask_until_answered(self, cost_ms: float) -> list[str]:
        """Repeats a call until it succeeds; returns the entries that made it.

        Gives up after ten calls.
        """
        del self.calls[:], self.emitted[:]
        for _ in range(10):
            self.dispatcher.ask(build_call("job", cost_ms))
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
        self.channels["d"] = self.entries["d"] = FakeEntry("d", self.calls)
        self.entries["b"].failed = True
        self.ask_until_answered(500.0)
        for name in (advisors.LOCAL_ENTRY, "c"):
            self.entries[name].released.clear()
        for number in range(6):
            self.dispatcher.ask(build_call(f"long{number}", 500.0))
        gevent.sleep(0)
        del self.calls[:]
        self.dispatcher.ask(build_call("short", 10.0))
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
            self.dispatcher.ask(build_call(f"long{number}", 500.0))
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


class ChannelTest(unittest.TestCase):
    """Calls over channels that end, and entries that come and go."""

    def setUp(self) -> None:
        """Creates a dispatcher whose own entry fails each call."""
        self.channels: dict[str, channel.Channel] = {}
        self.emitted: list = []
        self.received: list[str] = []
        self.dispatcher = advisors.AdviceDispatcher(
            scope=ownership_scope.OwnershipScope(epoch=1),
            local=local_advisor.LocalAdvisor(address=None),
            get_channels=lambda: self.channels,
            get_incarnation=INCARNATIONS.get,
            emit=self.emitted.append,
        )

    def add_entry(
        self, name: str, *, answers: bool
    ) -> tuple[channel.Channel, channel.Channel]:
        """Adds an entry; returns both ends of its channel."""

        def handle(_, __, message) -> frames.AdviceReport | None:
            self.received.append(message.step.split(".")[0])
            self.incarnations = message.incarnations
            if not answers:
                return None
            return frames.AdviceReport(tickets={"m0": "t"}, valid_ms=1)

        ends = connect_pair()
        near = channel.Channel(
            connection=ends[0],
            handle=handle,
            on_closed=lambda _: self.channels.pop(name, None),
        )
        far = channel.Channel(connection=ends[1], handle=handle)
        self.addCleanup(near.close, "test")
        self.addCleanup(far.close, "test")
        self.channels[name] = near
        return near, far

    def test_a_call_tells_the_incarnations_that_it_is_about(self) -> None:
        self.add_entry("b", answers=True)
        self.dispatcher.ask(build_call("job", 500.0))
        self.wait_for_ends(1)
        self.assertEqual(self.incarnations, INCARNATIONS)

    def list_results(self) -> list[tuple[str, bool]]:
        """Returns the jobs whose calls have ended, and whether in success."""
        return [
            (each.job_id, each.tickets is not None) for each in self.emitted
        ]

    def wait_for_ends(self, count: int, limit_s: float = 5.0) -> None:
        """Waits until some calls have ended, and what follows at once is done.

        Gives up after a limit; what has ended by then is left to the caller.
        """
        until = time.monotonic() + limit_s
        while len(self.emitted) < count and time.monotonic() < until:
            gevent.sleep(0.005)
        gevent.sleep(0.05)

    def check_ended(self, end: Callable[..., None]) -> None:
        """Ends a channel during a call, while another call waits.

        Args:
            end: Ends a channel, given both of its ends.
        """
        ends = self.add_entry("b", answers=False)
        self.dispatcher.ask(build_call("first", 500.0))
        gevent.sleep(0.01)
        self.dispatcher.ask(build_call("second", 500.0))
        gevent.sleep(0.01)
        self.assertEqual(self.received, ["first"])
        self.add_entry("c", answers=True)
        end(*ends)
        self.wait_for_ends(2)
        self.assertEqual(
            self.list_results(), [("first", False), ("second", True)]
        )
        self.assertEqual(set(self.dispatcher.load_us.values()), {0})
        self.assertEqual(self.dispatcher.slow_entries, set())

    def test_a_call_ends_with_its_channel_and_frees_the_next(self) -> None:
        self.check_ended(lambda near, far: near.close("test"))

    def test_a_call_ends_with_its_entry_and_frees_the_next(self) -> None:
        self.check_ended(
            lambda near, far: far.connection.shutdown(socket.SHUT_RDWR)
        )

    def test_entries_that_come_and_go_leave_no_call_waiting(self) -> None:
        for number in range(20):
            near, _ = self.add_entry(f"e{number}", answers=number % 2 == 1)
            self.dispatcher.ask(build_call(f"slow{number}", 500.0))
            self.dispatcher.ask(build_call(f"fast{number}", 10.0))
            gevent.sleep(0.005)
            if number % 3 < 2:
                near.close("test")
        for near in list(self.channels.values()):
            near.close("test")
        self.wait_for_ends(40)
        self.assertEqual(self.dispatcher.waiting, [])
        self.assertEqual(len(self.emitted), 40)
        self.assertEqual(set(self.dispatcher.load_us.values()), {0})
        self.assertEqual(self.dispatcher.slow_entries, set())

    def test_a_call_does_not_wait_for_an_entry_that_never_answers(
        self,
    ) -> None:
        self.add_entry("b", answers=False)
        self.dispatcher.ask(build_call("job", 200.0))
        self.wait_for_ends(1, advisors.TIMEOUT_MARGIN_S + 0.5)
        self.assertEqual(self.list_results(), [("job", False)])
