"""Runs the bench: `python -m bench`, or with BENCH=full the large sizes."""

from collections.abc import Iterator
import dataclasses
import gc
import os
import pathlib
import random
import time

import orjson

from bench import cells
from bench import driver
from bench import loads
from bench import policies
from bench import recorder
from bench import targets

SEED = 4
ROWS_PATH = pathlib.Path("build/bench.json")
DETAILS_PATH = pathlib.Path("build/bench_details.json")
DAY_LOADS = (
    "ordinary",
    "surge",
    "wrong_sizes",
    "cancel_wave",
    "failing_workers",
    "rack_lost",
)
FLEET_LOADS = ("fleet_peak",)
REDUCED_FLEET = (120, 480)
FULL_FLEET = (1_000, 18_000)
COLUMNS = (
    ("deployment", "deployment"),
    ("load", "load"),
    ("policy", "policy"),
    ("workers", "workers"),
    ("wait_p50_ms", "p50 ms"),
    ("wait_p99_ms", "p99 ms"),
    ("urgent_start_p99_ms", "urgent"),
    ("packing_ratio", "packing"),
    ("share_distance", "share"),
    ("decision_us_p50", "us p50"),
    ("decision_us_p99", "us p99"),
    ("store_writes_per_s", "writes"),
    ("control_bytes_per_s", "B/s"),
    ("placements", "placed"),
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One run to make."""

    cell: cells.Cell
    load: str
    policy: str


def list_cases(full: bool) -> Iterator[Case]:
    """Yields every run of the bench."""
    for cell in (cells.make_cedarline(), cells.make_association()):
        for load in DAY_LOADS:
            for policy in policies.policies.members:
                yield Case(cell=cell, load=load, policy=policy)
    sizes = (*REDUCED_FLEET, *FULL_FLEET) if full else REDUCED_FLEET
    for size in sizes:
        for load in FLEET_LOADS:
            for policy in policies.policies.members:
                cell = cells.make_fleet(size)
                yield Case(cell=cell, load=load, policy=policy)


def run_case(case: Case, seed: int) -> recorder.Details:
    """Runs one case; every policy meets the same arrivals."""
    rng = random.Random(f"{seed}/{case.cell.deployment}/{case.load}")
    load = loads.loads.find(case.load)(case.cell, rng)
    run = driver.Driver(
        cell=case.cell,
        load=load,
        policy=policies.policies.find(case.policy)(),
    )
    gc.collect()
    run.run()
    return run.recorder.sum_up(
        policy=case.policy,
        load=case.load,
        seed=seed,
        from_ms=load.warm_ms,
        to_ms=run.now_ms,
    )


def main() -> None:
    """Runs all cases, prints the table and the targets, writes the rows."""
    full = os.environ.get("BENCH") == "full"
    seed = int(os.environ.get("BENCH_SEED", SEED))
    began_s = time.monotonic()
    _print_cells([title for _, title in COLUMNS])
    runs = []
    for case in list_cases(full):
        runs.append(run_case(case, seed))
        row = runs[-1].row
        _print_cells([getattr(row, name) for name, _ in COLUMNS])
    _print_work(runs)
    _print_verdicts(runs)
    _write(runs)
    print(f"seed {seed}, {time.monotonic() - began_s:.1f} s")


def _print_cells(values: list) -> None:
    texts = ["-" if value is None else str(value) for value in values]
    head = f"{texts[0]:12}{texts[1]:16}{texts[2]:15}"
    print(head + "".join(f"{text:>9}" for text in texts[3:]), flush=True)


def _print_work(runs: list[recorder.Details]) -> None:
    print("\nwork done, and what the rows leave out")
    for run in runs:
        row = run.row
        print(
            f"{row.deployment:12}{row.load:16}{row.policy:15}{row.workers:6} "
            f"succeeded={run.succeeded} failed={run.failed} "
            f"never_started={run.never_started} "
            f"refused_starts={run.refused_starts} "
            f"refused_jobs={run.refused_jobs} "
            f"small_wait_p99_ms={run.small_wait_p99_ms} "
            f"decision_max_us={run.decision_max_us:.0f} "
            f"placements_per_s={run.placements_per_s} "
            f"full_samples={len(run.samples)} virtual_s={run.virtual_s}"
        )


def _print_verdicts(runs: list[recorder.Details]) -> None:
    print("\ntargets")
    for verdict in sorted(
        targets.judge(runs), key=lambda item: (item.target, item.met)
    ):
        word = "met" if verdict.met else "NOT MET"
        print(
            f"{word:8}{verdict.target:55}{verdict.case:36}{verdict.value:.4g}"
        )


def _write(runs: list[recorder.Details]) -> None:
    ROWS_PATH.parent.mkdir(exist_ok=True)
    indent = orjson.OPT_INDENT_2
    rows = [run.row for run in runs]
    ROWS_PATH.write_bytes(orjson.dumps(rows, option=indent))
    DETAILS_PATH.write_bytes(orjson.dumps(runs))


if __name__ == "__main__":
    main()
