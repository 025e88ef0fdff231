"""A workspace's jobs, page by page over the shards."""

from collections.abc import Callable
import dataclasses

from returns import result

from hickoryreach.wire import messages
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import parameters
from hickoryreach_entry.api import problems

ListShard = Callable[[messages.ListRequest], messages.ListReply]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cursor:
    """Where the next page begins.

    Attributes:
        shard: The shard to read on in.
        after: Id of the last job shown of that shard; empty for none.
    """

    shard: int = 0
    after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """Which jobs a caller wants to see.

    Attributes:
        workspace: Workspace of the caller.
        state: Only jobs in this state; empty for any.
        wave: Only jobs of this wave; empty for any.
        limit: Most jobs on one page.
    """

    workspace: str
    state: str
    wave: str
    limit: int


class Listing:
    """Lists jobs by id, one shard after the other.

    Attributes:
        list_shard: Asks one shard's owner for a part of a page.
        shards: Number of shards of the cell.
    """

    def __init__(self, *, list_shard: ListShard, shards: int) -> None:
        """Keeps what it needs."""
        self.list_shard = list_shard
        self.shards = shards

    def list_page(self, query: Query, cursor: Cursor) -> answers.Outcome:
        """Fills one page from the cursor on."""
        rows: list[dict] = []
        place: Cursor | None = cursor
        while place is not None and len(rows) < query.limit:
            reply = self.list_shard(
                messages.ListRequest(
                    shard=place.shard,
                    workspace=query.workspace,
                    state=query.state,
                    wave=query.wave,
                    after=place.after,
                    limit=query.limit - len(rows),
                )
            )
            if not reply.owner:
                return result.Failure(notices.refuse_ownerless())
            rows += [notices.describe(row) for row in reply.jobs or ()]
            place = self.find_next(place, reply)
            if reply.after:
                break
        after = pack_cursor(place) if place else ""
        return result.Success(
            answers.Answer(media={"jobs": rows, "after": after})
        )

    def find_next(
        self, place: Cursor, reply: messages.ListReply
    ) -> Cursor | None:
        """Returns where to read on, or None after the last shard."""
        if reply.after:
            return Cursor(shard=place.shard, after=reply.after)
        if place.shard + 1 < self.shards:
            return Cursor(shard=place.shard + 1)
        return None

    def parse_cursor(
        self, text: str
    ) -> result.Result[Cursor, problems.Problem]:
        """Returns the cursor that a page ended with; empty text begins."""
        if not text:
            return result.Success(Cursor())
        first, _, after = text.partition("/")
        shard = parameters.parse_number(first)
        if shard is None or shard >= self.shards:
            return result.Failure(parameters.refuse_cursor())
        return result.Success(Cursor(shard=shard, after=after))


def pack_cursor(cursor: Cursor) -> str:
    """Returns a cursor as callers pass it back."""
    return f"{cursor.shard}/{cursor.after}"
