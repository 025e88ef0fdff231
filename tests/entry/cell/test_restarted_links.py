"""Tests of the link to a minion that restarts under its id."""

from collections.abc import Callable
import dataclasses
from unittest import mock

import gevent
from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import steps
from hickoryreach_entry.cell import links
from tests.entry.cell import link_cases

ORDER_CONNECTIONS = 4


class RestartedMinionTest(link_cases.LinkCase):
    """A minion that crashes and restarts under the same id."""

    age_s = 60

    def test_deadline_of_previous_incarnation_may_hold_a_lease(self) -> None:
        self.wait(lambda: self.link.lease.deadline_ms > 60_000)
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.assertGreaterEqual(
            self.link.lease.deadline_ms,
            self.link.lease.clock_ms + link_cases.HOLD_LIMIT_MS - 100,
        )

    def test_a_lease_may_be_the_longest_wherever_the_next_clock_starts(
        self,
    ) -> None:
        """Guards against runs that outlive the lease the owner counts with."""
        self.model.draw_clock_s = lambda: 30.0
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.assertGreaterEqual(
            self.link.lease.deadline_ms,
            self.link.lease.clock_ms + link_cases.HOLD_LIMIT_MS - 100,
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
