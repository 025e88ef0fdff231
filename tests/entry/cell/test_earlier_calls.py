"""Tests of calls that reach the incarnation after the one they are meant for.

The stand-in restarts as a process does: its connections end with it, and what
is sent over new ones while it is away reaches its next incarnation.
"""

import dataclasses

import gevent
from gevent import event as gevent_event

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import steps
from hickoryreach_entry.cell import end_numbers
from hickoryreach_entry.cell import links
from tests.entry.cell import link_cases

NEXT_CLOCK_S = 30.0  # behind the first incarnation's and not near its start
CLOCK_MARGIN_MS = 100
TASK_MS = 20


class EarlierCallCase(link_cases.LinkCase):
    """A minion whose restarts end its connections.

    Attributes:
        present: Set while the minion is not away.
    """

    age_s = 60

    def setUp(self) -> None:
        """Serves a minion that answers calls only while it is present."""
        self.present = gevent_event.Event()
        self.present.set()
        super().setUp()
        answer = self.model.answer

        def answer_when_present(path, body, expected):
            self.present.wait()
            return answer(path, body, expected)

        self.model.answer = answer_when_present
        self.model.draw_clock_s = lambda: NEXT_CLOCK_S
        self.model.on_rebirth = self.server.disconnect

    def restart(self) -> None:
        """Lets the minion end and begin its next incarnation."""
        self.model.be_reborn()

    def build_start(self, *args, **named) -> effects.StartTask:
        """Returns a start that was decided for the present incarnation."""
        return dataclasses.replace(
            super().build_start(*args, **named),
            incarnation=self.link.incarnation,
        )

    def end_task(self, number: int) -> None:
        """Runs a task on the minion to its end, unknown to the link."""
        self.model.start(
            {
                "task": f"0{number}.0.0.0",
                "run": number,
                "spec": f'{{"work_ms": {TASK_MS}}}',
                "deadlineMs": self.model.get_clock() + 2_000,
                "fencingToken": self.model.token,
            }
        )
        gevent.sleep(2 * TASK_MS / 1000)
        self.model.advance()


class LeaseTest(EarlierCallCase):
    """The lease of the next incarnation."""

    def check_lease(self) -> None:
        """Checks that only calls for this incarnation hold its lease."""
        self.assertLessEqual(
            self.model.lease_ms,
            self.model.get_clock() + link_cases.LEASE_MS,
        )
        self.assertLessEqual(
            self.model.lease_ms, self.link.lease.deadline_ms + CLOCK_MARGIN_MS
        )

    def test_no_poll_for_the_earlier_incarnation_extends_it(self) -> None:
        """Guards against runs that outlive the lease the owner counts with."""
        self.present.clear()
        self.restart()
        gevent.sleep(0.2)
        self.present.set()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.check_lease()

    def test_no_start_for_the_earlier_incarnation_extends_it(self) -> None:
        """Guards against runs that outlive the lease the owner counts with."""
        self.link.greenlet.kill()
        decision = self.build_start(valid_ms=3_000)
        self.restart()
        self.link.orders.start(decision)
        self.check_lease()
        self.assertEqual(self.model.runs, {})


class AcknowledgedEndTest(EarlierCallCase):
    """Ends of the next incarnation."""

    def test_no_number_of_the_earlier_incarnation_acknowledges_them(
        self,
    ) -> None:
        """Guards against a task that is done and starts again."""
        self.end_and_acknowledge()
        self.link.greenlet.kill()
        self.model.seen.clear()
        self.restart()
        self.end_task(7)
        self.link.poll(immediate=False)
        self.assertEqual(list(self.model.ends), [1])
        self.assertNotIn("noted", [each.what for each in self.model.seen])

    def test_an_end_that_was_never_listed_is_logged(self) -> None:
        self.restart()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.link.greenlet.kill()
        self.end_task(7)
        self.model.forget(1)
        self.end_task(8)
        with self.assertLogs(end_numbers.log) as logged:
            self.link.poll_once()
        self.assertIn("ends_missed", "".join(logged.output))

    def test_ends_that_an_earlier_owner_has_seen_are_not_missed(self) -> None:
        self.link.greenlet.kill()
        self.end_task(7)
        self.model.forget(1)
        self.end_task(8)
        with self.assertNoLogs(links.log, "WARNING"):
            self.link.poll_once()


class StartTest(EarlierCallCase):
    """Starts over connections that have ended."""

    def test_the_next_incarnation_gets_no_start_for_the_earlier_one(
        self,
    ) -> None:
        """Guards against work on a minion that has become another kind."""
        self.link.greenlet.kill()
        decision = self.build_start()
        self.restart()
        self.link.orders.start(decision)
        self.assertEqual(self.model.runs, {})
        (answer,) = self.list_start_answers()
        self.assertFalse(answer.failure.effect_unknown)
        self.assertEqual(self.link.incarnation, self.model.incarnation)

    def test_a_new_connection_to_the_same_incarnation_takes_starts(
        self,
    ) -> None:
        self.server.disconnect()
        self.start('{"work_ms": 500}')
        (answer,) = self.list_start_answers()
        self.assertIsNone(answer.failure)
        self.assertEqual(len(self.model.runs), 1)

    def test_concurrent_starts_after_a_restart_begin_once_each(self) -> None:
        self.restart()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        decisions = [
            dataclasses.replace(
                self.build_start('{"work_ms": 500}', number),
                key=steps.TaskKey(job_id="j", repeat=0, step=0, index=number),
            )
            for number in range(1, 9)
        ]
        gevent.joinall(
            [gevent.spawn(self.link.orders.start, each) for each in decisions]
        )
        failures = [each.failure for each in self.list_start_answers()]
        self.assertEqual(failures, 8 * [None])
        self.assertEqual(len(self.model.runs), 8)

    def test_a_start_is_not_sent_if_the_minion_cannot_be_introduced(
        self,
    ) -> None:
        self.link.greenlet.kill()
        decision = self.build_start()
        self.server.disconnect()
        self.present.clear()
        self.link.orders.start(decision)
        (answer,) = self.list_start_answers()
        self.assertFalse(answer.failure.effect_unknown)
        self.present.set()
        gevent.sleep(0.2)
        self.assertEqual(self.model.runs, {})

    def test_a_later_owner_is_reported_by_an_introduction(self) -> None:
        self.link.greenlet.kill()
        self.server.disconnect()
        self.model.token = 9
        self.start()
        self.assertEqual(self.fenced, ["i-1"])
        (answer,) = self.list_start_answers()
        self.assertIs(answer.failure.refusal, minions.Refusal.FENCED)

    def test_a_stop_opens_a_connection_without_a_poll(self) -> None:
        self.start('{"work_ms": 5000}')
        self.link.greenlet.kill()
        self.server.disconnect()
        polls = self.count(events.MinionPolled)
        self.link.orders.stop(
            effects.StopTask(
                key=self.build_start().key,
                number=1,
                minion_id="i-1",
                reason="cancelled",
            )
        )
        (answer,) = [
            each
            for each in self.events
            if isinstance(each, events.StopAnswered)
        ]
        self.assertTrue(answer.confirmed)
        self.assertEqual(self.count(events.MinionPolled), polls)


del EarlierCallCase
