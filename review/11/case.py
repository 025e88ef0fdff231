"""More ends wait on a minion than one list holds when an owner takes over."""

import pathlib

from review import harness_3 as harness

TASKS = 700
WORK_MS = 4_000
RESTART_S = 1.0


def build():
    """Returns the case: three entries, two minions."""
    return harness.Case(folder=pathlib.Path(__file__).parent)


def play(case):
    """Kills the entries while the tasks work; returns the breaks of TWICE."""
    step = {
        "count": TASKS,
        "cpu": 10,
        "memMb": 16,
        "estimateMs": WORK_MS,
    }
    job_id, status = case.hand_in(case.entries[0], [step], {"work_ms": WORK_MS})
    if status != 200:
        raise RuntimeError(f"job not accepted: {status}")
    case.wait_for(
        lambda: len(case.users.starts) >= TASKS and case.list_running(), 10
    )
    case.note(f"all {TASKS} tasks have begun")
    harness.pause(WORK_MS / 1000 - 1.2)
    if harness.TROUBLE:
        harness.kill(case, case.entries)
        harness.pause(RESTART_S)
        for entry in case.entries:
            entry.start()
    case.wait_for(lambda: case.get_state(job_id) == "completed", 40)
    case.note("shown as completed")
    harness.pause(3.0)
    return harness.find_doubles(case.users.seen)


harness.run_case(build, play)
