"""Tests of the throttling of fillers beside service tasks."""

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
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

    def poll_with_latency(self, latency_ms: float) -> list[int]:
        """Polls with a tail latency; returns the shares that were set."""
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
        return [each.share for each in self.get_effects(effects.SetTaskShare)]

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
