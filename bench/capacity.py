"""Measures slopes and works out each role: `python -m bench.capacity`.

Slopes of whole processes come from build/end_to_end.json, which
`python -m bench.end_to_end` writes; it is run first where the file is absent.
"""

import pathlib
import subprocess
import sys

import orjson

from bench import roles
from bench import slopes

PATH = pathlib.Path("build/capacity.json")
END_TO_END = pathlib.Path("build/end_to_end.json")
WORKERS_MEASURED = 24
ENTRIES_MEASURED = 6
HEARTBEATS_PER_S = (ENTRIES_MEASURED - 1) / 0.5
SYNC_PER_S = 1.0
JOB_TASKS = 20
BYTES_PER_MB = 1 << 20


def read_processes() -> dict[str, float]:
    """Returns the slopes of whole processes."""
    if not END_TO_END.exists():
        subprocess.run([sys.executable, "-m", "bench.end_to_end"], check=True)
    data = orjson.loads(END_TO_END.read_bytes())
    idle, one, *_, batch = data["phases"]
    calls = idle["store_calls_per_s"]
    syncs = WORKERS_MEASURED * SYNC_PER_S
    tasks_per_s = batch["per_s"] * JOB_TASKS
    memory = data["memory_mb"].values()
    done = sum(phase["done"] for phase in data["phases"])
    return {
        "front, us a request": one["busiest_core"] / one["per_s"] * 1e6,
        "owner, us a request": one["owner_core"] / one["per_s"] * 1e6,
        "owner, us a batch task": batch["owner_core"] / tasks_per_s * 1e6,
        "owner, us a sync": (idle["owner_core"] - idle["busiest_core"])
        / syncs
        * 1e6,
        "entry, us a heartbeat": idle["busiest_core"] / HEARTBEATS_PER_S * 1e6,
        "worker, us a sync": idle["workers_core"] / syncs * 1e6,
        "entry, MB when idle": min(memory),
        "owner, bytes an ended job kept": (max(memory) - min(memory))
        * BYTES_PER_MB
        / done,
        "store, watch calls a second an entry": calls["watch"]
        / ENTRIES_MEASURED,
        "store, lease calls a second an entry": calls["session"]
        / ENTRIES_MEASURED,
        "store, instance calls a second a shard": calls["instances"],
        "journal, ms a commit": 1000 / batch["store_calls_per_s"]["txn"],
    }


def main() -> None:
    """Measures, works out, prints both tables and writes them."""
    costs = {slope.name: slope.value for slope in slopes.measure_all()}
    costs |= read_processes()
    lines = roles.work_out(costs)
    print("| slope | value |\n| --- | ---: |")
    for name, value in costs.items():
        print(f"| {name} | {value:,.4g} |")
    print("\n| role | what | at that size | allowed |  |")
    print("| --- | --- | ---: | ---: | --- |")
    for line in lines:
        print(format_line(line))
    PATH.parent.mkdir(exist_ok=True)
    PATH.write_bytes(
        orjson.dumps(
            {"slopes": costs, "roles": lines}, option=orjson.OPT_INDENT_2
        )
    )


def format_line(line: roles.Line) -> str:
    """Returns a row of the table of roles."""
    allowed = ""
    verdict = ""
    if line.allowed is not None:
        allowed = f"{line.allowed:,.4g} {line.unit}"
        verdict = "" if line.value <= line.allowed else "does not reach"
    return (
        f"| {line.role} | {line.what} | {line.value:,.3g} {line.unit} "
        f"| {allowed} | {verdict} |"
    )


if __name__ == "__main__":
    main()
