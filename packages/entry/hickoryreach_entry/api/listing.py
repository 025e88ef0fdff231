"""Lists a workspace's jobs in pages, one shard after the other."""

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
    """Start of a page.

    Attributes:
        shard: Shard to list.
        after: Id of the last job listed of that shard; empty for none.
    """

    shard: int = 0
    after: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Query:
    """Filter and page size of a listing.

    Attributes:
        workspace: Workspace of the caller.
        state: Only jobs in this state; empty for any.
        wave: Only jobs of this wave; empty for any.
        limit: Largest number of jobs on one page.
    """

    workspace: str
    state: str
    wave: str
    limit: int


class Listing:
    """Lists jobs by id, one shard after the other.

    Attributes:
        list_shard: Lists jobs of one shard through its owner.
        shards: Number of shards of the cell.
    """

    def __init__(self, *, list_shard: ListShard, shards: int) -> None:
        """Stores the dependencies."""
        self.list_shard = list_shard
        self.shards = shards

    def list_page(self, query: Query, cursor: Cursor) -> answers.Outcome:
        """Returns the page that starts at a cursor."""
        rows: list[dict] = []
        next_cursor: Cursor | None = cursor
        while next_cursor is not None and len(rows) < query.limit:
            reply = self.list_shard(
                messages.ListRequest(
                    shard=next_cursor.shard,
                    workspace=query.workspace,
                    state=query.state,
                    wave=query.wave,
                    after=next_cursor.after,
                    limit=query.limit - len(rows),
                )
            )
            if not reply.owner:
                return result.Failure(notices.build_no_owner_problem())
            rows += [notices.describe_notice(row) for row in reply.jobs or ()]
            next_cursor = self.find_next_cursor(next_cursor, reply)
            if reply.after:
                break
        after = encode_cursor(next_cursor) if next_cursor else ""
        return result.Success(
            answers.Answer(media={"jobs": rows, "after": after})
        )

    def find_next_cursor(
        self, cursor: Cursor, reply: messages.ListReply
    ) -> Cursor | None:
        """Returns the cursor after a reply, or None after the last shard."""
        if reply.after:
            return Cursor(shard=cursor.shard, after=reply.after)
        if cursor.shard + 1 < self.shards:
            return Cursor(shard=cursor.shard + 1)
        return None

    def parse_cursor(
        self, text: str
    ) -> result.Result[Cursor, problems.Problem]:
        """Parses the cursor of a page; empty text stands for the first page."""
        if not text:
            return result.Success(Cursor())
        first, _, after = text.partition("/")
        shard = parameters.parse_number(first)
        if shard is None or shard >= self.shards:
            return result.Failure(parameters.build_cursor_problem())
        return result.Success(Cursor(shard=shard, after=after))


def encode_cursor(cursor: Cursor) -> str:
    """Returns a cursor in the form that callers pass back."""
    return f"{cursor.shard}/{cursor.after}"
