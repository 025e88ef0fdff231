"""Resource that tells who changed the lists."""

import dataclasses

import falcon
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import changes
from hickoryreach_entry.api import problems

PAGE_DEFAULT = 100
PAGE_MAX = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cursor:
    """Where to read on, backwards.

    Attributes:
        segment: Revision at which the segment ends; 0 for the head.
        below: Only changes below this revision; 0 for all.
    """

    segment: int = 0
    below: int = 0


class Audit:
    """Lists who changed what, the newest change first."""

    def __init__(self, *, gate: access.Access) -> None:
        """Keeps what it needs."""
        self.access = gate
        self.lists = gate.lists

    @answers.answered
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Answers up to `limit` changes, `after` those of the last page."""
        limit = req.get_param_as_int("limit", min_value=1) or PAGE_DEFAULT
        return changes.find_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: parse_cursor(req.get_param("after") or "").bind(
                    lambda cursor: self.list_changes(
                        known, cursor, min(limit, PAGE_MAX)
                    )
                )
            )
        )

    def list_changes(
        self, name: str, cursor: Cursor, limit: int
    ) -> answers.Outcome:
        """Reads changes from the cursor on, backwards."""
        rows: list[heads.Change] = []
        place: Cursor | None = cursor
        while place is not None and len(rows) < limit:
            read = self.read_part(name, place.segment)
            if isinstance(read, result.Failure):
                return result.Failure(
                    changes.store_problem(read.failure().reason)
                )
            part = read.unwrap()
            older = select_older(part, place.below)
            page = older[: limit - len(rows)]
            rows += page
            place = find_next(place, part, older, page)
        return result.Success(
            answers.Answer(
                media={
                    "list": name,
                    "changes": [describe(row) for row in rows],
                    "after": pack_cursor(place) if place else "",
                }
            )
        )

    def read_part(
        self, name: str, segment: int
    ) -> result.Result[heads.Segment, exceptions.StoreFailure]:
        """Reads a segment, or the changes in the head as if they were one."""
        client = self.lists.client
        if not segment:
            return storage.read_head(client, name).map(
                lambda found: heads.get_segment(found[0])
            )
        return storage.read_segment(client, name, segment).map(
            lambda found: found or heads.Segment(base_revision=0, changes=())
        )


def select_older(part: heads.Segment, below: int) -> list[heads.Change]:
    """Returns the changes below a revision, the newest first."""
    return [
        row
        for row in reversed(part.changes)
        if not below or row.revision < below
    ]


def find_next(
    place: Cursor,
    part: heads.Segment,
    older: list[heads.Change],
    page: list[heads.Change],
) -> Cursor | None:
    """Returns where the changes after a page begin, or None at the end."""
    if len(page) < len(older):
        return Cursor(segment=place.segment, below=page[-1].revision)
    if part.base_revision:
        return Cursor(segment=part.base_revision, below=place.below)
    return None


def parse_cursor(
    text: str,
) -> result.Result[Cursor, problems.Problem]:
    """Returns the cursor that a page ended with."""
    segment, _, below = (text or "0.0").partition(".")
    if segment.isdecimal() and below.isdecimal():
        return result.Success(Cursor(segment=int(segment), below=int(below)))
    return result.Failure(
        problems.Problem(
            status=400,
            reason="malformed",
            detail="Pass `after` as the last page gave it.",
        )
    )


def pack_cursor(cursor: Cursor) -> str:
    """Returns a cursor as callers pass it back."""
    return f"{cursor.segment}.{cursor.below}"


def describe(change: heads.Change) -> dict[str, object]:
    """Returns the JSON form of an audit record; hashes are masked."""
    return {
        "at_ms": change.at_ms,
        "actor": change.actor,
        "action": change.action,
        "from_revision": change.revision - 1,
        "to_revision": change.revision,
        "token": change.token,
        "set": {
            path: documents.show(path, value)
            for path, value in change.put.items()
        },
        "removed": list(change.removed),
    }
