"""Resource for the audit trail of the lists."""

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

DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cursor:
    """Position in the audit trail, which is read from new to old.

    Attributes:
        segment: Last revision of the segment to read; 0 for the head.
        below: Revision that the changes must be below; 0 for no bound.
    """

    segment: int = 0
    below: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Changes collected for one page.

    Attributes:
        rows: The changes, newest first.
        next_cursor: Cursor of the next older change; None at the end.
        lost_up_to: Newest revision whose record is missing from the store; the
            trail ends there. 0 if it is complete.
    """

    rows: tuple[heads.Change, ...]
    next_cursor: Cursor | None
    lost_up_to: int = 0


class Audit(resources.ListResource):
    """Lists the changes of a list, newest first."""

    @answers.responder
    def on_get(self, req: falcon.Request, name: str) -> answers.Outcome:
        """Returns up to `limit` changes, starting at the cursor `after`."""
        limit = parameters.get_limit(req, DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        return changes.find_list_name(name).bind(
            lambda known: self.access.find_operator(req).bind(
                lambda _: parse_cursor(req.get_param("after") or "").bind(
                    lambda cursor: self.list_changes(known, cursor, limit)
                )
            )
        )

    def list_changes(
        self, name: str, cursor: Cursor, limit: int
    ) -> answers.Outcome:
        """Returns a page of changes, from the cursor towards older ones."""
        page = Page(rows=(), next_cursor=cursor)
        while page.next_cursor is not None and len(page.rows) < limit:
            read = self.read_changes(name, page.next_cursor.segment)
            if isinstance(read, result.Failure):
                return result.Failure(
                    changes.build_store_problem(read.failure().reason)
                )
            page = extend_page(page, page.next_cursor, read.unwrap(), limit)
        return result.Success(
            answers.Answer(
                media={
                    "list": name,
                    "changes": [describe_change(row) for row in page.rows],
                    "after": encode_cursor(page.next_cursor)
                    if page.next_cursor
                    else "",
                    "lost_up_to": page.lost_up_to,
                }
            )
        )

    def read_changes(
        self, name: str, segment: int
    ) -> result.Result[heads.Segment | None, exceptions.StoreFailure]:
        """Returns the changes of a segment, or of the head as a segment.

        The value is None for a segment that is missing from the store.
        """
        client = self.lists.client
        if not segment:
            return storage.read_head(client, name).map(
                lambda found: heads.build_segment(found[0])
            )
        return storage.read_segment(client, name, segment)


def extend_page(
    page: Page, cursor: Cursor, part: heads.Segment | None, limit: int
) -> Page:
    """Returns a page extended by changes of one segment, up to a limit."""
    if part is None:
        return dataclasses.replace(
            page, next_cursor=None, lost_up_to=cursor.segment
        )
    older = select_older(part, cursor.below)
    selected = older[: limit - len(page.rows)]
    return Page(
        rows=(*page.rows, *selected),
        next_cursor=find_next_cursor(cursor, part, older, selected),
    )


def select_older(part: heads.Segment, below: int) -> list[heads.Change]:
    """Returns the changes below a revision, newest first."""
    return [
        row
        for row in reversed(part.changes)
        if not below or row.revision < below
    ]


def find_next_cursor(
    cursor: Cursor,
    part: heads.Segment,
    older: list[heads.Change],
    page: list[heads.Change],
) -> Cursor | None:
    """Returns the cursor of the change after a page, or None at the end."""
    if len(page) < len(older):
        return Cursor(segment=cursor.segment, below=page[-1].revision)
    if part.base_revision:
        return Cursor(segment=part.base_revision, below=cursor.below)
    return None


def parse_cursor(
    text: str,
) -> result.Result[Cursor, problems.Problem]:
    """Parses the cursor of a page; empty text stands for the first page."""
    segment, _, below = (text or "0.0").partition(".")
    segment_end = parameters.parse_number(segment)
    upper_bound = parameters.parse_number(below)
    if segment_end is None or upper_bound is None:
        return result.Failure(parameters.build_cursor_problem())
    return result.Success(Cursor(segment=segment_end, below=upper_bound))


def encode_cursor(cursor: Cursor) -> str:
    """Returns a cursor in the form that callers pass back."""
    return f"{cursor.segment}.{cursor.below}"


def describe_change(change: heads.Change) -> dict[str, object]:
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
