"""Stand-in for a worker and the minion on it, as one process."""

import argparse
import json
import urllib.request
import uuid

import falcon
import gevent
from gevent import monkey

from standins import http
from standins import machine

monkey.patch_all()

LEASE_SWEEP_S = 0.05
SILENCE_S = 60.0
MINION_CONNECTIONS = 64
BYTES_PER_KB = 1_000


class Sync:
    """The task interface."""

    def __init__(self, *, worker: machine.Machine) -> None:
        """Keeps the machine."""
        self.machine = worker

    def on_post(self, req: falcon.Request, resp: falcon.Response):
        """Carries out a sync, or refuses a stale one."""
        body = req.get_media()
        if self.machine.mode == "silent":
            gevent.sleep(SILENCE_S)
        reply = self.machine.sync(body)
        if reply is None:
            resp.status = falcon.HTTP_409
            reply = {"term": self.machine.term}
        if self.machine.mode == "garble":
            resp.data = b'{"term": "no'
            return
        resp.media = reply


class History:
    """What the checks read."""

    def __init__(self, *, recorder: machine.Recorder) -> None:
        """Keeps the recorder."""
        self.recorder = recorder

    def on_get(self, req: falcon.Request, resp: falcon.Response):
        """Answers everything started and ended, with times."""
        resp.media = {
            "worker_id": self.recorder.worker_id,
            "history": self.recorder.history,
        }


class Control:
    """Changes how the worker behaves."""

    def __init__(self, *, worker: machine.Machine) -> None:
        """Keeps the machine."""
        self.machine = worker

    def on_put(self, req: falcon.Request, resp: falcon.Response):
        """Sets the mode."""
        self.machine.mode = req.get_media()["mode"]
        resp.media = {"mode": self.machine.mode}


class Minion:
    """The back end: answers one request per slot."""

    def __init__(self, *, worker: machine.Machine) -> None:
        """Keeps the machine."""
        self.machine = worker
        self.recorder = worker.recorder

    def on_post(self, req: falcon.Request, resp: falcon.Response, path: str):
        """Refuses a stale term or a full minion, else serves the request."""
        job_id = req.get_header("X-Request-Id") or str(uuid.uuid4())
        term = int(req.get_header("X-Grant-Term") or 0)
        body = json.loads(req.bounded_stream.read() or b"{}")
        arguments = machine.parse_arguments(body.get("arguments", []))
        piece = arguments.get("piece", job_id)
        refused = self.machine.admit_request(term)
        if refused:
            self.recorder.note("refuse_request", piece=piece, status=refused)
            resp.status = refused
            return
        self.serve(job_id, piece, term, arguments)
        failing = (
            machine.FAIL_ARGUMENT in arguments or self.machine.mode == "fail"
        )
        resp.status = 500 if failing else 200
        resp.media = {
            "path": path,
            "worker": self.recorder.worker_id,
            "request": job_id,
            "piece": piece,
            "filler": "x" * (BYTES_PER_KB * int(arguments.get("answer_kb", 0))),
            "done": True,
        }

    def serve(
        self, job_id: str, piece: str, term: int, arguments: dict[str, str]
    ) -> None:
        """Takes a slot for as long as the request runs."""
        number = str(uuid.uuid4())
        self.machine.requests[number] = job_id
        self.recorder.note(
            "request", number=number, piece=piece, job_id=job_id, term=term
        )
        gevent.sleep(machine.run_time_s(arguments))
        del self.machine.requests[number]
        self.recorder.note("answer", number=number, piece=piece)


def sweep_forever(worker: machine.Machine) -> None:
    """Stops lapsed tasks from time to time."""
    while True:
        gevent.sleep(LEASE_SWEEP_S)
        worker.sweep()


def describe(options: argparse.Namespace) -> dict:
    """Returns the worker's row in the platform's instance list."""
    return {
        "ID": options.worker_id,
        "Name": "worker",
        "Address": options.host,
        "Port": options.listed_port or options.port,
        "Meta": {
            "failure_domain": options.failure_domain,
            "rack": options.rack,
            "cpu_millis": str(options.cpu_millis),
            "memory_mb": str(options.memory_mb),
            "accelerators": str(options.accelerators),
            "slots": str(options.slots),
            "minion_address": (
                f"{options.host}:"
                f"{options.listed_minion_port or options.minion_port}"
            ),
            "service": options.service,
        },
    }


def register(options: argparse.Namespace) -> None:
    """Enters the worker in the platform's instance list."""
    request = urllib.request.Request(
        f"{options.store_url}/v1/agent/service/register",
        data=json.dumps(describe(options)).encode(),
        headers={"Content-Type": "application/json"},
        method="PUT",
    )
    urllib.request.urlopen(request, timeout=5).close()


def parse_options() -> argparse.Namespace:
    """Returns the command line's options."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--worker-id", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--minion-port", type=int, required=True)
    parser.add_argument("--listed-port", type=int, default=0)
    parser.add_argument("--listed-minion-port", type=int, default=0)
    parser.add_argument("--record", default="")
    parser.add_argument("--store-url", required=True)
    parser.add_argument("--failure-domain", required=True)
    parser.add_argument("--rack", required=True)
    parser.add_argument("--cpu-millis", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=32_000)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--service", default="registry")
    return parser.parse_args()


def build_worker(options: argparse.Namespace) -> machine.Machine:
    """Returns an idle machine whose size is in its record."""
    recorder = machine.Recorder(
        worker_id=options.worker_id, path=options.record
    )
    recorder.note(
        "up",
        capacity={
            "cpu_millis": options.cpu_millis,
            "memory_mb": options.memory_mb,
            "accelerators": options.accelerators,
        },
        slots=options.slots,
    )
    return machine.Machine(recorder=recorder, slots=options.slots)


def main() -> None:
    """Serves until killed."""
    options = parse_options()
    worker = build_worker(options)
    app = falcon.App()
    app.add_route("/v1/sync", Sync(worker=worker))
    app.add_route("/history", History(recorder=worker.recorder))
    app.add_route("/control", Control(worker=worker))
    back_end = falcon.App()
    back_end.add_route("/minion/{path:path}", Minion(worker=worker))
    minion_server = http.build_server(
        back_end,
        host=options.host,
        port=options.minion_port,
        connections=MINION_CONNECTIONS,
    )
    minion_server.start()
    server = http.build_server(app, host=options.host, port=options.port)
    server.start()
    register(options)
    gevent.spawn(sweep_forever, worker)
    server.serve_forever()


if __name__ == "__main__":
    main()
