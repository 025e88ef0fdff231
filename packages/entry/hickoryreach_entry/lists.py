"""The operators' lists as this entry has them in force."""

from collections.abc import Callable
import logging
import time

import gevent
import prometheus_client
from returns import result

from hickoryreach.lists import allowances
from hickoryreach.lists import compaction
from hickoryreach.lists import documents
from hickoryreach.lists import editor
from hickoryreach.lists import edits
from hickoryreach.lists import entitlements
from hickoryreach.lists import freshness
from hickoryreach.lists import heads
from hickoryreach.lists import keys
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from hickoryreach.structure import workspaces
from hickoryreach.trial import store
from hickoryreach.wire import messages
from hickoryreach_entry import list_relay

log = logging.getLogger(__name__)

WATCH_WAIT_S = 2.0
RETRY_S = 0.5

refused_heads = prometheus_client.Counter(
    "hickoryreach_list_heads_refused",
    "List heads read or relayed that were not put in force",
    ["list", "reason"],
)
revision_in_force = prometheus_client.Gauge(
    "hickoryreach_list_revision", "Revision in force of a list", ["list"]
)
age_s = prometheus_client.Gauge(
    "hickoryreach_lists_age_seconds",
    "Time since the lists were last confirmed to be the newest",
)


class Lists:
    """Both lists, followed through a watch and through peers.

    Attributes:
        client: The platform's store.
        clock: Monotonic clock, in s.
        plans: The plans in force.
        allowances: The allowances in force.
        keys: Every key in force, by digest.
        revisions: Revision in force of each list.
        heads: Head in force of each list.
        flats: Document in force of each list, as a flat map.
        freshness: When the lists were last known to be the newest.
        unsettled: Head index under which a change of unknown outcome was
            sent, by list.
        editing: Number of changes under way.
        refused: List, revision and reason of each head refused so far.
        relay: Exchanges the lists with peers.
        listeners: Called without arguments after a change.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates empty lists."""
        self.client = client
        self.clock = clock
        self.plans = plans.Plans()
        self.allowances = allowances.Allowances()
        self.keys = keys.build_index(self.plans)
        self.revisions = dict.fromkeys(documents.LIST_NAMES, 0)
        self.heads = {name: heads.Head() for name in documents.LIST_NAMES}
        self.flats: dict[str, documents.FlatDocument] = {
            name: {} for name in documents.LIST_NAMES
        }
        self.freshness = freshness.FreshnessTracker()
        self.unsettled: dict[str, int] = {}
        self.editing = 0
        self.refused: set[tuple[str, int, str]] = set()
        self.relay = list_relay.ListRelay(in_force=self)
        self.listeners: list[Callable[[], None]] = []
        age_s.set_function(self.fresh_s)

    def start(self) -> None:
        """Begins to follow the lists."""
        gevent.spawn(self.watch_forever)

    def fresh_s(self) -> float:
        """Returns how long ago the lists were known to be the newest."""
        as_of_s = self.freshness.get_as_of_s(unsettled=self.is_unsettled())
        return self.clock() - as_of_s

    def is_unsettled(self) -> bool:
        """Returns whether a change of this entry may be in force unseen."""
        return self.editing > 0 or bool(self.unsettled)

    def watch_forever(self) -> None:
        """Applies each higher revision."""
        index = 0
        while True:
            sent_s = self.clock()
            read = self.client.watch(
                heads.HEAD_PREFIX,
                index=index,
                wait_s=WATCH_WAIT_S,
                recurse=True,
            )
            if isinstance(read, result.Failure):
                index = 0
                gevent.sleep(RETRY_S)
                continue
            snapshot = read.unwrap()
            if self.take_snapshot(snapshot):
                index = snapshot.index
                self.freshness.record_read(sent_s)
            else:
                index = 0
                gevent.sleep(RETRY_S)

    def take_snapshot(self, snapshot: store.Snapshot) -> bool:
        """Takes in both heads as read from the store.

        Returns:
            Whether every change the store holds is now in force.
        """
        found = {
            value.key.removeprefix(heads.HEAD_PREFIX): value
            for value in snapshot.values
        }
        return all(
            [
                self.take_value(name, found.get(name))
                for name in documents.LIST_NAMES
            ]
        )

    def take_value(self, name: str, value: store.Value | None) -> bool:
        """Takes in one head as read from the store."""
        index = value.index if value else 0
        if self.unsettled.get(name, index) != index:
            del self.unsettled[name]
        try:
            head = heads.parse_head(value.data) if value else heads.Head()
        except ValueError:
            self.refuse(name, 0, "malformed")
            return False
        if head.revision < self.revisions[name]:
            self.refuse(name, head.revision, "older")
            self.repair(name, index)
            return True
        return self.take_head(name, head)

    def take_head(
        self,
        name: str,
        head: heads.Head,
        flat: documents.FlatDocument | None = None,
    ) -> bool:
        """Puts a list in force if its revision is higher.

        Args:
            name: The list.
            head: Its head.
            flat: Its whole document, where the sender gave it.

        Returns:
            Whether the head is in force now.
        """
        revision = self.revisions[name]
        if not heads.contains_change(head, revision, self.heads[name].token):
            self.refuse(name, head.revision, "forked")
            return False
        if head.revision == revision:
            self.heads[name] = head
            return True
        if head.revision < revision:
            return True
        if flat is None:
            flat = self.build_flat(name, head)
        return flat is not None and self.apply(name, head, flat)

    def build_flat(
        self, name: str, head: heads.Head
    ) -> documents.FlatDocument | None:
        """Returns the document at a head, read in part from the store."""
        revision = self.revisions[name]
        if revision >= head.base_revision:
            return heads.replay_changes(self.flats[name], revision, head)
        read = storage.read_snapshot(self.client, name, head.base_revision)
        if isinstance(read, result.Failure):
            log.warning(
                "list_snapshot_missing",
                extra={"list": name, "revision": head.base_revision},
            )
            return None
        return heads.replay_changes(read.unwrap(), head.base_revision, head)

    def apply(
        self, name: str, head: heads.Head, flat: documents.FlatDocument
    ) -> bool:
        """Puts a document in force."""
        if head.revision <= self.revisions[name]:
            return True
        try:
            document = documents.unflatten(name, flat)
        except ValueError:
            self.refuse(name, head.revision, "malformed")
            return False
        if name == "plans":
            self.plans = document
            self.keys = keys.build_index(document)
        else:
            self.allowances = document
        self.heads[name] = head
        self.flats[name] = flat
        self.revisions[name] = head.revision
        self.relay.forget_told()
        revision_in_force.labels(name).set(head.revision)
        log.info(
            "list_applied", extra={"list": name, "revision": head.revision}
        )
        for listener in self.listeners:
            listener()
        return True

    def refuse(self, name: str, revision: int, reason: str) -> None:
        """Reports a head that is not put in force, each one once."""
        found = (name, revision, reason)
        if found in self.refused:
            return
        self.refused.add(found)
        refused_heads.labels(name, reason).inc()
        log.error(
            "list_refused",
            extra={
                "list": name,
                "revision": revision,
                "in_force": self.revisions[name],
                "reason": reason,
            },
        )

    def repair(self, name: str, index: int) -> None:
        """Writes the list in force over an older one in the store."""
        head = self.heads[name]
        repaired = compaction.overwrite_older_list(
            self.client, name, head, self.flats[name], index
        )
        log.warning(
            "list_repaired",
            extra={
                "list": name,
                "revision": head.revision,
                "written": isinstance(repaired, result.Success),
            },
        )

    def edit(self, edit: edits.Edit) -> edits.Outcome:
        """Makes a change, and puts an accepted one in force here at once."""
        self.editing += 1
        try:
            outcome = editor.apply_edit(self.client, edit)
            self.settle(edit.name, outcome)
        finally:
            self.editing -= 1
        return outcome

    def settle(self, name: str, outcome: edits.Outcome) -> None:
        """Takes in how a change ended."""
        if isinstance(outcome, result.Success):
            accepted = outcome.unwrap()
            self.take_head(name, accepted.head, accepted.flat)
        elif isinstance(outcome.failure(), edits.Unavailable):
            failure = outcome.failure()
            if failure.token:
                self.unsettled[name] = failure.index

    def get_heads(self) -> list[messages.ListHead]:
        """Returns what to tell peers of the lists in force."""
        return self.relay.get_heads()

    def take_heads(self, rows: list[messages.ListHead]) -> None:
        """Takes in what a peer tells of the lists it has in force."""
        self.relay.take_heads(rows)

    def get_entitlements(self) -> tuple[workspaces.Entitlement, ...]:
        """Returns the entitlement of every workspace."""
        return entitlements.build(self.plans, self.allowances)
