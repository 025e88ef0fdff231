"""Runs one runbook step of each kind through a whole cell of processes."""

import argparse
import collections
from collections.abc import Iterator
import dataclasses
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
from standins import samples

POLL_S = 0.1
POLL_TIMEOUT_S = 12.0
CALL_TIMEOUT_S = 20.0
SHARDS = 1
ENV_PATH = "build/demo.env"
BEGINNINGS = ("start", "request")
ENDINGS = ("end", "answer")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a runbook, and the whole answer it must get.

    Attributes:
        system: The old system.
        line: Its command.
        output: Expected standard output.
        code: Expected exit code.
        workspace: Workspace whose key goes with it.
        error: Expected part of standard error.
        repeated: Whether it is asked again until the output is right.
    """

    system: str
    line: str
    output: str = ""
    code: int = steps.EXIT_OK
    workspace: str = "north"
    error: str = ""
    repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """Work that the steps stand for, and how often a worker must run it.

    Attributes:
        system: The old system.
        reference: Its reference there.
        kind: Kind of work.
        starts: Tasks or requests that the workers must have begun and ended.
        workspace: Workspace it is counted for.
    """

    system: str
    reference: str
    kind: str
    starts: int
    workspace: str = "north"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Play:
    """What is run on one deployment.

    Attributes:
        deployment: The deployment.
        steps: The steps, in order.
        work: What must have run at the end.
    """

    deployment: cell.Deployment
    steps: tuple[Step, ...]
    work: tuple[Work, ...]


GANG_STEPS = (
    Step(
        system="lodestar",
        line="LSUB JOB=TRF-0091,COUNT=6 PARM=wind",
        output="LDS0100I JOB TRF-0091 ACCEPTED",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=TRF-0091",
        output="LDS0200I JOB TRF-0091 STATUS SUCCEEDED",
        repeated=True,
    ),
)
SERVICE_STEPS = (
    Step(
        system="lodestar",
        line="LSTART JOB=FED-0001,COUNT=2",
        output="LDS0101I STARTED FED-0001",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=FED-0001",
        output="LDS0200I JOB FED-0001 STATUS RUNNING",
        repeated=True,
    ),
    Step(
        system="lodestar",
        line="LPURGE JOB=FED-0001",
        output="LDS0300I JOB FED-0001 PURGED",
    ),
    Step(
        system="lodestar",
        line="LQRY JOB=FED-0001",
        output="LDS0200I JOB FED-0001 STATUS CANCELLED",
        code=steps.EXIT_RAN_BADLY,
        repeated=True,
    ),
)
REFUSED_STEPS = (
    Step(
        system="fernpost",
        line="retire RET-0002 certificate-8",
        code=steps.EXIT_NOT_RUN,
        workspace="east",
        error="Plan small may not use fernpost.retire. Use one of: ",
    ),
    Step(
        system="quill",
        line="qmove -N july",
        code=steps.EXIT_NOT_RUN,
        error="quill.qmove is not mapped. Use one of: ",
    ),
)
GANG = Work(system="lodestar", reference="TRF-0091", kind="gang", starts=6)
SERVICE = Work(
    system="lodestar", reference="FED-0001", kind="service", starts=2
)
REFUSED = Work(
    system="fernpost",
    reference="RET-0002",
    kind="refused",
    starts=0,
    workspace="east",
)

CEDARLINE = Play(
    deployment=cell.Deployment(name="cedarline", service="registry"),
    steps=(
        Step(
            system="quill",
            line="qsend -N ISS-2026-07 -t 1-12 -c 0.5 run.sh hydro-7",
            output='Your job "ISS-2026-07" has been submitted',
        ),
        Step(
            system="quill",
            line="qshow -N ISS-2026-07",
            output="ISS-2026-07 z 12/12",
            repeated=True,
        ),
        Step(
            system="quill",
            line="qsend -N ISS-2026-07 -t 1-12 -c 0.5 run.sh hydro-7",
            output='Your job "ISS-2026-07" has been submitted',
        ),
        *GANG_STEPS,
        *SERVICE_STEPS,
        Step(
            system="fernpost",
            line="check CHK-0001 certificate-9",
            output="CHK-0001 checked: succeeded",
        ),
        Step(
            system="fernpost",
            line="retire RET-0001 certificate-9",
            output="RET-0001 retired: succeeded",
        ),
        *REFUSED_STEPS,
    ),
    work=(
        Work(system="quill", reference="ISS-2026-07", kind="batch", starts=12),
        GANG,
        SERVICE,
        Work(system="fernpost", reference="CHK-0001", kind="request", starts=1),
        Work(system="fernpost", reference="RET-0001", kind="request", starts=1),
        REFUSED,
    ),
)
ASSOCIATION = Play(
    deployment=cell.Deployment(name="association", service="vouchers"),
    steps=(
        Step(
            system="fernpost",
            line="vouchers VCH-2031 12 member-17",
            output="VCH-2031: 12 of 12 vouchers succeeded",
        ),
        Step(
            system="fernpost",
            line="show VCH-2031",
            output="VCH-2031 is succeeded",
        ),
        Step(
            system="fernpost",
            line="voucher VCH-2032 member-18",
            output="VCH-2032 sent: succeeded",
        ),
        Step(
            system="fernpost",
            line="voucher VCH-2032 member-18",
            output="VCH-2032 sent: succeeded",
        ),
        *GANG_STEPS,
        *SERVICE_STEPS,
        *REFUSED_STEPS,
    ),
    work=(
        Work(system="fernpost", reference="VCH-2031", kind="batch", starts=12),
        Work(system="fernpost", reference="VCH-2032", kind="request", starts=1),
        GANG,
        SERVICE,
        REFUSED,
    ),
)


def main() -> int:
    """Runs the demo, or serves a cell to try commands on."""
    parser = argparse.ArgumentParser()
    parser.add_argument(
        "--serve",
        action="store_true",
        help="serve a cell until Ctrl-C, with its settings in " + ENV_PATH,
    )
    if parser.parse_args().serve:
        serve(CEDARLINE.deployment)
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
    faults = [fault for play in (CEDARLINE, ASSOCIATION) for fault in run(play)]
    for fault in faults:
        print(f"WRONG: {fault}")
    took_s = time.monotonic() - started
    print(f"{len(faults)} wrong answers, {took_s:.1f} s")
    return 1 if faults else 0


def run(play: Play) -> list[str]:
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


def run_step(whole: cell.Cell, number: int, step: Step) -> list[str]:
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


def call_command_line(url: str, step: Step) -> subprocess.CompletedProcess:
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


def find_faults(step: Step, done: subprocess.CompletedProcess) -> list[str]:
    """Returns a line for each part of an answer that is wrong."""
    faults = []
    if done.stdout.rstrip("\n") != step.output:
        faults.append(f"{step.line}: printed {done.stdout!r}")
    if done.returncode != step.code:
        faults.append(f"{step.line}: ended with {done.returncode}")
    if bool(step.error) != bool(done.stderr) or step.error not in done.stderr:
        faults.append(f"{step.line}: complained {done.stderr!r}")
    return faults


def check_work(whole: cell.Cell, work: tuple[Work, ...]) -> Iterator[str]:
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


def get_job_id(work: Work) -> str:
    """Returns the job id of a reference."""
    return job_ids.make(
        work.workspace,
        steps.make_request_id(work.system, work.reference),
        SHARDS,
    )


def wait_for_ends(whole: cell.Cell, work: tuple[Work, ...]) -> None:
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
