"""Tests that a gang whose runs are lost or stopped is placed again."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from tests.core.scheduling import cases

LATEST_RESTART_MS = 6_000
NO_ANSWER = minions.OrderFailure(reason="timeout", effect_unknown=True)


class GangRestartTest(cases.CellCase):
    """A gang of two, with a member on each of two minions."""

    minion_count = 4

    def setUp(self) -> None:
        """Submits the gang; its starts are not answered yet."""
        super().setUp()
        self.incarnations = {f"m{index}": 1 for index in range(4)}
        self.job_id = self.submit(
            cases.build_step(count=2, cpu=4_000, gang=True)
        )
        self.first, self.second = self.get_starts()
        self.running: dict[str, list[effects.StartTask]] = {}

    def get_step(self) -> state.StepRecord:
        """Returns the record of the gang."""
        return self.cell.jobs[self.job_id].steps[(0, 0)]

    def confirm_both(self) -> None:
        """Confirms both starts; their minions list them from now on."""
        for start in (self.first, self.second):
            self.confirm(start)
            self.running[start.minion_id] = [start]

    def lose(self, start: effects.StartTask) -> None:
        """Has a start without an answer."""
        self.answer(start, NO_ANSWER)

    def restart(self, minion_id: str) -> None:
        """Restarts a minion, which then runs nothing."""
        self.incarnations[minion_id] += 1
        self.running.pop(minion_id, None)

    def expect_restart(
        self, *silent: str, unconfirmed: tuple[str, ...] = ()
    ) -> None:
        """Expects that the gang starts whole again within bounded time.

        Args:
            *silent: Minions that answer neither polls nor orders.
            unconfirmed: Minions whose confirmations of stops get lost.
        """
        until_ms = self.now_ms + LATEST_RESTART_MS
        while not self.find_restart() and self.now_ms < until_ms:
            self.tick()
            if self.find_restart():
                return
            for stop in self.get_stops():
                if stop.minion_id not in (*silent, *unconfirmed):
                    self.confirm_stop(stop)
            for minion_id in list(self.cell.minions):
                if minion_id not in silent:
                    self.poll_now(minion_id)
                    if self.find_restart():
                        return
        self.assertTrue(self.find_restart(), self.get_step().runs)

    def find_restart(self) -> bool:
        """Returns whether the last effects start the whole gang."""
        starts = self.get_starts()
        if not starts:
            return False
        self.assertEqual({each.key.index for each in starts}, {0, 1})
        self.assertGreater(starts[0].number, self.first.number)
        return True

    def confirm_stop(self, stop: effects.StopTask) -> None:
        """Confirms a stop; the minion lists the run no more."""
        self.running.pop(stop.minion_id, None)
        self.apply(
            events.StopAnswered(
                key=stop.key,
                number=stop.number,
                minion_id=stop.minion_id,
                confirmed=True,
            )
        )

    def poll_now(self, minion_id: str) -> None:
        """Applies a poll reply with what a minion runs."""
        self.poll(
            minion_id,
            running=tuple(self.running.get(minion_id, ())),
            incarnation=self.incarnations[minion_id],
        )

    def test_minion_restarts_before_it_confirms(self) -> None:
        self.confirm(self.first)
        self.running[self.first.minion_id] = [self.first]
        self.restart(self.second.minion_id)
        self.expect_restart()

    def test_minion_restarts_before_it_confirms_and_no_answer_comes(
        self,
    ) -> None:
        self.confirm(self.first)
        self.running[self.first.minion_id] = [self.first]
        self.restart(self.second.minion_id)
        self.lose(self.second)
        self.expect_restart(unconfirmed=(self.second.minion_id,))

    def test_minion_restarts_while_its_run_is_stopped(self) -> None:
        self.confirm_both()
        self.end(self.first, "stopped")
        self.running.pop(self.first.minion_id)
        self.restart(self.second.minion_id)
        self.expect_restart(unconfirmed=(self.second.minion_id,))

    def test_stop_is_not_confirmed_and_the_minion_leaves(self) -> None:
        self.confirm_both()
        self.end(self.first, "stopped")
        self.running.pop(self.first.minion_id)
        leaving = self.second.minion_id
        self.apply(events.MinionUnregistered(minion_id=leaving))
        self.tick(1_000)
        self.apply(events.LeaseExpired(minion_id=leaving))
        self.assertNotIn(leaving, self.cell.minions)
        self.expect_restart(leaving)

    def test_unclear_run_on_a_minion_that_leaves(self) -> None:
        self.confirm(self.first)
        self.running[self.first.minion_id] = [self.first]
        self.lose(self.second)
        leaving = self.second.minion_id
        self.apply(events.MinionUnregistered(minion_id=leaving))
        self.tick(1_000)
        self.apply(events.LeaseExpired(minion_id=leaving))
        self.expect_restart(leaving)

    def test_both_starts_are_not_answered(self) -> None:
        self.lose(self.first)
        self.lose(self.second)
        self.expect_restart(
            unconfirmed=(self.first.minion_id, self.second.minion_id)
        )

    def test_minion_registers_again_at_another_address(self) -> None:
        self.confirm_both()
        moved = self.second.minion_id
        self.apply(events.MinionUnregistered(minion_id=moved))
        registered = self.cell.minions[moved].minion
        self.apply(
            events.MinionRegistered(
                minion=dataclasses.replace(registered, address="127.0.0.1:2")
            )
        )
        self.restart(moved)
        self.expect_restart()

    def test_lease_expires_while_a_stop_is_under_way(self) -> None:
        self.confirm_both()
        self.end(self.first, "stopped")
        self.running.pop(self.first.minion_id)
        self.apply(events.LeaseExpired(minion_id=self.second.minion_id))
        self.expect_restart(self.second.minion_id)

    def test_lease_expires_before_the_first_answer(self) -> None:
        self.confirm(self.first)
        self.running[self.first.minion_id] = [self.first]
        self.apply(events.LeaseExpired(minion_id=self.second.minion_id))
        self.answer(self.second, NO_ANSWER)
        self.expect_restart(self.second.minion_id)

    def test_minion_lists_as_many_ends_as_fit(self) -> None:
        self.confirm_both()
        ends = tuple(
            minions.TaskEnd(
                number=number,
                key=steps.TaskKey(job_id="other", repeat=0, step=0, index=0),
                run=number,
                kind=minions.EndKind.STOPPED,
                checkpoint="",
            )
            for number in range(1, 501)
        )
        self.end(self.first, "stopped")
        self.running.pop(self.first.minion_id)
        self.poll(self.second.minion_id, ends=ends, sent_ms=self.now_ms + 1)
        self.assertTrue(self.get_step().runs)
        self.running.pop(self.second.minion_id)
        self.expect_restart()

    def test_refusal_as_stale_and_a_minion_that_lists_nothing(self) -> None:
        self.confirm(self.first)
        self.running[self.first.minion_id] = [self.first]
        self.answer(
            self.second,
            minions.OrderFailure(
                reason="run", refusal=minions.Refusal.STALE_RUN
            ),
        )
        self.expect_restart()


class TakenOverGangTest(cases.CellCase):
    """A gang of an earlier owner, parts of which may still run."""

    epoch = 2
    minion_count = 3

    def setUp(self) -> None:
        """Recovers a gang whose runs are not confirmed yet."""
        super().setUp()
        job = self.build_job(cases.build_step(count=2, cpu=4_000, gang=True))
        self.apply(events.JobRecovered(job=job, unconfirmed=True))
        key = steps.TaskKey(job_id=job.job_id, repeat=0, step=0, index=0)
        self.member = cases.build_listed_run(key, 7)

    def expect_restart(self) -> None:
        """Expects that the whole gang starts within bounded time."""
        for _ in range(LATEST_RESTART_MS // 100):
            if self.get_starts():
                break
            self.tick()
        self.assertEqual({each.key.index for each in self.get_starts()}, {0, 1})

    def test_partial_gang_is_stopped_and_placed_again(self) -> None:
        self.poll("m0", running=(self.member,))
        self.assertEqual(self.get_stops(), [])
        self.apply(events.EarlierRunsConfirmed())
        self.tick()
        (stop,) = self.get_stops()
        self.assertEqual(stop.minion_id, "m0")
        self.end(self.member, "stopped")
        self.expect_restart()

    def test_partial_gang_whose_minion_is_lost_is_placed_again(self) -> None:
        self.poll("m0", running=(self.member,))
        self.apply(events.EarlierRunsConfirmed())
        self.tick()
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.expect_restart()

    def test_partial_gang_whose_minion_restarts_is_placed_again(self) -> None:
        self.poll("m0", running=(self.member,))
        self.apply(events.EarlierRunsConfirmed())
        self.tick()
        self.poll("m0", incarnation=2)
        self.expect_restart()

    def test_member_seen_after_the_gang_was_placed_again(self) -> None:
        self.apply(events.EarlierRunsConfirmed())
        first, second = self.get_starts()
        self.poll("m2", running=(self.member,))
        (stop,) = self.get_stops()
        self.assertEqual((stop.minion_id, stop.number), ("m2", 7))
        self.confirm(first)
        self.confirm(second)
        self.end(first)
        self.assertEqual(
            self.get_state(first.key.job_id), state.JobState.COMPLETED
        )
