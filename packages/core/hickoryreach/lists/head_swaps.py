"""The compare-and-swap that carries a change, also when answers are lost."""

import gevent
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import edits
from hickoryreach.lists import heads
from hickoryreach.lists import storage
from hickoryreach.trial import store

ATTEMPTS = 5
RETRY_S = 0.2


def swap_head(
    client: store.Store, name: str, kept: storage.StoredList, head: heads.Head
) -> result.Result[heads.Head, edits.Failure]:
    """Swaps the head; a lost answer is settled by the change's token."""
    reason = ""
    for _ in range(ATTEMPTS):
        written = client.put_if(
            heads.get_head_key(name), heads.pack(head), index=kept.index
        )
        if isinstance(written, result.Success):
            return result.Success(head)
        if isinstance(written.failure(), exceptions.Conflict):
            return settle(client, name, kept, head)
        reason = written.failure().reason
        gevent.sleep(RETRY_S)
    return result.Failure(leave_open(kept, head, reason))


def settle(
    client: store.Store, name: str, kept: storage.StoredList, head: heads.Head
) -> result.Result[heads.Head, edits.Failure]:
    """Tells a lost race from one's own write whose answer was lost."""
    reason = ""
    for _ in range(ATTEMPTS):
        read = storage.read_list_with_retry(client, name).bind(
            lambda newest: find_change(
                client, name, newest.head, head.revision
            ).map(lambda found: judge(kept, head, newest, found))
        )
        if isinstance(read, result.Success):
            return read.unwrap()
        reason = read.failure().reason
        gevent.sleep(RETRY_S)
    return result.Failure(leave_open(kept, head, reason))


def judge(
    kept: storage.StoredList,
    head: heads.Head,
    newest: storage.StoredList,
    found: heads.Change | None,
) -> result.Result[heads.Head, edits.Failure]:
    """Returns how a swap ended whose index was not the newest.

    Args:
        kept: The list that the change was made on.
        head: Head with the change.
        newest: The list as it is now.
        found: The change that led to the revision of `head`, if any.
    """
    if found is not None and found.token == head.token:
        return result.Success(head)
    if found is not None or is_rolled(kept.head, newest.head):
        return result.Failure(edits.Outdated(kept=newest))
    return result.Failure(
        leave_open(kept, head, "the store went back, or lost a record")
    )


def is_rolled(before: heads.Head, after: heads.Head) -> bool:
    """Returns whether a head differs from an earlier one by a roll alone."""
    return after.revision == before.revision and after != before


def leave_open(
    kept: storage.StoredList, head: heads.Head, reason: str
) -> edits.Unavailable:
    """Returns the failure of a change that may have been accepted."""
    return edits.Unavailable(reason=reason, token=head.token, index=kept.index)


def find_change(
    client: store.Store, name: str, head: heads.Head, revision: int
) -> result.Result[heads.Change | None, exceptions.StoreFailure]:
    """Returns the change that led to a revision, from head or segments."""
    changes = head.changes
    base = head.base_revision
    while revision <= base:
        read = storage.read_segment(client, name, base)
        if isinstance(read, result.Failure):
            return result.Failure(read.failure())
        segment = read.unwrap()
        if segment is None:
            return result.Success(None)
        changes = segment.changes
        base = segment.base_revision
    found = [row for row in changes if row.revision == revision]
    return result.Success(found[0] if found else None)
