"""Fuzzes longer: `FUZZ_SEED=1 FUZZ_EXAMPLES=5000 python -m tests.core.fuzz`."""

import os
import time

import hypothesis
from hypothesis import stateful

from tests.core.fuzz import machine
from tests.core.fuzz import settings

SEED = 1


def main() -> None:
    """Runs the machine with a seed; a violation ends with its shortest run."""
    seed = int(os.environ.get("FUZZ_SEED", SEED))
    profile = settings.make_long()
    began_s = time.monotonic()
    seeded = hypothesis.seed(seed)(machine.Machine)
    stateful.run_state_machine_as_test(seeded, settings=profile)
    print(
        f"no violation: seed {seed}, {profile.max_examples} runs of up to "
        f"{profile.stateful_step_count} steps, "
        f"{time.monotonic() - began_s:.0f} s"
    )


if __name__ == "__main__":
    main()
