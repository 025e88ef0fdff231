"""Stand-in for a worker and the minion on it.

It keeps to the least that the product assumes of a worker: the highest term
it was asked under, refusal of a lower term, nothing carried out of a sync
that names another boot or arrives after its deadline, a stop of each task
whose lease lapses, and the end of each task until it is acknowledged. What it
did is kept in a record for the checks.
"""

import argparse
import dataclasses
import json
import time
import urllib.request
import uuid

import falcon
import gevent
from gevent import monkey

from standins import http

monkey.patch_all()

LEASE_SWEEP_S = 0.05
FAIL_ARGUMENT = "fail"


@dataclasses.dataclass(kw_only=True)
class Task:
    """One running attempt."""

    key: dict
    need: dict
    started: float
    lease_until: float
    run_s: float
    workspace: str


class Machine:
    """Tasks, grant and minion slots of one worker."""

    def __init__(self, *, worker_id: str, slots: int) -> None:
        """Creates an idle machine."""
        self.worker_id = worker_id
        self.boot_id = str(uuid.uuid4())
        self.term = 0
        self.grant_until = 0.0
        self.lease_s = 0.0
        self.tasks: dict[tuple, Task] = {}
        self.ended: dict[tuple, dict] = {}
        self.history: list[dict] = []
        self.slots = slots
        self.requests: dict[str, float] = {}

    def note(self, what: str, key: dict, **fields) -> None:
        """Adds a line to the record that the checks read."""
        self.history.append(
            {"at": time.monotonic(), "what": what, "key": key, **fields}
        )

    def sync(self, body: dict) -> dict | None:
        """Carries out one sync; None when its term is too low."""
        if body["term"] < self.term:
            return None
        now = time.monotonic()
        self.term = body["term"]
        if self.is_late(body, now):
            return {**self.describe(), "late": True}
        self.grant_until = now + body["grant_ms"] / 1000
        self.lease_s = body["task_lease_ms"] / 1000
        for task in self.tasks.values():
            task.lease_until = now + self.lease_s
        for key in body["acknowledged"]:
            self.ended.pop(identify(key), None)
        for operation in body["operations"]:
            self.operate(operation, now)
        return self.describe()

    def is_late(self, body: dict, now: float) -> bool:
        """Returns whether a sync is meant for another boot or came late."""
        return (
            body["boot_id"] != self.boot_id or now * 1000 > body["deadline_ms"]
        )

    def operate(self, operation: dict, now: float) -> None:
        """Carries out one command."""
        key = operation["key"]
        identity = identify(key)
        if operation["verb"] == "start":
            if identity not in self.tasks and identity not in self.ended:
                self.start(operation, now)
        elif operation["verb"] == "stop":
            self.end(identity, "stopped", operation["reason"])
        elif operation["verb"] == "checkpoint":
            self.end(identity, "checkpointed", "")

    def start(self, operation: dict, now: float) -> None:
        """Runs one attempt until its time is over."""
        key = operation["key"]
        run_s = run_time_s(operation["arguments"])
        if operation["service"]:
            run_s = float("inf")
        self.tasks[identify(key)] = Task(
            key=key,
            need=operation["need"],
            started=now,
            lease_until=now + self.lease_s,
            run_s=run_s,
            workspace=operation["workspace"],
        )
        self.note(
            "start",
            key,
            need=operation["need"],
            workspace=operation["workspace"],
            term=self.term,
        )
        failing = FAIL_ARGUMENT in operation["arguments"]
        if run_s != float("inf"):
            result = "failed" if failing else "succeeded"
            gevent.spawn_later(run_s, self.end, identify(key), result, "")

    def end(self, identity: tuple, result: str, reason: str) -> None:
        """Ends one attempt and keeps its end until acknowledged."""
        task = self.tasks.pop(identity, None)
        if task is None:
            return
        run_ms = int((time.monotonic() - task.started) * 1000)
        self.ended[identity] = {
            "key": task.key,
            "result": result,
            "used": task.need,
            "run_ms": run_ms,
            "reason": reason,
        }
        self.note("end", task.key, result=result)

    def describe(self) -> dict:
        """Returns the reply to a sync."""
        return {
            "term": self.term,
            "boot_id": self.boot_id,
            "clock_ms": int(time.monotonic() * 1000),
            "running": [
                {"key": task.key, "used": task.need, "need": task.need}
                for task in self.tasks.values()
            ],
            "ended": list(self.ended.values()),
            "requests": list(self.requests),
        }

    def sweep(self) -> None:
        """Stops the tasks whose lease has lapsed."""
        now = time.monotonic()
        lapsed = [
            identity
            for identity, task in self.tasks.items()
            if task.lease_until < now
        ]
        for identity in lapsed:
            self.end(identity, "stopped", "lease lapsed")


