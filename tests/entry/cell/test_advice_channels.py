"""Tests of calls for advice over channels that end."""

from collections.abc import Callable
import socket
import time
import unittest

import gevent
import gevent.socket

from hickoryreach.wire import frames
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import local_advisor
from hickoryreach_entry.cell import ownership_scope
from tests.entry.cell import advice_cases


def connect_pair() -> tuple[gevent.socket.socket, gevent.socket.socket]:
    """Returns both ends of a connection on loopback."""
    with gevent.socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        near = gevent.socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
    return near, far


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
            get_incarnation=advice_cases.INCARNATIONS.get,
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
        self.dispatcher.ask(advice_cases.build_call("job", 500.0))
        self.wait_for_ends(1)
        self.assertEqual(self.incarnations, advice_cases.INCARNATIONS)

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
        self.dispatcher.ask(advice_cases.build_call("first", 500.0))
        gevent.sleep(0.01)
        self.dispatcher.ask(advice_cases.build_call("second", 500.0))
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
            self.dispatcher.ask(advice_cases.build_call(f"slow{number}", 500.0))
            self.dispatcher.ask(advice_cases.build_call(f"fast{number}", 10.0))
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
        self.dispatcher.ask(advice_cases.build_call("job", 200.0))
        self.wait_for_ends(1, advisors.TIMEOUT_MARGIN_S + 0.5)
        self.assertEqual(self.list_results(), [("job", False)])
