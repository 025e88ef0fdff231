"""An entry that lost the store as it took over can own the cell no more."""

import base64
import json
import os
import signal

import gevent

from review import harness_2 as harness

OWNER_KEY = "hickoryreach/owner"
MINIONS = 24
SLOW_S = 4.5
SLOW_ANSWER_S = 0.24
KILL_DELAY_S = 1.0
OUTAGE_DELAY_S = 0.15
OUTAGE_S = 7.0
CALM_S = 8.0
SETTLED_S = 3.0
RECOVERY_S = 13.0
ANSWER_S = 0.004
FINISH_S = 14.0
IDLE_S = 3.0
JOBS = 6
GAP_S = 0.5
POLL_S = 0.1
DONE_LIMIT_S = 10.0
STEP = {"count": 2, "cpu": 1_000, "memMb": 256, "estimateMs": 500}
SPEC = {"work_ms": 500}


class Outage:
    """Turns the entry that takes over away from the store for a while.

    Attributes:
        struck: Name of that entry, once it has written the owner's key.
    """

    def __init__(self, deployment: harness.Deployment) -> None:
        """Watches the writes of the store from now on."""
        self.deployment = deployment
        self.store = deployment.users.store
        self.struck = ""
        self.answer = self.store.answer
        self.store.answer = self.watch

    def watch(self, method, path, words, body, caller):
        """Answers a call; strikes the entry that has written the key."""
        answered = self.answer(method, path, words, body, caller)
        if self.struck or path != "/kv-txn" or not answered:
            return answered
        keys = [row["key"] for row in body.get("puts") or []]
        if OWNER_KEY in keys and answered[0] == 200:
            self.struck = caller
            self.deployment.note(f"{caller} has written the owner's key")
            gevent.spawn_later(OUTAGE_DELAY_S, self.begin)
        return answered

    def begin(self) -> None:
        """Turns the entry away."""
        self.deployment.note(f"the store turns {self.struck} away")
        self.store.faults.busy.add(self.struck)
        gevent.spawn_later(OUTAGE_S, self.end)

    def end(self) -> None:
        """Serves the entry again."""
        self.deployment.note(f"the store serves {self.struck} again")
        self.store.faults.busy.discard(self.struck)


def play(deployment: harness.Deployment, trouble: bool) -> int:
    """Loses entries, with an outage between; hands jobs in at the end."""
    deployment.users.store.faults.delay_s = ANSWER_S
    if not are_done(deployment, hand_in(deployment, deployment.entries)):
        return harness.NOT_RUN
    survivor = deployment.entries[0]
    if trouble:
        survivor = strike(deployment)
        if survivor is None:
            return harness.NOT_RUN
    jobs = hand_in(deployment, [survivor])
    if not jobs:
        return harness.NOT_RUN
    gevent.sleep(FINISH_S)
    idle = list_idle(deployment, jobs)
    for _ in range(int(IDLE_S / POLL_S)):
        gevent.sleep(POLL_S)
        idle &= list_idle(deployment, jobs)
    for job_id in jobs:
        deployment.call(survivor, "GET", f"/runs/{job_id}")
    deployment.note(
        f"accepted={len(jobs)} with nothing running for {IDLE_S} s, "
        f"{FINISH_S} s after the last hand-in, and not done: {len(idle)}"
    )
    return harness.BROKEN if idle else harness.HELD


def strike(deployment: harness.Deployment) -> harness.Entry | None:
    """Brings the disruptions about; returns the entry that is left."""
    first = find_owner(deployment)
    outage = Outage(deployment)
    faults = deployment.users.store.faults
    deployment.note("the store is slow")
    faults.delay_s = SLOW_ANSWER_S
    gevent.spawn_later(SLOW_S, setattr, faults, "delay_s", ANSWER_S)
    gevent.sleep(KILL_DELAY_S)
    deployment.note(f"kill {first.name}, the owner, for good")
    first.kill()
    deployment.wait_for(lambda: outage.struck, DONE_LIMIT_S)
    gevent.sleep(OUTAGE_S + CALM_S)
    survivor = find_entry(deployment, outage.struck)
    second = find_owner(deployment)
    deployment.note(f"struck={outage.struck} owner={second.name}")
    if survivor is None or second is survivor or not survivor.is_ready():
        return None
    if not are_done(deployment, hand_in(deployment, [survivor, second])):
        return None
    gevent.sleep(SETTLED_S)
    others = [
        each
        for each in deployment.entries
        if each is not survivor and each.process.poll() is None
    ]
    for entry in others:
        deployment.note(f"kill {entry.name} for good")
        entry.process.send_signal(signal.SIGKILL)
    for entry in others:
        entry.wait()
    gevent.sleep(RECOVERY_S)
    return survivor


def find_owner(deployment: harness.Deployment) -> harness.Entry:
    """Returns the entry that the store names as owner."""
    value = deployment.users.store.items[OWNER_KEY].value
    name = json.loads(base64.b64decode(value))["name"]
    return find_entry(deployment, name)


def find_entry(
    deployment: harness.Deployment, name: str
) -> harness.Entry | None:
    """Returns the entry of a name, or None."""
    return next(
        (each for each in deployment.entries if each.name == name), None
    )


def hand_in(
    deployment: harness.Deployment, entries: list[harness.Entry]
) -> list[str]:
    """Hands jobs in, at the entries in turn; returns the accepted ones."""
    jobs = []
    for number in range(JOBS):
        entry = entries[number % len(entries)]
        job_id, status = deployment.submit(entry, SPEC, [STEP])
        if status == 200:
            jobs.append(job_id)
        gevent.sleep(GAP_S)
    return jobs


def are_done(deployment: harness.Deployment, jobs: list[str]) -> bool:
    """Waits for jobs; returns whether all were accepted and are done."""
    return len(jobs) == JOBS and deployment.wait_for(
        lambda: all(is_done(deployment, each) for each in jobs), DONE_LIMIT_S
    )


def is_done(deployment: harness.Deployment, job_id: str) -> bool:
    """Returns whether all tasks of a job have ended as done."""
    ends = [
        each
        for each in deployment.list_seen(job_id)
        if each.what == "end" and each.how == "done"
    ]
    return len(ends) >= STEP["count"]


def list_idle(deployment: harness.Deployment, jobs: list[str]) -> set[str]:
    """Returns the jobs that are not done and have nothing running."""
    running = {
        task.split(".", 1)[0]
        for minion in deployment.users.minions.values()
        for task in minion.runs
    }
    return {
        job_id
        for job_id in jobs
        if job_id not in running and not is_done(deployment, job_id)
    }


if __name__ == "__main__":
    harness.run_case(
        os.path.dirname(os.path.abspath(__file__)), play, minion_count=MINIONS
    )
