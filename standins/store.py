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
from gevent import event as gevent_event
from gevent import monkey

from standins import http

monkey.patch_all()

SESSION_SWEEP_S = 0.2


@dataclasses.dataclass(kw_only=True)
class Record:
    """One stored value."""

    data: str
    created: int
    modified: int
    session: str = ""


@dataclasses.dataclass(kw_only=True)
class Session:
    """One lease with its deadline by this process's clock."""

    ttl_s: float
    deadline: float


@dataclasses.dataclass(kw_only=True)
class Copy:
    """What a restored store comes back with."""

    index: int
    records: dict[str, Record]
    sessions: dict[str, Session]


@dataclasses.dataclass(kw_only=True)
class Faults:
    """What is wrong with the store now.

    Attributes:
        down: Whether every call is answered 500 without effect.
        delay_ms: Time each call takes before its effect.
        lose_answers: Whether writes take effect and are then answered 500.
        watch_lag_ms: Time by which watches learn late.
        instances: true, stale, empty or wrong.
        stale_instances: The list as of when it became stale.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: bool = False
    watch_lag_ms: int = 0
    instances: str = "true"
    stale_instances: dict = dataclasses.field(default_factory=dict)


class Memory:
    """All values, sessions and instances, with one rising index."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.index = 1
        self.records: dict[str, Record] = {}
        self.sessions: dict[str, Session] = {}
        self.tombstones: dict[str, int] = {}
        self.instances: dict[str, dict] = {}
        self.changed = gevent_event.Event()
        self.calls: dict[str, int] = {}
        self.calls_by_second: dict[int, dict[str, int]] = {}
        self.faults = Faults()
        self.copies: dict[str, Copy] = {}

    def bump(self) -> int:
        """Raises the index and wakes waiting watches."""
        self.index += 1
        waiters, self.changed = self.changed, gevent_event.Event()
        waiters.set()
        return self.index

    def count(self, kind: str) -> None:
        """Counts one call."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        second = self.calls_by_second.setdefault(int(time.monotonic()), {})
        second[kind] = second.get(kind, 0) + 1

    def save(self, name: str) -> None:
        """Keeps a copy of all values under a name."""
        self.copies[name] = Copy(
            index=self.index,
            records=dict(self.records),
            sessions=dict(self.sessions),
        )

    def restore(self, name: str) -> None:
        """Goes back to a copy; its index falls, its leases begin anew."""
        copy = self.copies[name]
        self.index = copy.index
        self.records = dict(copy.records)
        self.sessions = dict(copy.sessions)
        for session in self.sessions.values():
            session.deadline = time.monotonic() + session.ttl_s
        self.tombstones.clear()
        waiters, self.changed = self.changed, gevent_event.Event()
        waiters.set()

    def list_instances(self, name: str) -> list[dict]:
        """Returns the rows of one service, true or not."""
        listed = {
            "true": self.instances,
            "stale": self.faults.stale_instances,
            "empty": {},
            "wrong": {
                key: row | {"Port": 1} for key, row in self.instances.items()
            },
        }[self.faults.instances]
        return [row for row in listed.values() if row["Name"] == name]

    def find(self, key: str, recurse: bool) -> list[tuple[str, Record]]:
        """Returns the records under a key or prefix, ordered."""
        if not recurse:
            record = self.records.get(key)
            return [(key, record)] if record else []
        return sorted(
            (name, record)
            for name, record in self.records.items()
            if name.startswith(key)
        )

    def remove(self, key: str, index: int) -> None:
        """Deletes a key and keeps the index of its deletion."""
        del self.records[key]
        self.tombstones[key] = index

    def newest(self, key: str, recurse: bool) -> int:
        """Returns the index of the last change under a key or prefix."""
        changes = [record.modified for _, record in self.find(key, recurse)]
        changes += [
            index
            for name, index in self.tombstones.items()
            if name == key or (recurse and name.startswith(key))
        ]
        return max(changes, default=1)

    def sweep(self) -> None:
        """Drops sessions that have lapsed; not while the store is down."""
        if self.faults.down:
            return
        now = time.monotonic()
        lapsed = [
            session_id
            for session_id, session in self.sessions.items()
            if session.deadline < now
        ]
        for session_id in lapsed:
            self.drop_session(session_id)

    def drop_session(self, session_id: str) -> None:
        """Ends a session and deletes the keys it holds."""
        self.sessions.pop(session_id, None)
        held = [
            key
            for key, record in self.records.items()
            if record.session == session_id
        ]
        if held:
            index = self.bump()
            for key in held:
                self.remove(key, index)

    def apply(self, operations: list[dict]) -> tuple[bool, list[dict]]:
        """Applies a transaction whole or not at all."""
        if not all(self.allows(operation["KV"]) for operation in operations):
            return False, []
        index = self.bump()
        return True, [
            self.apply_one(operation["KV"], index) for operation in operations
        ]

    def allows(self, operation: dict) -> bool:
        """Returns whether one operation's condition holds."""
        record = self.records.get(operation["Key"])
        verb = operation["Verb"]
        if verb == "cas":
            return operation["Index"] == (record.modified if record else 0)
        if verb == "lock":
            if operation["Session"] not in self.sessions:
                return False
            holder = record.session if record else ""
            return holder in ("", operation["Session"])
        return True

    def apply_one(self, operation: dict, index: int) -> dict:
        """Applies one operation whose condition holds."""
        key = operation["Key"]
        verb = operation["Verb"]
        if verb in ("delete", "delete-tree"):
            doomed = [
                name
                for name in self.records
                if name == key or (verb != "delete" and name.startswith(key))
            ]
            for name in doomed:
                self.remove(name, index)
            return {"KV": {"Key": key, "ModifyIndex": index}}
        record = self.records.get(key)
        self.records[key] = Record(
            data=operation["Value"],
            created=record.created if record else index,
            modified=index,
            session=operation.get("Session", ""),
        )
        return {"KV": {"Key": key, "ModifyIndex": index}}


def render(key: str, record: Record) -> dict:
    """Returns a record as the interface shows it."""
    row = {
        "Key": key,
        "Value": record.data,
        "CreateIndex": record.created,
        "ModifyIndex": record.modified,
        "Flags": 0,
    }
    if record.session:
        row["Session"] = record.session
    return row


class Values:
    """Reads of keys, blocking or not."""

    def __init__(self, *, memory: Memory) -> None:
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
        resp.media = [render(name, record) for name, record in rows]

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

    def __init__(self, *, memory: Memory) -> None:
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

    def __init__(self, *, memory: Memory) -> None:
        """Keeps the memory."""
        self.memory = memory

    def on_put_create(self, req: falcon.Request, resp: falcon.Response):
        """Creates a session."""
        self.memory.count("session")
        ttl_s = float(req.get_media()["TTL"].removesuffix("s"))
        session_id = str(uuid.uuid4())
        self.memory.sessions[session_id] = Session(
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

    def __init__(self, *, memory: Memory) -> None:
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

    def __init__(self, *, memory: Memory) -> None:
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

    def __init__(self, *, memory: Memory) -> None:
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

    def __init__(self, *, memory: Memory) -> None:
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


def build_app(memory: Memory) -> falcon.App:
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


def sweep_forever(memory: Memory) -> None:
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
    memory = Memory()
    gevent.spawn(sweep_forever, memory)
    http.build_server(
        build_app(memory), host=options.host, port=options.port
    ).serve_forever()


if __name__ == "__main__":
    main()
