"""Tests of the link to a minion, against a stand-in of the minion."""

import dataclasses
from unittest import mock

import gevent
from returns import result

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach_entry.cell import links
from tests.entry.cell import link_cases

CLOCK_STEP_MS = 20  # by which a poll may correct the estimate of a clock


class LateStartTest(link_cases.LinkCase):
    """Starts that are sent later than they were decided."""

    def test_order_is_not_valid_for_longer_than_the_decision(self) -> None:
        decision = self.build_start(valid_ms=300)
        latest_ms = self.link.lease.estimate_clock() + 300
        gevent.sleep(0.15)
        with mock.patch.object(self.link.client, "start") as send:
            send.return_value = result.Success(self.link.lease.clock_ms)
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


class OddReplyTest(link_cases.LinkCase):
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


class ContactTest(link_cases.LinkCase):
    """Starts that need the minion to be there right before."""

    def start_after_contact(self) -> list[events.Event]:
        """Sends such a start; returns what was emitted of it."""
        known = len(self.events)
        decision = dataclasses.replace(self.build_start(), contact_first=True)
        self.link.orders.start(decision)
        return [
            event
            for event in self.events[known:]
            if isinstance(event, events.StartContacted | events.StartAnswered)
        ]

    def test_the_contact_is_told_before_the_start(self) -> None:
        contacted, answered = self.start_after_contact()
        self.assertIsInstance(contacted, events.StartContacted)
        self.assertEqual(contacted.number, answered.number)
        self.assertIsNone(answered.failure)
        self.assertEqual(len(self.model.starts), 1)

    # Guards against starts that meet a minion which has crashed already and
    # are taken for its cause.
    def test_nothing_is_sent_to_a_minion_that_does_not_answer(self) -> None:
        self.model.silent = True
        (answered,) = self.start_after_contact()
        self.assertFalse(answered.failure.effect_unknown)
        self.assertEqual(answered.failure.reason, "not_contacted")
        self.model.silent = False
        gevent.sleep(0.3)
        self.assertEqual(self.model.starts, {})

    def test_nothing_is_sent_to_another_incarnation(self) -> None:
        decision = dataclasses.replace(
            self.build_start(),
            contact_first=True,
            incarnation=self.model.incarnation,
        )
        self.model.be_reborn()
        self.link.orders.start(decision)
        self.assertEqual(self.count(events.StartContacted), 0)
        self.assertEqual(self.model.starts, {})

    def test_a_start_without_an_answer_was_contacted(self) -> None:
        poll = self.link.poll

        def fall_silent(**words):
            answer = poll(**words)
            self.model.silent = words["immediate"]
            return answer

        with mock.patch.object(self.link, "poll", fall_silent):
            contacted, answered = self.start_after_contact()
        self.assertIsInstance(contacted, events.StartContacted)
        self.assertTrue(answered.failure.effect_unknown)


class ShareTest(link_cases.LinkCase):
    """Orders that set the share of a run's speed."""

    def set_share(self) -> list[events.ShareAnswered]:
        """Sends such an order; returns what was emitted."""
        start = self.build_start()
        self.link.orders.pace(
            effects.SetTaskShare(
                key=start.key, number=1, minion_id="i-1", share=50
            )
        )
        return [
            event
            for event in self.events
            if isinstance(event, events.ShareAnswered)
        ]

    def test_an_answer_is_told_also_a_refusal(self) -> None:
        (answered,) = self.set_share()  # the stand-in knows no such order
        self.assertEqual(answered.share, 50)

    def test_nothing_is_told_without_an_answer(self) -> None:
        self.model.silent = True
        self.assertEqual(self.set_share(), [])


class FencedLinkTest(link_cases.LinkCase):
    """The minion knows the token of a later owner."""

    def setUp(self) -> None:
        """Lets the minion refuse the link's token."""
        super().setUp()
        self.model.token = 99

    # Guards against an owner that can't reach the store and burdens every
    # minion with polls that none of them accepts.
    def test_polls_become_rare(self) -> None:
        gevent.sleep(3.0)
        self.assertLessEqual(len(self.fenced), 5)
        self.assertGreater(len(self.fenced), 1)

    def test_polls_are_as_frequent_as_before_once_accepted(self) -> None:
        self.wait(lambda: len(self.fenced) > 1)
        self.model.token = 0
        replies = self.count(events.MinionPolled)
        self.wait(lambda: self.count(events.MinionPolled) > replies)
        self.assertEqual(self.link.fenced_pause_s, links.RETRY_S)


class LinkTest(link_cases.LinkCase):
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
        self.assertGreater(left_ms, link_cases.LEASE_MS)
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
        self.end_and_acknowledge()
        self.model.be_reborn()
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.start('{"work_ms": 20}', number=2)
        self.wait(lambda: len(self.list_ends()) == 2)

    def test_a_restarted_minion_forgets_no_end_that_it_has_not_listed(
        self,
    ) -> None:
        self.end_and_acknowledge()
        self.model.silent = True
        self.model.be_reborn()
        self.model.start(
            {
                "task": "0a.0.0.0",
                "run": 9,
                "spec": '{"work_ms": 20}',
                "deadlineMs": link_cases.HOLD_LIMIT_MS,
            }
        )
        gevent.sleep(0.1)
        self.model.advance()
        self.assertEqual(list(self.model.ends), [1])
        self.model.silent = False
        self.wait(lambda: self.link.incarnation == self.model.incarnation)
        self.wait(lambda: len(self.list_ends()) == 2)


class PreviousOwnerLeaseTest(link_cases.LinkCase):
    """A minion leased by an earlier owner, which answers only once."""

    mute_next = True
    age_s = 60

    def test_lease_expires_after_the_lease_of_the_earlier_owner(self) -> None:
        gevent.sleep(2.5)
        self.assertEqual(self.count(events.LeaseExpired), 0)
        self.wait(lambda: self.count(events.LeaseExpired), limit_s=6.0)


class ClosedLinkTest(link_cases.LinkCase):
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


class BrokenPollTest(link_cases.LinkCase):
    """A poll raises an error that no one expects."""

    def test_polling_goes_on(self) -> None:
        answered = self.count(events.MinionPolled)
        with mock.patch.object(
            self.link.client, "poll", side_effect=RuntimeError("broken")
        ):
            self.wait(lambda: self.count(events.MinionUnreachable))
        self.wait(lambda: self.count(events.MinionPolled) > answered)
