"""Runs one runbook step of each kind through a whole cell of processes."""

import argparse
import collections
from collections.abc import Iterator
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from hickoryreach.runbooks import steps
from hickoryreach_entry.api import job_ids
from standins import cell
from standins import plays
from standins import samples

POLL_S = 0.1
POLL_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 20.0
SHARDS = 1
ENV_PATH = "build/demo.env"
BEGINNINGS = ("start", "request")
ENDINGS = ("end", "answer")


def main() -> int:
    """Runs the demo, or serves a cell to try commands on."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--serve",
        action="store_true",
        help="serve a cell until Ctrl-C, with its settings in " + ENV_PATH,
    )
    if parser.parse_args().serve:
        serve(plays.CEDARLINE.deployment)
        return 0
    return run_all()


def serve(deployment: cell.Deployment) -> None:
    """Serves a cell until interrupted."""
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(deployment=deployment, log_folder=folder)
        try:
            whole.start()
            samples.write_lists(whole.store.url)
            whole.wait_until_ready()
            write_environment(whole, ENV_PATH)
            print(f"Ready. Run: . {ENV_PATH}", flush=True)
            wait_for_signal()
        finally:
            whole.stop()


def wait_for_signal() -> None:
    """Waits for SIGINT or SIGTERM."""
    stopped = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()


def write_environment(whole: cell.Cell, path: str) -> None:
    """Writes the settings of the command line as shell commands."""
    variables = {
        "HICKORYREACH_URL": whole.entries[0].url,
        "HICKORYREACH_KEY": samples.caller_key("north"),
        "OPERATOR_KEY": samples.OPERATOR_KEY,
    }
    os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w") as file:
        for name, value in variables.items():
            file.write(f"export {name}={value}\n")


def run_all() -> int:
    """Returns 0 if every answer is right."""
    started = time.monotonic()
    faults = [
        fault
        for play in (plays.CEDARLINE, plays.ASSOCIATION)
        for fault in run(play)
    ]
    for fault in faults:
        print(f"WRONG: {fault}")
    took_s = time.monotonic() - started
    print(f"{len(faults)} wrong answers, {took_s:.1f} s")
    return 1 if faults else 0


def run(play: plays.Play) -> list[str]:
    """Returns a line for each wrong answer on one deployment."""
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(deployment=play.deployment, log_folder=folder)
        try:
            whole.start()
            samples.write_lists(whole.store.url)
            whole.wait_until_ready()
            print(
                f"\n{play.deployment.name}: {len(whole.workers)} workers, "
                f"{len(whole.entries)} entries"
            )
            faults = [
                fault
                for number, step in enumerate(play.steps)
                for fault in run_step(whole, number, step)
            ]
            return faults + list(check_work(whole, play.work))
        finally:
            whole.stop()


def run_step(whole: cell.Cell, number: int, step: plays.Step) -> list[str]:
    """Runs one step through the command line, and returns its faults."""
    entry = whole.entries[number % len(whole.entries)]
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while True:
        done = call_command_line(entry.url, step)
        faults = find_faults(step, done)
        late = time.monotonic() > deadline
        if not faults or not step.repeated or late:
            break
        time.sleep(POLL_S)
    print(f"{entry.name}$ hickoryreach step {step.system} '{step.line}'")
    for line in (done.stdout + done.stderr).splitlines():
        print(f"    {line}")
    print(f"    exit code {done.returncode}")
    return faults


def call_command_line(
    url: str, step: plays.Step
) -> subprocess.CompletedProcess:
    """Runs the command line once, with one quoted command."""
    return subprocess.run(
        [sys.executable, "-m", "hickoryreach_cli", "step"]
        + [step.system, step.line],
        env={
            **os.environ,
            "HICKORYREACH_URL": url,
            "HICKORYREACH_KEY": samples.caller_key(step.workspace),
        },
        capture_output=True,
        text=True,
        timeout=CALL_TIMEOUT_S,
        check=False,
    )


def find_faults(
    step: plays.Step, done: subprocess.CompletedProcess
) -> list[str]:
    """Returns a line for each part of an answer that is wrong."""
    faults = []
    if done.stdout.rstrip("\n") != step.output:
        faults.append(f"{step.line}: printed {done.stdout!r}")
    if done.returncode != step.code:
        faults.append(f"{step.line}: ended with {done.returncode}")
    if bool(step.error) != bool(done.stderr) or step.error not in done.stderr:
        faults.append(f"{step.line}: complained {done.stderr!r}")
    return faults


def check_work(whole: cell.Cell, work: tuple[plays.Work, ...]) -> Iterator[str]:
    """Prints what ran where by the workers' records; yields the faults."""
    wait_for_ends(whole, work)
    places = read_places(whole, BEGINNINGS)
    ends = read_places(whole, ENDINGS)
    print(f"{'work':<22}{'kind':<9}{'ran':>4}  where")
    for row in work:
        found = places.pop(get_job_id(row), collections.Counter())
        where = ", ".join(
            f"{name} x{count}" if count > 1 else name
            for name, count in sorted(found.items())
        )
        name = f"{row.system}/{row.reference}"
        print(f"{name:<22}{row.kind:<9}{found.total():>4}  {where}")
        if found.total() != row.starts:
            yield f"{name}: {found.total()} starts, not {row.starts}"
        ended = ends[get_job_id(row)]
        if ended != found:
            yield f"{name}: begun at {dict(found)}, ended at {dict(ended)}"
    for job_id in places:
        yield f"nobody asked for {job_id}, which ran"


def get_job_id(work: plays.Work) -> str:
    """Returns the job id of a reference."""
    return job_ids.make(
        work.workspace,
        steps.make_request_id(work.system, work.reference),
        SHARDS,
    )


def wait_for_ends(whole: cell.Cell, work: tuple[plays.Work, ...]) -> None:
    """Waits until the workers have ended as much as they had to begin."""
    wanted = sum(row.starts for row in work)
    deadline = time.monotonic() + POLL_TIMEOUT_S
    while time.monotonic() < deadline:
        places = read_places(whole, ENDINGS)
        if sum(found.total() for found in places.values()) >= wanted:
            return
        time.sleep(POLL_S)


def read_places(
    whole: cell.Cell, kinds: tuple[str, ...]
) -> dict[str, collections.Counter]:
    """Returns how often each worker recorded a kind of line for each job."""
    places: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for worker in whole.workers:
        _, record = cell.call("GET", f"{worker.url}/history")
        for line in record["history"]:
            if line["what"] in kinds:
                job_id = line.get("piece") or line["key"]["job_id"]
                places[job_id][worker.name] += 1
    return places


if __name__ == "__main__":
    sys.exit(main())
