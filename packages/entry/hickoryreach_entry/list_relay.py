"""Exchanges the operators' lists with the other entries."""

import collections
import logging
import math

import orjson

from hickoryreach.lists import documents
from hickoryreach.lists import freshness
from hickoryreach.lists import heads
from hickoryreach.wire import messages

log = logging.getLogger(__name__)

STATEMENT_NAME = "freshness"
RELAY_S = 1.5
TOLD_S = 0.05
HEARD_LIMIT = 16


class ListRelay:
    """Tells peers what is in force here, and takes in what they tell.

    Attributes:
        lists: The lists in force here.
        until_s: Time until which documents go along.
        lowest_seen: Lowest revision that a peer was seen to have, by list.
        told: What peers are told, with its time; reused for TOLD_S.
        heard: Last statements taken in, as received; peers reuse theirs.
    """

    def __init__(self, *, in_force) -> None:
        """Creates a relay that has told nothing."""
        self.lists = in_force
        self.until_s = 0.0
        self.lowest_seen = dict.fromkeys(documents.LIST_NAMES, 0)
        self.told: tuple[float, list[messages.ListHead]] = (-math.inf, [])
        self.heard: collections.deque = collections.deque(maxlen=HEARD_LIMIT)

    def forget_told(self) -> None:
        """Makes the next words to peers new ones."""
        self.told = (-math.inf, [])

    def get_heads(self) -> list[messages.ListHead]:
        """Returns what to tell peers of the lists in force.

        Documents go along only while some peer is known to lack them. A
        statement a few ms old is still true, as of the stamp it bears.
        """
        now_s = self.lists.clock()
        told_s, rows = self.told
        if now_s >= told_s + TOLD_S:
            rows = self.build_heads(now_s)
            self.told = (now_s, rows)
        return rows

    def build_heads(self, now_s: float) -> list[messages.ListHead]:
        """Returns what to tell peers from now on."""
        relaying = now_s < self.until_s
        rows = [
            messages.ListHead(
                name=name,
                revision=self.lists.revisions[name],
                document=self.pack_list(name) if relaying else b"",
            )
            for name in documents.LIST_NAMES
        ]
        statement = self.lists.freshness.build_statement(
            now_s,
            unsettled=self.lists.is_unsettled(),
            revisions=self.lists.revisions,
        )
        return [
            *rows,
            messages.ListHead(
                name=STATEMENT_NAME,
                revision=0,
                document=freshness.pack(statement),
            ),
        ]

    def pack_list(self, name: str) -> bytes:
        """Returns the list in force for a peer that lacks it."""
        head = self.lists.heads[name]
        if head.revision <= self.lowest_seen[name]:
            return b""
        whole = self.lowest_seen[name] < head.base_revision
        flat = self.lists.flats[name] if whole else None
        return orjson.dumps({"head": head, "flat": flat})

    def take_heads(self, rows: list[messages.ListHead]) -> None:
        """Takes in what a peer tells of the lists it has in force."""
        statements = [row for row in rows if row.name == STATEMENT_NAME]
        for row in rows:
            if row.name in documents.LIST_NAMES:
                self.take_row(row)
        for row in statements:
            self.take_statement(row)

    def take_row(self, row: messages.ListHead) -> None:
        """Takes in a peer's revision, and its document where needed."""
        name = row.name
        if row.revision < self.lists.revisions[name]:
            self.send_documents(name, row.revision)
        elif row.revision > self.lists.revisions[name] and row.document:
            self.take_relayed(name, row.document)

    def send_documents(self, name: str, revision: int) -> None:
        """Sends documents along for a while, to a peer that lacks some."""
        now_s = self.lists.clock()
        if now_s >= self.until_s:
            self.lowest_seen = dict(self.lists.revisions)
        self.until_s = now_s + RELAY_S
        self.forget_told()
        self.lowest_seen[name] = min(self.lowest_seen[name], revision)

    def take_relayed(self, name: str, data: bytes | str) -> None:
        """Puts a relayed list in force."""
        try:
            fields = orjson.loads(data)
            head = heads.parse_head(orjson.dumps(fields["head"]))
            flat = fields["flat"]
        except (ValueError, KeyError, TypeError):
            self.lists.refuse(name, 0, "malformed")
            return
        if flat is None and self.lists.revisions[name] < head.base_revision:
            return
        self.lists.take_head(name, head, flat)

    def take_statement(self, row: messages.ListHead) -> None:
        """Takes in how fresh a peer's lists are."""
        if row.document in self.heard:
            return
        try:
            statement = freshness.parse(row.document)
        except ValueError:
            log.warning("statement_malformed", extra={})
            return
        self.heard.append(row.document)
        self.lists.freshness.apply_statement(
            statement, self.lists.clock(), self.lists.revisions
        )
