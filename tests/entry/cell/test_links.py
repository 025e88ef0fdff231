"""Tests of the link to a minion against its stand-in."""

import unittest

import gevent

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from hickoryreach_entry.cell import links
from standins.users import minions as standin
from standins.users import servers

LEASE_MS = 800
HOLD_LIMIT_MS = 6_000


class LinkCase(unittest.TestCase):
    """A link to the stand-in of one minion."""

    mute_next = False
    age_s = 0

    def setUp(self) -> None:
        """Serves one minion and follows it."""
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
        self.link = links.MinionLink(
            minion=cells.Minion(
                minion_id="i-1",
                service="s",
                address=f"127.0.0.1:{self.server.server_port}",
                failure_domain="z",
                capacity=resources.ZERO,
            ),
            get_terms=lambda: links.Terms(
                token=5, lease_ms=self.lease_ms, hold_limit_ms=HOLD_LIMIT_MS
            ),
            emit=self.events.append,
            on_fenced=self.fenced.append,
        )
        self.addCleanup(self.link.close)
        self.wait(lambda: self.link.polled.is_set())

    def wait(self, is_done, limit_s: float = 5.0) -> None:
        """Waits until something holds."""
        with gevent.Timeout(limit_s):
            while not is_done():
                gevent.sleep(0.01)

    def count(self, kind: type) -> int:
        """Returns how many events of a kind came."""
        return sum(isinstance(event, kind) for event in self.events)

    def start(self, payload: str = "{}", number: int = 1) -> None:
        """Starts a task."""
        self.link.orders.start(
            effects.StartTask(
                key=steps.TaskKey(job_id="j", repeat=0, step=0, index=0),
                number=number,
                minion_id="i-1",
                payload=payload,
                checkpoint="",
                ticket="",
                valid_ms=500,
            )
        )

    def list_ends(self) -> list:
        """Returns the ends that were handed on."""
        return [
            end
            for event in self.events
            if isinstance(event, events.MinionPolled)
            for end in event.reply.ends
        ]


class LinkTest(LinkCase):
    """Leases, lists and orders."""

    def test_an_end_is_handed_on_once_and_kept_until_settled(self) -> None:
        self.start('{"work_ms": 50}')
        self.wait(self.list_ends)
        gevent.sleep(0.4)
        self.assertEqual(len(self.list_ends()), 1)
        self.assertEqual(len(self.model.ends), 1)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)

    def test_a_long_task_outlives_its_first_lease(self) -> None:
        self.start('{"work_ms": 2500}')
        self.wait(self.list_ends)
        self.assertEqual(
            [str(each.kind) for each in self.list_ends()], ["done"]
        )

    def test_the_lease_of_a_silent_minion_lapses(self) -> None:
        self.model.silent = True
        self.wait(lambda: self.count(events.LeaseExpired), limit_s=8.0)
        self.assertEqual(self.count(events.LeaseExpired), 1)
        self.assertGreater(self.model.get_clock(), self.model.lease_ms)

    def test_no_lease_is_renewed_by_an_owner_that_may_be_deposed(self) -> None:
        self.lease_ms = 0
        gevent.sleep(0.6)
        lease_ms = self.model.lease_ms
        gevent.sleep(0.6)
        self.assertLessEqual(self.model.lease_ms, lease_ms)

    def test_a_fence_is_reported(self) -> None:
        self.model.token = 9
        self.wait(lambda: self.fenced)

    def test_an_unanswered_start_is_unclear(self) -> None:
        self.model.late_s = 0.1
        self.start()
        (answer,) = [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]
        self.assertTrue(answer.failure.effect_unknown)

    def test_a_start_without_an_answer_is_sent_again(self) -> None:
        self.model.late_s = 0.1
        gevent.spawn_later(0.2, setattr, self.model, "late_s", 0.0)
        self.start('{"work_ms": 2000}')
        (answer,) = [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]
        self.assertIsNone(answer.failure)
        self.assertEqual(
            [each.what for each in self.model.seen if each.what == "start"],
            ["start"],
        )

    def test_one_lost_look_does_not_make_a_minion_silent(self) -> None:
        self.model.silent = True
        gevent.spawn_later(
            (links.POLL_WAIT_MS + 350) / 1000, setattr, self.model, "silent", 0
        )
        gevent.sleep(2.0)
        self.assertEqual(self.count(events.MinionUnreachable), 0)

    def test_numbers_of_ends_begin_anew_with_a_new_life(self) -> None:
        self.start('{"work_ms": 20}')
        self.wait(self.list_ends)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.start('{"work_ms": 20}', number=2)
        self.wait(lambda: len(self.list_ends()) == 2)


class RebornTest(LinkCase):
    """A minion that crashes and starts again under its id."""

    age_s = 60

    def test_deadlines_of_the_life_before_may_have_leased_it(self) -> None:
        self.wait(lambda: self.link.deadline_ms > 60_000)
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.assertGreaterEqual(
            self.link.deadline_ms, self.link.clock_ms + HOLD_LIMIT_MS - 100
        )


class ForeignLeaseTest(LinkCase):
    """A minion that an earlier owner held, and that answers just once."""

    mute_next = True
    age_s = 60

    def test_its_lease_is_given_the_time_of_an_earlier_owners(self) -> None:
        gevent.sleep(2.5)
        self.assertEqual(self.count(events.LeaseExpired), 0)
        self.wait(lambda: self.count(events.LeaseExpired), limit_s=6.0)


del LinkCase
