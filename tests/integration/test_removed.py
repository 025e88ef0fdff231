"""Each proof fails once the protection that it is meant for is taken out."""

import unittest

from tests.integration import cases
from tests.integration import test_answers
from tests.integration import test_instances
from tests.integration import test_keys
from tests.integration import test_limits
from tests.integration import test_owner_lost
from tests.integration import test_rolling
from tests.integration import test_store_faults
from tests.integration import test_workers

MODULE = "tests.integration.broken_entry"


def run_without(protection: str, case: type[cases.CellCase], test: str) -> str:
    """Runs one proof against entries without a protection.

    Returns:
        The messages of its failures, empty if it passed.
    """
    broken = type(
        f"{case.__name__}Without{protection.title()}",
        (case,),
        {"entry_module": f"{MODULE} {protection}"},
    )
    outcome = unittest.TestResult()
    unittest.TestSuite([broken(test)]).run(outcome)
    return "\n".join(
        message for _, message in outcome.failures + outcome.errors
    )


@cases.long_only
class RemovedTest(unittest.TestCase):
    """One test for each of the eleven points."""

    def test_overcommit_without_capacity(self):
        found = run_without(
            "capacity",
            test_workers.WorkersTest,
            "test_full_cell_keeps_every_capacity_and_slot",
        )
        self.assertIn("capacity_kept", found)

    def test_two_places_without_holds(self):
        found = run_without(
            "holds",
            test_owner_lost.UnseenWorkerTest,
            "test_owner_killed_while_a_worker_is_out_of_reach",
        )
        self.assertIn("one_place_at_a_time", found)

    def test_foreign_work_without_keys(self):
        found = run_without(
            "keys",
            test_keys.KeysTest,
            "test_no_key_and_an_unknown_key_are_refused",
        )
        self.assertIn("AssertionError", found)

    def test_withdrawn_key_without_news(self):
        found = run_without(
            "news",
            test_keys.WithdrawnKeyTest,
            "test_at_an_entry_cut_off_from_the_store",
        )
        self.assertIn("True is not false", found)

    def test_limit_exceeded_without_limits(self):
        found = run_without(
            "limits",
            test_limits.LimitsTest,
            "test_limit_holds_over_both_shards",
        )
        self.assertIn("limits_kept", found)

    def test_half_answer_without_whole_answers(self):
        found = run_without(
            "whole",
            test_answers.AnswersTest,
            "test_body_cut_in_the_middle_on_the_way_from_the_minion",
        )
        self.assertIn("'state': 'succeeded'", found)

    def test_false_refusal_without_truth(self):
        found = run_without(
            "truth",
            test_answers.AnswersTest,
            "test_body_cut_in_the_middle_on_the_way_from_the_minion",
        )
        self.assertRegex(found, "not_run_is_true|at_most_once")

    def test_run_again_without_intents(self):
        found = run_without(
            "intents",
            test_workers.DomainLostTest,
            "test_work_goes_on_without_the_domain_and_its_owner",
        )
        self.assertIn("at_most_once", found)

    def test_new_work_at_a_departing_minion(self):
        found = run_without(
            "departing",
            test_instances.InstanceListTest,
            "test_departing_minion_receives_nothing_new",
        )
        self.assertIn("worker-3", found)

    def test_requests_cut_off_without_drain(self):
        found = run_without(
            "drain",
            test_rolling.RollingReplacementTest,
            "test_every_entry_replaced_twice_under_load",
        )
        self.assertIn("AssertionError", found)

    def test_older_list_without_revisions(self):
        found = run_without(
            "revisions",
            test_store_faults.OlderStoreTest,
            "test_older_revision_after_a_restore_is_not_taken",
        )
        self.assertIn("False is not true", found)
