"""Tests of minions whose capacity shrinks and grows again while they run."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling import cases

MEMORY_MB = 32_000


class ChangingCase(cases.CellCase):
    """Registers minions anew with another capacity.

    Attributes:
        capacities: Capacity that each minion last registered, by id.
    """

    minion_count = 1

    def setUp(self) -> None:
        """Creates a cell whose minions have their first capacity."""
        self.capacities: dict[str, resources.Resources] = {}
        super().setUp()

    def add_minion(self, name: str, **words) -> None:
        """Registers a minion."""
        super().add_minion(name, **words)
        self.capacities[name] = self.cell.minions[name].minion.capacity

    def resize(self, name: str, cpu: int, memory: int = MEMORY_MB) -> None:
        """Registers a minion anew with a capacity."""
        known = self.cell.minions[name].minion
        self.capacities[name] = cases.build_need(cpu, memory)
        self.apply(
            events.MinionRegistered(
                minion=dataclasses.replace(
                    known, capacity=self.capacities[name]
                )
            )
        )

    def get_free(self, name: str) -> resources.Resources:
        """Returns the free capacity of a minion."""
        return free_capacity.measure(self.cell).free[name]

    def get_used_cpu(self, name: str) -> int:
        """Returns the processor capacity that runs occupy on a minion."""
        return self.cell.minions[name].used.cpu_millis


class ShrinkingTest(ChangingCase):
    """A smaller capacity is in force for the next start."""

    def test_the_next_start_keeps_to_a_smaller_capacity(self) -> None:
        self.resize("m0", 2_000)
        self.submit(cases.build_step(count=4))
        self.assertEqual(len(self.get_starts()), 2)

    def test_nothing_starts_beside_runs_above_the_capacity(self) -> None:
        self.submit(cases.build_step(count=4))
        started = self.confirm_starts()
        self.resize("m0", 2_000)
        self.assertEqual(self.get_free("m0").cpu_millis, -2_000)
        self.submit(cases.build_step(cpu=1))
        self.assertEqual(self.get_starts(), [])
        for run in started[:2]:
            self.end(run)
            self.assertEqual(self.get_starts(), [])
        self.end(started[2])
        self.assertEqual(len(self.get_starts()), 1)

    def test_smaller_memory_is_in_force_too(self) -> None:
        self.submit(cases.build_step(count=2))
        self.confirm_starts()
        self.resize("m0", 4_000, memory=250)
        self.submit(cases.build_step())
        self.assertEqual(self.get_starts(), [])
        self.resize("m0", 4_000, memory=300)
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_capacity_of_nothing_takes_no_task(self) -> None:
        self.resize("m0", 0, memory=0)
        self.submit(cases.build_step())
        self.submit(cases.build_step(filler=True))
        self.assertEqual(self.get_starts(), [])

    def test_fillers_need_memory_only(self) -> None:
        self.submit(cases.build_step(count=4))
        self.confirm_starts()
        self.resize("m0", 1_000, memory=450)
        self.submit(cases.build_step(filler=True))
        self.assertEqual(self.get_starts(), [])
        self.resize("m0", 1_000, memory=500)
        self.assertEqual(len(self.get_starts()), 1)

    def test_runs_above_one_minion_s_capacity_leave_others_free(self) -> None:
        self.submit(cases.build_step(count=4))
        self.confirm_starts()
        self.resize("m0", 500)
        self.add_minion("m1")
        self.poll("m1")
        self.submit(cases.build_step(count=4))
        self.assertEqual(
            [each.minion_id for each in self.get_starts()], ["m1"] * 4
        )

    def test_what_is_being_stopped_still_counts(self) -> None:
        job_id = self.submit(cases.build_step(count=4))
        started = self.confirm_starts()
        self.resize("m0", 2_000)
        self.apply(events.JobCancelled(job_id=job_id))
        self.assertEqual(len(self.get_stops()), 4)
        self.submit(cases.build_step(count=2))
        for run in started[:2]:
            self.end(run, "stopped")
            self.assertEqual(self.get_starts(), [])
        self.end(started[2], "stopped")
        self.assertEqual(len(self.get_starts()), 1)

    def test_an_unclear_start_counts(self) -> None:
        self.submit(cases.build_step(count=2))
        (first, second) = self.get_starts()
        lost = minions.OrderFailure(reason="timeout", effect_unknown=True)
        self.answer(first, lost)
        self.confirm(second)
        self.resize("m0", 2_000)
        self.submit(cases.build_step())
        self.assertEqual(self.get_starts(), [])


class GrowingTest(ChangingCase):
    """Capacity that comes back is used again at once."""

    def test_growth_is_used_at_the_registration(self) -> None:
        self.resize("m0", 1_000)
        self.submit(cases.build_step(count=6))
        self.assertEqual(len(self.confirm_starts()), 1)
        self.resize("m0", 4_000)
        self.assertEqual(len(self.confirm_starts()), 3)
        self.resize("m0", 8_000)
        self.assertEqual(len(self.get_starts()), 2)

    def test_growth_from_nothing_is_used(self) -> None:
        self.resize("m0", 0, memory=0)
        self.submit(cases.build_step(count=2))
        self.resize("m0", 4_000)
        self.assertEqual(len(self.get_starts()), 2)

    def test_a_gang_starts_once_the_capacity_has_grown(self) -> None:
        self.resize("m0", 2_000)
        self.submit(cases.build_step(count=4, gang=True))
        self.assertEqual(self.get_starts(), [])
        self.resize("m0", 4_000)
        self.assertEqual(len(self.get_starts()), 4)


class RegisteredAgainTest(ChangingCase):
    """A registration that expired comes back with another capacity."""

    def test_a_smaller_capacity_is_in_force_after_an_expiry(self) -> None:
        self.submit(cases.build_step(count=2))
        self.confirm_starts()
        self.apply(events.MinionUnregistered(minion_id="m0"))
        self.submit(cases.build_step(count=2))
        self.assertEqual(self.get_starts(), [])
        self.resize("m0", 3_000)
        self.assertEqual(len(self.get_starts()), 1)

    def test_a_smaller_capacity_is_in_force_after_a_lapse(self) -> None:
        self.submit(cases.build_step(count=4, saves=True))
        self.confirm_starts()
        self.apply(events.MinionUnreachable(minion_id="m0"))
        self.apply(events.LeaseExpired(minion_id="m0"))
        self.resize("m0", 1_000)
        self.poll("m0")
        self.tick(elapsed_ms=1_000)
        self.poll("m0")
        self.assertEqual(self.get_used_cpu("m0"), 1_000)


class TakeoverTest(ChangingCase):
    """A new owner finds runs of an earlier one above the capacity."""

    epoch = 2
    minion_count = 0

    def test_adopted_runs_count_against_a_smaller_capacity(self) -> None:
        job_id = self.submit(cases.build_step(count=6))
        record = self.cell.jobs[job_id].steps[(0, 0)]
        listed = [
            cases.build_listed_run(record.get_key(index), 1)
            for index in range(3)
        ]
        self.add_minion("m0", capacity=cases.build_need(2_000, MEMORY_MB))
        self.assertEqual(self.get_starts(), [])
        self.poll("m0", running=listed)
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(self.get_free("m0").cpu_millis, -1_000)
        for run in listed[:1]:
            self.end(run)
        self.assertEqual(self.get_starts(), [])
        self.end(listed[1])
        self.assertEqual(len(self.get_starts()), 1)

    def test_runs_of_unknown_size_bar_a_smaller_minion(self) -> None:
        self.add_minion("m0", capacity=cases.build_need(2_000, MEMORY_MB))
        other = self.build_job(cases.build_step())
        key = steps.TaskKey(job_id=other.job_id, repeat=0, step=0, index=0)
        self.poll("m0", running=[cases.build_listed_run(key, 1)])
        self.submit(cases.build_step())
        self.assertEqual(self.get_starts(), [])


class GangTest(ChangingCase):
    """Gangs and reservations keep to a smaller capacity."""

    minion_count = 2

    def test_a_gang_is_not_spread_over_more_than_is_left(self) -> None:
        self.resize("m0", 1_000)
        self.submit(cases.build_step(count=6, gang=True))
        self.assertEqual(self.get_starts(), [])
        self.submit(cases.build_step(count=5, gang=True))
        starts = [each.minion_id for each in self.get_starts()]
        self.assertEqual(sorted(starts), ["m0"] + ["m1"] * 4)

    def test_a_gang_waits_for_runs_above_the_capacity(self) -> None:
        self.submit(cases.build_step(count=8))
        started = self.confirm_starts()
        self.resize("m0", 2_000)
        self.submit(cases.build_step(count=2, cpu=2_000, gang=True))
        on = {"m0": [], "m1": []}
        for run in started:
            on[run.minion_id].append(run)
        for run in (*on["m0"][:3], *on["m1"][:1]):
            self.end(run)
            self.assertEqual(self.get_starts(), [])
        self.end(on["m0"][3])
        self.assertEqual(self.get_starts(), [])
        self.end(on["m1"][1])
        self.assertEqual(len(self.get_starts()), 2)

    def test_a_shrunk_minion_is_not_reserved_for_what_exceeds_it(self) -> None:
        self.submit(cases.build_step(count=2, cpu=3_000))
        self.confirm_starts()
        self.resize("m0", 2_000)
        self.submit(cases.build_step(count=2, cpu=4_000, gang=True))
        self.assertEqual(self.get_stops(), [])
        self.submit(cases.build_step(cpu=1_000))
        self.assertEqual([each.minion_id for each in self.get_starts()], ["m1"])


class PreemptionTest(ChangingCase):
    """Urgent tasks displace as much as a smaller capacity asks for."""

    def fill(self) -> list[effects.StartTask]:
        """Fills the minion with runs that may be preempted."""
        self.submit(cases.build_step(count=4, saves=True))
        return self.confirm_starts()

    def list_stopping(self) -> list[state.Run]:
        """Returns the runs on the minion that are being stopped."""
        return [
            run
            for run in self.list_running("m0")
            if run.phase is state.Phase.STOPPING
        ]

    def end_all(self, stopped: list[state.Run]) -> None:
        """Applies a poll reply that lists the ends of stopped runs."""
        names = {(run.key, run.number) for run in stopped}
        self.poll(
            "m0",
            running=[
                run
                for run in self.list_running("m0")
                if (run.key, run.number) not in names
            ],
            ends=tuple(
                minions.TaskEnd(
                    number=next(self.end_numbers),
                    key=run.key,
                    run=run.number,
                    kind=minions.EndKind.STOPPED,
                    checkpoint="",
                )
                for run in stopped
            ),
        )

    def test_enough_runs_are_stopped_and_their_ends_awaited(self) -> None:
        self.fill()
        self.resize("m0", 3_000)
        urgent_id = self.submit(cases.build_step(cpu=2_000), queue="checks")
        self.assertEqual(self.get_starts(), [])
        self.assertEqual(len(self.get_stops()), 3)
        first, *others = self.list_stopping()
        self.end(first, "stopped")
        self.assertEqual(self.get_starts(), [])
        self.end_all(others)
        (urgent,) = self.get_starts()
        self.assertEqual(urgent.key.job_id, urgent_id)
        self.assertEqual(self.get_used_cpu("m0"), 3_000)

    def test_nothing_is_stopped_for_a_task_above_the_capacity(self) -> None:
        self.fill()
        self.resize("m0", 2_000)
        self.submit(cases.build_step(cpu=3_000), queue="checks")
        self.assertEqual((self.get_starts(), self.get_stops()), ([], []))

    def test_a_shrinking_while_runs_stop_holds_the_urgent_task_back(
        self,
    ) -> None:
        self.fill()
        urgent_id = self.submit(cases.build_step(cpu=2_000), queue="checks")
        self.assertEqual(len(self.get_stops()), 2)
        self.resize("m0", 2_000)
        stopping = self.list_stopping()
        self.assertEqual(len(stopping), 4)
        self.end_all(stopping[:2])
        self.assertEqual(self.get_starts(), [])
        self.end_all(stopping[2:])
        (urgent,) = self.get_starts()
        self.assertEqual(urgent.key.job_id, urgent_id)
