"""Tests of budgets that several shards move between them."""

import random
import unittest

from hickoryreach.structure import resources
from hickoryreach.structure import workspaces
from hickoryreach_entry.owner import budgets
from tests.entry import fakes

LIMIT = resources.Resources(cpu_millis=10_000, memory_mb=1_000, slots=7)
TASK = resources.Resources(cpu_millis=500, memory_mb=30, slots=1)


class Spender:
    """A shard that runs tasks within its budget.

    Attributes:
        running: Number of tasks.
        waiting: Number of tasks that wait.
    """

    def __init__(self, *, client, shard: int, term: int = 1) -> None:
        """Creates a shard that runs nothing."""
        self.budgets = budgets.Budgets(client=client, shard=shard, shards=3)
        self.budgets.term = term
        self.limit = LIMIT
        self.running = 0
        self.waiting = 0

    def get_entitlement(self) -> workspaces.Entitlement:
        """Returns the entitlement of the whole fleet."""
        return workspaces.Entitlement(workspace="north", limit=self.limit)

    def get_demands(self) -> dict[str, budgets.Demand]:
        """Returns what is used and needed."""
        needed = TASK if self.waiting else resources.ZERO
        used = TASK.times(self.running)
        return {"north": budgets.Demand(used=used, needed=needed)}

    def balance(self) -> None:
        """Moves budget, then starts what fits."""
        self.budgets.balance(
            (self.get_entitlement(),), self.get_demands, lambda: None, 10
        )
        self.start()

    def start(self) -> None:
        """Starts waiting tasks that fit the budget."""
        (allowed,) = self.budgets.limit((self.get_entitlement(),))
        while self.waiting:
            if not TASK.times(self.running + 1).fits_in(allowed.limit):
                return
            self.waiting -= 1
            self.running += 1


class BudgetsTest(unittest.TestCase):
    """Three shards and one workspace."""

    def setUp(self):
        self.clock = fakes.Clock()
        self.enterContext(self.clock.in_force())
        self.store = fakes.FakeStore()
        self.shards = [
            Spender(client=self.store, shard=shard) for shard in range(3)
        ]

    def balance(self, rounds: int = 1) -> None:
        """Lets every shard balance."""
        for _ in range(rounds):
            self.clock.move(0.5)
            for shard in self.shards:
                shard.balance()
                self.check()

    def check(self, limit: resources.Resources = LIMIT) -> None:
        """Checks that all shards together keep within the limit."""
        running = sum(shard.running for shard in self.shards)
        self.assertTrue(TASK.times(running).fits_in(limit), running)

    def test_one_shard_may_use_the_whole_limit(self):
        self.shards[0].waiting = 100
        self.balance(20)
        self.assertEqual(self.shards[0].running, 7)

    def test_idle_budget_goes_to_where_work_waits(self):
        self.shards[0].waiting = 7
        self.balance(20)
        self.shards[0].running = 1
        self.shards[1].waiting = 100
        self.balance(30)
        self.assertGreaterEqual(self.shards[1].running, 5)

    def test_shards_that_all_have_work_are_not_stuck(self):
        limit = resources.Resources(cpu_millis=1_100, memory_mb=99, slots=3)
        for shard in self.shards:
            shard.limit = limit
            shard.waiting = 20
        done = 0
        for _ in range(200):
            self.balance()
            for shard in self.shards:
                done += shard.running
                shard.running = 0
        self.assertEqual(done, 60)

    def test_with_one_shard_the_store_is_left_alone(self):
        alone = budgets.Budgets(client=self.store, shard=0, shards=1)
        entitlements = (self.shards[0].get_entitlement(),)
        self.assertEqual(alone.limit(entitlements), entitlements)
        self.assertEqual(self.store.writes, 0)

    def test_a_lowered_limit_is_in_force_without_a_write(self):
        for shard in self.shards:
            shard.waiting = 2
        self.balance(20)
        self.store.down = True
        for shard in self.shards:
            shard.limit = resources.Resources(
                cpu_millis=5_000, memory_mb=500, slots=3
            )
        allowed = [
            each.budgets.limit((each.get_entitlement(),))[0].limit.slots
            for each in self.shards
        ]
        self.assertLessEqual(sum(allowed), 3)

    def test_an_owner_whose_shard_was_taken_moves_nothing_more(self):
        first = self.shards[0]
        first.waiting = 4
        self.balance(10)
        second = Spender(client=self.store, shard=0, term=2)
        second.running = first.running
        second.balance()
        writes = self.store.writes
        first.running = 0
        first.waiting = 0
        self.clock.move(10)
        first.balance()
        self.clock.move(10)
        first.balance()
        self.assertEqual(self.store.writes, writes)
        self.assertTrue(first.budgets.lost)

    def test_budget_given_back_is_not_spent_though_the_answer_was_lost(self):
        first, second, _ = self.shards
        first.waiting = 7
        self.balance(20)
        first.running = 0
        self.store.losing = 1
        first.balance()
        self.assertEqual(self.store.losing, 0)
        second.waiting = 7
        for _ in range(10):
            second.balance()
        self.assertGreater(second.running, 0)
        self.store.down = True
        first.waiting = 7
        first.balance()
        self.check()

    def test_a_new_owner_spends_nothing_before_it_has_written(self):
        self.shards[0].waiting = 7
        self.balance(20)
        second = Spender(client=self.store, shard=0, term=2)
        second.waiting = 1
        self.store.down = True
        second.balance()
        self.assertEqual(second.running, 0)

    def test_the_sum_holds_whatever_becomes_of_the_answers(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.setUp()
                self.run_random(random.Random(seed))

    def run_random(self, chance: random.Random) -> None:
        """Runs random work over a store that loses answers."""
        for _ in range(150):
            self.clock.move(chance.choice((0.1, 1.0, 4.0)))
            self.store.down = chance.random() < 0.1
            self.store.losing = int(chance.random() < 0.3)
            number = chance.randrange(3)
            shard = self.shards[number]
            step = chance.random()
            if step < 0.3:
                shard.waiting += chance.randrange(4)
            elif step < 0.6:
                shard.running -= chance.randint(0, shard.running)
                shard.waiting = 0
            elif step < 0.65:
                shard = Spender(
                    client=self.store,
                    shard=number,
                    term=shard.budgets.term + 1,
                )
                shard.running = self.shards[number].running
                self.shards[number] = shard
            shard.balance()
            self.check()


if __name__ == "__main__":
    unittest.main()
