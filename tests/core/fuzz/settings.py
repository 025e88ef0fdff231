"""Profiles of the fuzz: the same short run in CI, longer runs by hand."""

import os

import hypothesis

CI_EXAMPLES = 150
LONG_EXAMPLES = 5_000
STEPS = 50

_HEALTH = tuple(hypothesis.HealthCheck)

ci = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=CI_EXAMPLES,
    stateful_step_count=STEPS,
    report_multiple_bugs=False,
    suppress_health_check=_HEALTH,
)


def make_long() -> hypothesis.settings:
    """Returns the longer profile; FUZZ_EXAMPLES sets its length."""
    return hypothesis.settings(
        ci,
        derandomize=False,
        max_examples=int(os.environ.get("FUZZ_EXAMPLES", LONG_EXAMPLES)),
    )
