"""Tests of the throttling of fillers beside service tasks."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import steps
from tests.core.scheduling import cases

LIMIT_MS = 100


class ThrottlingTest(cases.CellCase):
    """Fillers are throttled while a service task is above its limit."""

    minion_count = 1

    def setUp(self) -> None:
        """Starts a service task and a filler on one minion."""
        super().setUp()
        self.submit(
            cases.build_step(lasting=True, latency_limit_ms=LIMIT_MS),
            queue="checks",
        )
        (self.serving,) = self.confirm_starts()
        self.submit(cases.build_step(cpu=4_000, filler=True), queue="checks")
        (self.filler,) = self.confirm_starts()

    def poll_with_latency(
        self, latency_ms: float, *, answered: bool = True
    ) -> list[int]:
        """Polls with a tail latency; returns the shares that were set.

        `answered` tells whether the minion answers to them.
        """
        tasks = tuple(
            minions.RunningTask(
                key=start.key,
                run=start.number,
                checkpoint="",
                percent=100,
                measurement=measurement,
            )
            for start, measurement in (
                (self.serving, latency_ms),
                (self.filler, 900),
            )
        )
        self.now_ms += 500
        self.apply(
            events.MinionPolled(
                minion_id="m0",
                reply=minions.PollReply(
                    incarnation=1, clock_ms=0, running=tasks, ends=()
                ),
                sent_ms=self.now_ms - 1,
            )
        )
        rows = self.get_effects(effects.SetTaskShare)
        for row in rows if answered else ():
            self.answer_share(row.share)
        return [row.share for row in rows]

    def answer_share(self, share: int) -> None:
        """Lets the minion answer to the filler's share."""
        self.apply(
            events.ShareAnswered(
                key=self.filler.key,
                number=self.filler.number,
                minion_id="m0",
                share=share,
            )
        )

    def test_share_falls_to_zero_above_the_limit(self) -> None:
        shares = [self.poll_with_latency(LIMIT_MS + 1) for _ in range(4)]
        self.assertEqual(shares, [[50], [25], [0], []])

    def test_share_rises_again_below_the_limit(self) -> None:
        self.poll_with_latency(LIMIT_MS + 1)
        self.assertEqual(self.poll_with_latency(LIMIT_MS * 0.9), [])
        self.assertEqual(self.poll_with_latency(LIMIT_MS * 0.5), [75])
        self.assertEqual(self.poll_with_latency(LIMIT_MS * 0.5), [100])

    def test_no_share_changes_below_the_limit(self) -> None:
        self.assertEqual(self.poll_with_latency(LIMIT_MS * 0.5), [])

    # Guards against a filler that goes on at full speed as an order was lost.
    def test_a_share_without_an_answer_is_sent_again(self) -> None:
        self.poll_with_latency(LIMIT_MS + 1, answered=False)
        shares = [self.poll_with_latency(LIMIT_MS * 0.9) for _ in range(4)]
        self.assertEqual(shares, [[], [50], [], []])

    def test_an_answer_to_an_earlier_share_does_not_count(self) -> None:
        self.poll_with_latency(LIMIT_MS + 1, answered=False)
        self.poll_with_latency(LIMIT_MS + 1, answered=False)
        self.answer_share(50)
        shares = [self.poll_with_latency(LIMIT_MS * 0.9) for _ in range(3)]
        self.assertEqual(shares, [[], [25], []])

    # Guards against a filler that stays slow once nothing needs it to be.
    def test_share_rises_when_the_service_has_left(self) -> None:
        self.poll_with_latency(LIMIT_MS + 1)
        listed = (self.list_filler(),)
        shares = []
        for _ in range(3):
            self.now_ms += 500
            self.poll("m0", running=listed)
            rows = self.get_effects(effects.SetTaskShare)
            shares += [row.share for row in rows]
            for row in rows:
                self.answer_share(row.share)
        self.assertEqual(shares, [75, 100])

    def list_filler(self) -> effects.StartTask:
        """Returns the filler as a poll lists it."""
        return cases.build_listed_run(self.filler.key, self.filler.number)


class AdoptedFillerTest(cases.CellCase):
    """A new owner does not know the share that an earlier one has set."""

    minion_count = 1
    epoch = 2

    def test_the_share_of_an_adopted_filler_is_set(self) -> None:
        job = self.build_job(cases.build_step(filler=True))
        self.apply(events.JobRecovered(job=job, unconfirmed=True))
        key = steps.TaskKey(job_id=job.job_id, repeat=0, step=0, index=0)
        self.now_ms += 2_000
        self.poll("m0", running=(cases.build_listed_run(key, 3),))
        (row,) = self.get_effects(effects.SetTaskShare)
        self.assertEqual(row.share, 100)
