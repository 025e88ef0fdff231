"""Tests of the capacity that only tasks of the first rank may occupy."""

import dataclasses

from hickoryreach.scheduling import events
from hickoryreach.scheduling import settings
from hickoryreach.structure import cells
from hickoryreach.structure import steps
from tests.core.scheduling import cases

OVERDUE_S = 60
SMALL_SERVICE = "archive"


class TwoServicesTest(cases.CellCase):
    """A service whose minions are busy beside a small one that is idle."""

    minion_count = 20

    def build_settings(self) -> settings.Settings:
        """Returns settings by which more is kept than the small one has."""
        return settings.Settings(urgent_fraction=0.1)

    def configure(self) -> None:
        """Activates a configuration with a queue of each service."""
        super().configure()
        queue = dataclasses.replace(
            self.build_queue("files"), service=SMALL_SERVICE
        )
        service = cells.Service(name=SMALL_SERVICE)
        self.configuration = dataclasses.replace(
            self.configuration,
            queues=self.configuration.queues | {queue.name: queue},
            services=self.configuration.services | {service.name: service},
        )
        self.apply(
            events.ConfigurationChanged(configuration=self.configuration)
        )

    def add_small_minion(self, name: str) -> None:
        """Registers a minion of the small service."""
        known = self.cell.minions["m0"].minion
        minion = dataclasses.replace(
            known, minion_id=name, service=SMALL_SERVICE
        )
        self.apply(events.MinionRegistered(minion=minion))
        self.poll(name)

    def submit_files(self, wanted: steps.Step) -> list[str]:
        """Submits a job of the small service; returns where it starts."""
        self.submit(wanted, queue="files")
        return [each.minion_id for each in self.get_starts()]

    def test_a_busy_service_keeps_no_task_of_an_idle_one_waiting(self) -> None:
        self.add_small_minion("s0")
        self.submit(cases.build_step(20, cpu=4_000), queue="checks")
        self.confirm_starts()
        self.assertEqual(self.submit_files(cases.build_step()), ["s0"])

    def test_a_task_of_the_size_of_its_service_starts(self) -> None:
        self.add_small_minion("s0")
        whole = cases.build_step(cpu=4_000)
        self.assertEqual(self.submit_files(whole), ["s0"])


class WholeCellTest(cases.CellCase):
    """A gang that needs all minions."""

    def build_settings(self) -> settings.Settings:
        """Returns settings that reserve a tenth for the first rank."""
        return settings.Settings(urgent_fraction=0.1)

    def test_it_starts_and_does_not_reserve_idle_minions_for_ever(self) -> None:
        for name in self.cell.minions:
            self.apply(events.MinionUnreachable(minion_id=name))
        self.submit(cases.build_step(2, cpu=4_000, gang=True))
        self.submit(cases.build_step(lasting=True))
        self.now_ms += OVERDUE_S * 1_000
        for name in self.cell.minions:
            self.poll(name)
        for _ in range(100):
            self.tick()
        self.assertTrue(any(map(self.list_running, self.cell.minions)))


class FullCellTest(cases.CellCase):
    """Little more than the capacity for the first rank is free."""

    def build_settings(self) -> settings.Settings:
        """Returns settings that reserve a quarter for the first rank."""
        return settings.Settings(urgent_fraction=0.25)

    def test_a_lasting_task_starts_though_others_leave_little(self) -> None:
        self.submit(cases.build_step(6, estimate_ms=60_000))
        self.assertEqual(len(self.confirm_starts()), 6)
        self.submit(cases.build_step())
        self.assertEqual(len(self.get_starts()), 0)
        self.submit(cases.build_step(lasting=True))
        self.assertEqual(len(self.get_starts()), 1)
