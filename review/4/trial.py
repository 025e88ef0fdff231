"""A minion returns as another kind: does it get tasks that need its old one?"""

import os
import pathlib
import sys

import gevent

from review import standin

KINDS = ["a"] + ["b"] * 7
CHOSEN = 0
WORK_MS = 6_000
RUN_BEFORE_S = 1.5
OUTAGE_S = 2.0
WATCH_S = 20.0
WATCH_STEP_S = 0.1
TERMS = {"decideMs": 46, "periodMs": 1, "validMs": standin.VALID_MS}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def build() -> standin.Trial:
    """Starts a deployment with one minion of the kind `a`."""
    return standin.Trial(
        users=standin.Platform(kinds=KINDS, terms=TERMS), trouble=TROUBLE
    )


def crash(trial: standin.Trial, minion: standin.Minion) -> None:
    """Lets a minion crash; it returns under its id as another kind."""
    trial.note(f"{minion.minion_id} of kind {minion.kind} crashes")
    for run in list(minion.runs.values()):
        minion.end(run, standin.CRASHED)
    minion.silent = True
    gevent.sleep(OUTAGE_S)
    trial.users.begin_life(minion, "b", minion.minion_id)
    trial.note(f"{minion.minion_id} is back as kind b")


def play(trial: standin.Trial) -> str:
    """Lets the only minion with the label return without it."""
    job_id = trial.hand_in(
        trial.entries[0],
        {"work_ms": WORK_MS},
        estimateMs=WORK_MS,
        requires="a",
    )
    trial.wait_for(lambda: trial.count_starts(job_id) == 1)
    gevent.sleep(RUN_BEFORE_S)
    if not trial.trouble:
        trial.wait_for(lambda: trial.get_state(job_id) == "completed")
        return ""
    (chosen,) = (
        minion
        for minion in trial.users.minions.values()
        if minion.machine == CHOSEN
    )
    crash(trial, chosen)
    for _ in range(int(WATCH_S / WATCH_STEP_S)):
        gevent.sleep(WATCH_STEP_S)
        if trial.count_starts(job_id) > 1:
            start = trial.list_runs(job_id)[-1]
            return (
                f"ROUTE: {start.task} requires a, and run {start.number} was "
                f"started on {start.minion_id}, which is of kind b"
            )
    return ""


if __name__ == "__main__":
    sys.exit(standin.serve_trial(pathlib.Path(__file__).parent, build, play))
