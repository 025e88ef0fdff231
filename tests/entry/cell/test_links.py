"""Tests of the link to a minion, against a stand-in of the minion."""

from collections.abc import Callable
import dataclasses
import unittest
from unittest import mock

import gevent
from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from hickoryreach_entry import clock
from hickoryreach_entry.cell import links
from standins.users import minions as standin
from standins.users import servers

LEASE_MS = 800
HOLD_LIMIT_MS = 6_000
ORDER_CONNECTIONS = 4
CLOCK_STEP_MS = 20  # by which a poll may correct the estimate of a clock


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

    def list_ends(self) -> list:
        """Returns the ends that the link emitted."""
        return [
            end
            for event in self.events
            if isinstance(event, events.MinionPolled)
            for end in event.reply.ends
        ]


class LateStartTest(LinkCase):
    """Starts that are sent later than they were decided."""

    def test_order_is_not_valid_for_longer_than_the_decision(self) -> None:
        decision = self.build_start(valid_ms=300)
        latest_ms = self.link.estimate_clock() + 300
        gevent.sleep(0.15)
        with mock.patch.object(self.link.client, "start") as send:
            send.return_value = result.Success(self.link.clock_ms)
            self.link.orders.start(decision)
        order, _ = send.call_args.args
        self.assertLessEqual(order.deadline_ms, latest_ms + CLOCK_STEP_MS)

    def test_expired_start_is_not_sent(self) -> None:
        self.link.orders.start(self.build_start(valid_ms=0))
        (answer,) = [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]
        self.assertEqual(answer.failure.reason, "start_expired")
        self.assertFalse(answer.failure.effect_unknown)
        self.assertEqual(self.model.starts, {})


class OddReplyTest(LinkCase):
    """A reply with numbers that no order can carry is one without answer."""

    def test_polls_go_on_after_a_clock_out_of_range(self) -> None:
        replies = self.count(events.MinionPolled)
        clock = self.model.get_clock
        for reading in (1e30, -1e30):
            self.model.get_clock = lambda reading=reading: reading
            self.wait(lambda: self.link.silent)
            self.model.get_clock = clock
            self.wait(lambda: not self.link.silent)
        self.assertFalse(self.link.greenlet.dead)
        self.assertGreater(self.count(events.MinionPolled), replies)


class LinkTest(LinkCase):
    """Leases, polls and orders."""

    def test_end_is_emitted_once_and_listed_until_acknowledged(self) -> None:
        self.start('{"work_ms": 50}')
        self.wait(self.list_ends)
        gevent.sleep(0.4)
        self.assertEqual(len(self.list_ends()), 1)
        self.assertEqual(len(self.model.ends), 1)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)

    def test_a_draining_minion_gets_shorter_leases(self) -> None:
        self.lease_ms = links.LEASE_MS
        self.link.minion = dataclasses.replace(self.link.minion, draining=True)
        self.link.poll(immediate=True)
        left_ms = self.model.lease_ms - self.model.get_clock()
        self.assertGreater(left_ms, LEASE_MS)
        self.assertLessEqual(left_ms, links.DRAINING_LEASE_MS)

    def test_a_start_is_not_sent_without_a_confirmed_ownership(self) -> None:
        self.lease_ms = 0
        self.start('{"work_ms": 50}')
        answers = [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]
        self.assertEqual(answers[0].failure.reason, "ownership_unconfirmed")
        self.assertFalse(answers[0].failure.effect_unknown)
        self.assertFalse(self.model.runs)

    def test_a_long_task_outlives_its_first_lease(self) -> None:
        self.start('{"work_ms": 2500}')
        self.wait(self.list_ends)
        self.assertEqual(
            [str(each.kind) for each in self.list_ends()], ["done"]
        )

    def test_the_lease_of_a_silent_minion_expires(self) -> None:
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

    def test_a_fenced_poll_is_reported(self) -> None:
        self.model.token = 9
        self.wait(lambda: self.fenced)

    def test_the_effect_of_an_unanswered_start_is_unknown(self) -> None:
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

    def test_one_lost_poll_does_not_make_a_minion_silent(self) -> None:
        self.model.silent = True
        gevent.spawn_later(
            (links.POLL_WAIT_MS + 350) / 1000, setattr, self.model, "silent", 0
        )
        gevent.sleep(2.0)
        self.assertEqual(self.count(events.MinionUnreachable), 0)

    def test_end_numbers_restart_with_a_new_incarnation(self) -> None:
        self.start('{"work_ms": 20}')
        self.wait(self.list_ends)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.start('{"work_ms": 20}', number=2)
        self.wait(lambda: len(self.list_ends()) == 2)

    def test_a_restarted_minion_forgets_no_end_that_it_has_not_listed(
        self,
    ) -> None:
        self.start('{"work_ms": 20}')
        self.wait(self.list_ends)
        self.link.acknowledge_end(self.model.incarnation, 1)
        self.wait(lambda: not self.model.ends)
        self.model.silent = True
        self.model.be_reborn()
        self.model.start(
            {
                "task": "0a.0.0.0",
                "run": 9,
                "spec": '{"work_ms": 20}',
                "deadlineMs": HOLD_LIMIT_MS,
            }
        )
        gevent.sleep(0.1)
        self.model.advance()
        self.assertEqual(list(self.model.ends), [1])
        self.model.silent = False
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.wait(lambda: len(self.list_ends()) == 2)


