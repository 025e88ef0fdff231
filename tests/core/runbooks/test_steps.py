"""Tests of steps for three legacy systems with different argument styles."""

import unittest

from hickoryreach.lists import allowances
from hickoryreach.runbooks import steps
from hickoryreach.structure import jobs
from standins import samples

ALLOWANCES = samples.build_allowances()


def translate(line: str):
    """Translates a command line with the sample allowances."""
    name, *words = line.split()
    return steps.translate(ALLOWANCES.steps[name], words)


class StepsTest(unittest.TestCase):
    """Arguments become work, or a refusal that says what to correct."""

    def test_short_options(self):
        work = translate(
            "quill.qsend -N july -t 1-12 -c 0.5 -m 64 run.sh hydro-7 late"
        ).unwrap()
        self.assertEqual(work.reference, "july")
        self.assertEqual(work.tasks, 12)
        self.assertEqual(work.need.cpu_millis, 500)
        self.assertEqual(work.need.memory_mb, 64)
        self.assertEqual(work.arguments, ("hydro-7", "late"))

    def test_pairs(self):
        work = translate(
            "lodestar.LSUB JOB=TRF-0091,COUNT=6 TIME=2 PARM=a PARM=b"
        ).unwrap()
        self.assertEqual(work.reference, "TRF-0091")
        self.assertEqual(work.tasks, 6)
        self.assertEqual(work.run_time_ms, 120_000)
        self.assertEqual(work.arguments, ("a", "b"))

    def test_positions(self):
        work = translate("fernpost.vouchers VCH-2031 40 m1 m2").unwrap()
        self.assertEqual(work.reference, "VCH-2031")
        self.assertEqual(work.tasks, 40)
        self.assertEqual(work.arguments, ("m1", "m2"))

    def test_request_takes_a_slot(self):
        work = translate("fernpost.check CHK-0001").unwrap()
        self.assertEqual(work.need.slots, 1)

    def test_refusals_state_the_fault(self):
        cases = {
            "quill.qsend -t 3 run.sh": "-N is missing",
            "quill.qsend -N a -N b": "-N stands more than once",
            "quill.qsend -N july -t none": "-t: invalid literal",
            "quill.qsend -N july -t 1-900000": "ask for 1 to 100000 tasks",
            "quill.qsend -N july -X": "-X",
            "quill.qsend -N ../x": "use letters, digits",
            "lodestar.LSUB JOB=TRF-0091 COLOR=red": "COLOR is not an argument",
            "lodestar.LSUB TRF-0091": "not of the form name=value",
            "lodestar.LSUB JOB=later": "must match",
            "fernpost.show VCH-2031 more": "one argument too many",
        }
        for line, fault in cases.items():
            with self.subTest(line):
                refusal = translate(line).failure()
                self.assertEqual(refusal.reason, "malformed_step")
                self.assertIn(fault, refusal.detail)

    def test_refusals_of_commands_list_the_allowed_ones(self):
        unknown = steps.find_step(
            ALLOWANCES, "small", "quill", "qmove"
        ).failure()
        self.assertEqual(unknown.reason, "unknown_step")
        self.assertIn("quill.qsend", unknown.detail)
        disallowed = steps.find_step(
            ALLOWANCES, "small", "fernpost", "retire"
        ).failure()
        self.assertEqual(disallowed.reason, "step_not_allowed")
        self.assertIn("fernpost.check", disallowed.detail)

    def test_output_uses_the_state_names_of_the_legacy_system(self):
        values = dict.fromkeys(steps.OUTPUT_NAMES, "")
        values |= {"reference": "july", "state": "running"}
        values |= {"done": 2, "tasks": 12}
        line = steps.render(ALLOWANCES.steps["quill.qshow"], values)
        self.assertEqual(line, "july r 2/12")

    def test_exit_code_0_for_unsuccessful_states_is_a_fault(self):
        step = allowances.Step(
            action="status",
            arguments={
                "-N": allowances.Argument(field="reference", required=True)
            },
            exit_codes={jobs.JobState.UNKNOWN: 0},
        )
        self.assertEqual(
            list(steps.find_faults(step)),
            ["exit_codes: unknown must not end with 0"],
        )


if __name__ == "__main__":
    unittest.main()
