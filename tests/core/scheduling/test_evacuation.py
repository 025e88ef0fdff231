"""Tests of moving work off minions that are about to leave."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.structure import steps
from tests.core.scheduling import cases

NOTICE_MS = 3_000


class EvacuationTest(cases.CellCase):
    """One of two minions is told to leave while it runs a task."""

    minion_cpu = 1_000

    def start_task(self, **words) -> effects.StartTask:
        """Starts a long task and returns its start."""
        step = cases.build_step(
            **({"estimate_ms": 60_000, "saves": True} | words)
        )
        self.submit(step)
        (start,) = self.confirm_starts()
        return start

    def drain(self, name: str, remaining_ms: int = NOTICE_MS) -> None:
        """Applies a registration by which a minion is about to leave."""
        minion = dataclasses.replace(
            self.cell.minions[name].minion,
            draining=True,
            remaining_ms=remaining_ms,
        )
        self.apply(events.MinionRegistered(minion=minion))

    def pass_time(self, total_ms: int) -> list[effects.StopTask]:
        """Applies ticks; returns the stops of runs that must move."""
        stops = []
        for _ in range(total_ms // 100):
            self.tick(100)
            stops += self.get_stops()
        return [each for each in stops if each.reason == "evacuated"]

    def test_a_task_is_stopped_shortly_before(self) -> None:
        start = self.start_task()
        self.drain(start.minion_id)
        self.assertFalse(self.pass_time(NOTICE_MS // 2))
        (stop,) = self.pass_time(NOTICE_MS // 2)
        self.assertEqual(stop.key, start.key)

    def test_it_continues_elsewhere_from_its_checkpoint(self) -> None:
        start = self.start_task()
        self.drain(start.minion_id)
        self.pass_time(NOTICE_MS)
        self.end(start, "stopped", checkpoint="00ab")
        (again,) = self.get_starts()
        self.assertNotEqual(again.minion_id, start.minion_id)
        self.assertEqual(again.checkpoint, "00ab")

    def test_a_task_that_ends_in_time_goes_on(self) -> None:
        start = self.start_task(estimate_ms=300)
        self.drain(start.minion_id)
        self.assertFalse(self.pass_time(NOTICE_MS - 400))

    def test_a_task_without_checkpoints_goes_on(self) -> None:
        start = self.start_task(saves=False)
        self.drain(start.minion_id)
        self.assertFalse(self.pass_time(2 * NOTICE_MS))

    def test_a_lasting_task_is_moved(self) -> None:
        start = self.start_task(saves=False, lasting=True)
        self.drain(start.minion_id)
        self.assertEqual(len(self.pass_time(NOTICE_MS)), 1)

    def test_a_minion_that_stays_keeps_its_tasks(self) -> None:
        start = self.start_task()
        self.drain(start.minion_id)
        minion = self.cell.minions[start.minion_id].minion
        stays = dataclasses.replace(minion, draining=False, remaining_ms=-1)
        self.apply(events.MinionRegistered(minion=stays))
        self.assertFalse(self.pass_time(2 * NOTICE_MS))

    def test_without_a_known_time_nothing_is_stopped(self) -> None:
        start = self.start_task()
        self.drain(start.minion_id, remaining_ms=-1)
        self.assertFalse(self.pass_time(2 * NOTICE_MS))

    def test_a_silent_minion_is_not_evacuated(self) -> None:
        start = self.start_task()
        self.drain(start.minion_id)
        self.apply(events.MinionUnreachable(minion_id=start.minion_id))
        self.assertFalse(self.pass_time(2 * NOTICE_MS))

    def test_every_member_of_a_gang_is_stopped(self) -> None:
        self.submit(
            cases.build_step(2, gang=True, saves=True, estimate_ms=60_000)
        )
        first, second = self.confirm_starts()
        self.drain(first.minion_id)
        (stop,) = self.pass_time(NOTICE_MS)
        self.assertEqual(stop.key, first.key)
        self.end(first, minions.EndKind.STOPPED, checkpoint="00ab")
        self.assertEqual([each.key for each in self.get_stops()], [second.key])
        self.assertIsInstance(second.key, steps.TaskKey)
