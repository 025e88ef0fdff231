"""Stand-in for the platform's key-value service and instance list.

It answers the part of Consul's published HTTP interface that the product
calls: key-value reads with blocking queries, transactions, sessions and the
health list of one service.
"""

import argparse
import dataclasses
import time
import uuid

import falcon
import gevent
from gevent import monkey

from standins import http
from standins import store_memory

monkey.patch_all()

SESSION_SWEEP_S = 0.2


class Values:
    """Reads of keys, blocking or not."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_get(self, req: falcon.Request, resp: falcon.Response, key: str):
        """Answers at once, or after a change past the given index."""
        recurse = req.get_param_as_bool("recurse") or False
        after = req.get_param_as_int("index") or 0
        wait = (req.get_param("wait") or "0ms").removesuffix("ms")
        self.memory.count("watch" if after else "get")
        self.wait_for_change(key, recurse, after, int(wait) / 1000)
        if after:
            gevent.sleep(self.memory.faults.watch_lag_ms / 1000)
        rows = self.memory.find(key, recurse)
        resp.set_header("X-Consul-Index", str(self.memory.newest(key, recurse)))
        resp.status = falcon.HTTP_200 if rows else falcon.HTTP_404
        resp.media = [
            store_memory.render(name, record) for name, record in rows
        ]

    def wait_for_change(
        self, key: str, recurse: bool, after: int, wait_s: float
    ) -> None:
        """Returns when a change passed `after`, or after `wait_s`."""
        deadline = time.monotonic() + wait_s
        while self.memory.newest(key, recurse) == after:
            left = deadline - time.monotonic()
            if left <= 0 or not self.memory.changed.wait(left):
                return


class Transactions:
    """Conditional writes."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_put(self, req: falcon.Request, resp: falcon.Response):
        """Applies the operations whole or not at all."""
        self.memory.count("txn")
        applied, results = self.memory.apply(req.get_media())
        resp.status = falcon.HTTP_200 if applied else falcon.HTTP_409
        resp.media = {"Results": results, "Errors": None}


class Sessions:
    """Leases."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_put_create(self, req: falcon.Request, resp: falcon.Response):
        """Creates a session."""
        self.memory.count("session")
        ttl_s = float(req.get_media()["TTL"].removesuffix("s"))
        session_id = str(uuid.uuid4())
        self.memory.sessions[session_id] = store_memory.Session(
            ttl_s=ttl_s, deadline=time.monotonic() + ttl_s
        )
        resp.media = {"ID": session_id}

    def on_put_renew(
        self, req: falcon.Request, resp: falcon.Response, session_id: str
    ):
        """Renews a session, or answers 404 when it has lapsed."""
        self.memory.count("session")
        session = self.memory.sessions.get(session_id)
        if session is None:
            resp.status = falcon.HTTP_404
            return
        session.deadline = time.monotonic() + session.ttl_s
        resp.media = [{"ID": session_id, "TTL": f"{session.ttl_s}s"}]

    def on_put_destroy(
        self, req: falcon.Request, resp: falcon.Response, session_id: str
    ):
        """Ends a session."""
        self.memory.count("session")
        self.memory.drop_session(session_id)
        resp.media = True


class Instances:
    """The list of live and departing instances."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str):
        """Lists the instances of one service."""
        self.memory.count("instances")
        resp.media = [
            {"Service": row} for row in self.memory.list_instances(name)
        ]

    def on_put_register(self, req: falcon.Request, resp: falcon.Response):
        """Adds or replaces one instance."""
        row = req.get_media()
        self.memory.instances[row["ID"]] = row

    def on_put_deregister(
        self, req: falcon.Request, resp: falcon.Response, instance_id: str
    ):
        """Removes one instance."""
        self.memory.instances.pop(instance_id, None)


class Counts:
    """What the checks read: calls by kind."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_get(self, req: falcon.Request, resp: falcon.Response):
        """Answers the calls counted so far."""
        resp.media = {
            "calls": self.memory.calls,
            "calls_by_second": self.memory.calls_by_second,
            "values": sum(len(r.data) for r in self.memory.records.values()),
            "keys": len(self.memory.records),
        }


class Control:
    """Brings faults about."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_put(self, req: falcon.Request, resp: falcon.Response):
        """Saves or restores a copy, or changes the faults."""
        body = req.get_media()
        if "save" in body:
            self.memory.save(body.pop("save"))
        if "restore" in body:
            self.memory.restore(body.pop("restore"))
        if body.get("instances") == "stale":
            body["stale_instances"] = dict(self.memory.instances)
        self.memory.faults = dataclasses.replace(self.memory.faults, **body)
        resp.media = {}


class FaultMiddleware:
    """Applies the faults to every call of the platform's interface."""

    def __init__(self, *, memory: store_memory.Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def process_request(self, req: falcon.Request, resp: falcon.Response):
        """Delays or fails a call before its effect."""
        if not req.path.startswith("/v1/"):
            return
        gevent.sleep(self.memory.faults.delay_ms / 1000)
        if self.memory.faults.down:
            self.memory.count("refused")
            resp.complete = True
            resp.status = falcon.HTTP_500

    def process_response(
        self, req: falcon.Request, resp: falcon.Response, resource, succeeded
    ):
        """Loses answers: all while down, of writes after their effect."""
        if not req.path.startswith("/v1/"):
            return
        lost = req.method == "PUT" and self.memory.faults.lose_answers
        if lost or self.memory.faults.down:
            resp.status = falcon.HTTP_500
            resp.media = None


def build_app(memory: store_memory.Memory) -> falcon.App:
    """Returns the interface over `memory`."""
    app = falcon.App(middleware=[FaultMiddleware(memory=memory)])
    sessions = Sessions(memory=memory)
    instances = Instances(memory=memory)
    app.add_route("/v1/kv/{key:path}", Values(memory=memory))
    app.add_route("/v1/txn", Transactions(memory=memory))
    app.add_route("/v1/session/create", sessions, suffix="create")
    app.add_route("/v1/session/renew/{session_id}", sessions, suffix="renew")
    app.add_route(
        "/v1/session/destroy/{session_id}", sessions, suffix="destroy"
    )
    app.add_route("/v1/health/service/{name}", instances)
    app.add_route("/v1/agent/service/register", instances, suffix="register")
    app.add_route(
        "/v1/agent/service/deregister/{instance_id}",
        instances,
        suffix="deregister",
    )
    app.add_route("/counts", Counts(memory=memory))
    app.add_route("/control", Control(memory=memory))
    return app


def sweep_forever(memory: store_memory.Memory) -> None:
    """Drops lapsed sessions from time to time."""
    while True:
        gevent.sleep(SESSION_SWEEP_S)
        memory.sweep()


def main() -> None:
    """Serves until killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    memory = store_memory.Memory()
    gevent.spawn(sweep_forever, memory)
    http.build_server(
        build_app(memory), host=options.host, port=options.port
    ).serve_forever()


if __name__ == "__main__":
    main()
