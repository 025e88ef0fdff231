"""Tests of the index of room."""

import random
import unittest

from hickoryreach.decisions import capacity
from hickoryreach.structure import resources

WORKERS = 300
SEED = 5


def draw(rng, largest):
    """Returns a random size."""
    return resources.Resources(
        cpu_millis=rng.randrange(0, largest),
        memory_mb=rng.randrange(0, 2 * largest),
        accelerators=rng.choice((0, 0, 1, 2)),
    )


class RoomIndexTest(unittest.TestCase):
    """The index agrees with a scan of all workers."""

    def test_levels_rise_with_amounts(self):
        levels = [capacity.get_level(amount) for amount in range(5_000)]
        self.assertEqual(levels, sorted(levels))

    def test_search_finds_a_worker_exactly_when_one_fits(self):
        rng = random.Random(SEED)
        index = capacity.RoomIndex()
        rooms = {}
        for step in range(2_000):
            name = f"w{rng.randrange(WORKERS)}"
            if rng.random() < 0.1:
                index.remove(name)
                rooms.pop(name, None)
            else:
                rooms[name] = draw(rng, 2_000)
                index.put(name, name, rooms[name])
            need = draw(rng, 2_000 if step % 2 else 6_000)
            found = list(index.search(need, rooms.__getitem__))
            fitting = [key for key in rooms if need.fits_in(rooms[key])]
            self.assertEqual(bool(found), bool(fitting))
            self.assertLessEqual(set(found), set(fitting))


class SlotIndexTest(unittest.TestCase):
    """Workers come by score, then by turn."""

    def test_freest_comes_first_and_equals_take_turns(self):
        index = capacity.SlotIndex()
        index.put("w1", 3, 2, 8)
        index.put("w2", 3, 1, 8)
        index.put("w3", 5, 9, 8)
        self.assertEqual(list(index.list_freest()), ["w3", "w2", "w1"])
        index.remove("w3")
        self.assertEqual(index.slots, 16)


if __name__ == "__main__":
    unittest.main()
