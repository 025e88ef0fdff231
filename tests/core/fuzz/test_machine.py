"""Runs the state machine of the reducer."""

import unittest

from hypothesis import stateful

from tests.core.fuzz import machine
from tests.core.fuzz import settings


class MachineTest(unittest.TestCase):
    """Work, faults and replaced owners in any order."""

    def test_what_must_hold_holds(self):
        stateful.run_state_machine_as_test(
            machine.Machine, settings=settings.ci
        )


if __name__ == "__main__":
    unittest.main()
