"""Tests of what an ownership leaves behind when it ends."""

import gc
from unittest import mock

import gevent

from hickoryreach.scheduling import effects
from hickoryreach_entry import greenlets
from hickoryreach_entry.cell import advisors
from hickoryreach_entry.cell import known_minions
from tests.entry.cell import ownership_cases

PRODUCT = "hickoryreach_entry"
LATER_S = 1.0


def list_greenlets() -> list[str]:
    """Returns the product's greenlets that have not ended."""
    return [
        repr(each)
        for each in gc.get_objects()
        if isinstance(each, gevent.Greenlet)
        and not each.ready()
        and PRODUCT in repr(each)
    ]


class EndedTakeoverTest(ownership_cases.OwnershipCase):
    """The store turns a new owner away before it has read the cell."""

    def setUp(self) -> None:
        """Ends an ownership within its takeover, then serves it again."""
        super().setUp()
        self.before = list_greenlets()
        self.users.store.faults.busy.add(ownership_cases.NAME)
        self.ended = self.begin(1)
        gevent.sleep(0.3)
        self.member.release_ownership(self.ended)
        self.users.store.faults.busy.clear()

    # Guards against an entry whose links of an ended ownership depose each
    # later one, so that it runs nothing that it accepts.
    def test_no_minion_is_polled_under_its_token(self) -> None:
        gevent.sleep(LATER_S)
        self.assertEqual(self.list_tokens(), [0] * ownership_cases.MINIONS)

    # Guards against reads and polls that go on for as long as the process.
    def test_nothing_of_it_runs_on(self) -> None:
        self.wait(lambda: list_greenlets() == self.before)

    # Guards against an ownership that an earlier one of this entry ends.
    def test_the_next_ownership_lasts(self) -> None:
        owner = self.begin(2)
        self.wait(lambda: owner.serving)
        gevent.sleep(LATER_S)
        self.assertIs(self.member.owner, owner)
        self.assertEqual(
            self.list_tokens(), [owner.revision] * ownership_cases.MINIONS
        )


class EndedServiceTest(ownership_cases.OwnershipCase):
    """An ownership ends while it serves the cell."""

    def setUp(self) -> None:
        """Serves the cell."""
        super().setUp()
        self.before = list_greenlets()
        self.owner = self.begin(1)
        self.wait(lambda: self.owner.serving)

    # Guards against look-ups, removals and timers that act for a later owner.
    def test_nothing_of_it_runs_on(self) -> None:
        self.users.store.faults.busy.add(ownership_cases.NAME)
        self.owner.execute([effects.FindStoredJob(job_id="a072a0f6de83e5b3")])
        self.owner.retention.removable.append("hickoryreach/progress/none")
        self.users.remove("i-00")
        self.users.remove("i-01")
        gevent.sleep(0.5)
        self.member.release_ownership(self.owner)
        self.wait(lambda: list_greenlets() == self.before, limit_s=1.0)

    # Guards against calls that occupy the advice service for nobody.
    def test_its_waiting_calls_for_advice_are_not_made(self) -> None:
        dispatcher = self.owner.advice_dispatcher
        made: list[str] = []

        def answer(name, effect, queued_at):
            made.append(effect.job_id)
            gevent.sleep(0.2)
            return advisors.build_failed_end(effect)

        dispatcher._fetch = answer
        for number in range(3):
            dispatcher.ask(
                effects.AskAdvice(
                    job_id=str(number),
                    repeat=0,
                    position=0,
                    minion_ids=("i-00",),
                    cost_ms=500.0,
                    valid_ms=2_500,
                    order=(False, 1, 0, 0.0),
                )
            )
        gevent.sleep(0.1)
        self.member.release_ownership(self.owner)
        gevent.sleep(LATER_S)
        self.assertEqual(made, ["0"])


class BrokenTakeoverTest(ownership_cases.OwnershipCase):
    """A read of a takeover fails with an error that nobody expects."""

    # Guards against an owner that knows of no earlier minion, and so starts
    # again what still runs there.
    def test_the_process_ends_before_it_serves(self) -> None:
        ended: list[gevent.Greenlet] = []
        with (
            mock.patch.object(greenlets, "end_process", ended.append),
            mock.patch.object(
                known_minions.KnownMinions, "read", side_effect=KeyError("odd")
            ),
        ):
            owner = self.begin(1)
            self.wait(lambda: ended)
        self.assertFalse(owner.serving)
