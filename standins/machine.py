"""One worker's tasks, grant and minion, as the stand-in keeps them.

What is assumed of a worker, and no more:

* It keeps the highest term it was asked under and refuses lower ones.
* It takes in nothing but the term of a sync that names another boot or that
  arrives after its deadline, by the worker's own clock, which differs from
  that of every other instance.
* It starts an attempt once, while it runs or its end is kept.
* It stops a task at the moment its lease lapses, by its own clock.
* It keeps the end of a task until that is acknowledged.
* It reports use with a lag, and does not refuse for want of room.
"""

import dataclasses
import json
import random
import time
import uuid

import gevent

FAIL_ARGUMENT = "fail"
USE_LAG_S = 1.0
CLOCK_SPREAD_S = 10_000.0
DEFAULT_RUN_S = 0.05
ENDLESS_S = float("inf")


@dataclasses.dataclass(kw_only=True)
class Task:
    """One running attempt."""

    key: dict
    need: dict
    true_use: dict
    piece: str
    started: float
    lease_until: float


class Recorder:
    """Keeps what a worker did, in a file that outlives its process.

    Attributes:
        worker_id: The worker.
        history: Every line so far.
    """

    def __init__(self, *, worker_id: str, path: str) -> None:
        """Opens the file, if a path is given."""
        self.worker_id = worker_id
        self.history: list[dict] = []
        self.file = open(path, "a") if path else None  # noqa: SIM115

    def note(self, what: str, at: float | None = None, **fields) -> None:
        """Adds a line; `at` is this host's monotonic clock, in s."""
        line = {
            "at": time.monotonic() if at is None else at,
            "worker": self.worker_id,
            "what": what,
            **fields,
        }
        self.history.append(line)
        if self.file is not None:
            self.file.write(json.dumps(line) + "\n")
            self.file.flush()


