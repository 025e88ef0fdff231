"""Tests of who makes which call for advice."""

import unittest

import gevent
from gevent import event as gevent_event

from hickoryreach.scheduling import effects
from hickoryreach.wire import frames
from hickoryreach_entry.cell import advisors


class Asker:
    """An entry that answers a call once it is let."""

    def __init__(self, name: str, calls: list[tuple[str, str]]) -> None:
        """Creates an asker that notes its calls."""
        self.name = name
        self.calls = calls
        self.go = gevent_event.Event()

    def call(self, timeout_s: float, advice_call) -> frames.AdviceReport:
        """Makes one call."""
        self.calls.append((self.name, advice_call.step))
        self.go.wait()
        return frames.AdviceReport(tickets={}, valid_ms=1)

    def ask(self, advice_call) -> frames.AdviceReport:
        """Makes one call from the owner's own machine."""
        return self.call(0.0, advice_call)


class AdvisorsTest(unittest.TestCase):
    """Long and short calls on a few machines."""

    def setUp(self) -> None:
        """Creates advisors with four machines."""
        self.calls: list[tuple[str, str]] = []
        self.askers = {name: Asker(name, self.calls) for name in "bcd"}
        self.local = Asker(advisors.LOCAL, self.calls)
        self.advised: list = []
        self.advisors = advisors.AdviceDispatcher(
            local=self.local,
            get_channels=lambda: self.askers,
            emit=self.advised.append,
        )

    def ask(self, job_id: str, cost_ms: float, rank: int = 1) -> None:
        """Asks for one step's advice."""
        self.advisors.ask(
            effects.AskAdvice(
                job_id=job_id,
                repeat=0,
                position=0,
                minion_ids=("m0",),
                cost_ms=cost_ms,
                valid_ms=1_000,
                rank=rank,
            )
        )
        gevent.sleep(0)

    def list_jobs(self) -> list[str]:
        """Returns the jobs that were asked about, in order."""
        return [step.split(".")[0] for _, step in self.calls]

    def test_long_calls_leave_machines_to_short_ones(self) -> None:
        for number in range(4):
            self.ask(f"long{number}", 500.0)
        self.assertEqual(self.list_jobs(), ["long0", "long1"])
        busy = {name for name, _ in self.calls}
        self.ask("short", 10.0)
        self.assertEqual(self.list_jobs()[-1], "short")
        self.assertNotIn(self.calls[-1][0], busy)

    def test_waiting_calls_go_on_when_a_machine_is_free(self) -> None:
        for number in range(3):
            self.ask(f"long{number}", 500.0)
        name = self.calls[0][0]
        (self.askers | {advisors.LOCAL: self.local})[name].go.set()
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs(), ["long0", "long1", "long2"])
        self.assertEqual(
            [each.job_id for each in self.advised], ["long0", "long2"]
        )

    def test_the_lower_rank_goes_first(self) -> None:
        for number in range(8):
            self.ask(f"first{number}", 60.0, rank=2)
        made = len(self.calls)
        self.ask("later", 60.0, rank=2)
        self.ask("urgent", 10.0, rank=0)
        self.assertEqual(len(self.calls), made)
        for asker in (*self.askers.values(), self.local):
            asker.go.set()
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs()[made], "urgent")

    def test_a_machine_is_free_again_after_costs_of_any_size(self) -> None:
        for asker in (*self.askers.values(), self.local):
            asker.go.set()
        for number in range(60):
            self.ask(f"short{number}", 10.1 + 0.7 * (number % 7))
        self.ask("long", 482.4)
        gevent.sleep(0.01)
        self.assertEqual(self.list_jobs()[-1], "long")
        self.assertEqual(set(self.advisors.load_us.values()), {0})
