"""Shows that the fuzz notices each protection that is taken out."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful

from hickoryreach.decisions import limits
from hickoryreach.structure import jobs
from tests.core.fuzz import machine
from tests.core.fuzz import oracle
from tests.core.fuzz import settings

EXAMPLES = 3_000

profile = hypothesis.settings(
    settings.ci,
    max_examples=EXAMPLES,
    phases=(hypothesis.Phase.generate,),
)


def make_broken(
    *broken: str, fixed_limits: bool = True
) -> type[machine.Machine]:
    """Returns a machine without some protections, and without gangs."""
    changes = {
        "broken": frozenset(broken),
        "left_out": frozenset((jobs.Kind.GANG,)),
        "fixed_limits": fixed_limits,
    }
    return type("Broken", (machine.Machine,), changes)


class ChecksTest(unittest.TestCase):
    """Without a protection, its check fails."""

    def expect(self, message: str, broken: type[machine.Machine]) -> None:
        """Runs a broken machine and expects a violation."""
        with self.assertRaisesRegex(oracle.ViolationError, message):
            stateful.run_state_machine_as_test(broken, settings=profile)

    def test_a_limit_unknown_to_the_reducer_is_noticed(self):
        self.expect("limit", make_broken("limit", fixed_limits=False))

    def test_a_limit_that_is_not_compared_is_noticed(self):
        with mock.patch.object(limits, "has_room", return_value=True):
            self.expect("limit", make_broken(fixed_limits=False))

    def test_a_worker_called_larger_than_it_is_is_noticed(self):
        self.expect("over its size", make_broken("size"))

    def test_workers_that_ignore_terms_and_grants_are_noticed(self):
        self.expect("two places|ran again|not run|size", make_broken("fence"))

    def test_a_worker_called_lost_too_early_is_noticed(self):
        self.expect("two places|size", make_broken("early_loss"))

    def test_holds_cleared_too_early_are_noticed(self):
        self.expect("two places|size", make_broken("early_clear"))

    def test_intents_that_are_not_kept_are_noticed(self):
        self.expect("ran again|not run", make_broken("intent"))

    def test_work_wrongly_called_idempotent_is_noticed(self):
        self.expect("ran again", make_broken("idempotent"))

    def test_work_wrongly_called_not_run_is_noticed(self):
        self.expect("not run", make_broken("not_run"))

    def test_a_job_without_an_answer_is_noticed(self):
        self.expect("never answered", make_broken("answer"))


if __name__ == "__main__":
    unittest.main()
