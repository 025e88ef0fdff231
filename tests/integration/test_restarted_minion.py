"""Minions that start again under their ids and are cut off soon after."""

import unittest

import gevent

from standins import proxy
from standins.users import cell
from standins.users import checker
from standins.users import minions

FIRST_CLOCK_S = 3_000.0
NEXT_CLOCK_S = 30.0
AWAY_S = 0.7
SETTLE_S = 1.5
CUT_S = 7.0
WORK_MS = 8_000
JOB_LIMIT_S = 40.0
STRUCK = 2


class RestartedMinionTest(unittest.TestCase):
    """Two minions lose power, return under their ids and are cut off."""

    def setUp(self) -> None:
        """Starts a cell whose first minions have an old clock."""
        self.network = proxy.Network()
        self.cell = cell.Cell(
            entry_count=2, minion_count=4, network=self.network
        )
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.struck = list(self.cell.users.minions.values())[:STRUCK]
        self.restart(FIRST_CLOCK_S)
        gevent.sleep(SETTLE_S)

    def restart(self, clock_s: float) -> None:
        """Restarts the struck minions, whose clocks begin at `clock_s`."""
        for minion in self.struck:
            for run in list(minion.runs.values()):
                minion.end(run, minions.CRASHED)
            minion.draw_clock_s = lambda: clock_s
            minion.be_reborn()
            self.cell.users.register(minion)

    def set_rules(self, **way: bool) -> None:
        """Puts rules for the struck minions in force, in place of others."""
        self.network.set_rules(
            [
                proxy.Rule(target=minion.minion_id, **way)
                for minion in self.struck
            ]
        )

    def test_what_ran_behind_the_cut_has_ended_when_it_starts_elsewhere(
        self,
    ) -> None:
        """Guards against a lease set by calls for an earlier incarnation."""
        self.restart(NEXT_CLOCK_S)
        self.set_rules(hold_up=True)
        gevent.sleep(AWAY_S)
        self.network.set_rules([])
        tasks = len(self.cell.users.minions)
        job_id = self.cell.submit(
            self.cell.entries[0],
            count=tasks,
            antiAffinity=1,
            payload={"work_ms": WORK_MS},
        )
        self.cell.wait_for(lambda: all(minion.runs for minion in self.struck))
        for index in range(tasks, tasks + STRUCK):
            self.cell.users.add_minion(f"i-{index:02d}", index)
        self.set_rules(cut=True)
        gevent.sleep(CUT_S)
        self.network.set_rules([])
        self.cell.wait_for(
            lambda: self.cell.get_state(job_id) == "completed", JOB_LIMIT_S
        )
        found = checker.find_faults(self.cell.users.seen, {job_id: tasks})
        self.assertEqual(found, [])
