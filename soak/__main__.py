"""Runs the soak: `python -m soak --seed 7` or `--minutes 5`."""

import argparse
import itertools
import sys
import time

from soak import faults
from soak import trial

SEED_S = 12.0


def run_seed(seed: int, options: argparse.Namespace) -> bool:
    """Runs one seed; returns whether nothing was wrong."""
    soak = trial.Soak(
        seed=seed,
        entries=options.entries,
        minions=options.minions,
        names=options.faults.split(",") if options.faults else faults.faults,
    )
    try:
        found = soak.run(options.seconds)
        verdict = "ok" if not found else f"{len(found)} faults"
        print(
            f"seed={seed} {verdict} accepted={len(soak.accepted)} "
            f"cancelled={len(soak.cancelled)} refused={len(soak.refused)} "
            f"struck={','.join(soak.struck)}",
            flush=True,
        )
        for line in found[:20]:
            print(f"  {line}", flush=True)
        if found and options.logs:
            soak.show_logs()
        return not found
    finally:
        soak.cell.close()


def main() -> int:
    """Returns 0 if no seed found anything."""
    parser = argparse.ArgumentParser(prog="python -m soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--minutes", type=float, help="run seeds this long")
    parser.add_argument("--seconds", type=float, default=SEED_S)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--minions", type=int, default=6)
    parser.add_argument("--faults", help="faults to draw from; all if absent")
    parser.add_argument("--logs", action="store_true", help="show logs")
    options = parser.parse_args()
    deadline = time.monotonic() + 60 * (options.minutes or 0)
    good = True
    for seed in itertools.count(options.seed):
        timed = options.minutes is not None
        if timed and time.monotonic() > deadline:
            break
        if not timed and seed >= options.seed + options.seeds:
            break
        good = run_seed(seed, options) and good
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
