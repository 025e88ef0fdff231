"""Tests of the validation across both lists."""

import unittest

from hickoryreach.lists import allowances
from hickoryreach.lists import checks
from hickoryreach.lists import plans
from standins import samples
from tests.core.lists import fakes

GOLD_PLAN = plans.Plan(workspace="west", plan="gold")
INVALID_STEP = allowances.Step(action="submit", style="cards", command="x")


def find_faults(listed: plans.Plans, allowed: allowances.Allowances) -> str:
    """Returns the faults of both lists as one text."""
    return "\n".join(
        checks.find_faults(checks.Pair(plans=listed, allowances=allowed))
    )


class ChecksTest(unittest.TestCase):
    """Each fault is reported."""

    def test_samples_have_no_faults(self):
        self.assertEqual(
            find_faults(samples.build_plans(), samples.build_allowances()), ""
        )

    def test_faults_of_plans(self):
        valid = fakes.build_plans("north", "south")
        key = fakes.build_key("north")
        cases = {
            "no allowance for plan gold": {"plans": (*valid.plans, GOLD_PLAN)},
            "at least one operator": {"operators": ()},
            "workspace: north stands more than once": {
                "plans": (valid.plans[0], valid.plans[0])
            },
            "the same key is granted": {
                "plans": (
                    valid.plans[0],
                    valid.plans[1].model_copy(update={"keys": (key,)}),
                )
            },
        }
        for fault, fields in cases.items():
            with self.subTest(fault):
                document = valid.model_copy(update=fields)
                self.assertIn(
                    fault, find_faults(document, fakes.build_allowances())
                )

    def test_faults_of_allowances(self):
        basic = allowances.Allowance(plan="basic")
        cases = {
            "there is no queue late": {
                "allowances": (basic.model_copy(update={"queues": ("late",)}),)
            },
            "there is no step a.b": {
                "allowances": (basic.model_copy(update={"steps": ("a.b",)}),)
            },
            "a limit of nothing": {
                "allowances": (
                    basic.model_copy(update={"limit": allowances.Amount()}),
                )
            },
            "an open queue needs the workspace": {
                "queues": (
                    allowances.Queue(name="default"),
                    allowances.Queue(name="public", open=True),
                )
            },
            "there is no argument style cards": {
                "steps": {"a.b": INVALID_STEP}
            },
            "must give the reference": {"steps": {"a.b": INVALID_STEP}},
        }
        for fault, fields in cases.items():
            with self.subTest(fault):
                document = fakes.build_allowances().model_copy(update=fields)
                self.assertIn(
                    fault, find_faults(fakes.build_plans("north"), document)
                )


if __name__ == "__main__":
    unittest.main()
