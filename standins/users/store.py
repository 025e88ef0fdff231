"""Stand-in of the platform's metadata store, with faults on request."""

from __future__ import annotations

import base64
import collections
import dataclasses
import random
import time

import gevent
from gevent import event as gevent_event

HISTORY_LIMIT = 20_000
PAGE_LIMIT = 500
TRANSACTION_LIMIT = 32


@dataclasses.dataclass(slots=True)
class Item:
    """A key as it was last written."""

    key: str
    value: str | None
    revision: int
    created: int
    lease: int = 0

    def describe(self) -> dict:
        """Returns the item as the store answers it."""
        if self.value is None:
            return {
                "key": self.key,
                "revision": self.revision,
                "tombstone": True,
            }
        return dataclasses.asdict(self)


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """What goes wrong at present.

    Attributes:
        busy: Callers that are answered 503; `*` for all.
        silent: Callers that get no answer.
        delay_s: Time added to each answer.
        lost_share: Share of writes that are done and not answered.
        generator: Draws which writes are lost.
    """

    busy: set[str] = dataclasses.field(default_factory=set)
    silent: set[str] = dataclasses.field(default_factory=set)
    delay_s: float = 0.0
    lost_share: float = 0.0
    generator: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )


class KeyValueStore:
    """Keys with revisions, leases and a history.

    Attributes:
        items: Present items by key.
        revision: Revision of the last change.
        history: Changes, the oldest first.
        forgotten: Changes up to this revision are not kept any more.
        faults: What goes wrong at present.
        calls: Calls by kind.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: collections.deque[Item] = collections.deque()
        self.forgotten = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = gevent_event.Event()
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()

    def put(self, key: str, data: bytes, lease: int = 0) -> int:
        """Writes a key unconditionally, as an operator or a minion does."""
        value = base64.b64encode(data).decode()
        self.revision += 1
        self._write(key, value, lease)
        self._tell()
        return self.revision

    def delete(self, key: str) -> None:
        """Removes a key."""
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._tell()

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        item = Item(
            key=key,
            value=value,
            revision=self.revision,
            created=known.created if known else self.revision,
            lease=lease,
        )
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        item = self.items.pop(key)
        self.history.append(
            Item(
                key=key,
                value=None,
                revision=self.revision,
                created=item.created,
            )
        )

    def _tell(self) -> None:
        while len(self.history) > HISTORY_LIMIT:
            self.forgotten = self.history.popleft().revision
        self.changed.set()
        self.changed = gevent_event.Event()

    def forget_history(self) -> None:
        """Drops the history, so that watches must read anew."""
        self.history.clear()
        self.forgotten = self.revision

    def get(self, words: dict) -> tuple[int, dict | None]:
        """Answers a read of one key."""
        item = self.items.get(words["key"])
        if item is None:
            return 404, None
        return 200, item.describe() | {"storeRevision": self.revision}

    def get_range(self, words: dict) -> tuple[int, dict]:
        """Answers a page of the keys under a prefix."""
        keys = sorted(
            key
            for key in self.items
            if key.startswith(words["prefix"]) and key > words.get("after", "")
        )
        page = [self.items[key].describe() for key in keys[:PAGE_LIMIT]]
        return 200, {
            "items": page,
            "hasMore": len(keys) > PAGE_LIMIT,
            "storeRevision": self.revision,
        }

    def watch(self, words: dict) -> tuple[int, dict | None]:
        """Answers what has changed, or waits for a change."""
        after = int(words["after"])
        deadline = time.monotonic() + int(words["waitMs"]) / 1000
        while True:
            if after < self.forgotten:
                return 410, None
            found = [
                item.describe()
                for item in self.history
                if item.revision > after
                and item.key.startswith(words["prefix"])
            ]
            left_s = deadline - time.monotonic()
            if found or left_s <= 0:
                return 200, {
                    "events": found,
                    "storeRevision": self.revision,
                }
            self.changed.wait(left_s)

    def transact(self, body: dict) -> tuple[int, dict | None]:
        """Carries out a write under conditions."""
        conditions = body.get("expectedRev") or []
        puts = body.get("puts") or []
        removed = body.get("remove") or []
        if len(conditions) + len(puts) + len(removed) > TRANSACTION_LIMIT:
            return 400, None
        if any(
            row.get("lease") and row["lease"] not in self.leases for row in puts
        ):
            return 404, None
        if any(
            self._get_revision(row["key"]) != row["revision"]
            for row in conditions
        ):
            return 412, {
                "items": [self._describe_any(row["key"]) for row in conditions]
            }
        self.revision += 1
        for row in puts:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in removed:
            if key in self.items:
                self._remove(key)
        self._tell()
        return 200, {"revision": self.revision}

    def _get_revision(self, key: str) -> int:
        item = self.items.get(key)
        return item.revision if item else 0

    def _describe_any(self, key: str) -> dict:
        item = self.items.get(key)
        return item.describe() if item else {"key": key, "revision": 0}

    def create_lease(self, body: dict) -> tuple[int, dict]:
        """Creates a lease."""
        lease = len(self.leases) + 1
        ttl_s = body["ttlMs"] / 1000
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {"lease": lease, "ttlMs": body["ttlMs"]}

    def answer(
        self, method: str, path: str, words: dict, body: dict, caller: str
    ) -> tuple[int, dict | None] | None:
        """Answers one call; None for a call that gets no answer."""
        faults = self.faults
        self.calls[path] += 1
        if faults.delay_s:
            gevent.sleep(faults.delay_s)
        if {caller, "*"} & faults.silent:
            return None
        if {caller, "*"} & faults.busy:
            return 503, None
        if path == "/kv-key":
            return self.get(words)
        if path == "/kv-range":
            return self.get_range(words)
        if path == "/kv-watch":
            return self.watch(words)
        if path == "/kv-lease":
            return self.create_lease(body)
        if path != "/kv-txn":
            return 404, None
        answer = self.transact(body)
        if faults.generator.random() < faults.lost_share:
            return None
        return answer
