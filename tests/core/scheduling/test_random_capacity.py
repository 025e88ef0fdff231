"""Random changes of capacity, checked against what the minions registered."""

import random

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from tests.core.scheduling import cases
from tests.core.scheduling import test_capacity_changes as changes


class RandomChangesTest(changes.ChangingCase):
    """No start brings a minion above what it last registered."""

    minion_count = 3

    def check_starts(self) -> list[effects.StartTask]:
        """Checks the last starts against the capacities; returns them."""
        starts = self.get_starts()
        for name in {start.minion_id for start in starts}:
            minion = self.cell.minions[name]
            occupied = resources.ZERO
            for run in minion.runs.values():
                occupied = occupied + run.need
            need = max(
                (
                    minion.runs[(start.key, start.number)].need
                    for start in starts
                    if start.minion_id == name
                ),
                key=lambda each: each.cpu_millis,
            )
            capacity = self.capacities[name]
            self.assertLessEqual(occupied.memory_mb, capacity.memory_mb)
            if need.cpu_millis:
                self.assertLessEqual(occupied.cpu_millis, capacity.cpu_millis)
        return starts

    def submit_any(self, draw: random.Random) -> None:
        """Submits a job of a random kind."""
        kind = draw.choice(
            (
                {"saves": True},
                {"gang": True},
                {"gang": True, "saves": True},
                {"filler": True},
                {"lasting": True},
                {},
            )
        )
        self.submit(
            cases.build_step(
                count=draw.randint(1, 5),
                cpu=draw.choice((300, 1_000, 2_500)),
                **kind,
            ),
            queue=draw.choice(("runs", "checks")),
        )

    def change_any(self, draw: random.Random) -> None:
        """Changes, removes or adds something at random."""
        name = f"m{draw.randrange(3)}"
        known = self.cell.minions[name]
        match draw.randrange(6):
            case 0 | 1:
                cpu = draw.choice((0, 500, 1_000, 2_500, 4_000, 8_000))
                self.resize(
                    name, cpu, draw.choice((0, 250, 600, changes.MEMORY_MB))
                )
            case 2:
                self.submit_any(draw)
            case 3:
                self.apply(events.MinionUnregistered(minion_id=name))
                self.check_starts()
                self.resize(name, draw.choice((500, 2_500)))
            case 4:
                self.tick(elapsed_ms=draw.choice((50, 700)))
            case _:
                self.end_any(draw, list(known.runs.values()))

    def end_any(self, draw: random.Random, present: list[state.Run]) -> None:
        """Ends a run, as the minion does with what it was told to stop."""
        if not present:
            return
        run = draw.choice(present)
        stopping = run.phase is state.Phase.STOPPING
        self.end(run, "stopped" if stopping else "done")

    def test_random_changes_never_overcommit(self) -> None:
        started = 0
        for seed in range(40):
            self.setUp()
            draw = random.Random(seed)
            with self.subTest(seed=seed):
                for _ in range(120):
                    self.change_any(draw)
                    for start in self.check_starts():
                        started += 1
                        self.confirm(start)
                        started += len(self.check_starts())
        self.assertGreater(started, 1_000)
