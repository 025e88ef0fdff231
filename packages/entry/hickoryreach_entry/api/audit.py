"""Resource that tells who changed the lists."""

import dataclasses

import falcon
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import changes
from hickoryreach_entry.api import parameters
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import resources

PAGE_DEFAULT = 100
PAGE_LIMIT = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cursor:
    """Where to read on, backwards.

    Attributes:
        segment: Revision at which the segment ends; 0 for the head.
        below: Only changes below this revision; 0 for all.
    """

    segment: int = 0
    below: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Changes read so far.

    Attributes:
        rows: The changes, the newest first.
        place: Where to read on; None at the end.
        lost_up_to: Newest revision whose record the store has lost; the trail
            ends there. 0 where it is whole.
    """

    rows: tuple[heads.Change, ...]
    place: Cursor | None
    lost_up_to: int = 0


class Audit(resources.ListResource):
    """Lists who changed what, the newest change first."""

    @answers.answered
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Answers up to `limit` changes, `after` those of the last page."""
        limit = parameters.get_limit(req, PAGE_DEFAULT, PAGE_LIMIT)
        return changes.find_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: parse_cursor(req.get_param("after") or "").bind(
                    lambda cursor: self.list_changes(known, cursor, limit)
                )
            )
        )

    def list_changes(
        self, name: str, cursor: Cursor, limit: int
    ) -> answers.Outcome:
        """Reads changes from the cursor on, backwards."""
        page = Page(rows=(), place=cursor)
        while page.place is not None and len(page.rows) < limit:
            read = self.read_part(name, page.place.segment)
            if isinstance(read, result.Failure):
                return result.Failure(
                    changes.store_problem(read.failure().reason)
                )
            page = extend(page, page.place, read.unwrap(), limit)
        return result.Success(
            answers.Answer(
                media={
                    "list": name,
                    "changes": [describe(row) for row in page.rows],
                    "after": pack_cursor(page.place) if page.place else "",
                    "lost_up_to": page.lost_up_to,
                }
            )
        )

    def read_part(
        self, name: str, segment: int
    ) -> result.Result[heads.Segment | None, exceptions.StoreFailure]:
        """Reads a segment, or the changes in the head as if they were one.

        A segment that the store has lost is None.
        """
        client = self.lists.client
        if not segment:
            return storage.read_head(client, name).map(
                lambda found: heads.build_segment(found[0])
            )
        return storage.read_segment(client, name, segment)


def extend(
    page: Page, place: Cursor, part: heads.Segment | None, limit: int
) -> Page:
    """Returns a page with changes of one more segment, up to a limit."""
    if part is None:
        return dataclasses.replace(page, place=None, lost_up_to=place.segment)
    older = select_older(part, place.below)
    taken = older[: limit - len(page.rows)]
    return Page(
        rows=(*page.rows, *taken), place=find_next(place, part, older, taken)
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
    ends = parameters.parse_number(segment)
    bound = parameters.parse_number(below)
    if ends is None or bound is None:
        return result.Failure(parameters.refuse_cursor())
    return result.Success(Cursor(segment=ends, below=bound))


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
            path: documents.mask_hash(path, value)
            for path, value in change.put.items()
        },
        "removed": list(change.removed),
    }