class RestartedMinionTest(LinkCase):
    """A minion that crashes and restarts under the same id."""

    age_s = 60

    def test_deadline_of_previous_incarnation_may_hold_a_lease(self) -> None:
        self.wait(lambda: self.link.deadline_ms > 60_000)
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.assertGreaterEqual(
            self.link.deadline_ms, self.link.clock_ms + HOLD_LIMIT_MS - 100
        )

    def build_earlier_start(self) -> effects.StartTask:
        """Returns a start that was decided for the incarnation before."""
        decision = dataclasses.replace(
            self.build_start(valid_ms=3_000), incarnation=self.link.incarnation
        )
        self.model.be_reborn()
        return decision

    def test_a_start_for_the_previous_incarnation_is_not_sent(self) -> None:
        decision = self.build_earlier_start()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.link.orders.start(decision)
        self.assertEqual(self.model.runs, {})
        (answer,) = self.list_start_answers()
        self.assertFalse(answer.failure.effect_unknown)

    def test_a_start_is_not_repeated_to_the_next_incarnation(self) -> None:
        decision = self.build_earlier_start()
        self.sent: list[minions.StartOrder] = []
        with mock.patch.object(
            self.link.client, "start", side_effect=self.learn_of_restart
        ):
            self.link.orders.start(decision)
        self.assertEqual(len(self.sent), 1)
        (answer,) = self.list_start_answers()
        self.assertTrue(answer.failure.effect_unknown)

    def test_a_start_is_not_sent_once_the_restart_is_registered(self) -> None:
        """Guards against a start on another kind that registers first."""
        self.link.greenlet.kill()
        decision = self.build_earlier_start()
        self.link.minion = dataclasses.replace(
            self.link.minion, incarnation=self.model.incarnation
        )
        self.link.orders.start(decision)
        self.assertEqual(self.model.runs, {})
        (answer,) = self.list_start_answers()
        self.assertFalse(answer.failure.effect_unknown)

    def test_a_start_that_the_next_incarnation_confirms_shows_it(self) -> None:
        """Guards against work that goes on on a minion of another kind."""
        self.link.greenlet.kill()
        with self.assertLogs(links.orders.log) as logged:
            self.link.orders.start(self.build_earlier_start())
        self.assertIn("start_met_restart", logged.output[0])
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        reply = self.events[-1].reply
        self.assertEqual([each.key.job_id for each in reply.running], ["j"])

    def test_starts_of_the_same_incarnation_show_no_restart(self) -> None:
        with self.assertNoLogs(links.orders.log, "WARNING"):
            for number in range(1, 20):
                self.start('{"work_ms": 10}', number)
                gevent.sleep(0.02)
        failures = [each.failure for each in self.list_start_answers()]
        self.assertEqual(failures, 19 * [None])

    def start_while_connections_are_taken(self) -> gevent.Greenlet:
        """Begins a start that waits until others have got no answer."""
        self.link.greenlet.kill()
        self.model.silent = True
        decisions = [
            dataclasses.replace(
                self.build_start(number=number, valid_ms=3_000),
                key=steps.TaskKey(job_id="j", repeat=0, step=0, index=number),
                incarnation=self.link.incarnation,
            )
            for number in range(1, ORDER_CONNECTIONS + 2)
        ]
        sent = [
            gevent.spawn(self.link.orders.start, each) for each in decisions
        ]
        gevent.sleep(0.1)
        self.assertFalse(any(each.ready() for each in sent))
        return sent[-1]

    def check_not_sent(self, waiting: gevent.Greenlet) -> None:
        """Checks that the start that has waited is known not to execute."""
        waiting.join(5.0)
        self.assertEqual(self.model.runs, {})
        (answer,) = [
            each
            for each in self.list_start_answers()
            if each.number == ORDER_CONNECTIONS + 1
        ]
        self.assertFalse(answer.failure.effect_unknown)

    def test_a_start_that_waits_for_a_connection_is_not_sent_after_a_restart(
        self,
    ) -> None:
        """Guards against a start on a minion that has become another kind."""
        waiting = self.start_while_connections_are_taken()
        self.model.be_reborn()
        self.link.minion = dataclasses.replace(
            self.link.minion, incarnation=self.model.incarnation
        )
        self.model.silent = False
        self.check_not_sent(waiting)

    def test_a_start_that_waits_is_not_sent_to_a_silent_minion(self) -> None:
        """Guards against a start that meets a restart not known yet."""
        waiting = self.start_while_connections_are_taken()
        self.link.silent = True
        self.model.be_reborn()
        self.model.silent = False
        self.check_not_sent(waiting)

    def test_a_late_reply_of_the_previous_incarnation_is_ignored(self) -> None:
        """Guards against runs that count as lost and start twice."""
        late = self.events[-1]
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        sent_ms = self.link.incarnation_known_ms - 1
        known = self.count(events.MinionPolled)
        with self.assertLogs(links.log) as logged:
            self.link.handle_poll_reply(late.reply, sent_ms)
        self.assertIn("reply_outdated", logged.output[0])
        self.assertEqual(self.link.incarnation, self.model.incarnation)
        self.assertEqual(self.count(events.MinionPolled), known)

    def learn_of_restart(
        self, order: minions.StartOrder, may_send: Callable[[], bool]
    ) -> result.Result:
        """Leaves a start unanswered until a poll shows the restart."""
        if not may_send():
            return result.Failure(minions.OrderFailure(reason="withdrawn"))
        self.sent.append(order)
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        return result.Failure(
            minions.OrderFailure(reason="timeout", effect_unknown=True)
        )

    def list_start_answers(self) -> list[events.StartAnswered]:
        """Returns the answers to starts that the link emitted."""
        return [
            event
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]