class Machine:
    """Tasks, grant and minion slots of one worker.

    Attributes:
        mode: normal, fail (every task fails), lie (lists work it does not
            run and hides what it does), silent (answers no sync, runs on) or
            garble (answers syncs with what is no JSON).
    """

    def __init__(self, *, recorder: Recorder, slots: int) -> None:
        """Creates an idle machine."""
        self.recorder = recorder
        self.boot_id = str(uuid.uuid4())
        self.mode = "normal"
        self.term = 0
        self.clock_ahead_s = random.SystemRandom().uniform(0, CLOCK_SPREAD_S)
        self.lease_s = 0.0
        self.tasks: dict[tuple, Task] = {}
        self.ended: dict[tuple, dict] = {}
        self.slots = slots
        self.requests: dict[str, str] = {}

    def read_clock_ms(self) -> int:
        """Returns the time by the worker's own clock."""
        return int((time.monotonic() + self.clock_ahead_s) * 1000)

    def sync(self, body: dict) -> dict | None:
        """Carries out one sync; None when its term is too low."""
        self.sweep()
        if body["term"] < self.term:
            return None
        now = time.monotonic()
        self.term = body["term"]
        late = (
            body["boot_id"] != self.boot_id
            or body["deadline_ms"] < self.read_clock_ms()
        )
        if not late:
            self.carry_out(body, now)
        return self.describe(now, late)

    def carry_out(self, body: dict, now: float) -> None:
        """Renews the leases, forgets ends and carries out commands."""
        self.lease_s = body["task_lease_ms"] / 1000
        for task in self.tasks.values():
            task.lease_until = now + self.lease_s
        for key in body["acknowledged"]:
            self.ended.pop(identify(key), None)
        for operation in body["operations"]:
            self.operate(operation, now)

    def operate(self, operation: dict, now: float) -> None:
        """Carries out one command."""
        identity = identify(operation["key"])
        if operation["verb"] == "start":
            if identity not in self.tasks and identity not in self.ended:
                self.start(operation, now)
        elif operation["verb"] == "stop":
            self.end(identity, "stopped", operation["reason"])
        elif operation["verb"] == "checkpoint":
            self.end(identity, "checkpointed", "")
        elif operation["verb"] == "throttle":
            self.recorder.note("throttle", key=operation["key"])

    def start(self, operation: dict, now: float) -> None:
        """Runs one attempt until its time is over."""
        key = operation["key"]
        arguments = parse_arguments(operation["arguments"])
        run_s = ENDLESS_S if operation["service"] else run_time_s(arguments)
        need = operation["need"]
        self.tasks[identify(key)] = Task(
            key=key,
            need=need,
            true_use={
                name: int(arguments.get(f"use_{name}", amount))
                for name, amount in need.items()
            },
            piece=arguments.get("piece", key["job_id"]),
            started=now,
            lease_until=now + self.lease_s,
        )
        self.recorder.note(
            "start",
            at=now,
            key=key,
            piece=arguments.get("piece", key["job_id"]),
            need=need,
            workspace=operation["workspace"],
            term=self.term,
        )
        if run_s != ENDLESS_S:
            failing = FAIL_ARGUMENT in arguments or self.mode == "fail"
            outcome = "failed" if failing else "succeeded"
            gevent.spawn_later(run_s, self.finish, identify(key), outcome)

    def finish(self, identity: tuple, outcome: str) -> None:
        """Ends an attempt whose time is over, unless its lease came first."""
        self.sweep()
        self.end(identity, outcome, "")

    def end(
        self,
        identity: tuple,
        outcome: str,
        reason: str,
        at: float | None = None,
    ) -> None:
        """Ends one attempt and keeps its end until acknowledged."""
        task = self.tasks.pop(identity, None)
        if task is None:
            return
        at = time.monotonic() if at is None else at
        self.ended[identity] = {
            "key": task.key,
            "result": outcome,
            "used": task.true_use,
            "run_ms": int((at - task.started) * 1000),
            "reason": reason,
        }
        self.recorder.note(
            "end", at=at, key=task.key, piece=task.piece, result=outcome
        )

    def sweep(self) -> None:
        """Stops the tasks whose lease has lapsed, as of its lapse."""
        now = time.monotonic()
        for identity, task in list(self.tasks.items()):
            if task.lease_until < now:
                self.end(
                    identity, "stopped", "lease lapsed", at=task.lease_until
                )

    def describe(self, now: float, late: bool) -> dict:
        """Returns the reply to a sync."""
        if self.mode == "lie":
            return self.describe_falsely()
        return {
            "term": self.term,
            "boot_id": self.boot_id,
            "clock_ms": self.read_clock_ms(),
            "late": late,
            "running": [
                {
                    "key": task.key,
                    "need": task.need,
                    "used": report_use(task, now),
                }
                for task in self.tasks.values()
            ],
            "ended": list(self.ended.values()),
            "requests": sorted(self.requests.values()),
        }

    def describe_falsely(self) -> dict:
        """Returns a reply that hides all it runs and makes up the rest."""
        made_up = {"job_id": "0.made-up", "index": 7, "attempt": 1}
        return {
            "term": self.term,
            "boot_id": self.boot_id,
            "clock_ms": self.read_clock_ms(),
            "late": False,
            "running": [
                {
                    "key": made_up,
                    "need": {"cpu_millis": 1},
                    "used": {"cpu_millis": 10**9},
                }
            ],
            "ended": [
                {
                    "key": made_up | {"index": 8},
                    "result": "succeeded",
                    "used": {"memory_mb": -5},
                    "run_ms": -1,
                    "reason": "",
                }
            ],
            "requests": ["0.made-up"],
        }

    def admit_request(self, term: int) -> int:
        """Returns 0, or the status under which a request is refused."""
        if term < self.term:
            return 409
        if len(self.requests) >= self.slots:
            return 503
        return 0


def identify(key: dict) -> tuple:
    """Returns the hashable identity of an attempt."""
    return key["job_id"], key["index"], key["attempt"]


def parse_arguments(arguments: list[str]) -> dict[str, str]:
    """Returns `name=value` arguments by name."""
    pairs = (argument.partition("=") for argument in arguments)
    return {name: value for name, _, value in pairs}


def run_time_s(arguments: dict[str, str]) -> float:
    """Returns the run time in `run_ms`, or a short default."""
    if "run_ms" in arguments:
        return int(arguments["run_ms"]) / 1000
    return DEFAULT_RUN_S


def report_use(task: Task, now: float) -> dict:
    """Returns a task's use as it was known a while ago."""
    return task.true_use if now - task.started > USE_LAG_S else task.need
