"""A link to the stand-in of one minion, for tests."""

import unittest

import gevent

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from hickoryreach_entry import clock
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import links
from hickoryreach_entry.cell import ownership_scope
from standins.users import minions as standin
from standins.users import servers

LEASE_MS = 800
HOLD_LIMIT_MS = 6_000


class LinkCase(unittest.TestCase):
    """A link to the stand-in of one minion.

    Attributes:
        mute_next: Whether the stand-in stops answering after each answer.
        age_s: How long the stand-in has already run, in s.
    """

    mute_next = False
    age_s = 0

    def setUp(self) -> None:
        """Serves one minion and polls it."""
        self.model = standin.Minion(minion_id="i-1")
        self.model.born_at -= self.age_s

        self.lease_ms = LEASE_MS

        def answer(method, path, words, body, environ):
            answered = self.model.answer(
                path, body, environ.get("HTTP_EXPECT_INSTANCE", "")
            )
            self.model.silent = self.model.silent or self.mute_next
            return answered

        self.server = servers.serve("127.0.0.1:0", answer)
        self.addCleanup(self.server.stop, 0)
        self.events: list[events.Event] = []
        self.fenced: list[str] = []
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.link = links.MinionLink(
            scope=self.scope,
            minion=cells.Minion(
                minion_id="i-1",
                service="s",
                address=f"127.0.0.1:{self.server.server_port}",
                failure_domain="z",
                capacity=resources.ZERO,
            ),
            get_terms=lambda: leases.Terms(
                token=5, lease_ms=self.lease_ms, hold_limit_ms=HOLD_LIMIT_MS
            ),
            emit=self.events.append,
            on_fenced=self.fenced.append,
            on_lapsed=lambda link: None,
        )
        self.addCleanup(self.link.close)
        self.wait(lambda: self.link.polled.is_set())

    def wait(self, is_done, limit_s: float = 5.0) -> None:
        """Waits until a condition holds."""
        with gevent.Timeout(limit_s):
            while not is_done():
                gevent.sleep(0.01)

    def count(self, kind: type) -> int:
        """Returns the number of events of a type."""
        return sum(isinstance(event, kind) for event in self.events)

    def build_start(
        self, payload: str = "{}", number: int = 1, valid_ms: int = 500
    ) -> effects.StartTask:
        """Returns the decision to start a task."""
        return effects.StartTask(
            key=steps.TaskKey(job_id="j", repeat=0, step=0, index=0),
            number=number,
            minion_id="i-1",
            payload=payload,
            checkpoint="",
            ticket="",
            valid_until_ms=clock.now_ms() + valid_ms,
        )

    def start(self, payload: str = "{}", number: int = 1) -> None:
        """Sends a start order."""
        self.link.orders.start(self.build_start(payload, number))

    def end_and_acknowledge(self) -> None:
        """Runs the first task to its end, which is acknowledged."""
        self.start('{"work_ms": 20}')
        self.wait(self.list_ends)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)

    def list_start_answers(self) -> list[events.StartAnswered]:
        """Returns the answers to starts that the link emitted."""
        return [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]

    def list_ends(self) -> list:
        """Returns the ends that the link emitted."""
        return [
            end
            for event in self.events
            if isinstance(event, events.MinionPolled)
            for end in event.reply.ends
        ]