class PreviousOwnerLeaseTest(LinkCase):
    """A minion leased by an earlier owner, which answers only once."""

    mute_next = True
    age_s = 60

    def test_lease_expires_after_the_lease_of_the_earlier_owner(self) -> None:
        gevent.sleep(2.5)
        self.assertEqual(self.count(events.LeaseExpired), 0)
        self.wait(lambda: self.count(events.LeaseExpired), limit_s=6.0)


class ClosedLinkTest(LinkCase):
    """Orders that a link sends while it closes, or after."""

    def test_each_order_of_a_closed_link_is_answered(self) -> None:
        self.link.close()
        self.events.clear()
        for number in range(1, 7):
            self.start(number=number)
            self.link.orders.stop(
                effects.StopTask(
                    key=self.build_start().key,
                    number=number,
                    minion_id="i-1",
                    reason="cancelled",
                )
            )
        self.assertEqual(self.count(events.StopAnswered), 6)
        failures = [
            event.failure
            for event in self.events
            if isinstance(event, events.StartAnswered)
        ]
        self.assertEqual(len(failures), 6)
        self.assertFalse(any(each.effect_unknown for each in failures))

    def test_a_share_or_a_poll_of_a_closed_link_fails_quietly(self) -> None:
        self.link.close()
        self.link.orders.pace(
            effects.SetTaskShare(
                key=self.build_start().key, number=1, minion_id="i-1", share=50
            )
        )
        polled, _ = self.link.poll(immediate=True)
        self.assertFalse(polled.failure().effect_unknown)


class BrokenPollTest(LinkCase):
    """A poll raises an error that no one expects."""

    def test_polling_goes_on(self) -> None:
        answered = self.count(events.MinionPolled)
        with mock.patch.object(
            self.link.client, "poll", side_effect=RuntimeError("broken")
        ):
            self.wait(lambda: self.count(events.MinionUnreachable))
        self.wait(lambda: self.count(events.MinionPolled) > answered)


del LinkCase
