"""Minions crash, one at a time, under a task that lasts."""

import os
import time

import gevent

from review import harness_2 as harness

TASKS = 3
CRASHES = 6
AT_WORK_S = 7.0
BACK_LIMIT_S = 20.0
RESTART_S = 3.0
SETTLE_S = 3.0
FINAL = ("failed", "cancelled", "completed")


def play(deployment: harness.Deployment, trouble: bool) -> int:
    """Hands a lasting job in, crashes minions under it and asks for it."""
    step = {
        "count": TASKS,
        "cpu": 1_000,
        "memMb": 512,
        "estimateMs": 1_000,
        "persistent": True,
        "mayMiss": 1,
    }
    entry = deployment.entries[0]
    job_id, status = deployment.submit(
        entry, {"lasts": True, "work_ms": 86_400_000}, [step]
    )
    task = f"{job_id}.0.0.0"
    if status != 200 or not deployment.wait_for(
        lambda: deployment.find_minion(task), BACK_LIMIT_S
    ):
        return harness.NOT_RUN
    for _ in range(CRASHES):
        gevent.sleep(AT_WORK_S)
        minion = deployment.find_minion(task)
        if trouble and minion is not None:
            deployment.note(f"crash {minion.minion_id}, which runs {task}")
            minion.crash(minion.incarnation, "same")
        gevent.sleep(RESTART_S)
        deployment.wait_for(
            lambda: deployment.find_minion(task), BACK_LIMIT_S / 4
        )
        state = get_state(deployment, job_id)
        if state in FINAL:
            break
    gevent.sleep(SETTLE_S)
    state = get_state(deployment, job_id)
    seen = deployment.list_seen(job_id)
    failed = sum(each.how == "failed" for each in seen)
    running = sum(
        run_task.startswith(job_id)
        for minion in deployment.users.minions.values()
        for run_task in minion.runs
    )
    deployment.note(
        f"state={state} ends_failed={failed} tasks_running={running}"
    )
    if not state:
        return harness.NOT_RUN
    if state in FINAL and not failed:
        return harness.BROKEN
    return harness.HELD


def get_state(deployment: harness.Deployment, job_id: str) -> str:
    """Returns the state in which the job is shown, or an empty text."""
    deadline = time.monotonic() + 5.0
    while time.monotonic() < deadline:
        for entry in deployment.entries:
            status, body = deployment.call(entry, "GET", f"/runs/{job_id}")
            if status == 200:
                return body["state"]
        gevent.sleep(0.2)
    return ""


if __name__ == "__main__":
    harness.run_case(os.path.dirname(os.path.abspath(__file__)), play)
