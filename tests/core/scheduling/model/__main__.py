"""Runs the model: `python -m tests.core.scheduling.model --seeds 40`."""

import argparse
import sys

from tests.core.scheduling import test_random_takeovers
from tests.core.scheduling.model import cell


def run_seed(seed: int) -> bool:
    """Runs one seed; returns whether nothing was wrong."""
    model = cell.Model(seed=seed, limits_cpu=test_random_takeovers.LIMITS_CPU)
    model.run(test_random_takeovers.SECONDS)
    print(
        f"seed={seed} faults={len(model.judge.faults)} starts={model.starts} "
        f"takeovers={model.takeovers}"
    )
    for line in model.judge.faults[:5]:
        print(f"  {line}")
    return not model.judge.faults


def main() -> int:
    """Returns 0 if no seed found anything."""
    parser = argparse.ArgumentParser(
        prog="python -m tests.core.scheduling.model"
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    return 0 if all([run_seed(seed) for seed in seeds]) else 1


if __name__ == "__main__":
    sys.exit(main())
