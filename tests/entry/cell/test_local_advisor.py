"""Tests of an entry's calls when the advice service's address changes."""

import unittest

import gevent
from gevent import event as gevent_event

from hickoryreach.wire import frames
from hickoryreach_entry.cell import local_advisor
from standins.users import servers

COST_MS = 50.0
PROMPT_S = 0.8  # sooner than a call of this cost times out
LIMIT_S = 10.0
INCARNATIONS = {"m0": 1_700_000_000_001}


class Service:
    """An advice service that names itself in its tickets.

    Attributes:
        address: Where it is served.
        steps: Steps that it was asked about.
        released: Set while it answers.
    """

    def __init__(self, name: str) -> None:
        """Starts the service."""
        self.name = name
        self.steps: list[str] = []
        self.released = gevent_event.Event()
        self.released.set()
        self.server = servers.serve("127.0.0.1:0", self.answer)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def answer(self, method, path, words, body, environ):
        """Allows every minion, once it is released."""
        self.steps.append(body["step"])
        self.released.wait()
        return 200, {"good": [[each, self.name] for each in body["workers"]]}


class MovedServiceTest(unittest.TestCase):
    """The settings name another address of the advice service."""

    def setUp(self) -> None:
        """Starts two services; the advisor knows the first."""
        self.old, self.new = Service("old"), Service("new")
        for each in (self.old, self.new):
            self.addCleanup(each.server.stop, 0)
            self.addCleanup(each.released.set)
        self.advisor = local_advisor.LocalAdvisor(address=self.old.address)

    def ask(self, step: str = "j.0.0") -> frames.AdviceReport:
        """Makes one call, which ends in time."""
        with gevent.Timeout(LIMIT_S):
            return self.advisor.ask(
                frames.AdviceCall(
                    step=step,
                    minions=["m0"],
                    cost_ms=COST_MS,
                    valid_ms=2_000,
                    incarnations=INCARNATIONS,
                )
            )

    def hang(self, count: int) -> list[gevent.Greenlet]:
        """Makes calls, the first of which hangs at the old address."""
        self.old.released.clear()
        calls = [gevent.spawn(self.ask, f"j.0.{each}") for each in range(count)]
        with gevent.Timeout(LIMIT_S):
            while not self.old.steps:
                gevent.sleep(0.01)
        return calls

    def test_valid_advice_tells_the_incarnations_that_it_is_about(
        self,
    ) -> None:
        self.ask()
        (past,) = self.advisor.collect_valid_advice().answers
        self.assertEqual(past.incarnations, INCARNATIONS)

    def test_next_call_goes_to_the_new_address(self) -> None:
        self.assertEqual(self.ask().tickets, {"m0": "old"})
        self.advisor.change_address(self.new.address)
        self.assertEqual(self.ask().tickets, {"m0": "new"})

    def test_calls_that_hang_at_the_old_address_are_made_anew(self) -> None:
        calls = self.hang(3)
        self.advisor.change_address(self.new.address)
        gevent.joinall(calls, timeout=PROMPT_S)
        self.assertEqual(
            [each.value.tickets for each in calls if each.ready()],
            3 * [{"m0": "new"}],
        )
        self.assertEqual(len(self.old.steps), 1)

    def test_calls_fail_at_once_when_the_service_is_taken_away(self) -> None:
        calls = self.hang(2)
        self.advisor.change_address(None)
        gevent.joinall(calls, timeout=PROMPT_S)
        self.assertEqual(
            [each.value.failed for each in calls if each.ready()], [True, True]
        )
        self.assertTrue(self.ask().failed)

    def test_an_address_that_is_set_later_is_used(self) -> None:
        self.advisor = local_advisor.LocalAdvisor(address=None)
        self.assertTrue(self.ask().failed)
        self.advisor.change_address(self.new.address)
        self.assertEqual(self.ask().tickets, {"m0": "new"})

    def test_a_call_is_not_made_anew_if_the_address_stays(self) -> None:
        (call,) = self.hang(1)
        self.advisor.change_address(self.old.address)
        self.old.released.set()
        call.join(LIMIT_S)
        self.assertEqual(call.value.tickets, {"m0": "old"})
        self.assertEqual(len(self.old.steps), 1)