def identify(key: dict) -> tuple:
    """Returns the hashable identity of an attempt."""
    return key["job_id"], key["index"], key["attempt"]


def run_time_s(arguments: list[str]) -> float:
    """Returns the run time in a `run_ms=N` argument, or a short default."""
    for argument in arguments:
        name, _, value = argument.partition("=")
        if name == "run_ms":
            return int(value) / 1000
    return 0.05


class Sync:
    """The task interface."""

    def __init__(self, *, machine: Machine) -> None:
        """Keeps the machine."""
        self.machine = machine

    def on_post(self, req: falcon.Request, resp: falcon.Response):
        """Carries out a sync, or refuses a lower term."""
        reply = self.machine.sync(req.get_media())
        if reply is None:
            resp.status = falcon.HTTP_409
            reply = {"term": self.machine.term}
        resp.media = reply


class History:
    """What the checks read."""

    def __init__(self, *, machine: Machine) -> None:
        """Keeps the machine."""
        self.machine = machine

    def on_get(self, req: falcon.Request, resp: falcon.Response):
        """Answers everything started and ended, with times."""
        resp.media = {
            "worker_id": self.machine.worker_id,
            "history": self.machine.history,
        }


class Minion:
    """The back end: answers one request per slot."""

    def __init__(self, *, machine: Machine) -> None:
        """Keeps the machine."""
        self.machine = machine

    def on_post(self, req: falcon.Request, resp: falcon.Response, path: str):
        """Refuses a stale term or a full minion, else serves the request."""
        job_id = req.get_header("X-Request-Id") or str(uuid.uuid4())
        term = int(req.get_header("X-Grant-Term") or 0)
        body = req.bounded_stream.read()
        key = {"job_id": job_id, "index": 0, "attempt": 0}
        if term < self.machine.term:
            resp.status = falcon.HTTP_409
            return
        if len(self.machine.requests) >= self.machine.slots:
            resp.status = falcon.HTTP_503
            return
        arguments = json.loads(body or b"{}").get("arguments", [])
        self.machine.requests[job_id] = time.monotonic()
        self.machine.note("request", key, term=term)
        gevent.sleep(run_time_s(arguments))
        del self.machine.requests[job_id]
        self.machine.note("answer", key)
        resp.media = {
            "path": path,
            "worker": self.machine.worker_id,
            "request": job_id,
            "done": True,
        }


def sweep_forever(machine: Machine) -> None:
    """Stops lapsed tasks from time to time."""
    while True:
        gevent.sleep(LEASE_SWEEP_S)
        machine.sweep()


def register(options: argparse.Namespace) -> None:
    """Enters the worker in the platform's instance list."""
    row = {
        "ID": options.worker_id,
        "Name": "worker",
        "Address": options.host,
        "Port": options.port,
        "Meta": {
            "failure_domain": options.failure_domain,
            "rack": options.rack,
            "cpu_millis": str(options.cpu_millis),
            "memory_mb": str(options.memory_mb),
            "accelerators": str(options.accelerators),
            "slots": str(options.slots),
            "minion_address": f"{options.host}:{options.port}",
            "service": options.service,
        },
    }
    request = urllib.request.Request(
        f"{options.store_url}/v1/agent/service/register",
        data=json.dumps(row).encode(),
        headers={"Content-Type": "application/json"},
        method="PUT",
    )
    urllib.request.urlopen(request, timeout=5).close()


def main() -> None:
    """Serves until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--worker-id", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store-url", required=True)
    parser.add_argument("--failure-domain", required=True)
    parser.add_argument("--rack", required=True)
    parser.add_argument("--cpu-millis", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=32_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service", default="registry")
    options = parser.parse_args()
    machine = Machine(worker_id=options.worker_id, slots=options.slots)
    app = falcon.App()
    app.add_route("/v1/sync", Sync(machine=machine))
    app.add_route("/history", History(machine=machine))
    app.add_route("/minion/{path:path}", Minion(machine=machine))
    server = http.build_server(app, host=options.host, port=options.port)
    server.start()
    register(options)
    gevent.spawn(sweep_forever, machine)
    server.serve_forever()


if __name__ == "__main__":
    main()
