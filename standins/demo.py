"""Runs one runbook step of each kind through a whole cell of processes."""

import argparse
from collections.abc import Iterator
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

from standins import cell
from standins import samples
from standins import scenarios
from standins import work_checks

POLL_S = 0.1
POLL_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 20.0
ENV_PATH = "build/demo.env"


def main() -> int:
    """Runs the demo, or serves a cell to try commands on."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--serve",
        action="store_true",
        help="serve a cell until Ctrl-C, with its settings in " + ENV_PATH,
    )
    if parser.parse_args().serve:
        serve(scenarios.CEDARLINE.deployment)
        return 0
    return run_all()


def serve(deployment: cell.Deployment) -> None:
    """Serves a cell until interrupted."""
    with start_cell(deployment) as whole:
        write_environment(whole, ENV_PATH)
        print(f"Ready. Run: . {ENV_PATH}", flush=True)
        wait_for_signal()


@contextlib.contextmanager
def start_cell(deployment: cell.Deployment) -> Iterator[cell.Cell]:
    """Gives a cell that takes callers, and stops it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        whole = cell.Cell(deployment=deployment, log_folder=folder)
        try:
            whole.start()
            samples.write_lists(whole.store.url)
            whole.wait_until_ready()
            yield whole
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
        for scenario in (scenarios.CEDARLINE, scenarios.ASSOCIATION)
        for fault in run(scenario)
    ]
    for fault in faults:
        print(f"WRONG: {fault}")
    took_s = time.monotonic() - started
    print(f"{len(faults)} wrong answers, {took_s:.1f} s")
    return 1 if faults else 0


def run(scenario: scenarios.Scenario) -> list[str]:
    """Returns a line for each wrong answer on one deployment."""
    with start_cell(scenario.deployment) as whole:
        print(
            f"\n{scenario.deployment.name}: {len(whole.workers)} workers, "
            f"{len(whole.entries)} entries"
        )
        faults = [
            fault
            for number, step in enumerate(scenario.steps)
            for fault in run_step(whole, number, step)
        ]
        return faults + list(work_checks.check(whole, scenario.work))


def run_step(whole: cell.Cell, number: int, step: scenarios.Step) -> list[str]:
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
    url: str, step: scenarios.Step
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
    step: scenarios.Step, done: subprocess.CompletedProcess
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


if __name__ == "__main__":
    sys.exit(main())
