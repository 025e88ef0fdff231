"""Values, sessions and instances that the stand-in of the store holds."""

import dataclasses
import time

from gevent import event as gevent_event


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
